"""When a daemon reads its proof from the store, and how it is extended."""

import unittest

from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.membership import follower
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import proof
from tests import fakes
from tests import fleet_fakes


class ProofTest(unittest.TestCase):
    """A daemon that has just started and reaches no coordinator."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.store = fleet_fakes.MemoryStore()
        repository = fleet_fakes.repository(self.store)
        repository.write_map(key_map.KeyMap(version=1), "")
        self.peers = fleet_fakes.Peers()
        self.lease = proof.ProofLease(clock=self.clock)
        self.follower = follower.Follower(
            vm="a",
            address="a:1",
            state=fleet_state.FleetState(),
            lease=self.lease,
            store=repository,
            plans=fleet_fakes.NoPlans(),
            peers=self.peers,
            clock=self.clock,
            report=lambda: fleet_fakes.sync("a"),
        )
        self.store.calls = 0

    def _run_for(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 100):
            self.follower._sync_or_read()
            self.clock.advance(100)

    def test_coordinator_has_time_to_send_a_proof(self):
        """No daemon of many that start at once reads the store (herd_kill)."""
        self._run_for(500)
        self.assertEqual(self.store.calls, 0)

    def test_proof_is_read_before_holds_expire(self):
        """The coordinator is down too, and the target still holds keys."""
        self._run_for(1200)
        self.assertLess(self.lease.age_ms(), 500)
        self.assertEqual(self.store.calls, 1)

    def _receive_extension(self, map_version: int) -> None:
        ack = fleet_messages.SyncAck(
            coordinator="b",
            coordinator_address="b:1",
            term=1,
            office_age_ms=-1,
            map_version=map_version,
            map_change=b"",
            proof_version=0,
            proof_age_ms=-1,
            sent_ns=1,
            promised_ms=5000,
            plan_revision=0,
            plan=b"",
            plan_age_ms=-1,
            directory="",
            directory_number=0,
            entries=(),
        )
        self.peers.handlers["b"] = lambda message: ack
        self.follower.sync_with("b")

    def test_extension_lengthens_a_proof_of_this_daemon(self):
        """The store is down for 8 s (platform_down)."""
        self.follower.read_proof()
        self.clock.advance(proof.LEASE_MS)
        self.assertEqual(self.lease.remaining_ms(), 0)
        self._receive_extension(1)
        self.assertGreater(self.lease.remaining_ms(), 4800)
        answer = self.follower.answer_sync(fleet_fakes.sync("c"))
        self.assertEqual(answer.promised_ms, 5000)
        self.clock.advance(5000)
        self.assertEqual(self.lease.remaining_ms(), 0)

    def test_store_is_not_read_during_an_extension(self):
        """Only a few daemons read while the store is down (platform_down)."""
        self.follower.read_proof()
        self.clock.advance(proof.LEASE_MS)
        self._receive_extension(1)
        self.peers.handlers.clear()
        self.store.calls = 0
        self._run_for(5000 - follower.MIN_EXTENSION_MS)
        self.assertEqual(self.store.calls, 0)
        self._run_for(200)
        self.assertEqual(self.store.calls, 1)

    def test_extension_without_a_proof_grants_nothing(self):
        """A daemon restarted in an outage does not know what it released."""
        self._receive_extension(0)
        self.assertEqual(self.lease.remaining_ms(), 0)

    def test_extension_needs_a_map_as_new_as_the_senders(self):
        """An older map may lack a revocation that the coordinator wrote."""
        self.follower.read_proof()
        self.clock.advance(proof.LEASE_MS)
        self._receive_extension(2)
        self.assertEqual(self.lease.remaining_ms(), 0)
