"""HTTP connection of one caller, with timeouts and header limits."""

import contextlib
from collections.abc import Iterator
from typing import Any
from typing import BinaryIO

import gevent
import httptools

from primrosecross.adapters import sockets
from primrosecross.adapters.http import http_server
from primrosecross.domain.requests import request

IDLE_TIMEOUT_S = 75.0
HEADER_TIMEOUT_S = 5.0
SEND_TIMEOUT_S = 10.0
MAX_HEADER_BYTES = 32 * 1024
SOCKET_FIELD = "primrosecross.socket"
CLOSE_FIELD = "primrosecross.end"


class _HeaderReader:
    """Reads and records header lines up to a total size limit."""

    def __init__(self, source: BinaryIO) -> None:
        self._source = source
        self._remaining_bytes = MAX_HEADER_BYTES
        self.lines: list[bytes] = []

    def readline(self, limit: int = -1) -> bytes:
        max_bytes = (
            self._remaining_bytes
            if limit < 0
            else min(limit, self._remaining_bytes)
        )
        line = self._source.readline(max_bytes)
        self._remaining_bytes -= len(line)
        self.lines.append(line)
        if line and not self._remaining_bytes:
            raise ValueError("the headers exceed the size limit")
        return line


class _WriteBuffer:
    """Collects writes in place of a socket, to send them in one call."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def sendall(self, data: bytes) -> None:
        self.parts.append(data)


class Handler(http_server.Handler):
    """Serves one caller's connection and closes it if the caller is slow."""

    def __init__(self, sock: gevent.socket.socket, *arguments: Any) -> None:
        sock.settimeout(SEND_TIMEOUT_S)
        super().__init__(sock, *arguments)

    def read_requestline(self) -> str:
        """Returns the request line, or an empty string on timeout."""
        self.socket.settimeout(IDLE_TIMEOUT_S)
        try:
            with gevent.Timeout(IDLE_TIMEOUT_S, False):
                return super().read_requestline()
            return ""
        finally:
            self.socket.settimeout(SEND_TIMEOUT_S)

    def read_request(self, raw_requestline: str) -> bool:
        """Reads the headers.

        Raises:
            ValueError: The headers are too long or too slow, or two parsers
                could interpret them differently.
        """
        source = self.rfile
        self.rfile = reader = _HeaderReader(source)
        try:
            with gevent.Timeout(HEADER_TIMEOUT_S, False):
                parsed = super().read_request(raw_requestline)
                request_line = raw_requestline.encode("latin-1")
                _check_framing(request_line + b"".join(reader.lines))
                return parsed
        finally:
            self.rfile = source
        raise ValueError(
            f"the headers did not arrive within {HEADER_TIMEOUT_S:.0f} s"
        )

    def write(self, data: bytes) -> None:
        """Sends the headers and the first bytes of the body in one write."""
        if self.headers_sent:
            super().write(data)
            return
        sock, write_buffer = self.socket, _WriteBuffer()
        self.socket = write_buffer
        try:
            super().write(data)
        finally:
            self.socket = sock
        sock.sendall(b"".join(write_buffer.parts))

    def log_request(self) -> None:
        """Logs nothing, as the meter counts requests."""

    def get_environ(self) -> dict[str, Any]:
        """Adds the socket and a function that ends keep-alive.

        The socket serves to detect that the caller disconnects.
        """
        environ = super().get_environ()
        environ[SOCKET_FIELD] = self.socket
        environ[CLOSE_FIELD] = self._close_after_response
        return environ

    def _close_after_response(self) -> None:
        """Prevents reading another request, as this one's end is unknown."""
        self.close_connection = True


class _ParserCallbacks:
    """Callbacks for llhttp; records only the transfer codings."""

    def __init__(self) -> None:
        self.codings: list[bytes] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"transfer-encoding":
            self.codings.append(value.strip().lower())


def _check_framing(head: bytes) -> None:
    """Raises ValueError for a request head that is not strictly valid.

    See RFC 9112, sections 2.2, 3, 5 and 6.3.
    """
    callbacks = _ParserCallbacks()
    parser = httptools.HttpRequestParser(callbacks)
    try:
        parser.feed_data(head)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
        raise ValueError(f"ambiguous framing: {error}") from error
    if parser.get_http_version() not in ("1.0", "1.1"):
        raise ValueError("only HTTP/1.0 and HTTP/1.1 are supported")
    if callbacks.codings not in ([], [b"chunked"]):
        raise ValueError("only the chunked transfer coding is supported")


@contextlib.contextmanager
def kill_on_disconnect(
    environ: dict[str, Any], req: request.Request
) -> Iterator[None]:
    """Kills the calling task if the caller closes its connection.

    Applies only to a request whose body is fully read; reading a streamed body
    detects the disconnect itself.
    """
    sock = environ.get(SOCKET_FIELD)
    if sock is None or not isinstance(req.body, bytes):
        yield
        return
    task = gevent.getcurrent()
    watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def on_readable() -> None:
        watcher.stop()
        if sockets.is_closed_by_peer(sock):
            task.kill(block=False)

    watcher.start(on_readable)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()
