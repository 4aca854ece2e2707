"""Targets of the product's own daemon that repeat earlier responses."""

import unittest

import gevent

from primrosecross.adapters.http import target_http
from primrosecross.domain.requests import outcome
from primrosecross.ports import target as target_port
from tests import test_repeated_refusal

ECHO = "Primrosecross-Request-Id"


def product_refusal(request_id: bytes = b"") -> bytes:
    """Returns a refusal by a target of the product's own daemon."""
    return (
        test_repeated_refusal.platform_refusal(request_id)
        .replace(b"Not-Executed: 1", b"Primrosecross-Not-Run: true")
        .replace(b"Request-Id", ECHO.encode())
    )


def product_answer(request_id: bytes = b"", body: bytes = b"") -> bytes:
    """Returns an answer by a target of the product's own daemon."""
    return test_repeated_refusal.platform_answer(request_id, body).replace(
        b"Request-Id", ECHO.encode()
    )


class ProductTargetTest(test_repeated_refusal.RepeatTest):
    """A target of the product's own daemon that repeats a response."""

    def make_targets(self) -> target_port.Targets:
        return target_http.HttpTargets(clock=self.clock)

    # A refusal that follows an answer replaced it: the request was refused as
    # "not run" after it had run.
    def test_bytes_after_a_response_do_not_change_it(self):
        for excess in (
            product_refusal(b"r0"),
            product_refusal(),
            product_answer(b"", b"earlier"),
            b"garbage",
            b"HTTP/1.1 20",
        ):
            self.start(
                lambda request_id, connection, number, excess=excess: (
                    product_answer(request_id) + excess
                )
            )
            with self.subTest(excess):
                result = self.run_request("r1", timeout_ms=300)
                self.assert_answered(result, b"r1")
                self.assert_answered(self.run_request("r2"), b"r2")
                self.assertEqual(self.target.connections, 2)

    # An interim response put the connection back into the pool early.
    def test_interim_response_keeps_the_connection(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        self.start(
            lambda request_id, connection, number: (
                interim + product_answer(request_id)
            )
        )
        self.assert_answered(self.run_request("r1"), b"r1")
        self.assert_answered(self.run_request("r2"), b"r2")
        self.assertEqual(self.target.connections, 1)

    # Requests that ran were refused as "not run" (REFUSED, TWICE).
    def test_refusal_on_a_kept_connection_is_skipped(self):
        for refusal in (
            product_refusal(b"r1"),
            product_refusal(),
            product_refusal(b"r1") + test_repeated_refusal.PAUSE,
            product_refusal() + test_repeated_refusal.PAUSE,
        ):
            self.start(
                lambda request_id, connection, number, refusal=refusal: (
                    product_answer(request_id)
                    if number == 1
                    else refusal + product_answer(request_id)
                )
            )
            with self.subTest(refusal):
                self.assert_answered(self.run_request("r1"), b"r1")
                with self.assertLogs("primrosecross", "INFO") as logs:
                    self.assert_answered(self.run_request("r2"), b"r2")
                self.assertEqual(logs.records[0].request_id, "r2")
                self.assertEqual(self.target.connections, 1)

    # An earlier answer was delivered as that to the next request.
    def test_answer_on_a_kept_connection_is_skipped(self):
        for echo in (b"r1", b""):
            self.start(
                lambda request_id, connection, number, echo=echo: (
                    product_answer(request_id)
                    if number == 1
                    else product_answer(echo, b"earlier")
                    + product_answer(request_id)
                )
            )
            with self.subTest(echo):
                self.assert_answered(self.run_request("r1"), b"r1")
                self.assert_answered(self.run_request("r2"), b"r2")

    # A request that was refused and sent again was told the first refusal.
    def test_refused_request_is_sent_again_on_another_connection(self):
        self.start(
            lambda request_id, connection, number: (
                product_refusal(request_id)
                if connection == 1
                else product_answer(request_id)
            )
        )
        self.assertIsInstance(self.run_request("r1"), outcome.NotRun)
        self.assert_answered(self.run_request("r1"), b"r1")

    # A target that returns no IDs gave the same wrong refusals.
    def test_target_without_ids_gets_new_connections_if_not_idempotent(self):
        self.start(
            lambda request_id, connection, number: (
                product_refusal()
                if number > 1 or request_id == b"r2"
                else product_answer(b"", request_id)
            )
        )
        self.assert_answered(self.run_request("r1"), b"r1")
        self.assertIsInstance(self.run_request("r2"), outcome.NotRun)
        self.assert_answered(self.run_request("r3"), b"r3")
        result = self.run_request("r4", idempotent=True)
        self.assertIsInstance(result, outcome.Unknown)
        self.assertEqual(self.target.connections, 3)

    # A connection that another request opened meanwhile was taken for a new
    # one, on which a refusal without ID counts.
    def test_refusal_on_a_connection_opened_by_another_request_is_unknown(self):
        self.start(
            lambda request_id, connection, number: (
                product_answer(b"", request_id)
                if number == 1
                else product_refusal()
            ),
            connections=1,
        )
        tasks = [
            gevent.spawn(self.run_request, name, idempotent=True)
            for name in ("r1", "r2")
        ]
        gevent.joinall(tasks, timeout=5, raise_error=True)
        self.assertEqual(self.target.connections, 1)
        self.assertIsInstance(tasks[1].value, outcome.Unknown)

    # New connections beside idle ones exceeded the size of the pool and hung.
    def test_new_connections_replace_idle_ones(self):
        self.start(
            lambda request_id, connection, number: product_answer(
                b"", request_id
            )
        )
        for number in range(3 * test_repeated_refusal.ANNOUNCED_SLOTS):
            tasks = [
                gevent.spawn(
                    self.run_request, f"r{number}", idempotent=idempotent
                )
                for idempotent in (True, False, True, False)
            ]
            gevent.joinall(tasks, timeout=5, raise_error=True)
            for task in tasks:
                self.assert_answered(task.value, b"r%d" % number)

    # Callers got the header that is between the daemon and its target.
    def test_id_is_not_returned_to_the_caller(self):
        self.start(
            lambda request_id, connection, number: product_answer(request_id)
        )
        result = self.run_request("r1")
        self.assertNotIn(ECHO, dict(result.headers))

    # A kept connection may close after the request was read.
    def test_closed_kept_connection_is_unknown_if_not_idempotent(self):
        self.start(
            lambda request_id, connection, number: (
                product_answer(request_id) if number == 1 else b""
            )
        )
        self.assert_answered(self.run_request("r1"), b"r1")
        result = self.run_request("r2")
        self.assertIsInstance(result, outcome.Unknown)
        self.assertEqual(self.target.connections, 1)


if __name__ == "__main__":
    unittest.main()
