"""Bytes without end from callers, announcing targets and other daemons."""

import time
import tracemalloc
import unittest
from unittest import mock

import gevent

from primrosecross.adapters import boot_clock
from primrosecross.adapters.http import announce_http
from primrosecross.adapters.http import caller_body
from primrosecross.adapters.http import caller_connection
from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser
from primrosecross.adapters.http import http_server
from primrosecross.adapters.peers import peer_codec
from primrosecross.domain import errors
from primrosecross.domain import stream_messages
from primrosecross.domain.requests import body
from primrosecross.domain.requests import body_memory
from tests import endless_fakes

HELLO = stream_messages.Hello(2, "c", "vm", "i", "control")
POST = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
# First bytes of a request, those repeated without end, and the response.
ENDLESS_REQUESTS = {
    "empty lines": (b"", b"\r\n", 431),
    "spaces before the target": (b"GET ", b" ", 431),
    "target": (b"GET /", b"a", 431),
    "header name": (b"GET / HTTP/1.1\r\n", b"a", 431),
    "header value": (b"GET / HTTP/1.1\r\nA: ", b"a", 431),
    "header lines": (b"GET / HTTP/1.1\r\n", b"A: b\r\n", 431),
    "chunk size": (POST, b"0", 400),
    "chunk extension": (POST + b"5;", b"a", 400),
    "trailer value": (POST + b"1\r\na\r\n0\r\nA: ", b"a", 400),
    "trailer lines": (POST + b"1\r\na\r\n0\r\n", b"A: b\r\n", 431),
    "chunks of two bytes": (POST, b"2\r\nab\r\n", 413),
}


class CallerTest(unittest.TestCase):
    """A caller of the platform's ports that never stops sending."""

    LIMITS = http_parser.ServerLimits(
        max_head_bytes=2000, max_body_bytes=endless_fakes.MAX_BODY_BYTES
    )

    def make_parser(self) -> http_parser.RequestParser:
        return http_parser.RequestParser(
            self.LIMITS,
            body_memory.BodyMemory(clock=boot_clock.BootClock()),
        )

    # A header line was buffered without a limit, and a chunk extension held the
    # connection until the caller closed it.
    def test_endless_request_is_rejected_in_bounded_memory(self):
        for name, (head, repeated, status) in ENDLESS_REQUESTS.items():
            parser = self.make_parser()
            sock = endless_fakes.ReadySocket(
                head, repeated, 9 * endless_fakes.MAX_BODY_BYTES
            )
            tracemalloc.start()
            with self.subTest(name):
                with self.assertRaises(
                    http_parser.RequestRejectedError
                ) as caught:
                    while True:
                        parser.feed(sock.recv(http_connection.RECEIVE_BYTES))
                self.assertEqual(caught.exception.status, status)
                if status != 413:
                    self.assertLess(
                        sock.received_bytes, endless_fakes.MAX_FRAMING_BYTES
                    )
                _, peak_bytes = tracemalloc.get_traced_memory()
                self.assertLess(peak_bytes, endless_fakes.MAX_GROWTH_BYTES)
            tracemalloc.stop()

    def test_long_series_of_requests_is_accepted_in_pieces_of_any_size(self):
        one = POST + b"1\r\na\r\n3;x=y\r\nabc\r\n0\r\nT: r\r\n\r\n"
        for step in (1, 7, 100, 65536):
            parser = self.make_parser()
            data = one * 100
            for offset in range(0, len(data), step):
                parser.feed(data[offset : offset + step])
            self.assertEqual(
                [r.body for r in parser.complete_requests], [b"aabc"] * 100
            )

    # A rejected caller that went on sending stopped the whole daemon.
    def test_rejected_caller_that_goes_on_sending_is_closed(self):
        sock = endless_fakes.ReadySocket(b"no request\r\n", b"a", 1 << 36)
        server = http_connection.HttpServer(
            listen=("127.0.0.1", 0), handle=self.fail
        )
        started_s = time.monotonic()
        server._serve(sock, None)
        self.assertLess(time.monotonic() - started_s, 2.0)
        self.assertTrue(sock.closed)


class WsgiTest(unittest.TestCase):
    """Callers and announcing targets of the product's own daemon."""

    HEAD = b"POST /v1/announce HTTP/1.1\r\nHost: h\r\n"
    CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    ENDLESS = {
        "chunks": (CHUNKED, b"2000\r\n" + b"a" * 8192 + b"\r\n"),
        "chunks of two bytes": (CHUNKED, b"2\r\nab\r\n"),
        "chunk extension": (CHUNKED + b"1;", b"a"),
        "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n"),
        "length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"a"),
    }

    def serve_caller(self, environ, start_response):
        try:
            body.close(caller_body.read(environ, limit_bytes=10_000))
            start_response("200 OK", [])
        except errors.RequestError:
            start_response("400 Bad Request", [])
        return [b""]

    def count_other_runs(self, server, sock: endless_fakes.ReadySocket) -> int:
        """Serves a connection; returns how often another task ran."""
        runs = 0

        def run_often() -> None:
            nonlocal runs
            while True:
                gevent.sleep(0)
                runs += 1

        other = gevent.spawn(run_often)
        gevent.sleep(0)
        runs = 0
        server.handle(sock, ("127.0.0.1", 1))
        other.kill()
        return runs

    def check(self, server) -> None:
        for name, (head, repeated) in self.ENDLESS.items():
            sock = endless_fakes.ReadySocket(head, repeated, 1 << 40, max_s=4.0)
            started_s = time.monotonic()
            with self.subTest(name):
                runs = self.count_other_runs(server, sock)
                self.assertLess(time.monotonic() - started_s, 3.5)
                self.assertTrue(sock.closed)
                if sock.received_bytes > endless_fakes.MAX_FRAMING_BYTES:
                    self.assertGreater(runs, 16)

    # The rest of a body was read for as long as the caller sent, and no other
    # task ran meanwhile.
    def test_endless_body_of_a_caller_closes_the_connection(self):
        server = http_server.NoDelayWsgiServer(
            ("127.0.0.1", 0),
            self.serve_caller,
            log=None,
            error_log=None,
            handler_class=caller_connection.Handler,
        )
        with (
            mock.patch.object(caller_body, "STALL_TIMEOUT_S", 0.5),
            mock.patch.object(caller_body, "DISCARD_TIMEOUT_S", 0.5),
        ):
            self.check(server)

    def test_endless_announcement_closes_the_connection(self):
        server = announce_http.AnnounceServer(
            listen=("127.0.0.1", 0), on_announcement=self.fail
        )
        with mock.patch.object(announce_http._Handler, "MAX_REQUEST_S", 0.5):
            self.check(server._server)

    # Requests written at once, without end, kept all other tasks waiting.
    def test_other_tasks_run_between_pipelined_requests(self):
        server = announce_http.AnnounceServer(
            listen=("127.0.0.1", 0), on_announcement=self.fail
        )
        one = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        last = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
        sock = endless_fakes.ReadySocket(one * 200 + last, b"", 1 << 20)
        self.assertGreater(self.count_other_runs(server._server, sock), 16)

    # Bytes after the time limit for a body would be read as a request.
    def test_rest_of_a_body_is_no_request(self):
        handled = []

        def serve(environ, start_response):
            handled.append(environ["PATH_INFO"])
            start_response("200 OK", [])
            return [b""]

        server = http_server.NoDelayWsgiServer(
            ("127.0.0.1", 0), serve, log=None, error_log=None
        )
        rest = b"GET /rest HTTP/1.1\r\nHost: h\r\n\r\n"
        sock = endless_fakes.ReadySocket(
            self.ENDLESS["length"][0], rest, 1 << 40, max_s=4.0
        )
        with mock.patch.object(http_server, "DISCARD_TIMEOUT_S", 0.2):
            self.count_other_runs(server, sock)
        self.assertEqual(handled, ["/v1/announce"])


class PeerTest(unittest.TestCase):
    """Another daemon, or a stranger at its port, that never stops sending."""

    # Endless frames, strings, lists and greetings were feared to be buffered.
    def test_endless_frame_is_rejected_in_bounded_memory(self):
        greeting = peer_codec.encode(peer_codec.Frame(0, False, 1, HELLO))
        endless = {
            "greeting": (b"", b"\x94"),
            "string in a greeting": (
                b"\x94\x00\xc2\x01\xdb\xff\xff\xff\xff",
                b"a",
            ),
            "string": (
                greeting + b"\x94\x00\xc2\x01\xdb\xff\xff\xff\xff",
                b"a",
            ),
            "bytes": (greeting + b"\x94\x00\xc2\x01\xc6\xff\xff\xff\xff", b"a"),
            "list": (greeting + b"\xdd\xff\xff\xff\xff", b"\x00"),
            "nested lists": (greeting, b"\x91"),
            "numbers": (greeting, b"\x00"),
        }
        for name, (head, repeated) in endless.items():
            sock = endless_fakes.ReadySocket(
                head, repeated, 2 * peer_codec.MAX_FRAME_BYTES
            )
            decoder = peer_codec.Decoder()
            tracemalloc.start()
            with (
                self.subTest(name),
                self.assertRaises(errors.PeerProtocolError),
            ):
                while True:
                    for _ in decoder.feed(sock.recv(65536)):
                        decoder.accept_messages()
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self.assertLess(peak_bytes, 4 * peer_codec.MAX_FRAME_BYTES)


if __name__ == "__main__":
    unittest.main()
