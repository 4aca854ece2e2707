"""Bodies on callers' connections."""

import contextlib
import errno
import functools
import socket
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import BinaryIO

import gevent

from primrosecross.adapters import caller_connection
from primrosecross.domain import body
from primrosecross.domain import errors

HELD_BYTES = 64 * 1024
MAX_CHUNKED_BYTES = 1 << 20
PIECE_BYTES = 32 * 1024
STALL_S = 5.0
LINGER_S = 1.0


class RequestStream(body.Stream):
    """A long request body, read from the caller as it is passed on.

    Args:
        source: The body on the caller's connection.
        length: Bytes the caller announced.
        stop: Called when what is left will not be read.
    """

    def __init__(
        self, source: BinaryIO, length: int, *, stop: Callable[[], None]
    ) -> None:
        super().__init__(length)
        self._source = source
        self._stop = stop
        self._left_bytes = length

    def read(self) -> bytes:
        """Returns the next piece, or no bytes at the end."""
        if not self._left_bytes:
            self.finish()
            return b""
        if self.finished:
            raise _cut("it was given up")
        piece = _read(self._source, min(self._left_bytes, PIECE_BYTES))
        if not piece:
            raise _cut(f"{self._left_bytes} bytes are missing")
        self._left_bytes -= len(piece)
        return piece

    def close(self) -> None:
        """Gives up the rest.

        It is read and dropped for a moment, so that a caller that still sends
        comes to read the answer.
        """
        if not self.finished and self._left_bytes:
            with (
                contextlib.suppress(errors.BodyError),
                gevent.Timeout(LINGER_S, False),
            ):
                while self._left_bytes:
                    self.read()
            if self._left_bytes:
                self._stop()
        self.finish()


def _read(source: BinaryIO, size: int) -> bytes:
    try:
        with gevent.Timeout(STALL_S, False):
            return source.read(size)
    except (OSError, ValueError) as error:
        raise _cut(error) from error
    raise _cut(f"the caller sent too little within {STALL_S:.0f} s")


def _cut(problem: object) -> errors.BodyError:
    return errors.BodyError(
        f"the body did not arrive whole: {problem}", remedy="send it again"
    )


def read(environ: dict[str, Any], *, limit_bytes: int) -> body.Body:
    """Returns a request's body: short ones held, long ones as a stream.

    A body without a declared length is held, and may be up to
    MAX_CHUNKED_BYTES long. One above the limit is returned unread.

    Raises:
        errors.RequestError: The body did not arrive whole, or is too long
            for one without a length.
    """
    source = environ["wsgi.input"]
    stop = functools.partial(_stop_reading, environ)
    try:
        if environ.get("HTTP_TRANSFER_ENCODING"):
            return _hold_chunked(source, limit_bytes)
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > min(HELD_BYTES, limit_bytes):
            return RequestStream(source, length, stop=stop)
        held = RequestStream(source, length, stop=stop)
        return b"".join(body.pieces(held))
    except (errors.BodyError, ValueError) as error:
        stop()
        raise errors.RequestError(str(error), remedy="send it again") from error


def _stop_reading(environ: dict[str, Any]) -> None:
    """Makes the server close the connection once the answer is sent."""
    end = environ.get(caller_connection.END_FIELD)
    if end is not None:
        end()
    sock = environ.get(caller_connection.SOCKET_FIELD)
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RD)


def _hold_chunked(source: BinaryIO, limit_bytes: int) -> bytes:
    held = []
    size = 0
    most = min(MAX_CHUNKED_BYTES, limit_bytes)
    while piece := _read(source, PIECE_BYTES):
        held.append(piece)
        size += len(piece)
        if size > most:
            raise errors.RequestError(
                f"a body without Content-Length exceeds {most} bytes",
                remedy="state its Content-Length",
            )
    return b"".join(held)


class Answer:
    """An answer's body as the HTTP server sends it.

    When a streamed body is cut, the connection is closed before the declared
    length or the last chunk, so that no caller takes a part for the whole.

    Args:
        source: The body.
    """

    def __init__(self, source: body.Body) -> None:
        self._source = source

    def __iter__(self) -> Iterator[bytes]:
        """Yields the pieces."""
        try:
            yield from body.pieces(self._source)
        except errors.BodyError as error:
            raise ConnectionAbortedError(errno.EPIPE, str(error)) from error

    def close(self) -> None:
        """Gives up what has not been sent; called by the HTTP server."""
        body.close(self._source)
