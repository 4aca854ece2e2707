"""Tests of the slot queue of a target under load."""

import unittest

import gevent

from primrosecross.domain.requests import caller_wait
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import run_times
from primrosecross.domain.requests import slot_queue
from tests import fakes
from tests import fleet_fakes


class SlotQueueTest(unittest.TestCase):
    """Admission, order and refusal of requests."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.times = run_times.RunTimes()
        for _ in range(50):
            self.times.record(fleet_fakes.make_request(), 100.0)
        self.queue = slot_queue.SlotQueue(clock=self.clock, times=self.times)
        self.queue.set_slots(2)

    def _enter(self, **changed: object) -> gevent.Greenlet:
        req = fleet_fakes.make_request(**changed)
        task = gevent.spawn(self.queue.acquire, req)
        gevent.sleep(0)
        return task

    def test_free_slots_are_given_at_once(self):
        self.assertIsInstance(self._enter().get(), slot_queue.Slot)
        self.assertIsInstance(self._enter().get(), slot_queue.Slot)
        self.assertEqual(self.queue.running, 2)

    def test_a_request_that_would_be_late_is_refused_at_once(self):
        """Overload (burst): far more requests than slots."""
        tasks = [self._enter() for _ in range(40)]
        refused = [t for t in tasks if isinstance(t.value, outcome.NotRun)]
        self.assertGreater(len(refused), 30)
        self.assertGreater(refused[0].value.retry_after_ms, 0)
        gevent.killall(tasks)

    def test_a_request_overtaken_for_too_long_is_refused_at_once(self):
        """Overload by urgent requests (burst): others cannot start in time."""
        held = [self._enter() for _ in range(2)]
        retry = self._enter(priority=2, waited_ms=300)
        self.assertFalse(retry.ready())
        urgent_tasks = [
            self._enter(priority=0, objective_ms=900) for _ in range(6)
        ]
        gevent.sleep(0)
        self.assertIsInstance(retry.value, outcome.NotRun)
        gevent.killall([*held, *urgent_tasks])

    def test_the_retry_delay_is_short_only_while_the_queue_is_full_briefly(
        self,
    ):
        """Lasting overload (burst, wave) against a queue that is full once."""
        first = [self._enter() for _ in range(12)]
        early_refusals = [
            t.value for t in first if isinstance(t.value, outcome.NotRun)
        ]
        for _ in range(40):
            last_refusal = self._enter().get(timeout=0)
        self.assertLess(early_refusals[0].retry_after_ms, 700)
        remaining_ms = fleet_fakes.make_request().deadline_ns / 1e6
        remaining_ms -= self.clock.now_ns() / 1e6
        self.assertGreater(last_refusal.retry_after_ms, remaining_ms / 3 * 0.79)
        self.assertLessEqual(last_refusal.retry_after_ms, remaining_ms / 3)
        gevent.killall(first)

    def test_an_urgent_short_request_waits_for_the_first_free_slot(self):
        """Nested calls beside a burst of longer, less urgent requests.

        They have a few tens of ms; refused, they cost the run that needs them.
        """
        self.queue.set_slots(9)
        for _ in range(50):
            self.times.record(fleet_fakes.make_request(path="/call/x"), 15.0)
        held = []
        for _ in range(9):
            held.append(self._enter(priority=2))
            self.clock.advance(10)
        call = self._enter(path="/call/x", priority=1, objective_ms=60)
        self.assertFalse(call.ready(), call.value)
        self.queue.release(held[0].get())
        gevent.sleep(0)
        self.assertIsInstance(call.value, slot_queue.Slot)

    def test_urgent_requests_run_first(self):
        held = [self._enter() for _ in range(2)]
        later = self._enter(priority=2)
        urgent = self._enter(priority=1)
        self.queue.release(held[0].get())
        gevent.sleep(0)
        self.assertTrue(urgent.ready())
        self.assertFalse(later.ready())
        gevent.killall([later])

    def test_late_retries_rank_behind_requests_still_in_time(self):
        """Overload with callers that retry (burst, retry_abuse)."""
        held = [self._enter() for _ in range(2)]
        retry = self._enter(waited_ms=300)
        first_attempt = self._enter()
        self.queue.release(held[0].get())
        gevent.sleep(0)
        self.assertTrue(first_attempt.ready())
        self.assertFalse(retry.ready())
        gevent.killall([retry])

    def test_a_call_with_little_time_left_does_not_rank_as_late(self):
        held = [self._enter() for _ in range(2)]
        first = self._enter()
        short_ns = self.clock.now_ns() + 400_000_000
        call = self._enter(priority=0, waited_ms=300, deadline_ns=short_ns)
        self.queue.release(held[0].get())
        gevent.sleep(0)
        self.assertTrue(call.ready())
        gevent.killall([first])

    def test_deadlines_distinguish_first_attempts_from_retries(self):
        estimator = caller_wait.CallerWaitEstimator()
        self.assertEqual(estimator.waited_ms("r", 2000), 0)
        self.assertEqual(estimator.waited_ms("r", 1990), 0)
        self.assertEqual(estimator.waited_ms("r", 1400), 600)
        self.assertEqual(estimator.waited_ms("other", 1400), 0)

    def test_a_waiter_past_its_latest_start_is_not_run(self):
        held = [self._enter() for _ in range(2)]
        waiting = self._enter()
        self.clock.advance(1000)
        self.queue.release(held[0].get())
        self.assertIsInstance(waiting.get(), outcome.NotRun)

    def test_a_cancelled_waiter_leaves_the_queue(self):
        held = [self._enter() for _ in range(2)]
        waiting = self._enter()
        waiting.kill()
        self.assertEqual(self.queue.waiting, 0)
        self.queue.release(held[0].get())
        self.assertEqual(self.queue.running, 1)

    def test_a_slot_granted_to_a_cancelled_waiter_is_returned(self):
        def run() -> None:
            slot = self.queue.acquire(fleet_fakes.make_request())
            try:
                gevent.sleep(60)
            finally:
                self.queue.release(slot)

        held = [self._enter() for _ in range(2)]
        waiting = gevent.spawn(run)
        gevent.sleep(0)
        self.assertEqual(self.queue.waiting, 1)
        self.queue.release(held[0].get())
        waiting.kill()
        self.assertEqual((self.queue.running, self.queue.waiting), (1, 0))
