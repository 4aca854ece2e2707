"""Tests of at-most-once runs and outcomes, over fake peers and targets."""

import dataclasses
import random
import unittest

import gevent
from gevent import event

from primrosecross.domain import messages
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import outcome_cache
from primrosecross.domain.requests import replies
from primrosecross.domain.requests import request_identity
from primrosecross.domain.requests import request_messages
from primrosecross.domain.requests import retry
from tests import fakes
from tests import request_fakes


class AtMostOnceTest(unittest.TestCase):
    """Resends of one booking."""

    def setUp(self) -> None:
        self.cluster = request_fakes.Cluster(
            "a", "b", "c", declared=request_fakes.service()
        )
        self.a, self.b, self.c = self.cluster.vms.values()

    def test_resend_gets_the_same_answer(self):
        first = self.c.router.route(self.cluster.request())
        second = self.b.router.route(self.cluster.request(attempt=2))
        self.assertIsInstance(first, outcome.Answered)
        self.assertEqual(first, second)
        self.assertEqual(self.cluster.runs(), 1)

    def test_resend_waits_for_the_running_attempt(self):
        may_finish = event.Event()
        self.a.targets.action = lambda req: (
            may_finish.wait(),
            outcome.Answered(200, (), b"done"),
        )[1]
        tasks = [
            gevent.spawn(vm.router.route, self.cluster.request())
            for vm in (self.b, self.c, self.a)
        ]
        gevent.sleep(0)
        may_finish.set()
        gevent.joinall(tasks)
        self.assertEqual({t.value.body for t in tasks}, {b"done"})
        self.assertEqual(self.cluster.runs(), 1)

    def test_lost_reply_is_unknown_and_not_retried(self):
        self.cluster.peers.lose_replies.add("a")
        result = self.b.router.route(self.cluster.request())
        self.assertIsInstance(result, outcome.Unknown)
        self.assertEqual(self.cluster.runs(), 1)

    def test_lost_reply_of_an_idempotent_request_is_retried(self):
        self.cluster.peers.lose_replies.add("a")
        req = self.cluster.request(idempotent=True, method="GET")
        self.a.targets.action = lambda req: (
            self.cluster.peers.lose_replies.clear()
            if self.cluster.runs() == 2
            else None,
            outcome.Answered(200, (), b""),
        )[1]
        self.assertIsInstance(self.b.router.route(req), outcome.Answered)
        self.assertEqual(self.cluster.runs(), 2)

    def test_refusal_after_a_lost_reply_is_not_reported_as_not_run(self):
        self.cluster.peers.lose_next_reply = True
        refused = outcome.NotRun(outcome.Reason.OVERLOADED, "")
        self.cluster.peers.change_reply = lambda reply: replies.reply_of(
            refused, reply.request_id
        )
        req = self.cluster.request(idempotent=True, method="GET")
        self.assertIsInstance(self.b.router.route(req), outcome.Unknown)

    def test_same_key_for_another_request_is_refused(self):
        self.b.router.route(self.cluster.request())
        result = self.b.router.route(self.cluster.request(body=b"other"))
        self.assertEqual(result.reason, outcome.Reason.MISMATCH)
        self.assertEqual(self.cluster.runs(), 1)

    def test_outcome_not_run_is_not_cached(self):
        refused = outcome.NotRun(outcome.Reason.OVERLOADED, "")
        self.a.targets.action = lambda req: refused
        self.assertEqual(self.b.router.route(self.cluster.request()), refused)
        self.a.targets.action = lambda req: outcome.Answered(200, (), b"")
        result = self.b.router.route(self.cluster.request(attempt=2))
        self.assertIsInstance(result, outcome.Answered)

    def test_streamed_answer_holds_its_slot_and_is_not_replayed(self):
        stream = request_fakes.FakeStream()
        self.a.targets.action = lambda req: outcome.Answered(200, (), stream)
        self.a.executor.execute(self.cluster.request())
        self.assertEqual(self.a.executor.in_flight(), 1)
        again = self.a.executor.execute(self.cluster.request(attempt=2))
        self.assertEqual(again.reason, outcome.Reason.ANSWER_DROPPED)
        stream.close()
        self.assertEqual(self.a.executor.in_flight(), 0)

    def test_unknown_stays_unknown_for_resends(self):
        lost = outcome.Unknown(outcome.Reason.ANSWER_LOST, "")
        self.a.targets.action = lambda req: lost
        self.b.router.route(self.cluster.request())
        self.a.targets.action = lambda req: outcome.Answered(200, (), b"")
        result = self.c.router.route(self.cluster.request(attempt=2))
        self.assertEqual(result, lost)
        self.assertEqual(self.cluster.runs(), 1)


class OwnerChangeTest(unittest.TestCase):
    """Resends that reach another owner than the first attempt."""

    def setUp(self) -> None:
        self.cluster = request_fakes.Cluster(
            "a", "b", "c", declared=request_fakes.service()
        )
        self.a, self.b, self.c = self.cluster.vms.values()

    def test_resend_after_loss_of_the_owner_is_unknown(self):
        self.c.router.route(self.cluster.request())
        self.cluster.assign_owner("b", lost="a")
        for attempt in (0, 2):
            req = self.cluster.request(attempt=attempt)
            result = self.c.router.route(req)
            self.assertEqual(result.reason, outcome.Reason.EARLIER_ATTEMPT)
        self.assertEqual(self.cluster.runs(), 1)

    def test_entry_daemon_marks_resends_of_its_own_requests(self):
        self.cluster.peers.lose_replies.add("a")
        self.c.router.route(self.cluster.request(attempt=1))
        self.cluster.assign_owner("b", lost="a")
        result = self.c.router.route(self.cluster.request(attempt=1))
        self.assertEqual(result.reason, outcome.Reason.EARLIER_ATTEMPT)
        self.assertEqual(self.cluster.runs(), 1)

    def test_unreachable_owner_leaves_an_earlier_attempt_unknown(self):
        self.cluster.peers.lost.add("a")
        for attempt, kind in (
            (0, outcome.Unknown),
            (1, outcome.NotRun),
            (2, outcome.Unknown),
        ):
            req = self.cluster.request(
                request_id=f"r{attempt}",
                attempt=attempt,
                deadline_ns=self.cluster.clock.now_ns() + 10**7,
            )
            self.assertIsInstance(self.b.router.route(req), kind)

    def test_first_attempt_runs_at_once_after_a_loss(self):
        self.cluster.assign_owner("b", lost="a")
        result = self.c.router.route(self.cluster.request(attempt=1))
        self.assertIsInstance(result, outcome.Answered)

    def test_unmarked_request_runs_after_the_window(self):
        self.cluster.assign_owner("b", lost="a")
        self.cluster.clock.advance(self.cluster.declared.resend_window_ms + 1)
        result = self.c.router.route(self.cluster.request())
        self.assertIsInstance(result, outcome.Answered)

    def test_assignments_before_the_window_are_not_kept(self):
        history = self.c.executor._deduplicator._assignment_history
        for _ in range(5):
            self.cluster.assign_owner("b")
            self.cluster.assign_owner("a")
        self.assertGreaterEqual(len(history._replaced), 10)
        self.cluster.clock.advance(self.cluster.declared.resend_window_ms + 1)
        self.cluster.assign_owner("b")
        self.assertEqual(len(history._replaced), 1)
        self.cluster.clock.advance(self.cluster.declared.resend_window_ms + 1)
        history.prune()
        self.assertEqual(len(history._replaced), 0)

    def test_owner_that_moved_the_key_is_asked(self):
        first = self.c.router.route(self.cluster.request())
        self.cluster.assign_owner("b")
        self.cluster.assign_owner("c")
        second = self.c.router.route(self.cluster.request(attempt=2))
        self.assertEqual(first, second)
        fresh = self.cluster.request(request_id="new")
        self.assertIsInstance(self.b.router.route(fresh), outcome.Answered)
        self.assertEqual(self.cluster.runs(), 1)

    def test_owner_that_was_asked_does_not_run_the_request_later(self):
        self.cluster.assign_owner("b")
        self.b.router.route(self.cluster.request())
        self.cluster.peers.handlers["a"](
            request_messages.AskAnswer(
                request_id="late",
                service="rezervace",
                key="k",
                fingerprint=request_identity.fingerprint(
                    self.cluster.request()
                ),
                asked=("b",),
                timeout_ms=10,
            )
        )
        self.a.state.assignment = self.cluster.assignment.copy()
        self.a.state.assignment.tables["rezervace"].set_owner(0, "a", 2)
        result = self.a.executor.execute(
            self.cluster.request(request_id="late", attempt=1)
        )
        self.assertEqual(result.reason, outcome.Reason.NOT_OWNER)


class UnkeyedTest(unittest.TestCase):
    """Payments of a service without keys."""

    def test_resends_through_any_daemon_run_once(self):
        cluster = request_fakes.Cluster(
            "a", "b", "c", declared=request_fakes.service(keyed=False)
        )
        for number in range(20):
            req = cluster.request(request_id=str(number), key="")
            for vm in cluster.vms.values():
                vm.router.route(req)
            self.assertEqual(cluster.runs(str(number)), 1)


class RepliesTest(unittest.TestCase):
    """Replies that are late, duplicated or swapped."""

    def test_no_request_gets_the_answer_of_another(self):
        cluster = request_fakes.Cluster(
            "a", "b", declared=request_fakes.service()
        )
        entry = cluster.vms["b"].router
        rng = random.Random(7)
        past_replies = []

        def shuffle(reply: messages.Message) -> messages.Message:
            past_replies.append(reply)
            return rng.choice(past_replies[-3:])

        cluster.peers.change_reply = shuffle
        unknown_count = 0
        for number in range(300):
            req = cluster.request(request_id=f"r{number}")
            result = entry.route(req)
            if isinstance(result, outcome.Answered):
                self.assertEqual(result.body, req.request_id.encode())
            unknown_count += isinstance(result, outcome.Unknown)
            self.assertLessEqual(cluster.runs(req.request_id), 1)
        self.assertGreater(unknown_count, 100)

    def test_refusal_of_an_unread_request_names_it(self):
        forward = request_messages.Forward(
            request_id="r",
            service="s",
            key="k",
            method="GET",
            path="/",
            headers=(),
            body=b"",
            idempotent=True,
            identified=False,
            attempt=0,
            generation=0,
            timeout_ms=1,
        )
        refusal = messages.overload_reply(forward)
        self.assertEqual(
            replies.outcome_of(refusal, "r").reason,
            outcome.Reason.OVERLOADED,
        )


class AnswersTest(unittest.TestCase):
    """Limits of the outcome cache."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.answers = outcome_cache.OutcomeCache(
            clock=self.clock, max_entries=3, max_body_bytes=10
        )

    def _run(self, request_id: str, body: bytes = b"1234"):
        return self.answers.run_once(
            request_identity.RequestIdentity("s", "k", request_id),
            "f",
            window_ms=100,
            deadline_ns=0,
            run=lambda: outcome.Answered(200, (), body),
        )

    def test_oldest_body_is_evicted_but_not_its_identity(self):
        for request_id in "abc":
            self._run(request_id)
        self.assertEqual(self._run("a").reason, outcome.Reason.ANSWER_DROPPED)
        self.assertEqual(self._run("c").body, b"1234")

    def test_full_cache_refuses_until_the_window_passes(self):
        for request_id in "abc":
            self._run(request_id)
        self.assertEqual(self._run("d").reason, outcome.Reason.OVERLOADED)
        self.clock.advance(101)
        self.assertIsInstance(self._run("d"), outcome.Answered)
        self.assertEqual(len(self.answers), 1)

    def test_internal_error_is_cached_as_unknown(self):
        identity = request_identity.RequestIdentity("s", "k", "x")
        with self.assertRaises(ZeroDivisionError):
            self.answers.run_once(
                identity, "f", window_ms=100, deadline_ns=0, run=lambda: 1 // 0
            )
        self.assertIsInstance(self._run("x"), outcome.Unknown)


class RetryTest(unittest.TestCase):
    """Which requests are retried, and how often."""

    def test_budget_limits_retries_to_a_share(self):
        budget = retry.RetryBudget(share=0.1, reserve=10, tokens=0)
        granted = 0
        for _ in range(1000):
            budget.deposit()
            granted += budget.withdraw()
        self.assertLessEqual(granted, 101)
        self.assertGreaterEqual(granted, 95)

    def test_unsafe_outcomes_are_not_retried(self):
        cluster = request_fakes.Cluster("a", declared=request_fakes.service())
        booking = cluster.request()
        reading = dataclasses.replace(booking, idempotent=True)
        lost = outcome.Unknown(outcome.Reason.ANSWER_LOST, "")
        self.assertFalse(retry.is_retryable(lost, booking))
        self.assertTrue(retry.is_retryable(lost, reading))
        for reason in (outcome.Reason.OVERLOADED, outcome.Reason.QUARANTINED):
            refused = outcome.NotRun(reason, "")
            self.assertFalse(retry.is_retryable(refused, reading))
