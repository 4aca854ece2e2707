"""One caller's HTTP connection, with bounds on time and headers."""

import contextlib
import socket
from collections.abc import Iterator
from typing import Any
from typing import BinaryIO

import gevent
from gevent import pywsgi

from primrosecross.domain import request

IDLE_S = 75.0
HEADERS_S = 5.0
SEND_S = 10.0
MAX_HEADER_BYTES = 32 * 1024
SOCKET_FIELD = "primrosecross.socket"


class _HeaderReader:
    """Reads header lines up to a bound in all."""

    def __init__(self, source: BinaryIO) -> None:
        self._source = source
        self._left_bytes = MAX_HEADER_BYTES

    def readline(self, limit: int = -1) -> bytes:
        most = self._left_bytes if limit < 0 else min(limit, self._left_bytes)
        line = self._source.readline(most)
        self._left_bytes -= len(line)
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
            ValueError: They are too long or come too slowly.
        """
        source = self.rfile
        self.rfile = _HeaderReader(source)
        try:
            with gevent.Timeout(HEADERS_S, False):
                return super().read_request(raw_requestline)
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
        """Adds the socket, so that a caller who leaves can be noticed."""
        environ = super().get_environ()
        environ[SOCKET_FIELD] = self.socket
        return environ


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
        if _is_closed(sock):
            task.kill(block=False)

    watcher.start(check)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()


def _is_closed(sock: gevent.socket.socket) -> bool:
    try:
        return not sock._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
