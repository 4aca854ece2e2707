"""Long bodies that pass through the HTTP client as they come."""

import gc
import unittest
import weakref
from unittest import mock

import gevent
from gevent import socket

from primrosecross.adapters.http import http_client
from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser
from primrosecross.domain import errors
from primrosecross.domain.requests import body
from tests import test_transport_bodies


class TargetTest(unittest.TestCase):
    """Long bodies to and from a target."""

    SIZE = 4 << 20

    def setUp(self) -> None:
        self.server = http_connection.HttpServer(
            listen=("127.0.0.1", 0), handle=self.handle
        )
        self.server.start()
        self.addCleanup(self.server.stop)
        self.client = http_client.HttpClient(
            address=f"127.0.0.1:{self.server.port}"
        )
        self.addCleanup(self.client.close)

    def handle(
        self, request: http_parser.HttpRequest
    ) -> http_connection.HttpReply:
        if request.method == "POST":
            return http_connection.HttpReply(
                200, [], str(len(request.body)).encode()
            )
        return http_connection.HttpReply(200, [], bytes(self.SIZE))

    def exchange(self, method: str, source: body.Body = b""):
        headers = [("Host", "h"), ("Content-Length", str(len(source)))]
        return self.client.exchange(
            head=http_client.request_head(method, "/", headers),
            body=source,
            timeout_s=5,
            stream_above_bytes=body.MAX_FRAMED_BYTES,
        )

    def test_streamed_request_arrives_whole_on_a_new_connection(self):
        self.exchange("POST", b"first")
        source = test_transport_bodies.ZeroStream(self.SIZE)
        response = self.exchange("POST", source)
        self.assertEqual(response.body, str(self.SIZE).encode())
        self.assertEqual(self.client.opened, 2)

    def test_cut_request_is_lost_and_not_sent_if_it_never_began(self):
        for cut_at, error_type in (
            (0, errors.RequestNotSentError),
            (self.SIZE // 2, errors.ResponseLostError),
        ):
            source = test_transport_bodies.ZeroStream(
                self.SIZE, truncate_at=cut_at
            )
            with self.subTest(cut_at), self.assertRaises(error_type):
                self.exchange("POST", source)

    def test_long_response_is_streamed_and_its_connection_reused(self):
        for _ in range(2):
            response = self.exchange("GET")
            self.assertIsInstance(response.body, body.Stream)
            self.assertEqual(len(body.read_all(response.body)), self.SIZE)
        self.assertEqual(self.client.opened, 1)

    def test_closed_response_closes_its_connection(self):
        response = self.exchange("GET")
        response.body.read()
        response.body.close()
        with self.assertRaises(errors.BodyError):
            response.body.read()
        self.exchange("GET").body.close()
        self.assertEqual(self.client.opened, 2)

    def test_response_that_is_cut_is_no_whole_body(self):
        response = self.exchange("GET")
        response.body.read()
        response.body._sock.shutdown(socket.SHUT_RDWR)
        with self.assertRaises(errors.BodyError):
            body.read_all(response.body)

    # Parser and library referred to each other, and to the request.
    def test_request_is_released_without_a_collection(self):
        class Marker:
            """Something that the request refers to."""

        marker = Marker()
        reference = weakref.ref(marker)
        gc.disable()
        self.addCleanup(gc.enable)
        self.client.exchange(
            head=http_client.request_head("POST", "/", [("Host", "h")]),
            timeout_s=5,
            matches_request=lambda response, kept=marker: True,
        )
        del marker
        self.assertIsNone(reference())


class _FastServer:
    """A connection that takes all bytes at once, and then answers."""

    def __init__(self) -> None:
        self.received_bytes = 0

    def sendall(self, data: bytes) -> None:
        self.received_bytes += len(data)

    def recv(self, size: int) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[:size]

    def close(self) -> None:
        pass

    def settimeout(self, timeout_s: float | None) -> None:
        pass

    def setsockopt(self, *arguments: object) -> None:
        pass


class FairnessTest(unittest.TestCase):
    """A long body that is sent to a receiver which is always faster."""

    def test_other_tasks_run_while_a_long_body_is_sent(self):
        turns = []

        def take_turns() -> None:
            while True:
                turns.append(len(turns))
                gevent.sleep(0)

        client = http_client.HttpClient(address="127.0.0.1:1")
        server = _FastServer()
        content = bytes(8 << 20)
        task = gevent.spawn(take_turns)
        self.addCleanup(task.kill)
        with mock.patch.object(
            http_client.sockets, "connect", lambda *_, **__: server
        ):
            client.exchange(head=b"head", body=content, timeout_s=5)
        self.assertEqual(server.received_bytes, len(content) + len(b"head"))
        self.assertGreaterEqual(len(turns), 16)


if __name__ == "__main__":
    unittest.main()
