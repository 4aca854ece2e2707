"""Leases, witnesses and revocation on a manual clock."""

import unittest

from primrosecross.domain.membership import lease
from primrosecross.domain.membership import witness
from primrosecross.domain.ownership import revocation
from tests import fakes

WITNESSES = ("w1", "w2", "w3")
TIMING = lease.LeaseTiming()


class LeaseTest(unittest.TestCase):
    """One lease holder and three witnesses."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.registers = {name: self._register() for name in WITNESSES}
        self.incarnations = dict.fromkeys(WITNESSES, 1)
        self.clock.advance(TIMING.duration_ms)
        self.lease = lease.Lease(clock=self.clock, timing=TIMING)
        self.lease.start(
            epoch=5, witnesses=WITNESSES, read_sent_ns=self.clock.now_ns()
        )

    def _register(self) -> witness.WitnessRegister:
        return witness.WitnessRegister(clock=self.clock, timing=TIMING)

    def _restart(self, name: str) -> None:
        self.registers[name] = self._register()
        self.incarnations[name] += 1

    def _send_heartbeats(self, *names: str) -> None:
        for name in names or WITNESSES:
            if self.registers[name].vote("vm", 5):
                self.lease.record_vote(
                    witness=name,
                    incarnation=str(self.incarnations[name]),
                    epoch=5,
                    sent_ns=self.clock.now_ns(),
                )

    def _lapse_proof(self) -> revocation.LapseProof:
        return revocation.LapseProof(
            vm="vm",
            epoch=5,
            witness_sets=(WITNESSES,),
            clock=self.clock,
            timing=TIMING,
        )

    def _refuse(self, proof: revocation.LapseProof, *names: str) -> None:
        for name in names:
            proof.record(
                witness=name,
                incarnation=str(self.incarnations[name]),
                silent_ms=self.registers[name].refuse("vm", 5),
                sent_ns=self.clock.now_ns(),
                received_ns=self.clock.now_ns(),
            )

    def test_majority_keeps_the_lease(self):
        self._send_heartbeats("w1")
        self.assertFalse(self.lease.held())
        self._send_heartbeats("w2")
        self.assertTrue(self.lease.held())
        self.clock.advance(TIMING.duration_ms)
        self.assertFalse(self.lease.held())

    def test_lapsed_lease_resumes_with_the_same_witnesses(self):
        self._send_heartbeats()
        self.clock.advance(10 * TIMING.duration_ms)
        self.assertFalse(self.lease.held())
        self._send_heartbeats()
        self.assertTrue(self.lease.held())

    def test_revocation_completes_only_after_the_lease_expires(self):
        self._send_heartbeats()
        proof = self._lapse_proof()
        self._refuse(proof, "w1", "w2")
        self.assertFalse(proof.proven())
        while not proof.proven():
            self.clock.advance(50)
            self._send_heartbeats()
            self._refuse(proof, "w1", "w2")
        self.assertFalse(self.lease.held())

    def test_restarted_witnesses_cannot_revive_a_revoked_lease(self):
        self._send_heartbeats()
        proof = self._lapse_proof()
        while not proof.proven():
            self.clock.advance(50)
            self._refuse(proof, "w1", "w2")
        self._restart("w1")
        self._restart("w2")
        for _ in range(100):
            self.clock.advance(100)
            self._send_heartbeats()
            self.assertFalse(self.lease.held())

    def test_witness_restart_interrupts_the_proof(self):
        self._send_heartbeats()
        proof = self._lapse_proof()
        self._refuse(proof, "w1", "w2")
        self.clock.advance(TIMING.duration_ms)
        self._send_heartbeats("w3")
        self._restart("w1")
        self._refuse(proof, "w1", "w2")
        self.clock.advance(TIMING.drift_ms)
        self._refuse(proof, "w2")
        self.assertFalse(proof.proven())

    def test_long_silence_proves_the_lapse_without_a_wait(self):
        self._send_heartbeats()
        self.clock.advance(TIMING.duration_ms + TIMING.drift_ms)
        proof = self._lapse_proof()
        self._refuse(proof, "w1", "w3")
        self.assertTrue(proof.proven())
        self.assertFalse(self.lease.held())
