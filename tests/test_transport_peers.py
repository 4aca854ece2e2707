"""Connections between daemons, on loopback in one process."""

import contextlib
import time
import unittest

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from primrosecross.adapters import boot_clock
from primrosecross.adapters.peers import peer_loss
from primrosecross.adapters.peers import peer_streams
from primrosecross.domain import errors
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from primrosecross.domain.membership import member_messages
from primrosecross.domain.requests import body
from primrosecross.domain.requests import request_messages
from standins import ports

DETECTION_LIMIT_S = 2.0
ALL_CONNECTIONS = 1 << 32


def make_peer(
    vm: str, port: int, recorded: list, *, incarnation: str = "first"
) -> peer_streams.PeerStreams:
    """Returns a started peer that listens on a port."""
    hello = stream_messages.Hello(
        peer_streams.PROTOCOL, "test", vm, incarnation, "control"
    )
    peer = peer_streams.PeerStreams(
        hello=hello,
        listen=("127.0.0.1", port),
        stamps=stamp.StampClock(clock=boot_clock.BootClock()),
        record=recorded.append,
    )
    peer.start()
    return peer


def make_forward(
    path: str, content: body.Body = b"", timeout_ms: int = 5000
) -> request_messages.Forward:
    """Returns a forwarded request for the handlers of these tests."""
    return request_messages.Forward(
        request_id="id",
        service="s",
        key="k",
        method="POST",
        path=path,
        headers=(),
        body=content,
        idempotent=False,
        identified=False,
        attempt=1,
        generation=1,
        timeout_ms=timeout_ms,
    )


class Relay:
    """TCP relay that can hold up or drop bytes without closing connections.

    Attributes:
        silenced_connections: Number of connections, from the first on, whose
            bytes are dropped.
        target_port: Port to which new connections lead.
    """

    def __init__(self, port: int, target_port: int) -> None:
        self.silenced_connections = 0
        self._held_connections = {"in": 0, "out": 0}
        self._held_until_s = 0.0
        self.target_port = target_port
        self._accepted: list = []
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", port), self._accept
        )
        self._server.start()

    def _accept(self, sock, _) -> None:
        other = gevent_socket.create_connection(("127.0.0.1", self.target_port))
        self._accepted.append((sock, other))
        number = len(self._accepted)
        tasks = [
            gevent.spawn(self._copy, sock, other, number, "in"),
            gevent.spawn(self._copy, other, sock, number, "out"),
        ]
        gevent.joinall(tasks)

    def _copy(self, source, sink, number: int, direction: str) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if number <= self._held_connections[direction]:
                    gevent.sleep(
                        max(0.0, self._held_until_s - time.monotonic())
                    )
                if number > self.silenced_connections:
                    sink.sendall(data)

    def go_silent(self) -> None:
        """Drops all further bytes on the current connections."""
        self.silenced_connections = len(self._accepted)

    def lose_power(self) -> None:
        """Drops all further bytes on all connections, also on new ones."""
        self.silenced_connections = ALL_CONNECTIONS

    def hold_up(
        self, direction: str, for_s: float, connections: int = ALL_CONNECTIONS
    ) -> None:
        """Holds up bytes to the target ("in") or from it ("out").

        Args:
            direction: Direction of the bytes.
            for_s: Time after which they are passed on.
            connections: Number of connections concerned, from the first on.
        """
        self._held_until_s = time.monotonic() + for_s
        self._held_connections[direction] = connections

    def stop_listening(self) -> None:
        """Refuses new connections."""
        self._server.close()

    def stop(self) -> None:
        """Closes all connections."""
        self._server.close()
        for pair in self._accepted:
            for sock in pair:
                sock.close()


class PeerTest(unittest.TestCase):
    """Two peers; the first sends, the second handles."""

    def setUp(self) -> None:
        self.recorded: list = []
        port = ports.choose_free(1)[0]
        self.right_port = port
        self.right = make_peer("right", port, [])
        self.left = make_peer("left", ports.choose_free(1)[0], self.recorded)
        self.left.set_address("right", f"127.0.0.1:{port}")
        self.right.handler = self.handle
        self.handled: list[str] = []
        self.ended: list[str] = []
        self.addCleanup(self.left.stop)
        self.addCleanup(self.right.stop)

    def handle(self, message):
        if not isinstance(message, request_messages.Forward):
            return stream_messages.Done()
        self.handled.append(message.path)
        try:
            delay_ms = int(message.path.rpartition("/")[2] or 0)
            gevent.sleep(delay_ms / 1000)
            content = b"".join(body.pieces(message.body))
            return request_messages.ForwardAnswered(
                message.request_id, 200, (), content
            )
        finally:
            self.ended.append(message.path)

    def call(
        self, path: str, content: body.Body = b"", timeout_ms=5000, **options
    ):
        message = make_forward(path, content, timeout_ms)
        return self.left.call(
            "right", message, timeout_ms=timeout_ms, **options
        )


class SilentConnectionTest(PeerTest):
    """Connections that drop all bytes without closing."""

    def setUp(self) -> None:
        super().setUp()
        port = ports.choose_free(1)[0]
        self.relay = Relay(port, self.right_port)
        self.addCleanup(self.relay.stop)
        self.left.set_address("right", f"127.0.0.1:{port}")

    def test_silent_connection_is_closed_and_replaced(self):
        self.call("/0")
        self.relay.go_silent()
        started_s = time.monotonic()
        with self.assertRaises(errors.MessageNotSentError):
            self.call("/1", timeout_ms=10_000)
        self.assertLess(time.monotonic() - started_s, DETECTION_LIMIT_S)
        self.assertIsInstance(self.call("/2"), request_messages.ForwardAnswered)
        self.assertNotIn("/1", self.handled)
        lost_connections = [(e.vm, e.lane, e.calls_lost) for e in self.recorded]
        self.assertIn(("right", "requests", 1), lost_connections)

    def test_new_calls_fail_at_once_while_a_peer_is_silent(self):
        """A VM loses power while requests to it are in flight."""
        self.call("/0")
        self.relay.lose_power()
        first = gevent.spawn(self.loses_reply, "/1")
        gevent.sleep(1.2)  # two liveness checks without an answer
        call_started_s = time.monotonic()
        with self.assertRaises(errors.MessageNotSentError):
            self.call("/2")
        self.assertLess(time.monotonic() - call_started_s, 0.1)
        self.assertTrue(first.get())

    def test_idle_working_connection_is_kept(self):
        self.call("/0")
        gevent.sleep(1.5 * DETECTION_LIMIT_S)
        self.call("/1")
        self.assertEqual(len(self.relay._accepted), 1)

    def test_unsent_message_is_reported_as_not_sent(self):
        self.call("/0")
        self.relay.go_silent()
        link = self.left._links["right", stream_messages.Lane.REQUESTS]
        link.connection._writer._send = lambda batch: gevent.sleep(10)
        first = gevent.spawn(self.is_not_received, "/1")
        gevent.sleep(0.1)
        with self.assertRaises(errors.MessageNotSentError):
            self.call("/2", timeout_ms=10_000)
        self.assertTrue(first.get())

    def test_silent_request_lane_does_not_block_control(self):
        self.call("/0")
        self.relay.go_silent()
        lost = gevent.spawn(self.is_not_received, "/1")
        self.assertEqual(
            self.left.call(
                "right", member_messages.FetchState(0, 0), timeout_ms=500
            ),
            stream_messages.Done(),
        )
        self.assertTrue(lost.get())

    def loses_reply(self, path: str) -> bool:
        try:
            self.call(path, timeout_ms=10_000)
        except errors.ReplyLostError:
            return True
        return False

    def is_not_received(self, path: str) -> bool:
        """Returns whether the peer says that it did not receive a call."""
        try:
            self.call(path, timeout_ms=10_000)
        except errors.MessageNotSentError:
            return path not in self.handled
        return False


class CallTest(PeerTest):
    """Calls that are cancelled, time out or have no reachable peer."""

    def test_late_reply_is_not_delivered_to_another_call(self):
        with self.assertRaises(errors.ReplyLostError):
            self.call("/150", b"late", timeout_ms=50)
        answer = self.call("/0", b"mine")
        gevent.sleep(0.2)
        self.assertEqual(answer.body, b"mine")

    # Guards against a call lost as the other side closes an idle connection.
    def test_side_that_opened_a_connection_closes_it_first_when_idle(self):
        self.call("/0")
        opened = self.left._links[
            "right", stream_messages.Lane.REQUESTS
        ].connection
        accepted = next(iter(self.right._accepted))
        while not opened.closed:
            accepted.check(idle_check_due=True)
            self.assertFalse(accepted.closed)
            opened.check(idle_check_due=True)
        self.assertEqual(opened.ending.cause, peer_loss.Cause.IDLE)
        for _ in range(100):
            accepted.check(idle_check_due=True)
        self.assertTrue(accepted.closed)

    def test_duplicate_replies_are_dropped_and_counted(self):
        self.call("/0")
        accepted = next(iter(self.right._accepted))
        accepted._post(1, stream_messages.Done(), is_reply=True)
        accepted._post(99, stream_messages.Done(), is_reply=True)
        self.assertEqual(self.call("/0", b"mine").body, b"mine")
        self.assertEqual(self.left.counts["answers_late"], 2)

    def test_cancelled_call_stops_its_handler(self):
        task = gevent.spawn(self.call, "/5000", timeout_ms=10_000)
        gevent.sleep(0.1)
        task.kill()
        gevent.sleep(0.1)
        self.assertEqual(self.ended, ["/5000"])

    def test_calls_to_unknown_or_dead_peers_fail_fast(self):
        self.left.set_address("dead", "127.0.0.1:1")
        started_s = time.monotonic()
        tasks = [
            gevent.spawn(self.fails_unsent, vm)
            for vm in ("dead", "unknown")
            for _ in range(200)
        ]
        gevent.joinall(tasks, timeout=5)
        self.assertLess(time.monotonic() - started_s, 1.5)
        self.assertTrue(all(task.value for task in tasks))

    def fails_unsent(self, vm: str) -> bool:
        try:
            self.left.call(vm, stream_messages.Ping(), timeout_ms=30_000)
        except errors.MessageNotSentError:
            return True
        return False

    def test_concurrent_calls_in_both_directions(self):
        self.right.set_address("left", f"127.0.0.1:{self.left_port()}")
        self.left.handler = lambda message: stream_messages.Done()
        tasks = [gevent.spawn(self.call, "/0", b"x") for _ in range(20)]
        tasks += [
            gevent.spawn(
                self.right.call, "left", stream_messages.Ping(), timeout_ms=1000
            )
            for _ in range(20)
        ]
        gevent.joinall(tasks, raise_error=True)

    def left_port(self) -> int:
        return self.left._server.server_port

    def test_malformed_first_bytes_are_rejected(self):
        for garbage in (b"GET / HTTP/1.1\r\n\r\n", b"\xdd\xff\xff\xff\xff" * 9):
            sock = gevent_socket.create_connection(
                ("127.0.0.1", self.right_port), timeout=2
            )
            with self.assertLogs("primrosecross", "INFO") as logs:
                sock.sendall(garbage)
                while sock.recv(4096):
                    pass
                gevent.sleep(0.05)
            self.assertEqual(len(logs.records), 1)
            sock.close()


if __name__ == "__main__":
    unittest.main()
