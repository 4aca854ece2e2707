"""Proof of a lapsed lease: what replies of witnesses do and do not prove."""

import unittest

from primrosecross.domain.membership import lease
from primrosecross.domain.ownership import revocation
from tests import fakes

WITNESSES = ("w1", "w2", "w3")
TIMING = lease.LeaseTiming()
WAIT_MS = TIMING.duration_ms + TIMING.drift_ms


class RevocationTest(unittest.TestCase):
    """Three witnesses reply to one coordinator."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.proof = revocation.LapseProof(
            vm="vm",
            epoch=5,
            witness_sets=(WITNESSES,),
            clock=self.clock,
            timing=TIMING,
        )

    def _answer(
        self, witness: str, silent_ms: int, *, process="1", took_ms=0
    ) -> None:
        sent_ns = self.clock.now_ns()
        self.clock.advance(took_ms)
        self.proof.record(
            witness=witness,
            incarnation=process,
            silent_ms=silent_ms,
            sent_ns=sent_ns,
            received_ns=self.clock.now_ns(),
        )

    def test_a_slow_answer_does_not_lengthen_the_silence(self):
        for witness in ("w1", "w2"):
            self._answer(witness, 0, took_ms=400)
        self.clock.advance(WAIT_MS - 400)
        for witness in ("w1", "w2"):
            self._answer(witness, WAIT_MS - 800)
        self.assertFalse(self.proof.proven())

    def test_silences_at_different_times_prove_nothing(self):
        self._answer("w1", WAIT_MS)
        self.clock.advance(2 * WAIT_MS)
        self._answer("w2", WAIT_MS)
        self.assertFalse(self.proof.proven())

    def test_a_common_silence_is_proof(self):
        self._answer("w1", WAIT_MS)
        self._answer("w2", WAIT_MS)
        self.assertTrue(self.proof.proven())

    def test_each_witness_set_needs_its_majority(self):
        self.proof = revocation.LapseProof(
            vm="vm",
            epoch=5,
            witness_sets=(WITNESSES, ("w3", "w4", "w5")),
            clock=self.clock,
            timing=TIMING,
        )
        for witness in ("w1", "w2", "w3"):
            self._answer(witness, WAIT_MS)
        self.assertFalse(self.proof.proven())
        self._answer("w4", WAIT_MS)
        self.assertTrue(self.proof.proven())
