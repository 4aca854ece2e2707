"""Store outages, malformed objects and the limit of store calls."""

import unittest

from primrosecross.adapters import call_budget
from primrosecross.adapters import object_repository
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stamp
from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.membership import state_sync as state_sync_module
from primrosecross.domain.operators import events
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment
from primrosecross.ports import store
from tests import fakes

CODEC = object_repository.JsonStateCodec()


class FakeStore:
    """Objects in memory."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], store.StoredObject] = {}

    def read(self, kind: str, name: str) -> store.StoredObject | None:
        """Returns an object."""
        return self.objects.get((kind, name))

    def put(self, kind: str, spec: dict) -> None:
        """Writes any content, as another program could."""
        name = object_repository.NAME
        self.objects[kind, name] = store.StoredObject(kind, name, "1", spec)


class FakeSeeds:
    """Peers that answer with snapshots or are down."""

    def __init__(self) -> None:
        self.versions: dict[str, int | None] = {}

    def set_address(self, vm: str, address: str) -> None:
        """Ignores an address."""

    def call(self, vm: str, *_: object, **__: object) -> messages.Message:
        """Answers with the version set for a peer."""
        version = self.versions.get(vm)
        if version is None:
            raise errors.MessageNotSentError("down", remedy="start it")
        if not version:
            return member_messages.StateSnapshot(plan=b"", assignment=b"")
        stored_assignment = assignment.Assignment(version=version)
        return member_messages.StateSnapshot(
            plan=b"", assignment=CODEC.encode_assignment(stored_assignment)
        )


def make_state() -> state_module.ClusterState:
    """Returns an empty state."""
    clock = fakes.ManualClock()
    timeline = events.Timeline(
        vm="me", clock=clock, stamps=stamp.StampClock(clock=clock)
    )
    return state_module.ClusterState(vm="me", timeline=timeline)


class SyncTest(unittest.TestCase):
    """A daemon that starts, with a store and seeds."""

    def setUp(self) -> None:
        self.state = make_state()
        self.store = FakeStore()
        self.seeds = FakeSeeds()
        self.sync = state_sync_module.StateSync(
            state=self.state,
            peers=self.seeds,
            repository=object_repository.ObjectRepository(store=self.store),
            codec=CODEC,
        )

    def _put_assignment(self, version: int) -> None:
        stored_assignment = assignment.Assignment(version=version)
        spec = object_repository.assignment_model.to_spec(stored_assignment)
        self.store.put(object_repository.ASSIGNMENTS, spec)

    def test_assignment_is_read_beside_a_malformed_plan(self):
        self.store.put(object_repository.PLANS, {"foreign": True})
        self._put_assignment(7)
        with self.assertRaises(errors.StoreObjectError) as caught:
            self.sync.read_store()
        self.assertIn("the last good one stays", caught.exception.remedy)
        self.assertEqual(self.state.assignment.version, 7)
        self.assertIs(self.state.plan, plan.EMPTY)

    def test_older_or_missing_assignment_is_no_proof(self):
        self.state.update_assignment(assignment.Assignment(version=9))
        with self.assertRaises(errors.StoreObjectError):
            self.sync.read_assignment()
        self._put_assignment(8)
        with self.assertRaises(errors.StoreObjectError):
            self.sync.read_assignment()
        self.assertEqual(self.state.assignment.version, 9)

    def test_malformed_object_and_its_repair_are_logged_once(self):
        self.store.put(object_repository.PLANS, {"foreign": True})
        with self.assertLogs(object_repository.__name__) as logs:
            for _ in range(3):
                with self.assertRaises(errors.StoreObjectError):
                    self.sync.read_store()
            self.store.objects.clear()
            self.sync.read_store()
        levels = [record.levelname for record in logs.records]
        self.assertEqual(levels, ["ERROR", "INFO"])

    def _start_from(self, **versions: int | None) -> bool:
        self.seeds.versions = versions
        return self.sync.start_from_seeds(tuple(versions))

    def test_newest_state_of_a_majority_of_seeds_is_adopted(self):
        self.assertTrue(self._start_from(a=5, b=8, c=None))
        self.assertEqual(self.state.assignment.version, 8)

    def test_state_of_a_minority_of_seeds_is_not_adopted(self):
        for versions in ({"b": None}, {"b": 0}):
            with self.subTest(versions=versions):
                self.assertFalse(self._start_from(a=5, c=None, **versions))
                self.assertEqual(self.state.assignment.version, 0)

    def test_stale_peer_is_not_adopted_before_the_seeds(self):
        self._start_from(a=None, b=8, c=None)
        self.seeds.versions["stale"] = 3
        self.sync.fetch_once("stale")
        self.assertEqual(self.state.assignment.version, 0)
        self._start_from(a=7, b=8, c=None)
        self.sync.fetch_once("stale")
        self.assertEqual(self.state.assignment.version, 8)


class CallBudgetTest(unittest.TestCase):
    """Store calls on a manual clock."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.budget = call_budget.CallBudget(clock=self.clock)

    def test_rate_is_bounded(self):
        started_ns = self.clock.now_ns()
        call_count = int(call_budget.BURST + 10 * call_budget.RATE_PER_S)
        for _ in range(call_count):
            self.budget.acquire("read plans")
        took_s = (self.clock.now_ns() - started_ns) / 1e9
        self.assertGreater(took_s, 8)
        self.assertEqual(self.budget.counts["read plans"], call_count)

    def test_failures_delay_calls_until_one_succeeds(self):
        for _ in range(20):
            self.budget.record_failure()
        started_ns = self.clock.now_ns()
        self.budget.acquire("read plans")
        waited_ms = (self.clock.now_ns() - started_ns) / 1e6
        self.assertGreater(waited_ms, 0)
        self.assertLessEqual(waited_ms, call_budget.MAX_BACKOFF_MS)
        self.budget.record_success()
        self.budget.acquire("read plans")
        after_ms = (self.clock.now_ns() - started_ns) / 1e6
        self.assertLess(after_ms - waited_ms, call_budget.MIN_BACKOFF_MS)
