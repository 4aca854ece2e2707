"""Writes one connection's frames, gathered into few sends.

A task runs only while there is something to send. Short frames go first, then
a piece of each streamed body in turn.
"""

import collections
import dataclasses
from collections.abc import Callable

import gevent
from gevent import socket as gevent_socket

from primrosecross.adapters import peer_body
from primrosecross.adapters import peer_call
from primrosecross.adapters import peer_codec
from primrosecross.domain import messages
from primrosecross.domain import stamp

SEND_BYTES = 128 * 1024


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes over all peer connections of this daemon."""

    sent_bytes: int = 0
    received_bytes: int = 0


class Writer:
    """Frames waiting to be sent on one connection.

    Args:
        sock: Connected socket.
        stamps: Stamps sent messages.
        traffic: Counts bytes over all connections.
        failed: Called when the connection can no longer be written to.
    """

    def __init__(
        self,
        *,
        sock: gevent_socket.socket,
        stamps: stamp.StampClock,
        traffic: Traffic,
        failed: Callable[[], None],
    ) -> None:
        self._sock = sock
        self._stamps = stamps
        self._traffic = traffic
        self._failed = failed
        self._pending: list[tuple[bytes, peer_call.Call | None]] = []
        self._turns: collections.deque[tuple[int, bool, peer_body.Outgoing]] = (
            collections.deque()
        )
        self._task: gevent.Greenlet | None = None

    @property
    def queued(self) -> int:
        """Number of short frames not yet handed to the socket."""
        return len(self._pending)

    def post(
        self,
        number: int,
        message: messages.Message,
        is_answer: bool,
        call: peer_call.Call | None,
    ) -> None:
        """Queues a message; a call counts as sent once its frame is taken."""
        self._pending.append((self._encode(number, is_answer, message), call))
        self._wake()

    def offer(
        self, number: int, is_answer: bool, outgoing: peer_body.Outgoing
    ) -> None:
        """Queues a streamed body for its next turn."""
        self._turns.append((number, is_answer, outgoing))
        self._wake()

    def stop(self) -> None:
        """Ends the task, if one runs."""
        if self._task is not None:
            self._task.kill(block=False)

    def _wake(self) -> None:
        if self._task is None:
            self._task = gevent.spawn(self._run)

    def _encode(
        self, number: int, is_answer: bool, message: messages.Message
    ) -> bytes:
        return peer_codec.encode(
            peer_codec.Frame(number, is_answer, self._stamps.now(), message)
        )

    def _run(self) -> None:
        try:
            while batch := self._gather():
                self._send(batch)
        except OSError:
            self._failed()
        finally:
            self._task = None

    def _gather(self) -> list[bytes]:
        batch = []
        pending, self._pending = self._pending, []
        for data, call in pending:
            if call is not None:
                if call.abandoned:
                    continue
                call.sent = True
            batch.append(data)
        size = 0
        for _ in range(len(self._turns)):
            if size >= SEND_BYTES:
                break
            number, is_answer, outgoing = self._turns.popleft()
            message = outgoing.take()
            if message is not None:
                batch.append(self._encode(number, is_answer, message))
                size += peer_body.PIECE_BYTES
        return batch

    def _send(self, batch: list[bytes]) -> None:
        view = memoryview(b"".join(batch))
        self._traffic.sent_bytes += len(view)
        while view:
            view = view[self._sock.send(view, 0, None) :]
