"""Bytes without end that are no answer do not hold a request or the daemon."""

import time
import tracemalloc
import unittest
from unittest import mock

import gevent

from primrosecross.adapters import boot_clock
from primrosecross.adapters import object_store
from primrosecross.adapters.http import http_client
from primrosecross.adapters.http import http_response
from primrosecross.adapters.http import key_calls_http
from primrosecross.adapters.http import target_http
from primrosecross.domain import errors
from primrosecross.domain import stamp
from primrosecross.domain.operators import events
from primrosecross.domain.requests import body
from primrosecross.domain.requests import body_memory
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.platform import key_calls
from primrosecross.platform import targets as platform_targets
from primrosecross.ports import key_calls as key_calls_port
from primrosecross.ports import target as target_port
from tests import endless_fakes

CHUNKED = b"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\nId: 2\r\n\r\n"
LATE_RESPONSE = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
# First bytes of a response, and those repeated without end.
ENDLESS_FRAMING = {
    "empty lines": (b"", b"\r\n"),
    "reason phrase": (b"HTTP/1.1 200 ", b"a"),
    "header name": (b"HTTP/1.1 200 OK\r\n", b"a"),
    "header value": (b"HTTP/1.1 200 OK\r\nA: ", b"a"),
    "spaces before a value": (b"HTTP/1.1 200 OK\r\nA:", b" "),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
    "empty header values": (b"HTTP/1.1 200 OK\r\n", b"A:\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 \r\n\r\n"),
    "late responses": (b"", LATE_RESPONSE),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;", b"a"),
    "trailer value": (CHUNKED + b"1\r\na\r\n0\r\nA: ", b"a"),
    "trailer lines": (CHUNKED + b"1\r\na\r\n0\r\n", b"A: b\r\n"),
    "length beyond the limit": (
        b"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 9000000000\r\n\r\n",
        b"a",
    ),
}
ENDLESS_BODIES = {
    "chunked": (CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    "chunks of two bytes": (CHUNKED, b"2\r\nab\r\n"),
    "unframed": (UNFRAMED, b"a"),
    "late response": (UNFRAMED.replace(b"2", b"3"), b"a"),
    "late chunked responses": (
        b"",
        LATE_RESPONSE.replace(b"h: 0", b"h: 4096") + b"a" * 4096,
    ),
}


class ExchangeTest(unittest.TestCase):
    """Base of tests of one exchange with a server that is always faster."""

    def exchange(
        self,
        sock: endless_fakes.ReadySocket,
        timeout_s: float = 5.0,
        client: http_client.HttpClient | None = None,
    ) -> http_response.HttpResponse:
        client = client or http_client.HttpClient(address="127.0.0.1:1")
        with mock.patch.object(
            http_client.sockets,
            "connect",
            lambda *_, **__: sock,
        ):
            return client.exchange(
                head=b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                timeout_s=timeout_s,
                matches_request=lambda response: response.get("id") == "2",
            )


class ClientTest(ExchangeTest):
    """The HTTP client of targets and of the store."""

    # Memory grew and the request lasted until its time limit.
    def test_endless_framing_ends_the_exchange(self):
        for name, (head, repeated) in ENDLESS_FRAMING.items():
            sock = endless_fakes.ReadySocket(
                head, repeated, endless_fakes.MAX_FRAMING_BYTES
            )
            with self.subTest(name):
                with self.assertRaises(errors.ResponseLostError):
                    self.exchange(sock)
                self.assertTrue(sock.closed)

    # Each piece of a body was kept as an object, many times its size.
    def test_endless_body_ends_the_exchange_in_bounded_memory(self):
        for name, (head, repeated) in ENDLESS_BODIES.items():
            sock = endless_fakes.ReadySocket(
                head, repeated, 9 * endless_fakes.MAX_BODY_BYTES
            )
            tracemalloc.start()
            with (
                self.subTest(name),
                mock.patch.object(
                    http_response,
                    "MAX_BODY_BYTES",
                    endless_fakes.MAX_BODY_BYTES,
                ),
            ):
                with self.assertRaises(errors.ResponseLostError):
                    self.exchange(sock)
                _, peak_bytes = tracemalloc.get_traced_memory()
                self.assertLess(peak_bytes, endless_fakes.MAX_GROWTH_BYTES)
                self.assertTrue(sock.closed)
            tracemalloc.stop()

    # Endless bodies on several connections added up.
    def test_endless_bodies_share_a_budget(self):
        budget = body_memory.BodyMemory(
            clock=boot_clock.BootClock(),
            max_bytes=8 * endless_fakes.MAX_BODY_BYTES,
        )
        client = http_client.HttpClient(address="127.0.0.1:1", bodies=budget)
        unread_bytes = budget.max_bytes - 2 * endless_fakes.MAX_BODY_BYTES
        budget.used_bytes = unread_bytes  # by other connections
        sock = endless_fakes.ReadySocket(
            UNFRAMED, b"a", 3 * endless_fakes.MAX_BODY_BYTES
        )
        with self.assertRaises(errors.ResponseLostError):
            self.exchange(sock, client=client)
        self.assertEqual(budget.used_bytes, unread_bytes)
        budget.used_bytes = budget.max_bytes
        short = UNFRAMED.replace(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\n")
        response = self.exchange(
            endless_fakes.ReadySocket(short, b"ok", 100_000), client=client
        )
        self.assertEqual(response.body, b"ok")

    # A switch of protocols raised an error that no caller of the client knew.
    def test_protocol_switch_is_a_lost_response(self):
        head = b"HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
        sock = endless_fakes.ReadySocket(
            head, b"a", endless_fakes.MAX_FRAMING_BYTES
        )
        with self.assertRaises(errors.ResponseLostError):
            self.exchange(sock)
        self.assertTrue(sock.closed)

    # The sizes of skipped bodies and of a chunked body counted as headers.
    def test_long_bodies_before_headers_and_trailers_are_no_headers(self):
        late = (
            b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100000\r\n\r\n"
            + b"a" * 100_000
        )
        own = CHUNKED + b"20000\r\n" + b"b" * 0x20000 + b"\r\n0\r\nT: r\r\n\r\n"
        response = self.exchange(
            endless_fakes.ReadySocket(late + own, b"", 1 << 20)
        )
        self.assertEqual(response.body, b"b" * 0x20000)
        self.assertEqual(response.get("t"), "")

    def test_short_chunks_are_no_endless_framing(self):
        own = CHUNKED + b"1\r\na\r\n" * 200_000 + b"0\r\n\r\n"
        response = self.exchange(endless_fakes.ReadySocket(own, b"", 2 << 20))
        self.assertEqual(len(response.body), 200_000)


class KeyCallsTest(unittest.TestCase):
    """A target that answers a grant or release without end."""

    # Two such answers took more memory than a small VM has.
    def test_endless_answer_to_a_key_call_is_given_up_early(self):
        orders = (
            key_calls_port.GrantCall(0, 9, 3, 4000, ""),
            key_calls_port.ReleaseCall(0, 9, 3),
        )
        for order in orders:
            for name, (head, repeated) in ENDLESS_BODIES.items():
                sock = endless_fakes.ReadySocket(
                    head,
                    repeated.replace(b"Id: 1", b"Request-Id: r0"),
                    2 * endless_fakes.MAX_BODY_BYTES,
                )
                calls = key_calls_http.HttpKeyCalls(
                    address="127.0.0.1:1", dialect=key_calls.DIALECT
                )
                with (
                    self.subTest(name, order=order),
                    mock.patch.object(
                        http_client.sockets,
                        "connect",
                        lambda *_, sock=sock, **__: sock,
                    ),
                ):
                    result = calls.call("i-1", order, timeout_ms=5000)
                    self.assertIsInstance(result, key_calls_port.InDoubt)
                    self.assertTrue(sock.closed)


class FairnessTest(ExchangeTest):
    """A sender that is faster than its reader."""

    # No other task or timer ran while bytes could be read without waiting.
    def test_other_tasks_run_while_a_long_response_is_read(self):
        head = b"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 33554432\r\n\r\n"
        sock = endless_fakes.ReadySocket(head, b"a" * 65536, 40 << 20)
        runs = 0

        def run_often() -> None:
            nonlocal runs
            while True:
                gevent.sleep(0)
                runs += 1

        task = gevent.spawn(run_often)
        gevent.sleep(0)
        runs = 0
        try:
            self.exchange(sock)
        finally:
            task.kill()
        self.assertGreater(runs, 32)

    # The time limit never took effect.
    def test_time_limit_ends_an_endless_body(self):
        sock = endless_fakes.ReadySocket(UNFRAMED, b"a", 1 << 30)
        started_s = time.monotonic()
        with (
            mock.patch.object(http_response, "MAX_BODY_BYTES", 1 << 30),
            self.assertRaises(errors.ResponseLostError),
        ):
            self.exchange(sock, timeout_s=0.05)
        self.assertLess(time.monotonic() - started_s, 1.0)


def make_request(clock: boot_clock.BootClock, **fields: object):
    """Returns a request that must not run twice."""
    values = {
        "request_id": "r1",
        "service": "s",
        "key": "",
        "method": "POST",
        "path": "/x",
        "headers": (("Request-Id", "r1"),),
        "body": b"",
        "idempotent": False,
        "deadline_ns": clock.now_ns() + 10**10,
    }
    return request.Request(**(values | fields))


class TargetTest(unittest.TestCase):
    """A target on the platform that never stops sending."""

    OK = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n"
        b"Content-Length: 2\r\n\r\nok"
    )
    LATE_ID = b"Request-Id: r0"

    def make_targets(self, clock: boot_clock.BootClock) -> target_port.Targets:
        return platform_targets.PlatformTargets(clock=clock)

    # Callers waited until their time limit, and the log had no line of it.
    def test_request_ends_soon_and_the_next_one_is_answered(self):
        for name, (head, repeated) in ENDLESS_FRAMING.items():
            repeated = repeated.replace(b"Id: 1", self.LATE_ID)
            with self.subTest(name):
                self.check(head, repeated)

    def check(self, head: bytes, repeated: bytes) -> None:
        target = endless_fakes.EndlessTarget(head, repeated, self.OK)
        self.addCleanup(target.server.close)
        clock = boot_clock.BootClock()
        targets = self.make_targets(clock)
        announcement = target_port.Announcement("s", target.address, 4, True)
        fence = target_port.Fence(1, 1)
        started_s = time.monotonic()
        with self.assertLogs("primrosecross", "WARNING") as logs:
            result = targets.run(announcement, make_request(clock), fence)
        self.assertLess(time.monotonic() - started_s, 2.0)
        self.assertIsInstance(result, outcome.Unknown)
        self.assertIs(result.reason, outcome.Reason.ANSWER_LOST)
        self.assertEqual([r.request_id for r in logs.records], ["r1"])
        result = targets.run(announcement, make_request(clock), fence)
        self.assertIsInstance(result, outcome.Answered)
        gevent.sleep(0.05)
        self.assertTrue(target.closed_by_peer)
        self.assertEqual(target.connections, 2)
        targets.close_connections(announcement)


class StreamingTargetTest(TargetTest):
    """A target of the product's own daemon that never stops sending."""

    OK = (
        b"HTTP/1.1 200 OK\r\nPrimrosecross-Request-Id: r1\r\n"
        b"Content-Length: 2\r\n\r\nok"
    )
    LATE_ID = b"Primrosecross-Request-Id: r0"

    def make_targets(self, clock: boot_clock.BootClock) -> target_port.Targets:
        return target_http.HttpTargets(clock=clock)

    def check(self, head: bytes, repeated: bytes) -> None:
        if b"9000000000" in head:  # Long bodies are streamed to the caller.
            return
        super().check(head, repeated)

    # A late response may be long; it was taken for the answer.
    def test_late_response_that_never_ends_is_not_read_forever(self):
        self.check(UNFRAMED.replace(b"Id: 2", self.LATE_ID), b"a")

    # A streamed body that ends early left no line with the request's ID.
    def test_endless_streamed_body_ends_at_the_time_limit(self):
        target = endless_fakes.EndlessTarget(
            CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n", b""
        )
        self.addCleanup(target.server.close)
        clock = boot_clock.BootClock()
        req = make_request(clock, deadline_ns=clock.now_ns() + 200_000_000)
        announcement = target_port.Announcement("s", target.address, 4, True)
        targets = self.make_targets(clock)
        result = targets.run(announcement, req, target_port.Fence(1, 1))
        with (
            self.assertLogs("primrosecross", "WARNING") as logs,
            self.assertRaises(errors.BodyError),
        ):
            for _ in body.pieces(result.body):
                pass
        self.assertLess(clock.now_ns(), req.deadline_ns + 10**9)
        self.assertEqual([r.request_id for r in logs.records], ["r1"])


class ObjectStoreTest(unittest.TestCase):
    """The store of the product's own daemon, which never stops sending."""

    def make_store(self, address: str) -> object_store.ObjectStore:
        clock = boot_clock.BootClock()
        stamps = stamp.StampClock(clock=clock)
        return object_store.ObjectStore(
            url=f"http://{address}",
            clock=clock,
            timeline=events.Timeline(vm="vm", clock=clock, stamps=stamps),
            stamps=stamps,
        )

    # A header line grew in memory, and other bytes than HTTP raised an error
    # that no caller of the store knew.
    def test_call_ends_soon_and_the_next_one_succeeds(self):
        stored = b'{"metadata":{"name":"a","resourceVersion":"1"},"spec":{}}'
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
            len(stored),
            stored,
        )
        cases = ENDLESS_FRAMING | {"no HTTP": (b"", b"garbage")}
        del cases["late responses"]  # Each is a response, with no content.
        calls = {
            "read": lambda s: s.read("plans", "a"),
            "create": lambda s: s.create("plans", "a", {}),
            "watch": lambda s: s.wait_for_change("plans", "1", 5000),
        }
        for name, (head, repeated) in cases.items():
            for call_name, call in calls.items():
                with self.subTest(f"{call_name}, {name}"):
                    server = endless_fakes.EndlessTarget(
                        head, repeated, response
                    )
                    self.addCleanup(server.server.close)
                    store = self.make_store(server.address)
                    started_s = time.monotonic()
                    with self.assertRaises(errors.StoreError):
                        call(store)
                    self.assertLess(time.monotonic() - started_s, 1.5)
                    self.assertEqual(store.read("plans", "a").name, "a")

    # An event without end was buffered.
    def test_watch_ends_at_the_first_line(self):
        event = b"1000\r\n" + b"a" * 4095 + b"\n\r\n"
        server = endless_fakes.EndlessTarget(CHUNKED, event, b"")
        self.addCleanup(server.server.close)
        store = self.make_store(server.address)
        self.assertTrue(store.wait_for_change("plans", "1", 5000))


if __name__ == "__main__":
    unittest.main()
