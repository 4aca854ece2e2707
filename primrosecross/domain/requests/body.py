"""Bodies of requests and answers: buffered, or streamed in pieces."""

import abc
import functools
import io
from collections.abc import Callable
from collections.abc import Iterator

UNKNOWN_LENGTH = -1
BUFFERED_PIECE_BYTES = 256 * 1024
STREAM_WINDOW_BYTES = 256 * 1024  # of a stream, held by its receiver
# Larger bodies are streamed, so that short messages are sent in between.
MAX_FRAMED_BYTES = 1 << 20


class Stream(abc.ABC):
    """A body that is read piece by piece and never buffered as a whole.

    A stream ends in one of three ways, each of which calls the done callbacks
    once: it is read to its verified end, it is cut short, or its reader closes
    it.

    Args:
        length: Total number of bytes, or UNKNOWN_LENGTH.
    """

    def __init__(self, length: int) -> None:
        self.length = length
        self.finished = False
        self._callbacks: list[Callable[[], None]] = []

    def __len__(self) -> int:
        """Returns the declared length, 0 if unknown."""
        return max(0, self.length)

    def __bool__(self) -> bool:
        """Returns True: a stream is a body even if its length is 0."""
        return True

    @abc.abstractmethod
    def read(self) -> bytes:
        """Returns the next piece, or no bytes at the verified end.

        Raises:
            errors.BodyError: The body was cut short or corrupted.
        """

    def close(self) -> None:
        """Discards the unread rest of the body."""
        self.finish()

    def finish(self) -> None:
        """Marks the stream as finished and calls the done callbacks."""
        if self.finished:
            return
        self.finished = True
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def add_done_callback(self, callback: Callable[[], None]) -> None:
        """Calls a function when the stream ends; it must not block."""
        if self.finished:
            callback()
        else:
            self._callbacks.append(callback)


class BufferedStream(Stream):
    """A buffered body that is sent in pieces.

    Args:
        buffered: The whole body.
    """

    def __init__(self, buffered: bytes) -> None:
        super().__init__(len(buffered))
        self._buffered = buffered
        self._read_bytes = 0

    def read(self) -> bytes:
        """Returns the next piece, or no bytes at the end."""
        first = self._read_bytes
        piece = self._buffered[first : first + BUFFERED_PIECE_BYTES]
        self._read_bytes += len(piece)
        if not piece:
            self.finish()
        return piece

    def finish(self) -> None:
        """Releases the body."""
        self._buffered = b""
        super().finish()


Body = bytes | Stream


@functools.singledispatch
def pieces(source: Body) -> Iterator[bytes]:
    """Yields a body in pieces."""
    raise TypeError(f"{type(source).__name__} is not a body")


@pieces.register
def _(source: bytes) -> Iterator[bytes]:
    if source:
        yield source


@pieces.register
def _(source: Stream) -> Iterator[bytes]:
    while piece := source.read():
        yield piece


@functools.singledispatch
def held_bytes(source: Body) -> int:
    """Returns the bytes of a body that are in memory while it is in use."""
    return len(source)


@held_bytes.register
def _(source: Stream) -> int:
    return min(len(source) or STREAM_WINDOW_BYTES, STREAM_WINDOW_BYTES)


@held_bytes.register
def _(source: BufferedStream) -> int:
    return len(source)


@functools.singledispatch
def is_repeatable(source: Body) -> bool:
    """Returns whether a body can be sent more than once."""
    return True


@is_repeatable.register
def _(source: Stream) -> bool:
    return False


@functools.singledispatch
def close(source: Body) -> None:
    """Discards the unread rest of a body."""


@close.register
def _(source: Stream) -> None:
    source.close()


@functools.singledispatch
def add_done_callback(source: Body, callback: Callable[[], None]) -> None:
    """Calls a function once a body no longer depends on its source."""
    callback()


@add_done_callback.register
def _(source: Stream, callback: Callable[[], None]) -> None:
    source.add_done_callback(callback)


@functools.singledispatch
def stream_if_large(source: Body) -> Body:
    """Returns a body as it is sent to another daemon."""
    return source


@stream_if_large.register
def _(source: bytes) -> Body:
    return source if len(source) <= MAX_FRAMED_BYTES else BufferedStream(source)


class BodyBuffer:
    """Collects the pieces of one body and returns it without a copy."""

    def __init__(self) -> None:
        self._buffer = io.BytesIO()

    def write(self, piece: bytes) -> None:
        """Appends a piece."""
        self._buffer.write(piece)

    def take(self) -> bytes:
        """Returns the pieces written so far, and empties the buffer."""
        content = self._buffer.getvalue()
        self._buffer = io.BytesIO()
        return content


@functools.singledispatch
def read_all(source: Body) -> bytes:
    """Reads a body to its end and returns it.

    Raises:
        errors.BodyError: The body was cut short or corrupted.
    """
    return source


@read_all.register
def _(source: Stream) -> bytes:
    buffered = BodyBuffer()
    try:
        for piece in pieces(source):
            buffered.write(piece)
    finally:
        source.close()
    return buffered.take()
