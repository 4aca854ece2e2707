"""Calls to a peer that is slow, cut off, restarted or gone, on loopback."""

import time
import unittest

import gevent

from primrosecross.adapters.peers import peer_connection
from primrosecross.adapters.peers import peer_inbound
from primrosecross.adapters.peers import peer_liveness
from primrosecross.adapters.peers import peer_loss
from primrosecross.domain import errors
from primrosecross.domain import stream_messages
from primrosecross.domain.requests import request_messages
from primrosecross.ports import peers as peers_port
from standins import ports
from tests import test_transport_peers

HOLD_UP_S = 2.2  # longer than the silence after which a peer is suspected
PATIENT = peers_port.Patience.UNTIL_REMOVED


class RelayedTest(test_transport_peers.PeerTest):
    """Two peers; the first reaches the second through a relay."""

    def setUp(self) -> None:
        super().setUp()
        self.relay_port = ports.choose_free(1)[0]
        self.relay = test_transport_peers.Relay(
            self.relay_port, self.right_port
        )
        self.addCleanup(self.relay.stop)
        self.left.set_address("right", f"127.0.0.1:{self.relay_port}")
        self.call("/0")

    def answer_of(self, path: str, **options):
        """Returns the answer to a patient call, or its error."""
        try:
            return self.call(path, patience=PATIENT, **options)
        except errors.PeerError as error:
            return error

    def assert_answered(self, answer, path: str) -> None:
        self.assertIsInstance(answer, request_messages.ForwardAnswered)
        self.assertEqual(self.handled.count(path), 1)


class SlowPeerTest(RelayedTest):
    """A peer whose bytes are held up for longer than a liveness check."""

    # Guards against an upload answered 502 as its link was full (LOST).
    def test_call_held_up_on_its_way_is_answered(self):
        self.relay.hold_up("in", HOLD_UP_S)
        self.assert_answered(self.answer_of("/1", timeout_ms=12_000), "/1")

    # Guards against the same where the way back is full.
    def test_reply_held_up_on_its_way_is_delivered(self):
        self.relay.hold_up("out", HOLD_UP_S)
        self.assert_answered(self.answer_of("/1", timeout_ms=12_000), "/1")

    # Guards against a run cut off as the caller's side was slow (LOST).
    def test_call_in_progress_survives_a_silent_caller(self):
        task = gevent.spawn(self.answer_of, "/3000", timeout_ms=12_000)
        gevent.sleep(0.2)
        self.relay.hold_up("in", HOLD_UP_S)
        self.assert_answered(task.get(), "/3000")

    def test_new_calls_are_refused_unsent_while_the_peer_is_slow(self):
        self.relay.hold_up("in", HOLD_UP_S)
        first = gevent.spawn(self.answer_of, "/1", timeout_ms=12_000)
        gevent.sleep(1.2)
        started_s = time.monotonic()
        self.assertIsInstance(self.answer_of("/2"), errors.MessageNotSentError)
        self.assertLess(time.monotonic() - started_s, 0.1)
        self.assert_answered(first.get(), "/1")
        self.assertNotIn("/2", self.handled)

    # Guards against a 502 in place of a 504 as a call ends before its deadline.
    def test_call_does_not_time_out_early(self):
        for _ in range(20):
            started_s = time.monotonic()
            with self.assertRaises(errors.ReplyLostError):
                self.call("/300", timeout_ms=20, patience=PATIENT)
            self.assertGreaterEqual(time.monotonic() - started_s, 0.02)

    def test_impatient_call_ends_once_the_peer_is_silent(self):
        self.relay.lose_power()
        started_s = time.monotonic()
        with self.assertRaises(errors.ReplyLostError):
            self.call("/1", timeout_ms=10_000)
        self.assertLess(
            time.monotonic() - started_s, test_transport_peers.DETECTION_LIMIT_S
        )

    # Guards against a caller that waits for its limit at a VM that is lost.
    def test_calls_end_once_a_silent_peer_is_removed_from_the_fleet(self):
        self.relay.lose_power()
        removed: set[str] = set()
        self.left.is_removed = removed.__contains__
        task = gevent.spawn(self.answer_of, "/1", timeout_ms=10_000)
        gevent.sleep(2.2)
        self.assertFalse(task.ready())
        removed.add("right")
        self.assertIsInstance(task.get(timeout=0.6), errors.ReplyLostError)

    def test_silence_and_its_end_are_logged_with_the_requests(self):
        self.relay.hold_up("in", HOLD_UP_S)
        with self.assertLogs(peer_loss.__name__, "WARNING") as logs:
            self.answer_of("/1", timeout_ms=12_000)
            gevent.sleep(2 * peer_connection.PING_INTERVAL_S)
        texts = [record.getMessage() for record in logs.records]
        self.assertRegex(texts[0], "peer right is silent for [0-9]+ ms; ")
        self.assertEqual(logs.records[0].request_ids, ("id",))
        self.assertIn("peer right responds again", texts)


class LivenessTest(unittest.TestCase):
    """Checks of a connection in use."""

    # Guards against a 503 right after a slow peer has responded.
    def test_peer_that_responded_since_the_last_check_is_not_suspect(self):
        liveness = peer_liveness.Liveness(accepted=False)
        for _ in range(peer_liveness.SUSPECT_MISSED_PINGS):
            liveness.check(in_use=True)
        self.assertTrue(liveness.suspect)
        liveness.note_data()
        self.assertFalse(liveness.suspect)


class DeadConnectionTest(RelayedTest):
    """A connection that is silent for good while new ones work."""

    # Guards against a call that runs after its caller was told it is lost.
    def test_call_that_was_not_received_is_reported_and_never_runs(self):
        self.relay.hold_up("in", HOLD_UP_S, connections=1)
        started_s = time.monotonic()
        answer = self.answer_of("/1", timeout_ms=12_000)
        self.assertIsInstance(answer, errors.MessageNotSentError)
        self.assertLess(
            time.monotonic() - started_s, test_transport_peers.DETECTION_LIMIT_S
        )
        gevent.sleep(HOLD_UP_S)
        self.assertNotIn("/1", self.handled)

    def test_reply_is_reclaimed_on_another_connection(self):
        task = gevent.spawn(self.answer_of, "/2500", timeout_ms=12_000)
        gevent.sleep(0.2)
        self.relay.go_silent()
        started_s = time.monotonic()
        self.assert_answered(task.get(), "/2500")
        self.assertLess(time.monotonic() - started_s, 3.0)

    def test_large_reply_is_reclaimed_whole(self):
        content = bytes(range(256)) * (1 << 12)
        task = gevent.spawn(
            self.answer_of, "/2500", content=content, timeout_ms=12_000
        )
        gevent.sleep(0.5)
        self.relay.go_silent()
        answer = task.get()
        self.assert_answered(answer, "/2500")
        self.assertEqual(answer.body, content)

    def test_abandoned_reclaim_stops_the_handler(self):
        task = gevent.spawn(self.answer_of, "/9000", timeout_ms=12_000)
        gevent.sleep(0.2)
        self.relay.go_silent()
        gevent.sleep(2.5)
        task.kill()
        gevent.sleep(0.2)
        self.assertIn("/9000", self.ended)

    # Guards against a 502 for a request whose answer was already on its way.
    def test_reply_sent_on_a_dead_connection_is_reclaimed(self):
        task = gevent.spawn(self.answer_of, "/500", timeout_ms=12_000)
        gevent.sleep(0.2)
        self.relay.go_silent()
        self.assert_answered(task.get(), "/500")

    def test_long_reply_sent_on_a_dead_connection_is_reported_as_lost(self):
        content = bytes(peer_inbound.MAX_REPLY_BYTES + 1)
        task = gevent.spawn(
            self.answer_of, "/500", content=content, timeout_ms=12_000
        )
        gevent.sleep(0.2)
        self.relay.go_silent()
        self.assertIsInstance(task.get(), stream_messages.Failure)
        self.assertEqual(self.handled.count("/500"), 1)


class StoppingPeerTest(test_transport_peers.PeerTest):
    """A peer that stops while calls to it arrive."""

    # Guards against a 502 for requests that a stopping daemon never read.
    def test_calls_that_cross_the_stop_are_reported_as_not_handled(self):
        errors_seen: list[Exception] = []

        def keep_calling() -> None:
            for _ in range(400):
                try:
                    self.call("/1", patience=PATIENT)
                except errors.PeerError as error:
                    errors_seen.append(error)
                gevent.sleep(0)

        tasks = [gevent.spawn(keep_calling) for _ in range(20)]
        gevent.sleep(0.2)
        self.right.stop()
        gevent.joinall(tasks)
        self.assertTrue(errors_seen)
        lost = [e for e in errors_seen if isinstance(e, errors.ReplyLostError)]
        self.assertEqual(lost, [])

    def test_call_in_progress_is_answered_while_the_peer_goes_away(self):
        task = gevent.spawn(self.call, "/200", patience=PATIENT)
        gevent.sleep(0.1)
        stop = gevent.spawn(self.right.stop)
        self.assertIsInstance(task.get(), request_messages.ForwardAnswered)
        stop.join()


class GonePeerTest(RelayedTest):
    """A peer whose process ended without a sign on the connection."""

    def test_calls_fail_at_once_if_the_peer_refuses_connections(self):
        task = gevent.spawn(self.answer_of, "/1", timeout_ms=12_000)
        self.relay.go_silent()
        self.relay.stop_listening()
        started_s = time.monotonic()
        self.assertIsInstance(task.get(), errors.ReplyLostError)
        self.assertLess(
            time.monotonic() - started_s, test_transport_peers.DETECTION_LIMIT_S
        )

    def test_calls_fail_at_once_if_the_peer_has_restarted(self):
        task = gevent.spawn(self.answer_of, "/30000", timeout_ms=12_000)
        gevent.sleep(0.2)
        self.relay.go_silent()
        port = ports.choose_free(1)[0]
        restarted = test_transport_peers.make_peer(
            "right", port, [], incarnation="second"
        )
        self.addCleanup(restarted.stop)
        self.relay.target_port = port
        started_s = time.monotonic()
        self.assertIsInstance(task.get(), errors.ReplyLostError)
        self.assertLess(
            time.monotonic() - started_s, test_transport_peers.DETECTION_LIMIT_S
        )
