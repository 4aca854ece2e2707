"""Only a few daemons read the plan from the store and pass it on."""

import unittest

import gevent
from gevent import event as gevent_event

from primrosecross.domain import errors
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.membership import plan_watch
from primrosecross.ports import fleet_repository
from tests import fleet_fakes


class _CountingPlans(fleet_fakes.NoPlans):
    """A source without a plan that counts its reads."""

    def __init__(self) -> None:
        self.reads = 0

    def read_plan(self) -> None:
        self.reads += 1


class WatchersTest(unittest.TestCase):
    """Daemons of a fleet whose store holds no plan."""

    def _reads(self, vm: str, *, coordinator_silent: bool = False) -> int:
        state = fleet_state.FleetState()
        state.update_entries(
            tuple(
                fleet_messages.VmEntry(
                    name, "z", f"{name}:1", "desk", 1, "ready", False
                )
                for name in "abcdef"
            ),
            replace_all=True,
        )
        plans = _CountingPlans()
        watch = plan_watch.PlanWatch(
            vm=vm,
            state=state,
            plans=plans,
            clock=fleet_fakes.GeventClock(),
            is_coordinator=lambda: False,
            has_no_source=lambda: coordinator_silent,
            on_change=lambda: None,
        )
        task = gevent.spawn(watch.run)
        gevent.sleep(0.05)
        task.kill()
        return plans.reads

    def test_only_watchers_and_daemons_without_coordinator_read(self):
        self.assertGreater(self._reads("a"), 1)
        self.assertGreater(self._reads("f", coordinator_silent=True), 1)
        self.assertEqual(self._reads("f"), 0)


class _MalformedPlans(fleet_fakes.NoPlans):
    """A source whose plan became malformed; reports that change once."""

    def __init__(self) -> None:
        self.reads = 0
        self.waits = 0
        self.change_event = gevent_event.Event()

    def read_plan(self) -> fleet_repository.PlanDocument:
        self.reads += 1
        if self.reads == 1:
            return fleet_fakes.plan_document(revision=3)
        raise errors.StoreObjectError("malformed", remedy="restore it")

    def wait_for_plan(self, revision: int, timeout_ms: int) -> bool:
        self.waits += 1
        if self.waits > 1:
            self.change_event.wait()
        return True


class MalformedPlanTest(unittest.TestCase):
    """A watcher whose plan is replaced by a malformed one."""

    # The watcher reads the malformed plan four times a second for ever.
    def test_last_plan_stays_and_the_watch_goes_on_without_polling(self):
        state = fleet_state.FleetState()
        plans = _MalformedPlans()
        watch = plan_watch.PlanWatch(
            vm="a",
            state=state,
            plans=plans,
            clock=fleet_fakes.GeventClock(),
            is_coordinator=lambda: True,
            has_no_source=lambda: False,
            on_change=lambda: None,
        )
        with self.assertLogs(plan_watch.__name__, "WARNING") as logs:
            task = gevent.spawn(watch.run)
            gevent.sleep(0.05)
            self.assertEqual((plans.reads, plans.waits), (2, 2))
            plans.change_event.set()
            gevent.sleep(0.05)
            task.kill()
        self.assertGreater(plans.reads, 2)
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(state.plan.revision, 3)
