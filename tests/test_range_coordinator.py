"""A coordinator with a store: taking over, losing VMs, being replaced."""

import dataclasses
import unittest

import gevent

from primrosecross.adapters import fleet_repository
from primrosecross.domain import fleet_node
from primrosecross.domain import stamp
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.membership import follower
from primrosecross.domain.operators import events
from primrosecross.domain.ownership import election
from primrosecross.domain.ownership import fleet_notices
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import lease_extension
from primrosecross.domain.ownership import proof
from primrosecross.domain.ownership import range_coordinator
from tests import fleet_fakes

_LAST = key_map.LAST_KEY
_MAP_KEY = (fleet_repository.MAPS, fleet_repository.NAME)


class CoordinatorTest(unittest.TestCase):
    """Daemon "a" with a local target; other daemons report to it."""

    def setUp(self) -> None:
        self.clock = fleet_fakes.GeventClock()
        self.store = fleet_fakes.MemoryStore()
        self.peers = fleet_fakes.Peers()
        self.coordinator = self._make("a")
        self.reports = {
            vm: fleet_fakes.sync(vm, fleet_fakes.target(f"i-{vm}@1000"))
            for vm in "abc"
        }

    def _make(self, vm: str) -> range_coordinator.RangeCoordinator:
        clock = self.clock
        repository = fleet_fakes.repository(self.store)
        self.state = fleet_state.FleetState()
        self.state.update_plan(fleet_fakes.plan_document())
        stamps = stamp.StampClock(clock=clock)
        self.election = election.Election(
            vm=vm,
            peer_address=f"{vm}:1",
            may_campaign=lambda: True,
            repository=repository,
            clock=clock,
            timeline=events.Timeline(vm=vm, clock=clock, stamps=stamps),
            timing=fleet_node.TERM_TIMING,
        )
        self.follower = follower.Follower(
            vm=vm,
            address=f"{vm}:1",
            state=self.state,
            lease=proof.ProofLease(clock=clock),
            store=repository,
            plans=fleet_fakes.NoPlans(),
            peers=self.peers,
            clock=clock,
            report=lambda: self._report(vm),
        )
        return range_coordinator.RangeCoordinator(
            vm=vm,
            election=self.election,
            follower=self.follower,
            state=self.state,
            store=repository,
            peers=self.peers,
            clock=clock,
        )

    def _report(self, vm: str) -> fleet_messages.Sync:
        """Returns a VM's report just after an answer of the coordinator."""
        return dataclasses.replace(
            self.reports[vm],
            term=self.election.term_number,
            echo_ns=self.clock.now_ns(),
        )

    def _run(self, duration_ms: int, *reporting_vms: str) -> None:
        """Runs decisions of the coordinator while VMs report to it."""
        for _ in range(duration_ms // 100):
            self.clock.advance(100)
            self.election.campaign()
            for vm in reporting_vms:
                self.coordinator.answer_sync(self._report(vm))
            self.coordinator._start_term()
            self.coordinator._run_cycle()

    # A daemon behind a full link got the plan only after two delays: of the
    # notice, and of the answer that it asked for.
    def test_plan_is_sent_to_daemons_before_they_ask(self):
        self._run(1000, "b", "c")
        self.peers.sent.clear()
        self.state.update_plan(fleet_fakes.plan_document(revision=7))
        self._run(100)
        gevent.sleep(0)
        sent = {
            vm: message.plan_revision
            for vm, message in self.peers.sent
            if isinstance(message, fleet_messages.PlanUpdate)
        }
        self.assertEqual(sent, {"b": 7, "c": 7})

    def _holders(self) -> set[str]:
        return {r.holder for r in self.state.key_map.tables["desk"].ranges}

    def test_keys_are_divided_once_all_had_time_to_report(self):
        self._run(1000, "b", "c")
        self.assertEqual(self.state.key_map.tables, {})
        self._run(2000, "b", "c")
        self.assertEqual(self._holders(), {f"i-{vm}@1000" for vm in "abc"})

    def test_a_lost_vms_keys_are_reassigned_when_no_grant_can_last(self):
        self._run(4000, "b", "c")
        lost_at_ns = self.clock.now_ns()
        while "i-c@1000" in self._holders():
            self._run(100, "b")
            passed_ms = (self.clock.now_ns() - lost_at_ns) / 1e6
            self.assertLess(passed_ms, 9000)
        self.assertGreater(passed_ms, proof.revocation_wait_ms())

    def test_a_new_coordinator_restarts_the_revocation_wait(self):
        """The coordinator is lost while it revokes keys (replace_core)."""
        self._run(4000, "b", "c")
        self._run(4000, "b")
        self.coordinator = self._make("b")
        self._run(1500, "a")
        began_ns = self.clock.now_ns()
        while "i-c@1000" in self._holders():
            self._run(100, "a")
        passed_ms = (self.clock.now_ns() - began_ns) / 1e6
        self.assertGreater(passed_ms, proof.revocation_wait_ms() - 1500)

    def test_a_new_coordinator_decides_once_all_holders_have_reported(self):
        """All VMs lose power and their targets restart (power_off_all)."""
        self._run(4000, "b", "c")
        self.clock.advance(2000)
        self.coordinator = self._make("b")
        for vm in "abc":
            restarted = fleet_fakes.target(f"i-{vm}@2000")
            self.reports[vm] = fleet_fakes.sync(vm, restarted)
        while not self.election.is_coordinator:
            self.clock.advance(100)
            self.election.campaign()
        self._run(300, "a")
        self.assertNotIn("i-a@2000", self._holders())
        self._run(200, "a", "c")
        self.assertEqual(self._holders(), {f"i-{vm}@2000" for vm in "abc"})

    def test_a_new_coordinator_notifies_known_vms(self):
        self.state.update_entries(
            (
                fleet_messages.VmEntry(
                    "b", "a", "b:1", "desk", 1, "ready", False
                ),
            ),
            replace_all=True,
        )
        self.peers.handlers["b"] = lambda message: message
        self._run(200)
        self.clock.sleep(1)
        notified = [vm for vm, m in self.peers.sent if vm == "b"]
        self.assertTrue(notified)

    def test_in_a_large_fleet_only_affected_vms_are_notified_of_a_map(self):
        """Otherwise each of many moves in a large fleet notifies all VMs."""
        others = [f"vm{n}" for n in range(fleet_notices.MAX_NOTIFIED_VMS)]
        for vm in others:
            self.reports[vm] = fleet_fakes.sync(vm)
        self._run(4000, "b", "c", *others)
        self.clock.sleep(1)
        self.peers.sent.clear()
        self._run(2500, "b", *others)  # the intent to revoke "c" is written
        self.clock.sleep(1)
        notified = {vm for vm, _ in self.peers.sent}
        self.assertIn("c", notified)
        self.assertFalse(notified & set(others))

    def test_followers_learn_of_a_term_that_cannot_be_renewed(self):
        """The store refuses only the coordinator.

        Fault: platform_down, nodes leader.
        """
        self._run(2000, "b", "c")
        old_coordinator = self.coordinator
        old_election = self.election
        self.reports["b"] = dataclasses.replace(
            self.reports["b"], plan_revision=1
        )
        self._make("b")
        lost_terms: list[int] = []
        self.follower.on_term_lost = lost_terms.append
        self.follower.update_coordinator("a", "a:1", old_election.term_number)
        self.peers.handlers["a"] = old_coordinator.answer_sync
        self.follower.sync_with("a")
        self.assertFalse(self.follower.is_coordinator_silent())
        self.clock.advance(follower.STALE_TERM_MS + 10)
        self.follower.sync_with("a")
        self.assertTrue(self.follower.is_coordinator_silent())
        self.assertEqual(lost_terms, [old_election.term_number])

    def test_a_conflicting_write_changes_nothing_locally(self):
        self._run(4000, "b", "c")
        version = self.state.key_map.version
        other = fleet_fakes.repository(self.store)
        stored_map, stored_version = other.read_map()
        newer_map = key_map.KeyMap(
            stored_map.version + 1, stored_map.holders, stored_map.tables
        )
        other.write_map(newer_map, stored_version)
        self._run(2500, "b")  # the intent to revoke "c" is written
        self.assertGreater(self.state.key_map.version, version + 1)
        self.assertIs(
            self.state.key_map.holders["i-c@1000"].state,
            key_map.HolderState.REVOKING,
        )

    def test_a_resigned_term_is_taken_over_immediately(self):
        self._run(1000)
        self.election.resign()
        self.assertFalse(self.election.is_coordinator)
        self._make("b")
        self.election.campaign()
        self.assertTrue(self.election.is_coordinator)

    def _extension_ms(self, vm: str) -> int:
        return self.coordinator.answer_sync(self._report(vm)).promised_ms

    def _lose_store(self, duration_ms: int) -> None:
        """Advances the time without renewing the term, while VMs report."""
        for _ in range(duration_ms // 500):
            self.clock.advance(500)
            self._extension_ms("b")
            self._extension_ms("c")

    def test_leases_are_extended_while_the_store_is_down(self):
        """The store is down for everyone for 8 s (platform_down, busy)."""
        self._run(4000, "b", "c")
        self.assertEqual(self._extension_ms("b"), 0)
        self._lose_store(2000)
        self.assertEqual(self._extension_ms("b"), lease_extension.EXTENSION_MS)
        self._lose_store(6000)
        self.assertEqual(self._extension_ms("b"), lease_extension.EXTENSION_MS)
        self._lose_store(lease_extension.MAX_OUTAGE_MS)
        self.assertEqual(self._extension_ms("b"), 0)

    def test_no_lease_is_extended_before_the_map_is_written(self):
        """A late write of a predecessor could complete a revocation."""
        self._run(4000, "b", "c")
        self.coordinator = self._make("b")
        for _ in range(20):
            self.clock.advance(100)
            self.election.campaign()
        self.follower.read_proof()
        for vm in "ac":
            self.coordinator.answer_sync(self._report(vm))
        self._lose_store(2000)
        self.assertEqual(self._extension_ms("c"), 0)

    def test_a_term_without_changes_writes_the_map_once(self):
        self._run(4000, "b", "c")
        self.coordinator = self._make("b")
        self._run(4000, "a", "c")
        version = self.state.key_map.version
        self._run(2000, "a", "c")
        self.assertEqual(self.state.key_map.version, version)
        self._lose_store(2000)
        self.assertEqual(self._extension_ms("c"), lease_extension.EXTENSION_MS)

    def test_no_lease_is_extended_once_another_coordinator_is_known(self):
        self._run(4000, "b", "c")
        self._lose_store(2000)
        self.follower.update_coordinator("b", "b:1", 2)
        self.assertEqual(self._extension_ms("c"), 0)

    def test_a_lost_coordinator_delays_no_revocation(self):
        """Another VM is lost with it; most VMs report to its successor."""
        self._run(4000, "b", "c")
        self.coordinator = self._make("b")
        self._run(2000, "c")
        began_ns = self.clock.now_ns()
        while "i-a@1000" in self._holders():
            self._run(100, "c")
            passed_ms = (self.clock.now_ns() - began_ns) / 1e6
            max_intent_delay_ms = range_coordinator.REPORT_WAIT_MS
            self.assertLess(
                passed_ms, max_intent_delay_ms + proof.revocation_wait_ms()
            )

    def test_without_most_vms_a_successor_waits_for_lease_extensions(self):
        """Most VMs are partitioned off with the coordinator (node_cut)."""
        self._run(4000, "b", "c")
        self.coordinator = self._make("b")
        began_ns = self.clock.now_ns()
        self._run(lease_extension.MAX_OUTAGE_MS)
        self.assertIn("i-a@1000", self._holders())
        while "i-a@1000" in self._holders():
            self._run(100)
            passed_ms = (self.clock.now_ns() - began_ns) / 1e6
            self.assertLess(
                passed_ms, lease_extension.takeover_wait_ms() + 4000
            )

    # Each round logged the error, some times a second.
    def test_malformed_map_is_logged_once_and_decisions_resume(self):
        self._run(4000, "b", "c")
        valid = self.store.objects[_MAP_KEY].spec
        version = self.state.key_map.version
        self.store._put(*_MAP_KEY, {**valid, "version": 2**70})
        with self.assertLogs(range_coordinator.__name__, "WARNING") as logs:
            self._run(2000, "b", "c")
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(self.state.key_map.version, version)
        self.store._put(*_MAP_KEY, valid)
        self._run(2000, "b", "c")
        self._run(2000, "b")
        self.assertGreater(self.state.key_map.version, version)

    # The new map began at version 1: a daemon that starts would grant keys
    # with generations that the targets refuse.
    def test_deleted_map_is_written_again_with_a_later_version(self):
        self._run(4000, "b", "c")
        before = self.state.key_map
        del self.store.objects[_MAP_KEY]
        self._run(2000, "b", "c")
        repository = fleet_fakes.repository(self.store)
        stored_map, _ = repository.read_map()
        self.assertGreater(stored_map.version, before.version)
        self.assertEqual(stored_map.holders, before.holders)
        self.assertEqual(
            stored_map.tables["desk"].ranges, before.tables["desk"].ranges
        )
