"""Requests to targets over HTTP: outcomes, truncation, cancellation."""

import unittest
from collections.abc import Callable

import gevent
from gevent import server as gevent_server

from primrosecross.adapters import boot_clock
from primrosecross.adapters.http import target_http
from primrosecross.domain import errors
from primrosecross.domain.requests import body
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.ports import target as target_port
from standins import ports

FENCE = target_port.Fence(1, 1)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
OK_THEN_CLOSE = OK.replace(b"OK", b"Ok")
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ScriptedTarget:
    """Target whose responses come from a function of the request number.

    It closes the connection after a response other than OK, and leaves the
    request unanswered when the function returns None.
    """

    def __init__(self, port: int, respond: Callable) -> None:
        self.requests: list[bytes] = []
        self._respond = respond
        self.server = gevent_server.StreamServer(
            ("127.0.0.1", port), self._serve
        )
        self.server.start()

    def _serve(self, sock, _) -> None:
        data = b""
        while piece := sock.recv(65536):
            data += piece
            if b"\r\n\r\n" not in data:
                continue
            self.requests.append(data)
            data = b""
            response = self._respond(len(self.requests))
            if response is None:
                gevent.sleep(5)
                return
            sock.sendall(response)
            if response != OK:
                return


class TargetTest(unittest.TestCase):
    """Requests to one scripted target."""

    def start(self, respond: Callable, **fields: object) -> None:
        self.port = ports.choose_free(1)[0]
        self.target = ScriptedTarget(self.port, respond)
        self.addCleanup(self.target.server.close)
        self.clock = boot_clock.BootClock()
        self.targets = target_http.HttpTargets(clock=self.clock)
        self.announcement = target_port.Announcement(
            "s", f"127.0.0.1:{self.port}", 16, True, **fields
        )

    def run_request(
        self, *, method: str = "POST", idempotent=False, timeout_ms=2000
    ) -> outcome.Outcome:
        req = request.Request(
            request_id="id",
            service="s",
            key="k",
            method=method,
            path="/x",
            headers=(),
            body=b"",
            idempotent=idempotent,
            deadline_ns=self.clock.now_ns() + timeout_ms * 1_000_000,
        )
        return self.targets.run(self.announcement, req, FENCE)

    def assert_response_lost(self, result: outcome.Outcome) -> None:
        self.assertIsInstance(result, outcome.Unknown)
        self.assertIs(result.reason, outcome.Reason.ANSWER_LOST)

    def test_failed_connect_is_not_run(self):
        self.start(lambda number: OK)
        self.target.server.close()
        result = self.run_request()
        self.assertIsInstance(result, outcome.NotRun)

    def test_reused_connection_closed_is_unknown_if_not_idempotent(self):
        for method in ("POST", "DELETE", "PUT"):
            self.start(lambda number: OK if number == 1 else b"")
            self.run_request()
            self.assert_response_lost(self.run_request(method=method))
            self.assertEqual(len(self.target.requests), 2)
            self.target.server.close()

    def test_reused_connection_closed_is_retried_if_idempotent(self):
        self.start(lambda number: b"" if number == 2 else OK)
        self.run_request()
        result = self.run_request(method="GET", idempotent=True)
        self.assertEqual(result.body, b"ok")
        self.assertEqual(len(self.target.requests), 3)

    def test_connection_closed_while_idle_is_replaced(self):
        self.start(lambda number: OK_THEN_CLOSE)
        self.run_request()
        gevent.sleep(0.05)
        self.assertIsInstance(self.run_request(), outcome.Answered)

    def test_truncated_responses_are_unknown(self):
        truncated = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
            CHUNKED + b"4\r\npart",
            CHUNKED + b"4\r\npart\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nno length",
            b"HTTP/1.1 200",
            b"garbage\r\n\r\n",
        )
        for response in truncated:
            self.start(lambda number, response=response: response)
            with self.subTest(response=response):
                self.assert_response_lost(self.run_request())
            self.target.server.close()

    def test_truncated_long_response_raises_in_its_reader(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"
        self.start(lambda number: head + b"x" * 200_000)
        result = self.run_request()
        with self.assertRaises(errors.BodyError):
            list(body.pieces(result.body))

    def test_passed_deadline_sends_a_cancellation(self):
        self.start(
            lambda number: None if number == 1 else OK, cancel_path="/cancel"
        )
        self.assert_response_lost(self.run_request(timeout_ms=100))
        gevent.sleep(0.1)
        self.assertEqual(len(self.target.requests), 2)
        self.assertIn(b"POST /cancel", self.target.requests[1])
        self.assertIn(b"Request-Id: id", self.target.requests[1])

    def test_killed_task_sends_a_cancellation_and_releases_the_connection(self):
        self.start(
            lambda number: None if number == 1 else OK,
            cancel_path="/cancel",
            connections=1,
        )
        task = gevent.spawn(self.run_request)
        gevent.sleep(0.1)
        task.kill()
        self.assertIsInstance(self.run_request(), outcome.Answered)

    def test_wait_for_a_pooled_connection_ends_at_the_deadline(self):
        self.start(lambda number: None, connections=1)
        first = gevent.spawn(self.run_request)
        gevent.sleep(0.05)
        result = self.run_request(timeout_ms=100)
        self.assertIsInstance(result, outcome.NotRun)
        self.assertIs(result.reason, outcome.Reason.DEADLINE)
        first.kill()


if __name__ == "__main__":
    unittest.main()
