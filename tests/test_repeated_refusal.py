"""Responses to earlier requests prove nothing about a later one."""

import contextlib
import re
import unittest
from collections.abc import Callable

import gevent
from gevent import server as gevent_server

from primrosecross.adapters import boot_clock
from primrosecross.domain import errors
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import replies
from primrosecross.domain.requests import request
from primrosecross.platform import store
from primrosecross.platform import targets as platform_targets
from primrosecross.ports import target as target_port

FENCE = target_port.Fence(1, 1)
ANNOUNCED_SLOTS = 4
PAUSE = b"[pause]"  # in a response, stands for a pause of PAUSE_S
PAUSE_S = 0.01
NO_BODY = b"Content-Length: 0\r\n"

# Returns the bytes sent for a request, from the request's ID, the number of
# its connection, and its number on this connection; both count from 1. Without
# any, the target closes the connection.
Respond = Callable[[bytes, int, int], bytes]


class RepeatingTarget:
    """Target whose responses come from a function.

    Args:
        respond: Returns the bytes sent for a request.
    """

    def __init__(self, respond: Respond) -> None:
        self._respond = respond
        self.connections = 0
        self.server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self) -> str:
        """Address of the target, "ip:port"."""
        return f"127.0.0.1:{self.server.server_port}"

    def _serve(self, sock, _) -> None:
        self.connections += 1
        connection = self.connections
        number = 0
        data = b""
        while piece := sock.recv(65536):
            data += piece
            if b"\r\n\r\n" not in data:
                continue
            number += 1
            request_id = re.search(rb"Request-Id: (\S*)", data)[1]
            data = b""
            response = self._respond(request_id, connection, number)
            if not response:
                return
            for part in response.split(PAUSE):
                sock.sendall(part)
                gevent.sleep(PAUSE_S)


def platform_refusal(request_id: bytes = b"", status: int = 503) -> bytes:
    """Returns a refusal, without an ID if there is none."""
    echo = b"Request-Id: %s\r\n" % request_id if request_id else b""
    head = b"HTTP/1.1 %d R\r\nNot-Executed: 1\r\n" % status
    return head + echo + NO_BODY + b"\r\n"


def platform_answer(request_id: bytes = b"", body: bytes = b"") -> bytes:
    """Returns an answer, without an ID if there is none."""
    echo = b"Request-Id: %s\r\n" % request_id if request_id else b""
    head = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: %d\r\n"
    body = body or request_id
    return head % len(body) + echo + b"\r\n" + body


class RepeatTest(unittest.TestCase):
    """Base of tests with one target."""

    def start(
        self, respond: Respond, *, connections: int = ANNOUNCED_SLOTS
    ) -> None:
        self.target = RepeatingTarget(respond)
        self.addCleanup(self.target.server.close)
        self.clock = boot_clock.BootClock()
        self.targets = self.make_targets()
        self.announcement = target_port.Announcement(
            "s",
            self.target.address,
            ANNOUNCED_SLOTS,
            True,
            connections=connections,
        )
        self.addCleanup(self.targets.close_connections, self.announcement)

    def make_targets(self) -> target_port.Targets:
        return platform_targets.PlatformTargets(clock=self.clock)

    def run_request(
        self, request_id: str, *, timeout_ms: int = 2000, idempotent=False
    ) -> outcome.Outcome:
        req = request.Request(
            request_id=request_id,
            service="s",
            key="",
            method="POST",
            path="/x",
            headers=(("Request-Id", request_id),),
            body=b"",
            idempotent=idempotent,
            deadline_ns=self.clock.now_ns() + timeout_ms * 1_000_000,
        )
        return self.targets.run(self.announcement, req, FENCE)

    def assert_answered(self, result: outcome.Outcome, body: bytes) -> None:
        self.assertIsInstance(result, outcome.Answered, result)
        self.assertEqual(result.body, body)


class PlatformTargetTest(RepeatTest):
    """A target on the platform that writes an earlier response once more."""

    # Requests that ran were refused as "not run" (REFUSED, TWICE).
    def test_refusal_without_id_on_a_kept_connection_is_skipped(self):
        for status in (503, 421, 429, 408, 400):
            self.start(
                lambda request_id, connection, number, status=status: (
                    platform_refusal(request_id, status)
                    if number == 1
                    else platform_refusal(b"", status)
                    + PAUSE
                    + platform_answer(request_id)
                )
            )
            with self.subTest(status):
                self.assertIsInstance(self.run_request("r1"), outcome.NotRun)
                self.assert_answered(self.run_request("r2"), b"r2")
                self.assertEqual(self.target.connections, 1)

    # The same, with the ID of the earlier request.
    def test_refusal_of_an_earlier_request_is_skipped(self):
        self.start(
            lambda request_id, connection, number: (
                platform_refusal(request_id)
                if number == 1
                else platform_refusal(b"r1") + platform_answer(request_id)
            )
        )
        self.assertIsInstance(self.run_request("r1"), outcome.NotRun)
        self.assert_answered(self.run_request("r2"), b"r2")

    # The same, written before the next request was sent.
    def test_refusal_repeated_while_idle_closes_the_connection(self):
        self.start(
            lambda request_id, connection, number: (
                platform_refusal(request_id) * 2
                if request_id == b"r1"
                else platform_answer(request_id)
            )
        )
        self.assertIsInstance(self.run_request("r1"), outcome.NotRun)
        gevent.sleep(0.02)
        self.assert_answered(self.run_request("r2"), b"r2")
        self.assertEqual(self.target.connections, 2)

    # A request that was refused and sent again was told the first refusal.
    def test_refused_request_is_sent_again_on_another_connection(self):
        self.start(
            lambda request_id, connection, number: (
                platform_refusal(request_id)
                if connection == 1
                else platform_answer(request_id)
            )
        )
        self.assertIsInstance(self.run_request("r1"), outcome.NotRun)
        self.assert_answered(self.run_request("r1"), b"r1")
        self.assertEqual(self.target.connections, 2)

    # A skipped refusal did not end as "not run" when no answer followed.
    def test_refusal_without_id_and_no_answer_is_unknown(self):
        self.start(
            lambda request_id, connection, number: (
                platform_answer(request_id)
                if number == 1
                else platform_refusal()
            )
        )
        self.run_request("r1")
        result = self.run_request("r2", timeout_ms=200)
        self.assertIsInstance(result, outcome.Unknown)

    # An earlier answer was delivered as that to the next request.
    def test_answer_without_id_on_a_kept_connection_is_skipped(self):
        self.start(
            lambda request_id, connection, number: (
                platform_answer(request_id)
                if number == 1
                else platform_answer(b"", b"earlier")
                + platform_answer(request_id)
            )
        )
        self.assert_answered(self.run_request("r1"), b"r1")
        self.assert_answered(self.run_request("r2"), b"r2")

    # A response with the IDs of both requests belongs to neither.
    def test_response_with_two_ids_is_skipped(self):
        both = platform_refusal(b"r2").replace(
            NO_BODY, b"Request-Id: r1\r\n" + NO_BODY
        )
        self.start(
            lambda request_id, connection, number: (
                platform_answer(request_id)
                if number == 1
                else both + platform_answer(request_id)
            )
        )
        self.assert_answered(self.run_request("r1"), b"r1")
        self.assert_answered(self.run_request("r2"), b"r2")

    # A target that echoes no ID is served, on a new connection each time.
    def test_target_without_ids_gets_new_connections(self):
        self.start(
            lambda request_id, connection, number: (
                platform_refusal()
                if request_id == b"r2"
                else platform_answer(b"", request_id)
            )
        )
        self.assert_answered(self.run_request("r1"), b"r1")
        self.assertIsInstance(self.run_request("r2"), outcome.NotRun)
        self.assert_answered(self.run_request("r3"), b"r3")
        self.assertEqual(self.target.connections, 3)


class StoreTest(unittest.TestCase):
    """A store's response to an earlier call, on a kept connection."""

    def serve(self, sock, _) -> None:
        # Each response but the first follows one more of that before it.
        earlier = b""
        while data := sock.recv(65536):
            name = re.search(rb"(one|two)", data)[1]
            content = (
                b'{"Metadata":{"Name":"%s","Revision":3},"Spec":{}}' % name
            )
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
            response = head % len(content) + content
            with contextlib.suppress(BrokenPipeError):
                sock.sendall(earlier)
                gevent.sleep(PAUSE_S)
                sock.sendall(response)
            earlier = response

    # One object's content was returned as that of another, or as the result of
    # a write.
    def test_response_about_another_object_is_no_result(self):
        server = gevent_server.StreamServer(("127.0.0.1", 0), self.serve)
        server.start()
        self.addCleanup(server.close)
        for call, error in (
            (lambda s: s.read("k", "two"), errors.StoreUnavailableError),
            (lambda s: s.create("k", "two", {}), errors.StoreResponseLostError),
            (
                lambda s: s.update("k", "two", {}, "2"),
                errors.StoreResponseLostError,
            ),
        ):
            platform_store = store.PlatformStore(
                address=f"127.0.0.1:{server.server_port}",
                clock=boot_clock.BootClock(),
            )
            self.assertEqual(platform_store.read("k", "one").name, "one")
            with self.assertRaises(error):
                call(platform_store)
            gevent.sleep(2 * PAUSE_S)
            self.assertEqual(platform_store.read("k", "two").name, "two")


class PeerReplyTest(unittest.TestCase):
    """A reply between daemons that carries the outcome of another request."""

    # A daemon passed on the outcome of another request.
    def test_outcome_of_another_request_is_unknown(self):
        for result in (
            outcome.NotRun(outcome.Reason.TARGET_REFUSED, "", 0),
            outcome.Answered(200, (), b"earlier"),
            outcome.Unknown(outcome.Reason.DEADLINE, ""),
        ):
            reply = replies.reply_of(result, "r1")
            self.assertEqual(replies.outcome_of(reply, "r1"), result)
            other = replies.outcome_of(reply, "r2")
            self.assertIsInstance(other, outcome.Unknown)
            self.assertIs(other.reason, outcome.Reason.ANSWER_LOST)


if __name__ == "__main__":
    unittest.main()
