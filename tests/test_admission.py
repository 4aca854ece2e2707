"""Tests of limits, queues, and the share of long work."""

import collections
import dataclasses
import random
import time
import unittest

import gevent

from primrosecross.adapters import boot_clock
from primrosecross.domain.membership import lease
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment
from primrosecross.domain.requests import admission
from primrosecross.domain.requests import admission_queue
from primrosecross.domain.requests import limit
from primrosecross.domain.requests import long_work
from primrosecross.domain.requests import member_balancer
from primrosecross.domain.requests import outcome
from tests import fakes
from tests import request_fakes

ANSWERED = outcome.Answered(200, (), b"")
REFUSED = outcome.NotRun(outcome.Reason.TARGET_REFUSED, "")
CRASHED = outcome.Unknown(outcome.Reason.TARGET_CRASHED, "")
WAITING = plan.WaitingPolicy(max_wait_ms=50)
CREST = plan.CrestPolicy(max_queue=4)


class LimitTest(unittest.TestCase):
    """The limit adapts to latencies and refusals."""

    def setUp(self) -> None:
        self.limit = limit.AdaptiveLimit(slots=16)

    def _answer(self, times: int, duration_ms: float) -> None:
        for _ in range(times):
            self.limit.record_answer(duration_ms, in_flight=self.limit.value)

    def test_limit_of_a_new_target_grows_to_its_slots(self):
        self.assertEqual(self.limit.value, 4)
        self._answer(12, 5)
        self.assertLess(self.limit.value, 12)
        self._answer(20, 5)
        self.assertEqual(self.limit.value, 16)

    def test_slow_answers_lower_the_limit_and_fast_ones_restore_it(self):
        self._answer(100, 5)
        self._answer(100, 50)
        self.assertLess(self.limit.value, 13)
        self._answer(400, 5)
        self.assertEqual(self.limit.value, 16)

    def test_refusals_lower_the_limit_below_the_announced_slots(self):
        self._answer(100, 5)
        for _ in range(10):
            self.limit.record_refusal()
        self.assertLess(self.limit.value, 7)


class QueueTest(unittest.TestCase):
    """Order and length limit of the queue of each policy."""

    def _fill(
        self, queue: admission_queue.Queue, count: int
    ) -> list[admission_queue.Waiter]:
        waiters = [admission_queue.Waiter(n) for n in range(1, count + 1)]
        for waiter in waiters:
            queue.enqueue(waiter, expected_wait_ms=0)
        return waiters

    def test_waiting_policy_is_fifo_and_refuses_long_waits_at_once(self):
        queue = admission_queue.queue_for(WAITING)
        waiters = self._fill(queue, 3)
        late_waiter = admission_queue.Waiter(4)
        self.assertFalse(queue.enqueue(late_waiter, expected_wait_ms=60))
        self.assertIs(queue.dequeue(10**9), waiters[0])

    def test_crest_policy_switches_to_lifo_and_refuses_the_oldest(self):
        queue = admission_queue.queue_for(CREST)
        waiters = self._fill(queue, 5)
        self.assertTrue(waiters[0].decided.is_set())
        self.assertIsNone(waiters[0].permit)
        self.assertIs(queue.dequeue(10), waiters[1])
        overloaded_ns = 10**9
        self.assertIs(queue.dequeue(overloaded_ns), waiters[4])


class GateTest(unittest.TestCase):
    """Admission gate of a target."""

    def setUp(self) -> None:
        self.clock = boot_clock.BootClock()

    def _gate(self, slots: int = 4, **fields: object) -> admission.Gate:
        declared = request_fakes.service(**fields)
        gate = admission.Gate(service=declared, slots=slots, clock=self.clock)
        while gate.limit.value < slots:
            gate.limit.record_answer(0.01, in_flight=slots)
        return gate

    def _enter(self, gate: admission.Gate, *, long: bool = False):
        deadline_ns = self.clock.now_ns() + 2000 * lease.NS_PER_MS
        return gate.acquire(long=long, deadline_ns=deadline_ns)

    def test_refusal_comes_within_the_maximum_wait_of_the_policy(self):
        for policy in (WAITING, CREST):
            gate = self._gate(policy=policy)
            for _ in range(4):
                self._enter(gate)
            started_s = time.monotonic()
            refusal = self._enter(gate)
            took_ms = (time.monotonic() - started_s) * 1000
            self.assertEqual(refusal.reason, outcome.Reason.OVERLOADED)
            self.assertGreater(refusal.retry_after_ms, 0)
            self.assertLess(took_ms, 2 * policy.max_wait_ms)

    def test_a_freed_slot_goes_to_a_queued_request(self):
        gate = self._gate(slots=1)
        permit = self._enter(gate)
        task = gevent.spawn(self._enter, gate)
        gevent.sleep(0)
        gate.release(permit, ANSWERED)
        task.join()
        self.assertIsInstance(task.value, admission_queue.Permit)
        self.assertEqual(gate.utilization, 1)

    def test_a_cancelled_wait_leaks_no_slot(self):
        gate = self._gate(slots=1)
        permit = self._enter(gate)
        task = gevent.spawn(self._enter, gate)
        gevent.sleep(0)
        task.kill(block=False)
        gate.release(permit, ANSWERED)
        self.assertEqual(gate.utilization, 1)
        task.join()
        self.assertEqual(gate.utilization, 0)

    def test_long_work_holds_at_most_its_share(self):
        gate = self._gate(slots=4)
        tasks = [gevent.spawn(self._enter, gate, long=True) for _ in range(4)]
        gevent.sleep(0.02)
        admitted_tasks = [t for t in tasks if t.ready()]
        self.assertEqual(len(admitted_tasks), 2)
        self.assertIsInstance(self._enter(gate), admission_queue.Permit)
        gevent.killall(tasks)

    def test_requests_that_turned_out_long_count_as_long_work(self):
        long = plan.LongWork(after_ms=1)
        gate = self._gate(slots=4, long_work=long)
        for _ in range(2):
            self._enter(gate)
        gevent.sleep(0.005)
        task = gevent.spawn(self._enter, gate, long=True)
        gevent.sleep(0.005)
        self.assertFalse(task.ready())
        task.kill()

    def test_request_that_would_miss_its_deadline_is_refused_at_once(self):
        gate = self._gate(slots=1)
        gate.limit.median_ms = 1000
        self._enter(gate)
        deadline_ns = self.clock.now_ns() + 1040 * lease.NS_PER_MS
        started_s = time.monotonic()
        refusal = gate.acquire(long=False, deadline_ns=deadline_ns)
        self.assertLess(time.monotonic() - started_s, 0.03)
        self.assertEqual(refusal.reason, outcome.Reason.OVERLOADED)

    def test_changed_policy_keeps_queued_requests(self):
        gate = self._gate(slots=1)
        permit = self._enter(gate)
        task = gevent.spawn(self._enter, gate)
        gevent.sleep(0)
        changed = dataclasses.replace(request_fakes.service(), policy=CREST)
        gate.update(changed, 1)
        gate.release(permit, ANSWERED)
        task.join()
        self.assertIsInstance(task.value, admission_queue.Permit)


class BackoffTest(unittest.TestCase):
    """A target that fails is left out for a backoff, then probed."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.gate = admission.Gate(
            service=request_fakes.service(), slots=8, clock=self.clock
        )

    def _try(self, result: outcome.Outcome):
        permit = self.gate.acquire(long=False, deadline_ns=10**15)
        if isinstance(permit, admission_queue.Permit):
            self.gate.release(permit, result)
        return permit

    def _admitted(self, total: int, result: outcome.Outcome) -> int:
        admitted = 0
        for _ in range(total):
            self.clock.advance(10)
            admitted += isinstance(self._try(result), admission_queue.Permit)
        return admitted

    def test_crashed_target_gets_one_request_at_a_time(self):
        self.assertIsInstance(self._try(CRASHED), admission_queue.Permit)
        self.assertEqual(self._try(ANSWERED).reason, outcome.Reason.NO_TARGET)
        self.assertLessEqual(self._admitted(1000, CRASHED), 8)
        self.clock.advance(admission.MAX_BACKOFF_MS)
        self._try(ANSWERED)
        self.assertEqual(self._admitted(100, ANSWERED), 100)

    def test_draining_target_is_left_out_after_a_few_refusals(self):
        self.assertLessEqual(self._admitted(1000, REFUSED), 12)


class LongWorkTest(unittest.TestCase):
    """Classification of long work."""

    def setUp(self) -> None:
        self.tracker = long_work.LongWorkTracker()
        self.cluster = request_fakes.Cluster(
            "a",
            declared=request_fakes.service(
                long_work=plan.LongWork(
                    paths=("^/bundle/",), body_bytes=10, after_ms=100
                )
            ),
        )

    def _is_long(self, **fields: object) -> bool:
        req = self.cluster.request(**fields)
        return self.tracker.is_long(self.cluster.declared, req)

    def test_declared_or_large_work_is_long(self):
        self.assertFalse(self._is_long())
        self.assertTrue(self._is_long(path="/bundle/7"))
        self.assertTrue(self._is_long(body=b"12345678901"))

    def test_a_long_route_is_learned_and_unlearned(self):
        req = self.cluster.request(path="/report/1")
        for duration_ms, expected in ((500, True), (5, False)):
            for _ in range(20):
                self.tracker.record(self.cluster.declared, req, duration_ms)
            self.assertEqual(self._is_long(path="/report/2"), expected)
        self.assertFalse(self._is_long(path="/status"))


class ChoiceTest(unittest.TestCase):
    """Load balancing over members of a service without keys."""

    def setUp(self) -> None:
        random.seed(5)
        self.clock = fakes.ManualClock()
        self.current_assignment = request_fakes.Cluster(
            *"abcd", declared=request_fakes.service(keyed=False)
        ).assignment
        self.balancer = member_balancer.MemberBalancer(
            service="rezervace", clock=self.clock
        )

    def _send(
        self, count: int, results: dict[str, outcome.Outcome] | None = None
    ) -> collections.Counter[str]:
        sent: collections.Counter[str] = collections.Counter()
        for _ in range(count):
            self.clock.advance(1)
            vm = self.balancer.choose(self.current_assignment)
            sent[vm] += 1
            self.balancer.record_start(vm)
            result = (results or {}).get(vm, ANSWERED)
            self.balancer.record_end(vm, result, 5)
        return sent

    def test_failing_member_is_left_out_and_probed(self):
        unreachable = outcome.NotRun(outcome.Reason.OWNER_UNREACHABLE, "")
        sent = self._send(2000, {"a": unreachable})
        self.assertLessEqual(sent["a"], 6)
        self.clock.advance(member_balancer.MAX_BACKOFF_MS)
        self.assertGreater(self._send(400)["a"], 50)

    def test_leaving_member_is_not_chosen(self):
        leaving = self.current_assignment.copy()
        leaving.members["b"] = dataclasses.replace(
            leaving.members["b"], state=assignment.MemberState.LEAVING
        )
        self.current_assignment = leaving
        self.assertEqual(self._send(100)["b"], 0)

    def test_slow_member_with_requests_in_flight_gets_fewer(self):
        self._send(100)
        for _ in range(8):
            self.balancer.record_start("c")
        self.assertLess(self._send(400)["c"], 20)

    def test_tried_members_are_chosen_last(self):
        for _ in range(50):
            avoid = frozenset("abd")
            chosen = self.balancer.choose(self.current_assignment, avoid=avoid)
            self.assertEqual(chosen, "c")
