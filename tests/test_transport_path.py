"""Bodies of 64 MB from a caller through two daemons to a target and back."""

import http.client
import json
import pathlib
import unittest
import zlib

import gevent
from gevent import pywsgi

from primrosecross.adapters import boot_clock
from primrosecross.adapters.http import caller_http
from primrosecross.adapters.http import target_http
from primrosecross.domain import messages
from primrosecross.domain import stamp
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import events
from primrosecross.domain.operators import plan
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import replies
from primrosecross.domain.requests import request
from primrosecross.domain.requests import request_messages
from primrosecross.models import plan as plan_model
from primrosecross.ports import target as target_port
from standins import ports
from standins import target
from tests import test_transport_peers

BODY_BYTES = 64 << 20
PIECE = bytes(range(256)) * 256
MAX_GROWTH_BYTES = 24 << 20
PLAN = pathlib.Path(__file__).parents[1] / "examples" / "brno" / "plan.json"
SERVICE = "spisovna"


def resident_bytes() -> int:
    """Returns the resident set size of this process."""
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


class ForwardingRouter:
    """Forwards every request to the peer named right."""

    def __init__(self, peer) -> None:
        self._peer = peer

    def route(self, req: request.Request) -> outcome.Outcome:
        message = test_transport_peers.make_forward(
            req.path, req.body, timeout_ms=60_000
        )
        answer = self._peer.call("right", message, timeout_ms=60_000)
        return replies.outcome_of(answer, "id")


class PathTest(unittest.TestCase):
    """A daemon that serves the caller, the owner's daemon and its target."""

    def setUp(self) -> None:
        clock = boot_clock.BootClock()
        target_port_number = ports.choose_free(1)[0]
        target_standin = target.Target(options=target.Options("vm", SERVICE, 8))
        server = pywsgi.WSGIServer(
            ("127.0.0.1", target_port_number),
            target_standin.serve,
            log=None,
            error_log=None,
        )
        server.start()
        self.addCleanup(server.stop, timeout=0)
        self.target_standin = target_standin
        self.announcement = target_port.Announcement(
            SERVICE,
            f"127.0.0.1:{target_port_number}",
            8,
            False,
            cancel_path="/standin/cancel",
        )
        self.targets = target_http.HttpTargets(clock=clock)
        self.clock = clock
        port = ports.choose_free(1)[0]
        right = test_transport_peers.make_peer("right", port, [])
        right.handler = self.execute
        left_port = ports.choose_free(1)[0]
        left = test_transport_peers.make_peer("left", left_port, [])
        left.set_address("right", f"127.0.0.1:{port}")
        timeline = events.Timeline(
            vm="vm", clock=clock, stamps=stamp.StampClock(clock=clock)
        )
        state = state_module.ClusterState(vm="vm", timeline=timeline)
        state.update_plan(self.plan())
        self.port = ports.choose_free(1)[0]
        caller = caller_http.CallerServer(
            listen=("127.0.0.1", self.port),
            router=ForwardingRouter(left),
            state=state,
            clock=clock,
        )
        caller.start()
        for component in (left, right, caller):
            self.addCleanup(component.stop)

    def plan(self) -> plan.Plan:
        return plan_model.parse(PLAN.read_bytes(), version=1, author="test")

    def execute(self, forward: request_messages.Forward) -> messages.Message:
        req = request.Request(
            request_id="id",
            service=SERVICE,
            key="",
            method="POST",
            path=forward.path,
            headers=(),
            body=forward.body,
            idempotent=False,
            deadline_ns=self.clock.now_ns() + 60 * 10**9,
        )
        fence = target_port.Fence(0, 0)
        result = self.targets.run(self.announcement, req, fence)
        return replies.reply_of(result, "id")

    def send(self, path: str, content) -> http.client.HTTPResponse:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port, timeout=60
        )
        self.addCleanup(connection.close)
        headers = {"Content-Length": str(BODY_BYTES if content else 0)}
        connection.request("POST", path, content or None, headers)
        return connection.getresponse()

    def pieces(self):
        for _ in range(BODY_BYTES // len(PIECE)):
            self.checksum = zlib.crc32(PIECE, self.checksum)
            self.peak_bytes = max(self.peak_bytes, resident_bytes())
            yield PIECE

    def test_64_mb_bodies_pass_both_ways_without_buffering(self):
        start_bytes = self.peak_bytes = resident_bytes()
        self.checksum = 0
        answer = self.send(f"/{SERVICE}/store", self.pieces())
        stored = json.loads(answer.read())
        self.assertEqual(stored["body_bytes"], BODY_BYTES)
        self.assertEqual(stored["body_checksum"], self.checksum)
        answer = self.send(f"/{SERVICE}/bytes?n={BODY_BYTES}", None)
        length = 0
        while piece := answer.read(len(PIECE)):
            length += len(piece)
            self.peak_bytes = max(self.peak_bytes, resident_bytes())
        self.assertEqual(length, BODY_BYTES)
        self.assertLess(self.peak_bytes - start_bytes, MAX_GROWTH_BYTES)

    def test_disconnect_cancels_the_work_at_the_target(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.port)
        connection.request("POST", f"/{SERVICE}/work?ms=8000")
        gevent.sleep(0.3)
        self.assertEqual(len(self.target_standin._running), 1)
        connection.close()
        gevent.sleep(0.5)
        self.assertEqual(len(self.target_standin._running), 0)

    def test_response_truncated_by_the_target_fails_the_caller(self):
        answer = self.send(f"/{SERVICE}/bytes?n=1000000&cut=1", None)
        with self.assertRaises(http.client.IncompleteRead):
            answer.read()
        answer = self.send(f"/{SERVICE}/bytes?n=1000000&cut=1&chunked=1", None)
        with self.assertRaises(http.client.IncompleteRead):
            answer.read()


if __name__ == "__main__":
    unittest.main()
