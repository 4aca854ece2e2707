"""Memory that bodies fill in one daemon."""

import gc
import tracemalloc
import unittest
from unittest import mock

import gevent
from gevent import event as gevent_event
from gevent import socket

from primrosecross.adapters import boot_clock
from primrosecross.adapters import fleet_metrics
from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser
from primrosecross.domain import fleet_node
from primrosecross.domain import stamp
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import membership
from primrosecross.domain.operators import events
from primrosecross.domain.operators import meter
from primrosecross.domain.requests import body
from primrosecross.domain.requests import body_memory
from primrosecross.domain.requests import forwards
from primrosecross.domain.requests import outcome
from tests import fakes
from tests import fleet_fakes
from tests import test_transport_bodies

UPLOAD_BYTES = 24 << 20
UPLOADS = 8
TIMEOUT_MS = 10_000


def make_node(
    clock: fakes.ManualClock, targets: fleet_fakes.Targets, **options: object
) -> fleet_node.FleetNode:
    """Returns a daemon with a ready target."""
    node = fleet_node.FleetNode(
        identity=membership.DaemonIdentity(
            vm="a", place="z", region="", peer_address="", incarnation="1"
        ),
        ports=fleet_node.FleetPorts(
            clock=clock,
            store=fleet_fakes.repository(fleet_fakes.MemoryStore()),
            plans=fleet_fakes.NoPlans(),
            peers=fleet_fakes.Peers(),
            targets=targets,
            key_calls=None,
        ),
        timeline=events.Timeline(
            vm="a", clock=clock, stamps=stamp.StampClock(clock=clock)
        ),
        limits=fleet_node.NodeLimits(
            max_hold_ms=4000, drain_ms=2000, plan_in_force_ms=2500
        ),
        **options,
    )
    node.local_target_watch.handle_heartbeat(fleet_fakes.heartbeat())
    node.gate.queue.set_slots(UPLOADS)
    return node


class ForwardedBodyTest(unittest.TestCase):
    """A daemon to which others forward many uploads at once."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.targets = fleet_fakes.Targets()
        self.node = make_node(self.clock, self.targets)

    def forward(self, source: body.Body, request_id: str = "r-1") -> object:
        req = fleet_fakes.make_request(
            request_id=request_id, method="POST", idempotent=False
        )
        return self.node.handle(
            forwards.to_message(req, timeout_ms=TIMEOUT_MS, body=source)
        )

    # All bodies were read before the first request got its slot; daemons went
    # over their memory limit and were killed with all requests of others.
    def test_uploads_at_once_do_not_fill_the_memory(self):
        begin = gevent_event.Event()

        def receive(req):
            begin.wait()
            received = sum(len(p) for p in body.pieces(req.body))
            return outcome.Answered(200, (), str(received).encode())

        self.targets.answer = receive
        sources = [
            test_transport_bodies.ZeroStream(UPLOAD_BYTES)
            for _ in range(UPLOADS)
        ]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        tasks = [
            gevent.spawn(self.forward, source, f"r-{n}")
            for n, source in enumerate(sources)
        ]
        gevent.sleep(0.5)
        begin.set()
        gevent.joinall(tasks, timeout=30)
        _, peak_bytes = tracemalloc.get_traced_memory()
        answered = [t.value.body for t in tasks]
        self.assertEqual(answered, [str(UPLOAD_BYTES).encode()] * UPLOADS)
        self.assertLess(peak_bytes, UPLOAD_BYTES)

    def test_small_body_has_room_beside_large_ones(self):
        memory = self.node.bodies
        memory.charge(memory.max_bytes)
        reply = self.forward(b"x")
        self.assertEqual(reply.status, 200)
        self.assertEqual(memory.used_bytes, memory.max_bytes)

    def test_body_without_room_is_refused_as_not_run(self):
        memory = self.node.bodies
        memory.charge(memory.max_bytes)
        reply = self.forward(bytes(memory.small_bytes + 1))
        self.assertEqual(reply.reason, outcome.Reason.OVERLOADED.value)
        self.assertGreaterEqual(reply.retry_after_ms, body_memory.MIN_RETRY_MS)
        self.assertEqual(self.targets.ran, [])
        self.assertEqual(memory.used_bytes, memory.max_bytes)

    def test_large_answer_counts_until_it_has_been_sent(self):
        answer = bytes(body.MAX_FRAMED_BYTES + 1)
        self.targets.answer = lambda req: outcome.Answered(200, (), answer)
        reply = self.forward(b"")
        self.assertEqual(self.node.bodies.used_bytes, len(answer))
        reply.body.close()
        self.assertEqual(self.node.bodies.used_bytes, 0)

    # A target that refuses work beyond its slots is busy until it has sent its
    # answer.
    def test_slot_is_held_until_a_streamed_answer_has_been_read(self):
        self.targets.answer = lambda req: outcome.Answered(
            200, (), test_transport_bodies.ZeroStream(UPLOAD_BYTES)
        )
        reply = self.forward(b"")
        self.assertEqual(self.node.gate.queue.running, 1)
        reply.body.close()
        self.assertEqual(self.node.gate.queue.running, 0)


class LongAnswerTest(unittest.TestCase):
    """Answers that the daemon of their caller buffers."""

    def setUp(self) -> None:
        clock = fleet_fakes.GeventClock()
        self.targets = fleet_fakes.Targets()
        self.targets.answer = lambda req: outcome.Answered(
            200, (), test_transport_bodies.ZeroStream(UPLOAD_BYTES)
        )
        self.node = make_node(clock, self.targets)
        self.memory = self.node.bodies
        entry = fleet_messages.VmEntry(
            "a", "z", "a:1", "desk", 2, "ready", False
        )
        self.node.state.update_entries((entry,), replace_all=True)

    def run_request(self) -> outcome.Outcome:
        return self.node.dispatcher.run(
            fleet_fakes.make_request(idempotent=False), max_run_attempts=1
        )

    def test_long_answer_is_read_whole_and_gives_its_room_back(self):
        result = self.run_request()
        self.assertEqual(len(result.body), UPLOAD_BYTES)
        self.assertEqual(self.memory.used_bytes, 0)
        self.assertEqual(self.node.gate.queue.running, 0)

    def test_caller_who_leaves_frees_the_slot_of_an_answer_without_room(self):
        self.memory.charge(self.memory.max_bytes)
        task = gevent.spawn(self.run_request)
        gevent.sleep(0.05)
        self.assertEqual(self.node.gate.queue.running, 1)
        task.kill()
        self.assertEqual(self.node.gate.queue.running, 0)
        self.assertEqual(self.memory.used_bytes, self.memory.max_bytes)


class BodyMemoryTest(unittest.TestCase):
    """Decisions about room for bodies."""

    def setUp(self) -> None:
        self.clock = fleet_fakes.GeventClock()
        self.memory = body_memory.BodyMemory(
            clock=self.clock, max_bytes=90 << 20
        )

    def take(self, size: int, kind=body_memory.Kind.REQUEST) -> bool:
        return self.memory.take(size, body_bytes=size, kind=kind)

    def test_requests_leave_room_for_answers(self):
        self.assertTrue(self.take(60 << 20))
        self.assertFalse(self.take(1 << 20))
        self.assertTrue(self.take(30 << 20, body_memory.Kind.ANSWER))
        self.assertFalse(self.take(1 << 20, body_memory.Kind.ANSWER))
        self.assertTrue(self.take(1000))
        self.assertEqual(self.memory.refused, 2)

    def test_retry_follows_how_long_bodies_are_held(self):
        self.take(60 << 20)
        self.assertEqual(
            self.memory.retry_after_ms(60 << 20), body_memory.DEFAULT_HOLD_MS
        )
        self.clock.advance(3000)
        self.memory.give_back(60 << 20)
        self.take(60 << 20)
        self.assertEqual(self.memory.retry_after_ms(60 << 20), 3000)
        self.assertEqual(self.memory.retry_after_ms(20 << 20), 1000)

    def test_answer_waits_until_another_body_is_released(self):
        self.take(60 << 20)
        self.take(30 << 20, body_memory.Kind.ANSWER)
        waiting = gevent.spawn(self.memory.await_answer, 20 << 20, timeout_s=5)
        gevent.sleep(0.05)
        self.assertFalse(waiting.ready())
        self.memory.give_back(30 << 20)
        self.assertTrue(waiting.get(timeout=1))

    def test_answer_is_given_up_at_its_time_limit(self):
        self.take(90 << 20, body_memory.Kind.ANSWER)
        self.assertFalse(self.memory.await_answer(1 << 20, timeout_s=0.05))
        self.assertEqual(self.memory.used_bytes, 90 << 20)


class MetricsTest(unittest.TestCase):
    """What a daemon tells of its memory."""

    def setUp(self) -> None:
        clock = fakes.ManualClock()
        self.node = make_node(clock, fleet_fakes.Targets())
        self.node.bodies.charge(3 << 20)
        stamps = stamp.StampClock(clock=clock)
        self.metrics = fleet_metrics.FleetMetrics(
            node=self.node,
            meter=meter.Meter(
                timeline=events.Timeline(vm="a", clock=clock, stamps=stamps)
            ),
            peers=mock.Mock(
                counts={},
                lateness=mock.Mock(take_worst_ms=lambda: 0),
                traffic=mock.Mock(sent_bytes=0),
            ),
            store_calls=dict,
            target_connections=lambda: 0,
        )

    # Whether a process had ended for its memory could not be told afterwards.
    def test_periodic_line_has_the_memory_of_process_and_bodies(self):
        with (
            mock.patch.object(fleet_metrics, "LOG_INTERVAL_S", 0.01),
            self.assertLogs(fleet_metrics.__name__, "INFO") as logs,
        ):
            task = gevent.spawn(self.metrics.log_periodically)
            gevent.sleep(0.1)
            task.kill()
        self.assertRegex(
            logs.output[0],
            r"resident [1-9]\d* MB, at most [1-9]\d* MB, "
            r"bodies 3\.0 of 96 MB, 0 refused",
        )

    def test_metrics_have_the_memory_of_process_and_bodies(self):
        text = self.metrics.text().decode()
        self.assertRegex(text, r"\n\S+body_bytes 3\.14\d+e\+06\n")
        self.assertRegex(text, r"\n\S+resident_bytes [1-9]")
        self.assertRegex(text, r"\n\S+bodies_refused\S* 0\.0\n")


class CallerTest(unittest.TestCase):
    """Callers that upload to one server."""

    def setUp(self) -> None:
        self.memory = body_memory.BodyMemory(
            clock=boot_clock.BootClock(), max_bytes=9 << 20
        )
        self.handle = lambda request: http_connection.HttpReply(200, [], b"ok")
        self.server = http_connection.HttpServer(
            listen=("127.0.0.1", 0),
            handle=lambda request: self.handle(request),
            bodies=self.memory,
        )
        self.server.start()
        self.addCleanup(self.server.stop)

    def connect(self) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        self.addCleanup(sock.close)
        return sock

    def post(self, length: int) -> bytes:
        return (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length
        )

    def test_upload_without_room_is_refused_before_it_is_read(self):
        self.memory.charge(6 << 20)
        sock = self.connect()
        sock.sendall(self.post(4 << 20))
        refusal = sock.recv(1000)
        self.assertIn(b" 503 ", refusal)
        self.assertIn(b"\r\nRetry-After: ", refusal)
        sock = self.connect()
        sock.sendall(self.post(5) + b"small")
        self.assertIn(b" 200 ", sock.recv(1000))

    def test_slow_upload_keeps_its_room_only_while_there_is_more(self):
        with mock.patch.object(http_parser, "SLOW_BODY_S", 0.1):
            for held_bytes, is_cut in ((0, False), (2 << 20, True)):
                self.memory.charge(held_bytes)
                sock = self.connect()
                sock.settimeout(0.2)
                sock.sendall(self.post(2 << 20))
                gevent.sleep(0.15)
                sock.sendall(b"x")
                with self.subTest(held_bytes):
                    if is_cut:
                        self.assertIn(b" 408 ", sock.recv(1000))
                    else:
                        self.assertRaises(TimeoutError, sock.recv, 1000)
                sock.close()
                gevent.sleep(0.4)
                self.assertEqual(self.memory.used_bytes, held_bytes)

    def test_reply_after_a_disconnect_takes_no_room(self):
        finished = []

        def handle(request: http_parser.HttpRequest):
            try:
                gevent.sleep(5)
            except gevent.GreenletExit:
                finished.append(request)
            return http_connection.HttpReply(200, [], bytes(1 << 20))

        self.handle = handle
        sock = self.connect()
        sock.sendall(self.post(5) + b"small")
        gevent.sleep(0.05)
        self.assertEqual(self.memory.used_bytes, 5)
        sock.close()
        gevent.sleep(0.05)
        self.assertEqual(len(finished), 1)
        self.assertEqual(self.memory.used_bytes, 0)

    # The body stayed until the next request on the connection.
    def test_body_is_released_once_its_request_is_answered(self):
        size = 4 << 20
        sock = self.connect()
        content = bytes(size)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        gc.disable()
        self.addCleanup(gc.enable)
        sock.sendall(self.post(size))
        sock.sendall(content)
        self.assertIn(b" 200 ", sock.recv(1000))
        gevent.sleep(0.05)
        held_bytes, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, size // 2)
        self.assertLess(peak_bytes, 1.5 * size)
        self.assertEqual(self.memory.used_bytes, 0)


if __name__ == "__main__":
    unittest.main()
