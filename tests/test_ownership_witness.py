"""Which members a witness suspects."""

import unittest

from primrosecross.domain.membership import lease
from primrosecross.domain.membership import witness
from tests import fakes

TIMING = lease.LeaseTiming()
STEP_MS = 100


class SuspicionTest(unittest.TestCase):
    """A witness and a member that names it."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.register = witness.WitnessRegister(clock=self.clock, timing=TIMING)

    def _advance(self, duration_ms: int) -> None:
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            self.register.silent_members()

    def _suspects(self) -> list[tuple[str, int]]:
        return [(s.vm, s.epoch) for s in self.register.silent_members()]

    def test_restarted_witness_suspects_a_member_without_heartbeats(self):
        self.register.set_expected({"vm": 5})
        self._advance(TIMING.duration_ms)
        self.assertEqual(self._suspects(), [])
        self._advance(TIMING.suspect_ms)
        self.assertEqual(self._suspects(), [("vm", 5)])

    def test_vote_restarts_the_silence(self):
        self.register.set_expected({"vm": 5})
        self._advance(TIMING.duration_ms + TIMING.suspect_ms)
        self.assertTrue(self.register.vote("vm", 5))
        self.assertEqual(self._suspects(), [])
        self.register.set_expected({"vm": 5})
        self._advance(TIMING.suspect_ms)
        self.assertEqual(self._suspects(), [("vm", 5)])

    def test_silence_of_a_new_epoch_counts_anew(self):
        self._advance(TIMING.duration_ms)
        self.register.vote("vm", 5)
        self._advance(TIMING.suspect_ms)
        self.register.set_expected({"vm": 6})
        self.assertNotIn(("vm", 6), self._suspects())
        self._advance(TIMING.suspect_ms)
        self.assertIn(("vm", 6), self._suspects())

    def test_vote_that_may_count_for_a_lease_is_kept(self):
        self._advance(TIMING.duration_ms)
        self.register.vote("vm", 5)
        self._advance(TIMING.duration_ms // 2)
        self.register.set_expected({})
        self.assertEqual(self.register.refuse("vm", 5), TIMING.duration_ms // 2)

    def test_thawed_witness_does_not_suspect_at_once(self):
        self._advance(TIMING.duration_ms)
        self.register.vote("vm", 5)
        self.clock.advance(10 * TIMING.duration_ms)
        self.assertEqual(self._suspects(), [])
        self._advance(TIMING.suspect_ms)
        self.assertEqual(self._suspects(), [("vm", 5)])
