"""Streamed bodies on a connection between daemons.

The receiver grants credit for the bytes it can hold; the sender cuts the
body into pieces and offers one at a time, so that the connection's writer can
take turns between streams and short messages.
"""

import collections
from collections.abc import Callable

import gevent
import xxhash
from gevent import event as gevent_event

from primrosecross.domain import body
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages

WINDOW_BYTES = 256 * 1024
PIECE_BYTES = 32 * 1024
STALL_S = 5.0

Post = Callable[[messages.Message], None]


class Incoming(body.Stream):
    """Receiver's side of a streamed body.

    The last piece is held back until length and checksum are verified, so a
    reader that passes pieces on never passes on a whole-looking wrong body.

    Args:
        length: Bytes in all, or body.UNKNOWN_LENGTH.
    """

    def __init__(self, length: int) -> None:
        super().__init__(length)
        self._pieces: collections.deque[bytes] = collections.deque()
        self._changed = gevent_event.Event()
        self._hash = xxhash.xxh3_64()
        self._received_bytes = 0
        self._taken_bytes = 0
        self._credited_bytes = WINDOW_BYTES
        self._ended = False
        self._problem = ""
        self._post: Post | None = None

    def bind(self, post: Post) -> None:
        """Sets how credit and stop reach the sender."""
        self._post = post

    def feed(self, piece: bytes) -> None:
        """Takes in the next piece.

        Raises:
            errors.PeerProtocolError: The sender exceeded its credit.
        """
        if self.finished or self._ended:
            return
        self._received_bytes += len(piece)
        if self._received_bytes > self._credited_bytes:
            raise errors.PeerProtocolError(
                "a streamed body exceeded its credit",
                remedy="check that both sides run compatible versions",
            )
        self._hash.update(piece)
        self._pieces.append(piece)
        self._changed.set()

    def end(self, message: stream_messages.StreamEnd) -> None:
        """Takes in the end of the body and verifies it."""
        problem = message.problem
        if not problem and message.length != self._received_bytes:
            problem = f"{self._received_bytes} of {message.length} bytes came"
        if not problem and message.checksum != self._hash.intdigest():
            problem = "the checksum differs"
        if not problem and self.length not in (
            body.UNKNOWN_LENGTH,
            message.length,
        ):
            problem = f"{message.length} of {self.length} bytes were sent"
        self.cut(problem)

    def cut(self, problem: str) -> None:
        """Ends the body; with a problem, reading it fails."""
        if not self._ended:
            self._ended = True
            self._problem = problem
            self._changed.set()

    def read(self) -> bytes:
        """Returns the next piece, or no bytes at the verified end."""
        while not self._ended and len(self._pieces) < 2:
            self._changed.clear()
            if not self._changed.wait(timeout=STALL_S):
                self.close()
                self.cut(f"no bytes came for {STALL_S:.0f} s")
        if self._problem:
            self.finish()
            raise errors.BodyError(
                f"the body did not arrive whole: {self._problem}",
                remedy="send the request again if it may run twice",
            )
        if not self._pieces:
            self.finish()
            return b""
        piece = self._pieces.popleft()
        self._taken_bytes += len(piece)
        self._grant()
        return piece

    def _grant(self) -> None:
        credit = self._taken_bytes + WINDOW_BYTES - self._credited_bytes
        if credit < WINDOW_BYTES // 4 or self._ended or self._post is None:
            return
        self._credited_bytes += credit
        self._post(stream_messages.StreamCredit(credit))

    def close(self) -> None:
        """Gives up what has not been read and tells the sender."""
        if not self.finished and not self._ended and self._post is not None:
            self._post(stream_messages.StreamStop())
        self._pieces.clear()
        self.finish()


class Outgoing:
    """Sender's side of a streamed body.

    Args:
        source: The body.
        offer: Called when a message waits in `offered` for the writer.
    """

    def __init__(
        self, *, source: body.Stream, offer: Callable[["Outgoing"], None]
    ) -> None:
        self._source = source
        self._offer = offer
        self._credit_bytes = WINDOW_BYTES
        self._wake = gevent_event.Event()
        self._stopped = False
        self.offered: messages.Message | None = None

    def grant(self, credit_bytes: int) -> None:
        """Takes in credit from the receiver."""
        self._credit_bytes += credit_bytes
        self._wake.set()

    def stop(self) -> None:
        """Ends sending, as nobody reads any more."""
        self._stopped = True
        self._wake.set()

    def take(self) -> messages.Message | None:
        """Hands the offered message to the writer."""
        message, self.offered = self.offered, None
        self._wake.set()
        return message

    def run(self) -> None:
        """Sends the whole body, or its beginning and why it was cut."""
        checksum = xxhash.xxh3_64()
        length = 0
        problem = "the sender gave up"
        try:
            for piece in body.pieces(self._source):
                for part in _parts(piece):
                    if not self._send(part):
                        return
                    checksum.update(part)
                    length += len(part)
            problem = ""
        except errors.BodyError as error:
            problem = error.problem
        finally:
            self._source.close()
            if not self._stopped:
                self._put(
                    stream_messages.StreamEnd(
                        length, checksum.intdigest(), problem
                    )
                )

    def _send(self, part: bytes) -> bool:
        """Offers a piece when there is room; tells whether to go on."""
        while self._credit_bytes < len(part) or self.offered is not None:
            if self._stopped:
                return False
            self._wake.clear()
            if not self._wake.wait(timeout=STALL_S):
                raise errors.BodyError(
                    f"its reader took nothing for {STALL_S:.0f} s",
                    remedy="read the body faster",
                )
        self._credit_bytes -= len(part)
        self._put(stream_messages.StreamPiece(part))
        return not self._stopped

    def _put(self, message: messages.Message) -> None:
        while self.offered is not None and not self._stopped:
            self._wake.clear()
            self._wake.wait()
        if not self._stopped:
            self.offered = message
            self._offer(self)

    def start(self) -> gevent.Greenlet:
        """Sends the body in a task of its own."""
        return gevent.spawn(self.run)


def _parts(piece: bytes) -> list[bytes]:
    return [
        piece[at : at + PIECE_BYTES] for at in range(0, len(piece), PIECE_BYTES)
    ]
