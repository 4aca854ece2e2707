"""Tasks of a daemon go on while the stored state or an answer is odd."""

import json
import unittest
from collections.abc import Callable

import gevent
from gevent import event as gevent_event

from primrosecross.adapters import fleet_repository
from primrosecross.domain import fleet_node
from primrosecross.domain import stamp
from primrosecross.domain import tasks
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.membership import follower
from primrosecross.domain.operators import events
from primrosecross.domain.ownership import election
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import proof
from tests import fakes
from tests import fleet_fakes


def make_ack(**changed: object) -> fleet_messages.SyncAck:
    """Returns an answer of coordinator "b" with a new proof and two VMs."""
    fields: dict[str, object] = {
        "coordinator": "b",
        "coordinator_address": "b:1",
        "term": 1,
        "office_age_ms": 10,
        "map_version": 1,
        "map_change": b"",
        "proof_version": 0,
        "proof_age_ms": 0,
        "sent_ns": 5,
        "promised_ms": 0,
        "plan_revision": 7,
        "plan": b"",
        "plan_age_ms": -1,
        "directory": "b/1",
        "directory_number": 2,
        "entries": tuple(
            fleet_messages.VmEntry(
                vm, "z", f"{vm}:1", "desk", 1, "ready", False
            )
            for vm in "bc"
        ),
    }
    return fleet_messages.SyncAck(**(fields | changed))


class AnswerTest(unittest.TestCase):
    """A daemon whose coordinator sends an odd document."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.state = fleet_state.FleetState()
        self.lease = proof.ProofLease(clock=self.clock)
        self.peers = fleet_fakes.Peers()
        self.follower = follower.Follower(
            vm="a",
            address="a:1",
            state=self.state,
            lease=self.lease,
            store=fleet_fakes.repository(fleet_fakes.MemoryStore()),
            plans=fleet_fakes.NoPlans(),
            peers=self.peers,
            clock=self.clock,
            report=lambda: fleet_fakes.sync("a"),
        )
        self.follower.update_coordinator("b", "b:1", 1)

    def sync(self, ack: fleet_messages.SyncAck) -> None:
        self.peers.handlers["b"] = lambda _: ack
        self.clock.advance(400)
        self.follower.sync_with("b")

    # The whole answer was dropped: without a proof the keys were lost after
    # six seconds.
    def test_malformed_plan_does_not_cost_the_proof(self):
        with self.assertLogs(follower.__name__, "ERROR") as logs:
            for _ in range(3):
                self.sync(make_ack(plan=b"odd"))
        self.assertEqual(len(logs.records), 1)
        self.assertLess(self.lease.age_ms(), 100)
        self.assertEqual(set(self.state.entries), {"b", "c"})

    # The proof of a map that cannot be decoded must not be believed.
    def test_malformed_map_is_logged_and_the_last_one_stays(self):
        self.state.update_map(key_map.KeyMap(version=3))
        with self.assertLogs(follower.__name__, "ERROR") as logs:
            self.sync(
                make_ack(map_change=b"\xc1", map_version=4, proof_version=4)
            )
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(self.state.key_map.version, 3)
        self.assertEqual(self.lease.remaining_ms(), 0)
        self.sync(make_ack(proof_version=3))
        self.assertGreater(self.lease.remaining_ms(), 0)


class _EndingClock(fakes.ManualClock):
    """A clock whose third sleep ends the task."""

    def __init__(self) -> None:
        super().__init__()
        self.slept_ms: list[float] = []

    def sleep(self, duration_ms: float) -> None:
        """Records the duration."""
        self.slept_ms.append(duration_ms)
        if len(self.slept_ms) == 3:
            raise gevent.GreenletExit


class TasksTest(unittest.TestCase):
    """A background task that fails or ends each time, beside another."""

    def check_pauses(self, task: Callable[[], None]) -> None:
        clock = _EndingClock()
        other_ran = gevent_event.Event()

        def run_other() -> None:
            other_ran.set()
            gevent_event.Event().wait()

        with self.assertLogs(tasks.__name__, "ERROR") as logs:
            tasks.start((task, run_other), clock=clock)
            self.assertTrue(other_ran.wait(timeout=5))
            gevent.sleep(0.01)
        self.assertEqual(clock.slept_ms, [tasks.RESTART_DELAY_MS] * 3)
        self.assertEqual(len(logs.records), 3)

    # A loop without a pause takes the processor from all other tasks.
    def test_failing_task_is_restarted_after_a_pause_beside_others(self):
        self.check_pauses(lambda: json.loads("[" * 100_000))

    # A task that ends was called again at once, for ever.
    def test_task_that_ends_is_restarted_after_a_pause(self):
        self.check_pauses(lambda: None)


class TermTest(unittest.TestCase):
    """Daemons whose term object another program replaces or deletes."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.store = fleet_fakes.MemoryStore()
        self.repository = fleet_fakes.repository(self.store)
        self.known_number = 0
        self.read_vms: list[str] = []

    def make(self, vm: str) -> election.Election:
        stamps = stamp.StampClock(clock=self.clock)
        return election.Election(
            vm=vm,
            peer_address=f"{vm}:1",
            may_campaign=lambda: True,
            repository=self.repository,
            clock=self.clock,
            timeline=events.Timeline(vm=vm, clock=self.clock, stamps=stamps),
            timing=fleet_node.TERM_TIMING,
            on_term_read=lambda term: self.read_vms.append(term.vm),
            known_number=lambda: self.known_number,
        )

    def put(self, spec: dict) -> None:
        self.store._put(fleet_repository.TERMS, fleet_repository.NAME, spec)

    def campaign_for(
        self, duration_ms: int, *campaigning: election.Election
    ) -> None:
        for _ in range(duration_ms // 100):
            self.clock.advance(100)
            for candidate in campaigning:
                candidate._try_campaign()

    # No daemon could write a term again until an operator repaired the object.
    def test_malformed_term_is_replaced_by_a_higher_one(self):
        old, other = self.make("a"), self.make("b")
        self.campaign_for(1000, old, other)
        self.known_number = 7
        for odd in ({"number": 2**70}, {"odd": True}):
            self.put(odd)
            with self.assertLogs(election.__name__, "WARNING"):
                self.campaign_for(500, old, other)
            self.assertFalse(old.is_coordinator or other.is_coordinator)
            self.campaign_for(1200, old, other)
            self.assertNotEqual(old.is_coordinator, other.is_coordinator)
            term, _ = self.repository.read_term()
            self.assertGreater(term.number, self.known_number)
            self.known_number = term.number
        self.assertNotIn("", self.read_vms)

    # The new term was 1: daemons that know a later one do not follow it.
    def test_deleted_term_is_replaced_by_a_higher_one(self):
        old, other = self.make("a"), self.make("b")
        self.campaign_for(1000, old, other)
        self.known_number = 7
        self.store.objects.clear()
        self.campaign_for(1700, old, other)
        term, _ = self.repository.read_term()
        self.assertGreater(term.number, 7)

    # Extensions of a coordinator that it does not know may still run.
    def test_revocations_wait_after_an_unknown_term(self):
        new = self.make("a")
        self.known_number = 7
        self.put({"odd": True})
        self.campaign_for(1500, new)
        self.assertTrue(new.is_coordinator)
        self.assertFalse(new.predecessor.settled)

    # A daemon that has just started knows no number; others go first.
    def test_daemon_that_knows_no_term_waits_longer(self):
        new = self.make("a")
        self.put({"odd": True})
        self.campaign_for(3500, new)
        self.assertFalse(new.is_coordinator)
        self.campaign_for(1000, new)
        self.assertTrue(new.is_coordinator)

    # At a first start there is no term to wait for.
    def test_first_term_starts_at_once(self):
        new = self.make("a")
        self.campaign_for(100, new)
        self.assertTrue(new.is_coordinator)
        self.assertEqual(new.term_number, 1)


if __name__ == "__main__":
    unittest.main()
