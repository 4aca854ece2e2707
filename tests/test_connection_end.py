"""Ends of callers' connections on the kernel's sockets, also in a stop.

A close beside unread input is a reset there, which destroys what the caller has
not received yet.
"""

import socket
import time
import unittest
from unittest import mock

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from primrosecross.adapters import boot_clock
from primrosecross.adapters import fleet_shutdown
from primrosecross.adapters.http import http_client
from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser

IDLE_TIMEOUT_S = 0.4
WORK_S = 0.3
LARGE_BYTES = 1 << 20
BODY_BYTES = 360_000
PIECE_BYTES = 20_000
PIECE_INTERVAL_S = 0.05
STOP_LIMIT_MS = 6000


def _upload(path: str) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}"
    return head.encode() + b"\r\n\r\n"


def _request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


class ConnectionTest(unittest.TestCase):
    """Base of tests of one server; the path names what a request returns."""

    def setUp(self) -> None:
        self.handled: list[str] = []
        self.max_body_bytes = 1 << 20
        self.server = http_connection.HttpServer(
            listen=("127.0.0.1", 0),
            handle=self._handle,
            limits=lambda: http_parser.ServerLimits(
                max_body_bytes=self.max_body_bytes,
                idle_timeout_ms=int(IDLE_TIMEOUT_S * 1000),
            ),
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def _handle(self, request) -> http_connection.HttpReply:
        self.handled.append(request.target)
        if request.target == "/large":
            return http_connection.HttpReply(200, [], bytes(LARGE_BYTES))
        gevent.sleep(WORK_S)
        return http_connection.HttpReply(200, [], request.target.encode())

    def connect(self, *, receive_bytes: int = 0) -> gevent_socket.socket:
        """Connects, with a receive buffer of a given size."""
        sock = gevent_socket.socket()
        self.addCleanup(sock.close)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.settimeout(8)
        sock.connect(("127.0.0.1", self.server.port))
        return sock

    def receive_all(self, sock: gevent_socket.socket) -> bytes:
        """Returns all bytes until the end of the connection."""
        data = b""
        while piece := sock.recv(65536):
            data += piece
        return data

    def send_slowly(self, sock: gevent_socket.socket) -> None:
        """Sends a body in pieces over about a second."""
        for _ in range(BODY_BYTES // PIECE_BYTES):
            sock.sendall(bytes(PIECE_BYTES))
            gevent.sleep(PIECE_INTERVAL_S)


class AnswerTest(ConnectionTest):
    """What was answered reaches the caller."""

    # An answer in the middle of an upload was lost as the connection was reset.
    def test_upload_is_refused_without_a_reset(self):
        self.max_body_bytes = 1000
        sock = self.connect()
        sock.sendall(_upload("/upload"))
        self.send_slowly(sock)
        self.assertIn(b"HTTP/1.1 413 ", self.receive_all(sock))

    # The rest of an answer was lost as the next request crossed the close.
    def test_request_that_crosses_a_close_leaves_the_answer_whole(self):
        sock = self.connect(receive_bytes=4096)
        self.server.closing = True
        sock.sendall(_request("/large"))
        gevent.sleep(0.1)
        received = b""
        while self.server.in_flight:
            received += sock.recv(65536)
            gevent.sleep(0)
        sock.sendall(_request("/next"))
        gevent.sleep(0.05)
        received += self.receive_all(sock)
        body = received.partition(b"\r\n\r\n")[2]
        self.assertEqual(len(body), LARGE_BYTES)
        self.assertEqual(self.handled, ["/large"])

    # A request sent in time was reset by a process that was busy meanwhile.
    def test_request_within_the_idle_limit_is_answered_after_a_pause(self):
        sock = self.connect()
        gevent.sleep(IDLE_TIMEOUT_S / 2)
        sock.sendall(_request("/in-time"))
        time.sleep(IDLE_TIMEOUT_S)  # All tasks of this process wait.
        self.assertIn(b"/in-time", sock.recv(4096))


class StopTest(ConnectionTest):
    """What was sent before the end of a stop is answered."""

    def _stop(self) -> gevent.Greenlet:
        node = mock.Mock()
        node.gate.in_flight = 0
        peers = mock.Mock()
        peers.requests_in_flight.return_value = 0
        return gevent.spawn(
            fleet_shutdown.run,
            node=node,
            callers=self.server,
            peers=peers,
            limit_ms=STOP_LIMIT_MS,
            clock=boot_clock.BootClock(),
        )

    # Requests read behind one that ran were dropped with its answer in a stop.
    def test_requests_sent_ahead_are_answered(self):
        sock = self.connect()
        for n in range(3):
            sock.sendall(_request(f"/{n}"))
            gevent.sleep(0.01)
        self.server.closing = True
        received = self.receive_all(sock)
        self.assertEqual(received.count(b"HTTP/1.1 200 "), 3)
        self.assertEqual(received.count(b"Connection: close"), 1)
        self.assertTrue(received.endswith(b"/2"))

    # Requests behind one that ran were dropped when the port was closed.
    def test_requests_sent_ahead_of_the_close_of_the_port_are_answered(self):
        sock = self.connect()
        for n in range(3):
            sock.sendall(_request(f"/{n}"))
            gevent.sleep(0.01)
        self.server.stop_reading()
        self.assertEqual(self.receive_all(sock).count(b"HTTP/1.1 200 "), 3)

    # An upload in progress was cut off, as nobody waited for it in a stop.
    def test_upload_in_progress_at_the_end_of_admission_is_answered(self):
        stop = self._stop()
        gevent.sleep(fleet_shutdown.UNREADY_DELAY_MS / 1000 - 0.2)
        sock = self.connect()
        sock.sendall(_upload("/upload"))
        self.send_slowly(sock)
        self.assertFalse(stop.ready())
        self.assertIn(b"HTTP/1.1 200 ", self.receive_all(sock))
        sock.close()
        stop.join(timeout=1.0)
        self.assertTrue(stop.ready())

    # A process exited beside unread input and reset the answer before it.
    def test_exit_waits_until_a_caller_has_its_answer(self):
        stop = self._stop()
        gevent.sleep(fleet_shutdown.UNREADY_DELAY_MS / 1000 - 0.2)
        sock = self.connect()
        self.max_body_bytes = 1000
        sock.sendall(_upload("/upload"))
        self.send_slowly(sock)
        self.assertFalse(stop.ready())
        self.assertIn(b"HTTP/1.1 413 ", self.receive_all(sock))
        sock.close()
        stop.join(timeout=1.0)
        self.assertTrue(stop.ready())


class TargetTest(unittest.TestCase):
    """A target that answers before it has read a body, and closes."""

    # Its answer was in the receive buffer when the reset came.
    def test_answer_before_a_reset_is_received(self):
        def answer(sock: gevent_socket.socket, _: object) -> None:
            sock.recv(1000)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            sock.close()  # beside unread input

        target = gevent_server.StreamServer(("127.0.0.1", 0), answer)
        target.start()
        self.addCleanup(target.stop)
        client = http_client.HttpClient(
            address=f"127.0.0.1:{target.server_port}"
        )
        for _ in range(20):
            response = client.exchange(
                head=_upload("/upload"), body=bytes(BODY_BYTES), timeout_s=2.0
            )
            self.assertEqual(response.body, b"ok")


if __name__ == "__main__":
    unittest.main()
