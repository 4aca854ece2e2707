"""Streamed bodies on a connection between daemons.

Flow control is credit-based: the receiver grants credit for the bytes it can
buffer. The sender splits the body into pieces and has one ready at a time, so
that the connection's writer can interleave streams and short messages.
"""

import collections
from collections.abc import Callable

import gevent
import xxhash
from gevent import event as gevent_event

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.domain.requests import body

WINDOW_BYTES = body.STREAM_WINDOW_BYTES
PIECE_BYTES = 32 * 1024
STALL_TIMEOUT_S = 5.0

PostMessage = Callable[[messages.Message], None]


class Incoming(body.Stream):
    """Receiver's side of a streamed body.

    The last piece is withheld until length and checksum are verified, so a
    reader that forwards pieces never completes a corrupt body.

    Args:
        length: Total bytes, or body.UNKNOWN_LENGTH.
    """

    def __init__(self, length: int) -> None:
        super().__init__(length)
        self._pieces: collections.deque[bytes] = collections.deque()
        self._readable = gevent_event.Event()
        self._hash = xxhash.xxh3_64()
        self._received_bytes = 0
        self._consumed_bytes = 0
        self._credited_bytes = WINDOW_BYTES
        self._ended = False
        self._abort_reason = ""
        self._post: PostMessage | None = None
        self.request_id = ""

    def bind(self, post: PostMessage, *, request_id: str) -> None:
        """Sets the function that sends credit and stop, and the request."""
        self._post = post
        self.request_id = request_id

    def feed(self, piece: bytes) -> None:
        """Buffers the next piece.

        Raises:
            errors.PeerProtocolError: The sender exceeded its credit.
        """
        if self.finished or self._ended:
            return
        self._received_bytes += len(piece)
        if self._received_bytes > self._credited_bytes:
            raise errors.PeerProtocolError(
                "the sender of a streamed body exceeded its credit",
                remedy="run compatible versions on both daemons",
            )
        self._hash.update(piece)
        self._pieces.append(piece)
        self._readable.set()

    def end(self, message: stream_messages.StreamEnd) -> None:
        """Verifies length and checksum at the end of the body."""
        problem = message.problem
        if not problem and message.length != self._received_bytes:
            problem = (
                f"received {self._received_bytes} of {message.length} bytes"
            )
        if not problem and message.checksum != self._hash.intdigest():
            problem = "the checksum does not match"
        if not problem and self.length not in (
            body.UNKNOWN_LENGTH,
            message.length,
        ):
            problem = f"the sender sent {message.length} of {self.length} bytes"
        self.abort(problem)

    def abort(self, problem: str) -> None:
        """Ends the body; reads fail if the problem is not empty."""
        if not self._ended:
            self._ended = True
            self._abort_reason = problem
            self._readable.set()

    def read(self) -> bytes:
        """Returns the next piece, or no bytes at the verified end."""
        while not self._ended and len(self._pieces) < 2:
            self._readable.clear()
            if not self._readable.wait(timeout=STALL_TIMEOUT_S):
                self.close()
                self.abort(f"received no bytes for {STALL_TIMEOUT_S:.0f} s")
        if self._abort_reason:
            self.finish()
            raise errors.BodyError(
                f"the body is incomplete or corrupt: {self._abort_reason}",
                remedy="retry the request if it is idempotent",
            )
        if not self._pieces:
            self.finish()
            return b""
        piece = self._pieces.popleft()
        self._consumed_bytes += len(piece)
        self._grant_credit()
        return piece

    def _grant_credit(self) -> None:
        credit = self._consumed_bytes + WINDOW_BYTES - self._credited_bytes
        if credit < WINDOW_BYTES // 4 or self._ended or self._post is None:
            return
        self._credited_bytes += credit
        self._post(stream_messages.StreamCredit(credit))

    def close(self) -> None:
        """Discards unread data and asks the sender to stop."""
        if not self.finished and not self._ended and self._post is not None:
            self._post(stream_messages.StreamStop())
        self._pieces.clear()
        self.finish()


class Outgoing:
    """Sender's side of a streamed body.

    Args:
        source: The body.
        on_ready: Called when `ready_message` is set for the writer.
        max_stall_s: How long the receiver may read nothing; None if the call
            that the body belongs to has a time limit of its own.
    """

    def __init__(
        self,
        *,
        source: body.Stream,
        on_ready: Callable[["Outgoing"], None],
        max_stall_s: float | None = STALL_TIMEOUT_S,
    ) -> None:
        self._max_stall_s = max_stall_s
        self._source = source
        self._on_ready = on_ready
        self._credit_bytes = WINDOW_BYTES
        self._state_changed = gevent_event.Event()
        self._stopped = False
        self.ready_message: messages.Message | None = None

    def add_credit(self, credit_bytes: int) -> None:
        """Adds credit granted by the receiver."""
        self._credit_bytes += credit_bytes
        self._state_changed.set()

    def stop(self) -> None:
        """Stops sending, as the body is no longer read."""
        self._stopped = True
        self._state_changed.set()

    def take_message(self) -> messages.Message | None:
        """Removes and returns the ready message."""
        message, self.ready_message = self.ready_message, None
        self._state_changed.set()
        return message

    def run(self) -> None:
        """Sends the body and its end, which says why if it is truncated."""
        checksum = xxhash.xxh3_64()
        length = 0
        problem = "the sender stopped before the end of the body"
        try:
            for piece in body.pieces(self._source):
                for part in _split(piece):
                    if not self._send_part(part):
                        return
                    checksum.update(part)
                    length += len(part)
            problem = ""
        except errors.BodyError as error:
            problem = error.problem
        finally:
            self._source.close()
            if not self._stopped:
                self._set_ready(
                    stream_messages.StreamEnd(
                        length, checksum.intdigest(), problem
                    )
                )

    def _send_part(self, part: bytes) -> bool:
        """Sends a part once credit allows.

        Returns:
            Whether to continue with the next part.
        """
        while self._credit_bytes < len(part) or self.ready_message is not None:
            if self._stopped:
                return False
            self._state_changed.clear()
            if not self._state_changed.wait(timeout=self._max_stall_s):
                raise errors.BodyError(
                    f"the receiver read nothing for {self._max_stall_s:.0f} s",
                    remedy="read the body faster",
                )
        self._credit_bytes -= len(part)
        self._set_ready(stream_messages.StreamPiece(part))
        return not self._stopped

    def _set_ready(self, message: messages.Message) -> None:
        while self.ready_message is not None and not self._stopped:
            self._state_changed.clear()
            if not self._state_changed.wait(timeout=STALL_TIMEOUT_S):
                self.stop()
        if not self._stopped:
            self.ready_message = message
            self._on_ready(self)

    def start(self) -> gevent.Greenlet:
        """Sends the body in a new task."""
        return gevent.spawn(self.run)


def _split(piece: bytes) -> list[bytes]:
    return [
        piece[offset : offset + PIECE_BYTES]
        for offset in range(0, len(piece), PIECE_BYTES)
    ]
