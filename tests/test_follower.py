"""When a daemon reads the proof from the store itself."""

import unittest

from primrosecross.domain import fleet_state
from primrosecross.domain import follower
from primrosecross.domain import key_map
from primrosecross.domain import proof
from tests import fakes
from tests import fleet_fakes


class ProofTest(unittest.TestCase):
    """A daemon that has just started, and no coordinator answers."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.store = fleet_fakes.MemoryStore()
        archive = fleet_fakes.archive(self.store)
        archive.write_map(key_map.KeyMap(version=1), "")
        self.lease = proof.ProofLease(clock=self.clock)
        self.follower = follower.Follower(
            vm="a",
            address="a:1",
            state=fleet_state.FleetState(),
            lease=self.lease,
            store=archive,
            plans=fleet_fakes.NoPlans(),
            peers=fleet_fakes.Peers(),
            clock=self.clock,
            report=lambda: fleet_fakes.sync("a"),
        )
        self.store.calls = 0

    def _follow(self, for_ms: int) -> None:
        for _ in range(for_ms // 100):
            self.follower._follow()
            self.clock.advance(100)

    def test_a_coordinator_has_time_to_send_one(self):
        """Of many that start at once, none reads the store (herd_kill)."""
        self._follow(500)
        self.assertEqual(self.store.calls, 0)

    def test_without_one_it_is_there_before_a_hold_runs_out(self):
        """The coordinator is lost with it; its target holds keys still."""
        self._follow(1200)
        self.assertLess(self.lease.age_ms(), 500)
        self.assertEqual(self.store.calls, 1)
