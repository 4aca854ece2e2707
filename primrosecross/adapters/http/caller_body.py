"""Request and response bodies on callers' HTTP connections."""

import contextlib
import errno
import functools
import socket
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import BinaryIO

import gevent

from primrosecross.adapters.http import caller_connection
from primrosecross.domain import errors
from primrosecross.domain.requests import body

MAX_BUFFERED_BYTES = 64 * 1024
MAX_CHUNKED_BYTES = 1 << 20
PIECE_BYTES = 32 * 1024
STALL_TIMEOUT_S = 5.0
DISCARD_TIMEOUT_S = 1.0


class RequestStream(body.Stream):
    """A long request body, read from the caller while it is forwarded.

    Args:
        source: Input stream of the caller's connection.
        length: Declared Content-Length in bytes.
        on_abandon: Called when the rest of the body will not be read.
    """

    def __init__(
        self, source: BinaryIO, length: int, *, on_abandon: Callable[[], None]
    ) -> None:
        super().__init__(length)
        self._source = source
        self._on_abandon = on_abandon
        self._remaining_bytes = length

    def read(self) -> bytes:
        """Returns the next piece, or no bytes at the end."""
        if not self._remaining_bytes:
            self.finish()
            return b""
        if self.finished:
            raise _incomplete("it was closed before its end")
        piece = _read(self._source, min(self._remaining_bytes, PIECE_BYTES))
        if not piece:
            raise _incomplete(f"{self._remaining_bytes} bytes are missing")
        self._remaining_bytes -= len(piece)
        return piece

    def close(self) -> None:
        """Discards the rest of the body.

        Reads and discards for up to DISCARD_TIMEOUT_S, so that a caller that is
        still sending gets to read the response.
        """
        if not self.finished and self._remaining_bytes:
            with (
                contextlib.suppress(errors.BodyError),
                gevent.Timeout(DISCARD_TIMEOUT_S, False),
            ):
                while self._remaining_bytes:
                    self.read()
            if self._remaining_bytes:
                self._on_abandon()
        self.finish()


def _read(source: BinaryIO, size: int) -> bytes:
    try:
        with gevent.Timeout(STALL_TIMEOUT_S, False):
            return source.read(size)
    except (OSError, ValueError) as error:
        raise _incomplete(error) from error
    raise _incomplete(
        f"the caller sent too few bytes within {STALL_TIMEOUT_S:.0f} s"
    )


def _incomplete(problem: object) -> errors.BodyError:
    return errors.BodyError(
        f"the request body is incomplete: {problem}",
        remedy="send the request again",
    )


def read(environ: dict[str, Any], *, limit_bytes: int) -> body.Body:
    """Returns a request's body: buffered if short, as a stream if long.

    A body without a declared length is buffered and may have at most
    MAX_CHUNKED_BYTES. A body above the limit is returned unread.

    Raises:
        errors.RequestError: The body is incomplete, or is too long without a
            declared length.
    """
    source = environ["wsgi.input"]
    on_abandon = functools.partial(_close_after_response, environ)
    try:
        if environ.get("HTTP_TRANSFER_ENCODING"):
            return _buffer_chunked(source, limit_bytes)
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > min(MAX_BUFFERED_BYTES, limit_bytes):
            return RequestStream(source, length, on_abandon=on_abandon)
        buffered = RequestStream(source, length, on_abandon=on_abandon)
        return b"".join(body.pieces(buffered))
    except (errors.BodyError, ValueError) as error:
        on_abandon()
        raise errors.RequestError(
            str(error), remedy="send the request again"
        ) from error


def _close_after_response(environ: dict[str, Any]) -> None:
    """Makes the server close the connection after the response."""
    request_close = environ.get(caller_connection.CLOSE_FIELD)
    if request_close is not None:
        request_close()
    sock = environ.get(caller_connection.SOCKET_FIELD)
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RD)


def _buffer_chunked(source: BinaryIO, limit_bytes: int) -> bytes:
    buffered = []
    size = 0
    max_bytes = min(MAX_CHUNKED_BYTES, limit_bytes)
    while piece := _read(source, PIECE_BYTES):
        buffered.append(piece)
        size += len(piece)
        if size > max_bytes:
            raise errors.RequestError(
                f"a body without Content-Length exceeds {max_bytes} bytes",
                remedy="send a Content-Length header",
            )
    return b"".join(buffered)


class ResponseBody:
    """WSGI iterable over a response body.

    If a streamed body is truncated, the connection is closed before the
    declared length or the last chunk, so that the caller detects it.

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
        """Discards the unsent rest of the body; called by the HTTP server."""
        body.close(self._source)
