"""Responses of targets that are cut, reset, stalled or doubled at any byte.

Guards against clients that get a success with an empty or short body when a
target stops in the middle of its response.
"""

import io
import re
import socket
import struct
import unittest
from http import client

import gevent
from gevent import server as gevent_server

from primrosecross.adapters import boot_clock
from primrosecross.adapters.http import target_http
from primrosecross.domain import errors
from primrosecross.domain.requests import body
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.platform import targets as platform_targets
from primrosecross.ports import target as target_port

BODY = b"the whole body"
CHUNKED_BODY = b"8\r\nthe whol\r\n6\r\ne body\r\n0\r\n\r\n"
TIMEOUT_MS = 2000
STALL_TIMEOUT_MS = 40
STALL_STEP = 7
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection


class _CuttingTarget:
    """Target that sends given bytes, then ends as it is told."""

    def __init__(self) -> None:
        self.response = b""
        self.whole = b""
        self.whole_first = False
        self.end = "close"
        self.server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    def _serve(self, sock, _) -> None:
        data = b""
        count = 0
        while piece := sock.recv(65536):
            data += piece
            if b"\r\n\r\n" not in data:
                continue
            request_id = re.search(rb"Request-Id: (\S*)", data)[1]
            data = b""
            count += 1
            if self.whole_first and count == 1:
                sock.sendall(self.whole.replace(b"ID", request_id))
                continue
            sock.sendall(self.response.replace(b"ID", request_id))
            if self.end == "stall":
                gevent.sleep(1)
            if self.end == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return


class _Received:
    """Received bytes as http.client reads them."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def makefile(self, mode: str) -> io.BytesIO:
        """Returns the bytes as a file."""
        del mode
        return io.BytesIO(self._data)


def _reference_body(data: bytes) -> bytes:
    """Returns the body that another parser reads."""
    response = client.HTTPResponse(_Received(data))
    response.begin()
    return response.read()


class PlatformTest(unittest.TestCase):
    """Targets on the users' platform."""

    HEADS = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n",
        b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: ID\r\n",
    )

    def setUp(self) -> None:
        self.clock = boot_clock.BootClock()
        self.target = _CuttingTarget()
        self.addCleanup(self.target.server.close)
        self.targets = self.make_targets()
        self.announcement = target_port.Announcement(
            "s", f"127.0.0.1:{self.target.server.server_port}", 4, True
        )
        self.addCleanup(self.targets.close_connections, self.announcement)
        self.sent = 0

    def make_targets(self) -> target_port.Targets:
        return platform_targets.PlatformTargets(clock=self.clock)

    def responses(self) -> list[bytes]:
        length = b"Content-Length: %d\r\n" % len(BODY)
        chunked = b"Transfer-Encoding: chunked\r\n"
        return [
            *(head + length + b"\r\n" + BODY for head in self.HEADS),
            length.join(self.HEADS[0].split(b"\r\n", 1)).replace(
                b"OK" + length, b"OK\r\n" + length
            )
            + b"\r\n"
            + BODY,
            self.HEADS[0] + chunked + b"\r\n" + CHUNKED_BODY,
        ]

    def run_request(self, timeout_ms: int = TIMEOUT_MS) -> outcome.Outcome:
        self.sent += 1
        req = request.Request(
            request_id=f"r{self.sent}",
            service="s",
            key="",
            method="POST",
            path="/x",
            headers=(("Request-Id", f"r{self.sent}"),),
            body=b"",
            idempotent=False,
            deadline_ns=self.clock.now_ns() + timeout_ms * 1_000_000,
        )
        result = self.targets.run(
            self.announcement, req, target_port.Fence(1, 1)
        )
        if not isinstance(result, outcome.Answered):
            return result
        return self._read(result)

    def _read(self, result: outcome.Answered) -> outcome.Outcome:
        try:
            content = body.read_all(result.body)
        except errors.BodyError as error:
            return outcome.Unknown(outcome.Reason.ANSWER_LOST, str(error))
        return outcome.Answered(result.status, result.headers, content)

    def play(
        self, whole: bytes, sent: bytes, end: str, **options: object
    ) -> outcome.Outcome:
        self.target.whole = whole
        self.target.response = sent
        self.target.end = end
        if self.target.whole_first:
            first = self.run_request()
            self.assertIsInstance(first, outcome.Answered)
            self.assertEqual(first.body, BODY)
        return self.run_request(**options)

    def test_cut_or_reset_at_any_byte_is_no_answer(self):
        for whole in self.responses():
            for end in ("close", "reset"):
                for reused in (False, True):
                    self.target.whole_first = reused
                    for size in range(len(whole)):
                        with self.subTest(whole[:size], end=end, reused=reused):
                            result = self.play(whole, whole[:size], end)
                            self.assertIsInstance(result, outcome.Unknown)

    def test_stall_at_any_byte_is_no_answer(self):
        for whole in self.responses():
            for size in range(0, len(whole), STALL_STEP):
                with self.subTest(whole[:size]):
                    result = self.play(
                        whole,
                        whole[:size],
                        "stall",
                        timeout_ms=STALL_TIMEOUT_MS,
                    )
                    self.assertIsInstance(result, outcome.Unknown)

    def test_doubled_byte_yields_nothing_but_what_was_sent(self):
        for whole in self.responses():
            for at in range(len(whole)):
                doubled = whole[: at + 1] + whole[at:]
                with self.subTest(doubled[: at + 2]):
                    result = self.play(whole, doubled, "close")
                    if isinstance(result, outcome.Answered):
                        self.assertEqual(result.body, _reference_body(doubled))
                    else:
                        self.assertIsInstance(result, outcome.Unknown)

    def test_response_without_length_that_is_reset_is_no_answer(self):
        for head in self.HEADS:
            whole = head + b"\r\n" + BODY
            for size in range(len(head) + 2, len(whole) + 1):
                with self.subTest(whole[:size]):
                    result = self.play(whole, whole[:size], "reset")
                    self.assertIsInstance(result, outcome.Unknown)

    def test_response_without_length_is_no_answer_before_its_head_ends(self):
        for head in self.HEADS:
            whole = head + b"\r\n" + BODY
            for size in range(len(head) + 2):
                with self.subTest(whole[:size]):
                    result = self.play(whole, whole[:size], "close")
                    self.assertIsInstance(result, outcome.Unknown)


class HeadTest(unittest.TestCase):
    """A platform's target that answers HEAD with the length of a GET."""

    # The request ran into its time limit, waiting for the body.
    def test_answer_to_head_ends_with_its_head(self):
        target = _CuttingTarget()
        self.addCleanup(target.server.close)
        target.response = PlatformTest.HEADS[0] + b"Content-Length: 14\r\n\r\n"
        target.end = "stall"
        clock = boot_clock.BootClock()
        req = request.Request(
            request_id="r1",
            service="s",
            key="",
            method="HEAD",
            path="/x",
            headers=(("Request-Id", "r1"),),
            body=b"",
            idempotent=True,
            deadline_ns=clock.now_ns() + 500 * 1_000_000,
        )
        result = platform_targets.PlatformTargets(clock=clock).run(
            target_port.Announcement(
                "s", f"127.0.0.1:{target.server.server_port}", 4, True
            ),
            req,
            target_port.Fence(1, 1),
        )
        self.assertIsInstance(result, outcome.Answered)
        self.assertEqual((result.status, result.body), (200, b""))


class ProductTest(PlatformTest):
    """Targets of the product's own daemon."""

    HEADS = (
        b"HTTP/1.1 200 OK\r\nPrimrosecross-Request-Id: ID\r\n",
        b"HTTP/1.1 200 OK\r\nX: y\r\nPrimrosecross-Request-Id: ID\r\n",
    )

    def make_targets(self) -> target_port.Targets:
        return target_http.HttpTargets(clock=self.clock)
