"""One caller's HTTP connection, with bounds on time and headers."""

import contextlib
from collections.abc import Iterator
from typing import Any
from typing import BinaryIO

import gevent
import httptools
from gevent import pywsgi

from primrosecross.adapters import sockets
from primrosecross.domain import request

IDLE_S = 75.0
HEADERS_S = 5.0
SEND_S = 10.0
MAX_HEADER_BYTES = 32 * 1024
SOCKET_FIELD = "primrosecross.socket"
END_FIELD = "primrosecross.end"


class _HeaderReader:
    """Reads header lines up to a bound in all, and keeps them."""

    def __init__(self, source: BinaryIO) -> None:
        self._source = source
        self._left_bytes = MAX_HEADER_BYTES
        self.lines: list[bytes] = []

    def readline(self, limit: int = -1) -> bytes:
        most = self._left_bytes if limit < 0 else min(limit, self._left_bytes)
        line = self._source.readline(most)
        self._left_bytes -= len(line)
        self.lines.append(line)
        if line and not self._left_bytes:
            raise ValueError("the headers are too long")
        return line


class _Gatherer:
    """Collects what would be sent in several writes."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def sendall(self, data: bytes) -> None:
        self.parts.append(data)


class Handler(pywsgi.WSGIHandler):
    """Serves one caller's connection; slow callers are closed."""

    def __init__(self, sock: gevent.socket.socket, *arguments: Any) -> None:
        sock.settimeout(SEND_S)
        super().__init__(sock, *arguments)

    def read_requestline(self) -> str:
        """Returns the request line, or nothing if none comes in time."""
        self.socket.settimeout(IDLE_S)
        try:
            with gevent.Timeout(IDLE_S, False):
                return super().read_requestline()
            return ""
        finally:
            self.socket.settimeout(SEND_S)

    def read_request(self, raw_requestline: str) -> bool:
        """Reads the headers.

        Raises:
            ValueError: They are too long, come too slowly, or two parsers
                could read them differently.
        """
        source = self.rfile
        self.rfile = reader = _HeaderReader(source)
        try:
            with gevent.Timeout(HEADERS_S, False):
                found = super().read_request(raw_requestline)
                head = raw_requestline.encode("latin-1")
                _check_head(head + b"".join(reader.lines))
                return found
        finally:
            self.rfile = source
        raise ValueError(f"the headers took over {HEADERS_S:.0f} s")

    def write(self, data: bytes) -> None:
        """Sends the headers together with the first bytes of the body."""
        if self.headers_sent:
            super().write(data)
            return
        sock, gatherer = self.socket, _Gatherer()
        self.socket = gatherer
        try:
            super().write(data)
        finally:
            self.socket = sock
        sock.sendall(b"".join(gatherer.parts))

    def log_request(self) -> None:
        """Formats nothing, as requests are counted in the meter."""

    def get_environ(self) -> dict[str, Any]:
        """Adds the socket, to notice a caller who leaves, and a way to end."""
        environ = super().get_environ()
        environ[SOCKET_FIELD] = self.socket
        environ[END_FIELD] = self._end_after_answer
        return environ

    def _end_after_answer(self) -> None:
        """Reads no further request, as this one's end is not known."""
        self.close_connection = True


class _StrictParser:
    """Takes no notice of what llhttp finds; it only has to accept it."""

    def __init__(self) -> None:
        self.codings: list[bytes] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"transfer-encoding":
            self.codings.append(value.strip().lower())


def _check_head(head: bytes) -> None:
    """Raises ValueError for a head that llhttp refuses.

    Source: RFC 9112, sections 2.2, 3, 5 and 6.3.
    """
    seen = _StrictParser()
    parser = httptools.HttpRequestParser(seen)
    try:
        parser.feed_data(head)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
        raise ValueError(f"ambiguous framing: {error}") from error
    if parser.get_http_version() not in ("1.0", "1.1"):
        raise ValueError("only HTTP/1.0 and HTTP/1.1 are spoken")
    if seen.codings not in ([], [b"chunked"]):
        raise ValueError("only the chunked coding is understood")


@contextlib.contextmanager
def watched(environ: dict[str, Any], req: request.Request) -> Iterator[None]:
    """Ends the calling task when the caller closes its connection.

    Only a request whose body was read whole is watched; reading a streamed
    body tells by itself.
    """
    sock = environ.get(SOCKET_FIELD)
    if sock is None or not isinstance(req.body, bytes):
        yield
        return
    task = gevent.getcurrent()
    watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def check() -> None:
        watcher.stop()
        if sockets.has_ended(sock):
            task.kill(block=False)

    watcher.start(check)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()
