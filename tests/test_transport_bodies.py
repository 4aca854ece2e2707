"""Bodies between daemons and on callers' connections."""

import http.client
import unittest
import zlib
from unittest import mock

import gevent
from gevent import pywsgi
from gevent import socket as gevent_socket

from primrosecross.adapters.http import caller_body
from primrosecross.adapters.http import caller_connection
from primrosecross.adapters.peers import peer_body
from primrosecross.adapters.peers import peer_in_flight
from primrosecross.domain import errors
from primrosecross.domain import stream_messages
from primrosecross.domain.requests import body
from primrosecross.domain.requests import request_messages
from standins import ports
from tests import test_transport_peers

LONG_BYTES = 3 << 20


class ZeroStream(body.Stream):
    """A body of zeros, optionally truncated or delayed."""

    def __init__(
        self, length: int, *, truncate_at: int = -1, pause_s=0.0
    ) -> None:
        super().__init__(length)
        self.read_bytes = 0
        self._truncate_at = truncate_at
        self._pause_s = pause_s

    def read(self) -> bytes:
        gevent.sleep(self._pause_s)
        if 0 <= self._truncate_at <= self.read_bytes:
            raise errors.BodyError("truncated by the test", remedy="none")
        size = min(100_000, self.length - self.read_bytes)
        self.read_bytes += size
        return bytes(size)


class PeerBodyTest(test_transport_peers.PeerTest):
    """Streamed bodies on a connection between two peers."""

    def handle(self, message):
        if message.path.startswith("/refuse"):
            return request_messages.ForwardNotRun("id", "overloaded", "", 0)
        if message.path.startswith("/long"):
            return request_messages.ForwardAnswered("id", 200, (), self.answer)
        if message.path.startswith("/slow"):
            gevent.sleep(1.0)
        try:
            self.received = sum(len(p) for p in body.pieces(message.body))
        except errors.BodyError as error:
            return request_messages.ForwardUnknown(
                "id", "answer-lost", str(error)
            )
        return request_messages.ForwardAnswered("id", 200, (), b"")

    def test_bodies_arrive_complete_in_both_directions(self):
        self.call("/", ZeroStream(LONG_BYTES))
        self.assertEqual(self.received, LONG_BYTES)
        self.answer = ZeroStream(LONG_BYTES)
        answer = self.call("/long")
        total_bytes = sum(len(p) for p in body.pieces(answer.body))
        self.assertEqual(total_bytes, LONG_BYTES)
        self.assertTrue(self.answer.finished)

    def test_truncated_body_raises_in_the_reader(self):
        answer = self.call(
            "/", ZeroStream(LONG_BYTES, truncate_at=LONG_BYTES // 2)
        )
        self.assertIsInstance(answer, request_messages.ForwardUnknown)
        self.answer = ZeroStream(LONG_BYTES, truncate_at=LONG_BYTES // 2)
        answer = self.call("/long")
        with self.assertRaises(errors.BodyError):
            list(body.pieces(answer.body))

    def test_corrupt_body_is_never_read_to_its_end(self):
        stream = peer_body.Incoming(4)
        stream.feed(b"ab")
        stream.feed(b"cd")
        stream.end(stream_messages.StreamEnd(4, 1, ""))
        with self.assertRaises(errors.BodyError):
            list(body.pieces(stream))

    def test_unread_body_buffers_at_most_the_window(self):
        source = ZeroStream(64 << 20)
        task = gevent.spawn(self.call, "/slow", source)
        gevent.sleep(0.5)
        self.assertLessEqual(
            source.read_bytes, peer_body.WINDOW_BYTES + 2 * 100_000
        )
        task.kill()

    def test_body_of_a_refused_request_is_not_read(self):
        source = ZeroStream(64 << 20)
        self.call("/refuse", source)
        self.assertLessEqual(
            source.read_bytes, peer_body.WINDOW_BYTES + 2 * 100_000
        )

    def test_body_above_the_stream_limit_is_refused_as_not_run(self):
        self.call("/")
        accepted = next(iter(self.right._accepted))
        accepted._in_flight.incoming.update(
            (("held", n), peer_body.Incoming(1))
            for n in range(peer_in_flight.MAX_STREAMS)
        )
        answer = self.call("/", ZeroStream(LONG_BYTES))
        self.assertIsInstance(answer, request_messages.ForwardNotRun)

    def test_closing_the_reader_stops_the_sender(self):
        self.answer = ZeroStream(64 << 20)
        answer = self.call("/long")
        answer.body.read()
        answer.body.close()
        gevent.sleep(0.2)
        self.assertTrue(self.answer.finished)
        self.assertLess(self.answer.read_bytes, 2 << 20)

    def test_sender_exceeding_its_credit_is_rejected(self):
        stream = peer_body.Incoming(body.UNKNOWN_LENGTH)
        with self.assertRaises(errors.PeerProtocolError):
            for _ in range(peer_body.WINDOW_BYTES // 1024 + 1):
                stream.feed(bytes(1024))

    def test_short_calls_interleave_with_long_bodies(self):
        self.answer = ZeroStream(64 << 20)
        answer = self.call("/long")
        reader = gevent.spawn(
            lambda: [len(p) for p in body.pieces(answer.body)]
        )
        gevent.sleep(0.05)
        for _ in range(5):
            self.call("/")
        self.assertFalse(reader.ready())
        reader.kill()
        answer.body.close()


class CallerBorderTest(unittest.TestCase):
    """Bodies on callers' connections, served by an echo application."""

    def setUp(self) -> None:
        self.port = ports.choose_free(1)[0]
        self.server = pywsgi.WSGIServer(
            ("127.0.0.1", self.port),
            self.serve,
            log=None,
            error_log=None,
            handler_class=caller_connection.Handler,
        )
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)
        self.answer: body.Body = b"ok"
        self.checksum = 0
        self.problems: list[str] = []

    def serve(self, environ, start_response):
        try:
            request_body = caller_body.read(environ, limit_bytes=64 << 20)
            if environ["PATH_INFO"] != "/refuse":
                for piece in body.pieces(request_body):
                    self.checksum = zlib.crc32(piece, self.checksum)
            body.close(request_body)
        except (errors.RequestError, errors.BodyError) as error:
            self.problems.append(str(error))
            start_response("400 Bad Request", [("Content-Length", "0")])
            return []
        headers = []
        if self.answer.__len__():
            headers = [("Content-Length", str(len(self.answer)))]
        start_response("200 OK", headers)
        return caller_body.ResponseBody(self.answer)

    def connect(self) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port, timeout=20
        )
        self.addCleanup(connection.close)
        return connection

    def test_long_and_chunked_bodies_arrive_complete(self):
        content = bytes(range(256)) * 4000
        for data in (content, iter([content[:1000], content[1000:]])):
            self.checksum = 0
            connection = self.connect()
            connection.request("POST", "/", data)
            self.assertEqual(connection.getresponse().read(), b"ok")
            self.assertEqual(self.checksum, zlib.crc32(content))

    def test_refused_long_body_gets_a_response(self):
        connection = self.connect()
        connection.request("POST", "/refuse", bytes(8 << 20))
        self.assertEqual(connection.getresponse().status, 200)

    def test_truncated_responses_never_look_complete(self):
        for length in (LONG_BYTES, body.UNKNOWN_LENGTH):
            stream = ZeroStream(LONG_BYTES, truncate_at=LONG_BYTES // 2)
            stream.length = length
            if length == body.UNKNOWN_LENGTH:
                stream.read = ZeroStream(
                    LONG_BYTES, truncate_at=LONG_BYTES // 2
                ).read
            self.answer = stream
            connection = self.connect()
            connection.request("GET", "/")
            with self.assertRaises(http.client.IncompleteRead):
                connection.getresponse().read()

    def test_body_truncated_by_the_caller_is_refused(self):
        sock = gevent_socket.create_connection(("127.0.0.1", self.port))
        sock.sendall(b"POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\npart")
        sock.shutdown(gevent_socket.SHUT_WR)
        self.assertIn(b"400", sock.recv(100))
        self.assertEqual(sock.recv(100), b"")
        sock.close()

    @mock.patch.object(caller_connection, "HEADER_TIMEOUT_S", 1.0)
    def test_slow_and_long_headers_close_the_connection(self):
        sock = gevent_socket.create_connection(("127.0.0.1", self.port))
        sock.sendall(b"GET / HTTP/1.1\r\n")
        with gevent.Timeout(caller_connection.HEADER_TIMEOUT_S + 2):
            for number in range(100):
                try:
                    sock.sendall(b"X-%d: 1\r\n" % number)
                except OSError:
                    break
                gevent.sleep(0.2)
        sock.close()
        sock = gevent_socket.create_connection(("127.0.0.1", self.port))
        sock.sendall(b"GET / HTTP/1.1\r\n")
        sent_bytes = 0
        with self.assertRaises(OSError):
            while sent_bytes < 8 * caller_connection.MAX_HEADER_BYTES:
                sock.sendall(b"X-Y: " + b"z" * 1000 + b"\r\n")
                sent_bytes += 1007
                gevent.sleep(0.001)
        sock.close()


if __name__ == "__main__":
    unittest.main()
