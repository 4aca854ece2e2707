"""Head-of-line blocking of short requests by a long body on one connection.

Compares multiplexed streams with one shared FIFO stream, in one run over
loopback with both ends in this process.
"""

import contextlib
import time
from collections.abc import Iterator

import gevent
from hdrh import histogram

from bench import result
from primrosecross.adapters import boot_clock
from primrosecross.adapters.peers import peer_body
from primrosecross.adapters.peers import peer_connection
from primrosecross.adapters.peers import peer_greeting
from primrosecross.adapters.peers import peer_streams
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from primrosecross.domain.requests import body
from primrosecross.domain.requests import request_messages

BASE_PORT = 28900
BODY_BYTES = 64 << 20
MEASURE_S = 4.0
CALL_INTERVAL_S = 0.002
MAX_SHORT_P99_MS = 12.0
MAX_LATENCY_US = 60_000_000


class _ZeroBody(body.Stream):
    def __init__(self) -> None:
        super().__init__(BODY_BYTES)
        self._remaining_bytes = BODY_BYTES
        self._piece = bytes(peer_body.PIECE_BYTES)

    def read(self) -> bytes:
        self._remaining_bytes -= len(self._piece)
        return self._piece if self._remaining_bytes >= 0 else b""


class _FifoOutgoing(peer_body.Outgoing):
    """Queues the whole body at once, ahead of all later messages."""

    def __init__(self, source: body.Stream, post) -> None:
        super().__init__(source=source, on_ready=lambda outgoing: None)
        self._post = post

    def run(self) -> None:
        """Queues all pieces and the end of the stream."""
        for piece in body.pieces(self._source):
            self._post(stream_messages.StreamPiece(piece))
        self._post(
            stream_messages.StreamEnd(0, 0, "baseline without a checksum")
        )


class _FifoConnection(peer_connection.Connection):
    def _make_outgoing(self, call, is_reply, source):
        return _FifoOutgoing(
            source, lambda m: self._post(call, m, is_reply=is_reply)
        )


def _start_peer(vm: str, port: int) -> peer_streams.PeerStreams:
    peer = peer_streams.PeerStreams(
        hello=stream_messages.Hello(
            peer_greeting.PROTOCOL,
            "bench",
            vm,
            vm,
            stream_messages.Lane.CONTROL,
        ),
        listen=("127.0.0.1", port),
        stamps=stamp.StampClock(clock=boot_clock.BootClock()),
    )
    peer.start()
    return peer


def _forward(path: str) -> request_messages.Forward:
    return request_messages.Forward(
        request_id="id",
        service="s",
        key="k",
        method="GET",
        path=path,
        headers=(),
        body=b"",
        idempotent=True,
        identified=False,
        attempt=0,
        generation=1,
        timeout_ms=60_000,
    )


def _handle(message: request_messages.Forward) -> messages.Message:
    answer_body = _ZeroBody() if message.path == "/long" else b""
    return request_messages.ForwardAnswered("id", 200, (), answer_body)


class _LongTransfers:
    """Fetches long bodies sequentially and counts the received bytes."""

    def __init__(self, left: peer_streams.PeerStreams) -> None:
        self._local_peer = left
        self.received_bytes = 0

    def run(self) -> None:
        while True:
            message = _forward("/long")
            answer = self._local_peer.call("right", message, timeout_ms=60_000)
            with contextlib.suppress(errors.BodyError):
                for piece in body.pieces(answer.body):
                    self.received_bytes += len(piece)


def _measure(port: int, *, long_bodies: bool) -> tuple[float, float]:
    """Returns p99 of short calls in ms and throughput of long ones in MB/s."""
    right = _start_peer("right", port)
    right.handler = _handle
    left = _start_peer("left", port + 1)
    left.set_address("right", f"127.0.0.1:{port}")
    latencies_us = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    transfers = _LongTransfers(left)
    task = gevent.spawn(transfers.run) if long_bodies else gevent.Greenlet()
    started_s = time.monotonic()
    while time.monotonic() - started_s < MEASURE_S:
        sent_s = time.monotonic()
        left.call("right", _forward("/short"), timeout_ms=60_000)
        latencies_us.record_value(
            max(1, int((time.monotonic() - sent_s) * 1e6))
        )
        gevent.sleep(CALL_INTERVAL_S)
    rate_mb_per_s = (
        transfers.received_bytes / (time.monotonic() - started_s) / 1e6
    )
    task.kill()
    left.stop()
    right.stop()
    return latencies_us.get_value_at_percentile(99) / 1000, rate_mb_per_s


def run() -> Iterator[result.Result]:
    """Yields the results."""
    note = "64 MB bodies one after another, both ends in one process"
    alone_ms, _ = _measure(BASE_PORT, long_bodies=False)
    yield result.Result("blocking.short_alone_p99", alone_ms, "ms", note=note)
    multiplexed_ms, rate_mb_per_s = _measure(BASE_PORT + 2, long_bodies=True)
    yield result.at_most(
        "blocking.short_beside_long_p99",
        multiplexed_ms,
        "ms",
        bound=MAX_SHORT_P99_MS,
        note=note,
    )
    yield result.Result("blocking.long_rate", rate_mb_per_s, "MB/s", note=note)
    window_bytes, connection_class = (
        peer_body.WINDOW_BYTES,
        peer_connection.Connection,
    )
    peer_body.WINDOW_BYTES = 2 * BODY_BYTES
    peer_connection.Connection = _FifoConnection
    try:
        fifo_ms, rate_mb_per_s = _measure(BASE_PORT + 4, long_bodies=True)
    finally:
        peer_body.WINDOW_BYTES = window_bytes
        peer_connection.Connection = connection_class
    yield result.Result(
        "blocking.short_beside_fifo_p99", fifo_ms, "ms", note=note
    )
    yield result.Result("blocking.fifo_rate", rate_mb_per_s, "MB/s", note=note)
    yield result.at_least(
        "blocking.fifo_to_turns",
        fifo_ms / multiplexed_ms,
        "ratio",
        bound=2.0,
        note=note,
    )
