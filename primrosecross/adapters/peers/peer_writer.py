"""Writes one connection's frames, batched into few sends.

The writer's task runs only while frames are queued. Each batch holds the queued
messages first, then one piece of each streamed body in round-robin order.
"""

import collections
import dataclasses
import time
from collections.abc import Callable

import gevent
from gevent import socket as gevent_socket

from primrosecross.adapters.peers import peer_body
from primrosecross.adapters.peers import peer_call
from primrosecross.adapters.peers import peer_codec
from primrosecross.adapters.peers import peer_transit
from primrosecross.domain import messages
from primrosecross.domain import stamp

BATCH_BODY_BYTES = 128 * 1024


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes sent and received on all peer connections of this daemon."""

    sent_bytes: int = 0
    received_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """What a writer has not passed to its socket.

    Attributes:
        frames: Queued message frames, without the send in progress.
        bytes: Bytes of these frames and of the send in progress.
        blocked_ms: Time since the send in progress last passed any bytes; 0
            without one.
        answer_ids: IDs of the requests whose answers are in `bytes`.
    """

    frames: int
    bytes: int
    blocked_ms: int
    answer_ids: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _QueuedMessage:
    """A message to be sent.

    Attributes:
        data: The encoded frame.
        call: The pending call of the message, if it is not a reply.
        answer_id: ID of the request that the message answers; may be empty.
    """

    data: bytes
    call: peer_call.Call | None
    answer_id: str


class Writer:
    """Send queue of one connection.

    Args:
        sock: Connected socket.
        stamps: Stamps sent messages.
        traffic: Counts bytes over all connections.
        on_progress: Called when the peer takes bytes that had to wait.
        on_failure: Called with the error when a write to the socket fails.
    """

    def __init__(
        self,
        *,
        sock: gevent_socket.socket,
        stamps: stamp.StampClock,
        traffic: Traffic,
        on_progress: Callable[[], None],
        on_failure: Callable[[OSError], None],
    ) -> None:
        self._sock = sock
        self._stamps = stamps
        self._traffic = traffic
        self._on_progress = on_progress
        self._on_failure = on_failure
        self._queued_messages: list[_QueuedMessage] = []
        self._ready_bodies: collections.deque[
            tuple[int, bool, peer_body.Outgoing]
        ] = collections.deque()
        self._task: gevent.Greenlet | None = None
        self._batch_answer_ids: list[str] = []
        self._unsent_bytes = 0
        self._send_started_s = 0.0

    @property
    def queued_frames(self) -> int:
        """Number of message frames not yet passed to the socket."""
        return len(self._queued_messages)

    def backlog(self) -> Backlog:
        """Returns what has not been passed to the socket."""
        queued = self._queued_messages
        blocked_s = 0.0
        if self._unsent_bytes:
            blocked_s = time.monotonic() - self._send_started_s
        queued_ids = [q.answer_id for q in queued if q.answer_id]
        return Backlog(
            frames=len(queued),
            bytes=sum(len(q.data) for q in queued) + self._unsent_bytes,
            blocked_ms=int(blocked_s * 1000),
            answer_ids=(*self._batch_answer_ids, *queued_ids),
        )

    def enqueue_message(
        self,
        call_id: int,
        message: messages.Message,
        is_reply: bool,
        call: peer_call.Call | None,
    ) -> None:
        """Queues a message; its call counts as sent once in a batch."""
        self._queued_messages.append(
            _QueuedMessage(
                self._encode_frame(call_id, is_reply, message),
                call,
                messages.request_id_of(message) if is_reply else "",
            )
        )
        self._ensure_running()

    def enqueue_body(
        self, call_id: int, is_reply: bool, outgoing: peer_body.Outgoing
    ) -> None:
        """Queues a streamed body whose next message is ready."""
        self._ready_bodies.append((call_id, is_reply, outgoing))
        self._ensure_running()

    def stop(self) -> None:
        """Stops the writer's task."""
        if self._task is not None:
            self._task.kill(block=False)

    def _ensure_running(self) -> None:
        if self._task is None:
            self._task = gevent.spawn(self._run)

    def _encode_frame(
        self, call_id: int, is_reply: bool, message: messages.Message
    ) -> bytes:
        return peer_codec.encode(
            peer_codec.Frame(
                call_id,
                is_reply,
                self._stamps.now(),
                message,
                peer_transit.now_ms(),
            )
        )

    def _run(self) -> None:
        try:
            while batch := self._collect_batch():
                self._send(batch)
        except OSError as error:
            self._on_failure(error)
        finally:
            self._task = None

    def _collect_batch(self) -> list[bytes]:
        batch = []
        queued_messages, self._queued_messages = self._queued_messages, []
        for queued in queued_messages:
            if queued.call is not None:
                if queued.call.abandoned:
                    continue
                queued.call.sent = True
            batch.append(queued.data)
        self._batch_answer_ids = [
            queued.answer_id for queued in queued_messages if queued.answer_id
        ]
        batch_body_bytes = 0
        for _ in range(len(self._ready_bodies)):
            if batch_body_bytes >= BATCH_BODY_BYTES:
                break
            call_id, is_reply, outgoing = self._ready_bodies.popleft()
            message = outgoing.take_message()
            if message is not None:
                batch.append(self._encode_frame(call_id, is_reply, message))
                batch_body_bytes += peer_body.PIECE_BYTES
        return batch

    def _send(self, batch: list[bytes]) -> None:
        view = memoryview(b"".join(batch))
        batch_bytes = len(view)
        self._traffic.sent_bytes += len(view)
        while view:
            self._unsent_bytes = len(view)
            self._send_started_s = time.monotonic()
            waited = self._unsent_bytes < batch_bytes
            view = view[self._sock.send(view, 0, None) :]
            if waited:
                self._on_progress()
        self._unsent_bytes = 0
