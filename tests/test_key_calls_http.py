"""Grants and releases as HTTP calls to a target that misbehaves."""

import json
import re
import unittest
from collections.abc import Callable

import gevent
from gevent import server as gevent_server

from primrosecross.adapters.http import key_calls_http
from primrosecross.platform import key_calls as platform_key_calls
from primrosecross.ports import key_calls
from standins import ports

GRANT = key_calls.GrantCall(0, 9, 3, 4000, "t0")
RELEASE = key_calls.ReleaseCall(0, 9, 3)
TIMEOUT_MS = 200


def answer(
    request_id: bytes,
    status: int = 200,
    headers: bytes = b"",
    body: bytes = b"",
) -> bytes:
    """Returns a response that names its request."""
    return (
        b"HTTP/1.1 %d S\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n"
        % (status, request_id, headers, len(body))
    ) + body


class KeyCallsTest(unittest.TestCase):
    """A target whose responses come from a function of path and ID."""

    def start(self, respond: Callable[[bytes, bytes], bytes]) -> None:
        self.requests: list[bytes] = []
        self._respond = respond
        self.server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.addCleanup(self.server.close)
        self.calls = key_calls_http.HttpKeyCalls(
            address=f"127.0.0.1:{self.server.server_port}",
            dialect=platform_key_calls.DIALECT,
        )

    def _serve(self, sock, _) -> None:
        data = b""
        while piece := sock.recv(65536):
            data += piece
            length = re.search(rb"Content-Length: (\d+)", data)
            head, _, body = data.partition(b"\r\n\r\n")
            if length is None or len(body) < int(length[1]):
                continue
            self.requests.append(data)
            data = b""
            request_id = re.search(rb"Request-Id: (\S+)", head)[1]
            path = head.split(b" ")[1]
            sock.sendall(self._respond(path, request_id))

    def _grant(self) -> key_calls.CallResult:
        return self.calls.call("i-1", GRANT, timeout_ms=TIMEOUT_MS)

    def test_orders_are_sent_as_the_platform_defines_them(self):
        self.start(
            lambda path, request_id: answer(
                request_id, headers=b"Handover: t1\r\n"
            )
        )
        self._grant()
        result = self.calls.call("i-1", RELEASE, timeout_ms=TIMEOUT_MS)
        self.assertEqual(result.token, "t1")
        (grant, release) = self.requests
        self.assertTrue(grant.startswith(b"POST /api/grant "))
        self.assertIn(b"Expect-Instance: i-1\r\n", grant)
        self.assertEqual(
            json.loads(grant.partition(b"\r\n\r\n")[2]),
            {
                "From": 0,
                "TargetVersion": 9,
                "fence": 3,
                "HoldMs": 4000,
                "Handover": "t0",
            },
        )
        self.assertTrue(release.startswith(b"POST /api/release "))
        self.assertEqual(
            json.loads(release.partition(b"\r\n\r\n")[2]),
            {"From": 0, "TargetVersion": 9, "fence": 3},
        )

    def test_each_status_has_its_result(self):
        for status, body, expected in (
            (200, b"", key_calls.Done),
            (200, b"{odd", key_calls.Done),
            (409, b"", key_calls.NotApplied),
            (421, b"", key_calls.NotApplied),
            (404, b"", key_calls.InDoubt),
            (400, b"\x00", key_calls.InDoubt),
            (503, b"", key_calls.InDoubt),
        ):
            self.start(
                lambda path, request_id, status=status, body=body: answer(
                    request_id, status, body=body
                )
            )
            with self.subTest(status=status, body=body):
                result = self._grant()
                self.assertIsInstance(result, expected)
                if isinstance(result, key_calls.NotApplied):
                    self.assertEqual(result.superseded, status == 409)
                if isinstance(result, key_calls.InDoubt):
                    self.assertIn("check that", result.problem)

    def test_no_answer_and_garbage_are_doubts(self):
        for response in (b"", b"no response\r\n\r\n", b"HTTP/1.1 200 OK\r\nRe"):
            self.start(lambda path, request_id, response=response: response)
            with self.subTest(response):
                self.assertIsInstance(self._grant(), key_calls.InDoubt)

    def test_closed_port_is_told_apart(self):
        (port,) = ports.choose_free(1)
        self.addCleanup(ports.release, [port])
        self.calls = key_calls_http.HttpKeyCalls(
            address=f"127.0.0.1:{port}", dialect=platform_key_calls.DIALECT
        )
        self.assertIsInstance(self._grant(), key_calls.NotListening)

    def test_grants_share_one_connection(self):
        """New connections are dear at these targets."""
        self.start(lambda path, request_id: answer(request_id))
        for _ in range(20):
            self.assertEqual(self._grant(), key_calls.Done("", 1))
        self.assertEqual(self.calls.opened, 1)

    def test_a_second_copy_of_an_answer_is_not_taken_for_the_next_one(self):
        """Garble extra late: a copy arrives on the kept connection."""
        earlier: list[bytes] = []

        def respond(path: bytes, request_id: bytes) -> bytes:
            if not earlier:
                earlier.append(answer(request_id))
                return earlier[0]
            return earlier[0]

        self.start(respond)
        self.assertIsInstance(self._grant(), key_calls.Done)
        self.assertIsInstance(self._grant(), key_calls.InDoubt)

    def test_grants_do_not_wait_for_a_release(self):
        """A release is answered only once the requests on its keys ended."""

        def respond(path: bytes, request_id: bytes) -> bytes:
            if path == b"/api/release":
                gevent.sleep(0.15)
            return answer(request_id)

        self.start(respond)
        release = gevent.spawn(self.calls.call, "i-1", RELEASE, timeout_ms=1000)
        gevent.sleep(0.02)
        self.assertIsInstance(self._grant(), key_calls.Done)
        self.assertFalse(release.ready())
        self.assertIsInstance(release.get(), key_calls.Done)
