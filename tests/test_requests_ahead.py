"""Requests sent ahead on one connection: order, overlap, stops, disconnects."""

import random
import socket
import unittest

import gevent
from gevent import socket as gevent_socket

from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_response

SEEDS = 60
MAX_WORK_MS = 20


class Caller:
    """A caller that sends requests without waiting for responses."""

    def __init__(self, port: int) -> None:
        self.sock = gevent_socket.create_connection(("127.0.0.1", port))
        self.sent: list[str] = []

    def send(self, method: str, path: str, *extra: str) -> None:
        """Sends one request."""
        self.sent.append(path)
        lines = [f"{method} {path} HTTP/1.1", "Host: h", *extra]
        if method == "POST":
            lines.append("Content-Length: 0")
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode())

    def receive_all(self) -> list[http_response.HttpResponse]:
        """Returns all complete responses until the connection closes."""
        responses: list[http_response.HttpResponse] = []
        data = b""
        while len(responses) < len(self.sent):
            with gevent.Timeout(3.0):
                piece = self.sock.recv(65536)
            data += piece
            responses, rest = _parse(data)
            if not piece:
                assert not rest, f"an incomplete response: {rest!r}"
                break
        return responses


def _parse(
    data: bytes,
) -> tuple[list[http_response.HttpResponse], bytes]:
    """Returns the complete responses and the bytes after them."""
    responses = []
    while True:
        head, found, rest = data.partition(b"\r\n\r\n")
        if not found:
            return responses, data
        lines = head.decode().split("\r\n")
        headers = [
            (n.lower(), v)
            for n, _, v in (line.partition(": ") for line in lines[1:])
        ]
        response = http_response.HttpResponse(int(lines[0].split()[1]), headers)
        length = int(response.get("content-length"))
        if len(rest) < length:
            return responses, data
        response.body = rest[:length]
        responses.append(response)
        data = rest[length:]


class AheadTest(unittest.TestCase):
    """A server whose handler works for the milliseconds named in the path."""

    def setUp(self) -> None:
        self.running: set[str] = set()
        self.max_running = 0
        self.begun: list[str] = []
        self.overlapping_posts = 0
        self.server = http_connection.HttpServer(
            listen=("127.0.0.1", 0),
            handle=self._handle,
            may_overlap=lambda request: request.method == "GET",
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def _handle(self, request) -> http_connection.HttpReply:
        path = request.target
        self.begun.append(path)
        self.running.add(path)
        self.max_running = max(self.max_running, len(self.running))
        if request.method == "POST" and len(self.running) > 1:
            self.overlapping_posts += 1
        try:
            gevent.sleep(int(path.rpartition("/")[2]) / 1000)
        finally:
            self.running.discard(path)
        return http_connection.HttpReply(200, [], path.encode())

    def test_slow_first_request_holds_up_only_delivery(self):
        caller = Caller(self.server.port)
        caller.send("GET", "/a/60")
        caller.send("GET", "/b/1")
        caller.send("GET", "/c/1")
        responses = caller.receive_all()
        self.assertEqual(
            [r.body for r in responses], [b"/a/60", b"/b/1", b"/c/1"]
        )
        self.assertEqual(self.max_running, 3)

    def test_requests_that_must_not_repeat_run_alone(self):
        caller = Caller(self.server.port)
        for n in range(6):
            caller.send("POST" if n % 2 else "GET", f"/{n}/5")
        self.assertEqual(len(caller.receive_all()), 6)
        self.assertEqual(self.max_running, 1)

    def test_number_that_run_at_once_is_bounded(self):
        caller = Caller(self.server.port)
        for n in range(30):
            caller.send("GET", f"/{n}/5")
        self.assertEqual(len(caller.receive_all()), 30)
        self.assertLessEqual(self.max_running, http_connection.MAX_AHEAD)

    def test_disconnect_ends_all(self):
        caller = Caller(self.server.port)
        for n in range(4):
            caller.send("GET", f"/{n}/2000")
        gevent.sleep(0.05)
        self.assertEqual(len(self.running), 4)
        caller.sock.close()
        gevent.sleep(0.05)
        self.assertEqual(self.running, set())
        self.assertEqual(self.server.in_flight, 0)

    def test_stop_answers_what_was_sent_before_its_last_answer(self):
        """LOST: a request read whole whose connection closes unanswered."""
        caller = Caller(self.server.port)
        for n in range(3):
            caller.send("GET", f"/{n}/50")
        gevent.sleep(0.02)
        self.server.closing = True
        caller.send("GET", "/late/1")
        responses = caller.receive_all()
        self.assertEqual([r.body.decode() for r in responses], caller.sent)
        self.assertEqual(self.begun, caller.sent)
        self.assertEqual(
            [r.get("connection") for r in responses], ["", "", "", "close"]
        )

    def test_request_behind_one_that_closes_is_never_started(self):
        caller = Caller(self.server.port)
        caller.send("GET", "/a/20", "Connection: close")
        caller.send("GET", "/b/1")
        responses = caller.receive_all()
        self.assertEqual([r.body for r in responses], [b"/a/20"])
        self.assertEqual(self.begun, ["/a/20"])

    def test_invalid_request_is_answered_after_those_before_it(self):
        caller = Caller(self.server.port)
        caller.send("GET", "/a/30")
        caller.send("GET", "/b/1", "Host: twice")
        responses = caller.receive_all()
        self.assertEqual([r.status for r in responses], [200, 400])

    def test_stop_ends_a_connection_that_has_become_idle(self):
        caller = Caller(self.server.port)
        caller.send("GET", "/a/30")
        gevent.sleep(0.01)
        self.assertEqual(len(self.server.idle), 0)
        caller.receive_all()
        gevent.sleep(0.01)
        self.assertEqual(len(self.server.idle), 1)
        self.server.stop_reading()
        with gevent.Timeout(1.0):
            self.assertEqual(caller.sock.recv(1), b"")

    def test_random_mixes_keep_order_and_answer_what_was_sent(self):
        """Kinds, lengths, pieces, stops and disconnects at random."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self._play(random.Random(seed))

    def _play(self, rng: random.Random) -> None:
        self.begun.clear()
        self.server.closing = False
        caller = Caller(self.server.port)
        for n in range(rng.randint(1, 12)):
            method = rng.choice(("GET", "GET", "POST"))
            caller.send(method, f"/{n}/{rng.randint(0, MAX_WORK_MS)}")
            if rng.random() < 0.3:
                gevent.sleep(rng.random() * 0.01)
        end = rng.choice(("all", "all", "stop", "leave"))
        gevent.sleep(rng.random() * 0.02)
        if end == "leave":
            caller.sock.shutdown(socket.SHUT_RDWR)
            caller.sock.close()
            gevent.sleep(0.05)
            self.assertEqual(self.running, set())
            self.assertEqual(self.server.in_flight, 0)
            return
        self.server.closing = end == "stop"
        bodies = [r.body.decode() for r in caller.receive_all()]
        self.assertEqual(bodies, caller.sent[: len(bodies)])
        self.assertEqual(sorted(self.begun), sorted(bodies))
        self.assertEqual(len(bodies), len(caller.sent))
        self.assertEqual(self.overlapping_posts, 0)
        caller.sock.close()
        gevent.sleep(0.01)
        self.assertEqual(self.server.in_flight, 0)
