"""What a lost connection between daemons says of its cause and its calls."""

import dataclasses
import json
import logging
import socket
import struct
import time
import unittest

import gevent
from gevent import monkey
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from primrosecross.adapters import boot_clock
from primrosecross.adapters import json_log
from primrosecross.adapters import loop_lateness
from primrosecross.adapters.peers import peer_connection
from primrosecross.adapters.peers import peer_loss
from primrosecross.adapters.peers import peer_writer
from primrosecross.domain import errors
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from standins import ports
from tests import test_transport_peers

LOSS_LOGGER = "primrosecross.adapters.peers.peer_loss"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def only_record(test: unittest.TestCase, logs, **fields) -> logging.LogRecord:
    """Returns the only record with these fields."""
    records = [
        record
        for record in logs.records
        if all(getattr(record, n, None) == v for n, v in fields.items())
    ]
    test.assertEqual(len(records), 1, [vars(r) for r in logs.records])
    return records[0]


class LosingTest(test_transport_peers.PeerTest):
    """Loses the calls in flight on the connection between two peers."""

    def lose(self, end_connection, *, calls: int = 1) -> list[Exception]:
        """Returns the errors of calls that are lost by ending the connection.

        Sets `logs` to what was logged.
        """
        tasks = [gevent.spawn(self._fail, f"id-{n}") for n in range(calls)]
        gevent.sleep(0.1)
        with self.assertLogs(LOSS_LOGGER, "INFO") as self.logs:
            end_connection()
            gevent.joinall(tasks, timeout=5)
            gevent.sleep(0.1)
        return [task.value for task in tasks]

    def _fail(self, request_id: str) -> Exception | None:
        forward = dataclasses.replace(
            test_transport_peers.make_forward("/30000"), request_id=request_id
        )
        try:
            self.left.call("right", forward, timeout_ms=20_000)
        except errors.PeerError as error:
            return error
        return None

    @property
    def opened(self) -> peer_connection.Connection:
        """Connection of the first peer to the second."""
        lane = stream_messages.Lane.REQUESTS
        return self.left._links["right", lane].connection

    @property
    def accepted(self) -> peer_connection.Connection:
        """The same connection on the second peer."""
        return next(iter(self.right._accepted))

    def check(self, error: Exception, cause: str, problem: str) -> None:
        """Checks the error of the only call and its connection's line."""
        self.assertIsInstance(error, errors.ReplyLostError)
        text = f"the connection was closed as {problem}"
        self.assertIn(text, error.problem)
        record = only_record(
            self, self.logs, levelname="WARNING", cause=cause, calls_lost=1
        )
        self.assertIn("peer connection to right: ", record.getMessage())
        self.assertIn(text, record.getMessage())
        self.assertEqual(record.request_ids, ("id-0",))
        self.assertEqual(record.lane, "requests")
        self.assertEqual(self.left.counts[f"calls_lost/{cause}"], 1)
        self.assertEqual(self.left.counts[f"connections_closed/{cause}"], 1)


class LostCallTest(LosingTest):
    """Calls in flight when their connection ends, by cause."""

    def test_changed_address_is_named_with_both_addresses(self):
        address = f"127.0.0.1:{self.right_port}"
        error = self.lose(
            lambda: self.left.set_address("right", "127.0.0.1:1")
        )[0]
        self.check(
            error,
            "address-changed",
            f"the peer's address changed from {address} to 127.0.0.1:1",
        )

    def test_own_stop_is_named(self):
        error = self.lose(self.left.stop)[0]
        self.check(error, "stopped", "this daemon stops")

    def test_stop_of_the_peer_is_named_on_both_sides(self):
        error = self.lose(self.right.stop)[0]
        self.check(error, "peer-closed", "the peer closed it")
        record = only_record(
            self, self.logs, levelname="WARNING", cause="stopped"
        )
        self.assertIn("peer connection from left: ", record.getMessage())
        self.assertEqual((record.calls_lost, record.inbound_lost), (0, 1))
        self.assertEqual(record.request_ids, ("id-0",))
        self.assertEqual(self.right.counts["inbound_lost/stopped"], 1)

    def test_end_of_stream_is_named_on_the_accepting_side(self):
        self.lose(self.left.stop)
        record = only_record(
            self, self.logs, levelname="WARNING", cause="peer-closed"
        )
        self.assertIn("peer connection from left: ", record.getMessage())
        self.assertEqual(record.inbound_lost, 1)
        self.assertEqual(record.request_ids, ("id-0",))

    def test_reset_is_named(self):
        def reset() -> None:
            accepted = self.accepted
            accepted._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            accepted.close(peer_loss.Cause.STOPPED)

        error = self.lose(reset)[0]
        self.check(error, "read-failed", "reading from it failed: [Errno 104]")

    def test_failed_write_is_named(self):
        def break_pipe() -> None:
            def send(batch: list[bytes]) -> None:
                raise BrokenPipeError(32, "Broken pipe")

            self.opened._writer._send = send
            self.opened._post(0, stream_messages.Ping(), is_reply=False)

        error = self.lose(break_pipe)[0]
        self.check(error, "write-failed", "writing to it failed: [Errno 32]")

    def test_protocol_error_is_named(self):
        error = self.lose(lambda: self.accepted._sock.sendall(b"\xc1"))[0]
        self.check(
            error,
            "protocol-error",
            "the peer violated the protocol: garbage on a peer connection",
        )

    def test_number_of_logged_ids_is_bounded(self):
        lost = self.lose(self.left.stop, calls=peer_loss.MAX_LOGGED_IDS + 5)
        record = only_record(self, self.logs, cause="stopped")
        self.assertEqual(record.calls_lost, len(lost))
        self.assertEqual(record.requests_lost, len(lost))
        self.assertEqual(len(record.request_ids), peer_loss.MAX_LOGGED_IDS)

    def test_answer_that_was_not_sent_is_lost(self):
        self.call("/0")
        self.accepted._writer._send = lambda batch: gevent.sleep(10)
        task = gevent.spawn(self.call, "/0")
        gevent.sleep(0.1)
        with self.assertLogs(LOSS_LOGGER, "WARNING") as logs:
            self.right.stop()
        task.kill()
        record = only_record(self, logs, cause="stopped")
        self.assertEqual((record.inbound_lost, record.answers_unsent), (0, 1))
        self.assertEqual(record.request_ids, ("id",))

    def test_line_is_written_with_its_fields(self):
        self.lose(self.left.stop)
        record = only_record(self, self.logs, cause="stopped")
        line = json.loads(json_log.JsonFormatter(vm="left").format(record))
        self.assertEqual(line["request_ids"], ["id-0"])
        self.assertEqual(line["cause"], "stopped")
        self.assertEqual(line["queued_frames"], 0)
        self.assertGreaterEqual(line["age_ms"], line["silent_ms"])
        self.assertEqual(line["unread_bytes"], 0)


class SilentPeerTest(LosingTest):
    """Calls on a connection that drops all bytes."""

    def setUp(self) -> None:
        super().setUp()
        port = ports.choose_free(1)[0]
        self.relay = test_transport_peers.Relay(port, self.right_port)
        self.addCleanup(self.relay.stop)
        self.left.set_address("right", f"127.0.0.1:{port}")

    def test_silence_counts_from_the_call_on(self):
        self.call("/0")
        gevent.sleep(0.7)
        started_s = time.monotonic()
        error = self.lose(self.relay.lose_power)[0]
        elapsed_ms = (time.monotonic() - started_s) * 1000
        self.assertIsInstance(error, errors.ReplyLostError)
        record = only_record(self, self.logs, calls_lost=1)
        self.assertEqual(record.levelname, "WARNING")
        self.assertEqual(record.cause, peer_loss.Cause.PEER_SILENT)
        self.assertEqual(record.request_ids, ("id-0",))
        self.assertEqual(record.lane, "requests")
        self.assertEqual(self.left.counts["calls_lost/peer-silent"], 1)
        self.assertIn(f"silent for {record.silent_ms} ms", error.problem)
        self.assertLessEqual(record.silent_ms, elapsed_ms)
        min_silent_s = 3 * peer_connection.PING_INTERVAL_S
        self.assertGreaterEqual(record.silent_ms, min_silent_s * 1000)


class NothingLostTest(test_transport_peers.PeerTest):
    """Connections that end without a call in flight."""

    def test_idle_connection_ends_without_a_warning(self):
        self.call("/0")
        lane = stream_messages.Lane.REQUESTS
        connection = self.left._links["right", lane].connection
        with self.assertLogs(LOSS_LOGGER, "INFO") as logs:
            while not connection.closed:
                connection.check(idle_check_due=True)
        record = only_record(self, logs, cause="idle")
        self.assertEqual(record.levelname, "INFO")
        self.assertEqual(connection.ending.cause, peer_loss.Cause.IDLE)

    def test_failed_handshake_is_named(self):
        port = ports.choose_free(1)[0]
        server = gevent_server.StreamServer(
            ("127.0.0.1", port), lambda sock, _: sock.sendall(b"\xc1")
        )
        server.start()
        self.addCleanup(server.stop)
        self.left.set_address("other", f"127.0.0.1:{port}")
        with (
            self.assertLogs(LOSS_LOGGER, "INFO") as logs,
            self.assertRaises(errors.MessageNotSentError),
        ):
            self.left.call("other", stream_messages.Ping(), timeout_ms=1000)
        record = only_record(self, logs, cause="handshake-failed")
        self.assertIn("the handshake failed: ", record.getMessage())
        self.assertEqual(record.levelname, "INFO")


class BacklogTest(unittest.TestCase):
    """What a writer reports while its socket accepts nothing."""

    def test_blocked_send_is_measured(self):
        sock, unread_sock = gevent_socket.socketpair()
        self.addCleanup(sock.close)
        self.addCleanup(unread_sock.close)
        failures: list[OSError] = []
        writer = peer_writer.Writer(
            sock=sock,
            stamps=stamp.StampClock(clock=boot_clock.BootClock()),
            traffic=peer_writer.Traffic(),
            on_progress=lambda: None,
            on_failure=failures.append,
        )
        self.addCleanup(writer.stop)
        large = stream_messages.StreamPiece(bytes(4 << 20))
        writer.enqueue_message(1, large, False)
        gevent.sleep(0.2)
        writer.enqueue_message(0, stream_messages.Ping(), False)
        backlog = writer.backlog()
        self.assertEqual(backlog.frames, 1)
        self.assertGreater(backlog.bytes, 1 << 20)
        self.assertGreaterEqual(backlog.blocked_ms, 100)
        self.assertEqual(failures, [])


class LatenessTest(unittest.TestCase):
    """The event loop of a process that computes or waits too long."""

    def test_late_event_loop_is_logged_with_its_processor_time(self):
        meter = loop_lateness.LatenessMeter()
        block = monkey.get_original("time", "sleep")
        gevent.spawn(block, loop_lateness.MAX_LATE_S + 0.2)
        with self.assertLogs("primrosecross", "WARNING") as logs:
            meter.sleep(0.1)
        message = logs.records[0].getMessage()
        self.assertRegex(
            message, r"event loop was late by \d+ ms; .* \d+ ms of processor"
        )
        self.assertGreater(
            meter.take_worst_ms(), 1000 * loop_lateness.MAX_LATE_S
        )
        self.assertEqual(meter.take_worst_ms(), 0)

    def test_monitor_measures_its_own_sleep(self):
        peer = test_transport_peers.make_peer(
            "alone", ports.choose_free(1)[0], []
        )
        self.addCleanup(peer.stop)
        gevent.sleep(0.1)
        with self.assertLogs(loop_lateness.__name__, "WARNING"):
            monkey.get_original("time", "sleep")(
                peer_connection.PING_INTERVAL_S + loop_lateness.MAX_LATE_S
            )
            gevent.sleep(0.1)
