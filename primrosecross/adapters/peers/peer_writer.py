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
from primrosecross.adapters.peers import peer_codec
from primrosecross.adapters.peers import peer_message
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


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadyBody:
    """A streamed body whose next message is ready.

    Attributes:
        call_id: Call that it belongs to.
        is_reply: Whether it is of the reply.
        head: Message that it follows; None for one that is never withdrawn.
        outgoing: The body.
    """

    call_id: int
    is_reply: bool
    head: peer_message.OutgoingMessage | None
    outgoing: peer_body.Outgoing


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
        self._queued_messages: list[peer_message.OutgoingMessage] = []
        self._ready_bodies: collections.deque[_ReadyBody] = collections.deque()
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
            frames=sum(1 for q in queued if q.queued_bytes),
            bytes=sum(q.queued_bytes for q in queued) + self._unsent_bytes,
            blocked_ms=int(blocked_s * 1000),
            answer_ids=(*self._batch_answer_ids, *queued_ids),
        )

    def enqueue_message(
        self, call_id: int, message: messages.Message, is_reply: bool
    ) -> peer_message.OutgoingMessage:
        """Queues a message; it is on the wire once in a batch."""
        queued = peer_message.OutgoingMessage(
            self._encode_frame(call_id, is_reply, message),
            answer_id=messages.request_id_of(message) if is_reply else "",
        )
        self._queued_messages.append(queued)
        self._ensure_running()
        return queued

    def enqueue_body(
        self,
        call_id: int,
        is_reply: bool,
        head: peer_message.OutgoingMessage | None,
        outgoing: peer_body.Outgoing,
    ) -> None:
        """Queues a streamed body whose next message is ready.

        Args:
            call_id: Call that it belongs to.
            is_reply: Whether it is of the reply.
            head: Message that it follows, after which nothing is sent if it is
                withdrawn; None for one that is never withdrawn.
            outgoing: The body.
        """
        self._ready_bodies.append(_ReadyBody(call_id, is_reply, head, outgoing))
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
        queued_messages, self._queued_messages = self._queued_messages, []
        taken = [queued.take() for queued in queued_messages]
        batch = [data for data in taken if data]
        self._batch_answer_ids = [
            queued.answer_id for queued in queued_messages if queued.answer_id
        ]
        batch_body_bytes = 0
        for _ in range(len(self._ready_bodies)):
            if batch_body_bytes >= BATCH_BODY_BYTES:
                break
            ready = self._ready_bodies.popleft()
            message = ready.outgoing.take_message()
            if message is not None and _may_follow(ready.head):
                batch.append(
                    self._encode_frame(ready.call_id, ready.is_reply, message)
                )
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


def _may_follow(head: peer_message.OutgoingMessage | None) -> bool:
    return head is None or head.state is not peer_message.State.WITHDRAWN
