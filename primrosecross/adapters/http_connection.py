"""HTTP/1.1 server on gevent's StreamServer, strict about framing.

One task serves each connection; a second one runs the request, so that a
caller who leaves ends the work. A connection whose bytes are no acceptable
request gets the parser's status and is closed.

Source: RFC 9112, sections 2.2, 5, 6.3 and 7; RFC 9110, section 15.
"""

import contextlib
import dataclasses
import http
import logging
import socket
import time
from collections.abc import Callable
from collections.abc import Iterator

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from primrosecross.adapters import http_parser
from primrosecross.adapters import sockets

RECEIVE_BYTES = 64 * 1024
CLOSE_LINGER_S = 0.3
BACKLOG = 1024
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class HttpReply:
    """An answer to be sent.

    Attributes:
        status: Status code.
        headers: Headers but those of framing and of the connection.
        body: The whole body.
        close: Whether the connection ends after it.
    """

    status: int
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    close: bool = False


Handler = Callable[[http_parser.HttpRequest], HttpReply]


class HttpServer:
    """Serves one address.

    Args:
        listen: Address, as (ip, port).
        handle: Answers one request; its task is killed when the caller
            leaves.
        limits: Returns the limits in force.
    """

    def __init__(
        self,
        *,
        listen: tuple[str, int],
        handle: Handler,
        limits: Callable[
            [], http_parser.ServerLimits
        ] = http_parser.ServerLimits,
    ) -> None:
        self._handle = handle
        self._limits = limits
        self._server = gevent_server.StreamServer(
            listen, self._serve, backlog=BACKLOG
        )
        self._held = http_parser.HeldBytes()
        self._idle: set[gevent_socket.socket] = set()
        self._retired = False
        self.in_flight = 0
        self.closing = False

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Begins to listen; raises OSError when the port is taken."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening."""
        self._server.close()

    def retire(self) -> None:
        """Reads no further request; those that were read are answered."""
        self._retired = self.closing = True
        self._server.close()
        for sock in list(self._idle):
            if sockets.is_quiet(sock):
                sock.shutdown(socket.SHUT_RD)

    def _serve(self, sock: gevent_socket.socket, _: object) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        parser = http_parser.RequestParser(self._limits(), self._held)
        try:
            self._run(sock, parser)
        except OSError as error:
            _logger.debug("a caller's connection ended: %s", error)
        finally:
            parser.release()
            sock.close()

    def _run(
        self, sock: gevent_socket.socket, parser: http_parser.RequestParser
    ) -> None:
        while True:
            try:
                request = self._read(sock, parser)
            except http_parser.RefusedError as error:
                _logger.info("refused a request: %s", error)
                body = f"{error}\n".encode()
                self._send(sock, HttpReply(error.status, [], body), close=True)
                _linger(sock)
                return
            if request is None:
                return
            self.in_flight += 1
            try:
                goes_on = self._serve_one(sock, parser, request)
            finally:
                self.in_flight -= 1
            if not goes_on:
                return

    def _serve_one(
        self,
        sock: gevent_socket.socket,
        parser: http_parser.RequestParser,
        request: http_parser.HttpRequest,
    ) -> bool:
        """Answers a request; tells whether the connection goes on."""
        reply = self._answer(sock, request)
        if reply is None:
            return False
        if not parser.complete:
            parser.release()
        close = reply.close or self.closing or not request.keep_alive
        self._send(sock, reply, close=close, method=request.method)
        return not close

    def _read(
        self, sock: gevent_socket.socket, parser: http_parser.RequestParser
    ) -> http_parser.HttpRequest | None:
        """Returns the next request, None when the caller is gone or idle."""
        if parser.complete:
            return parser.complete.pop(0)
        if parser.refused is not None:
            raise parser.refused
        if self._retired:
            return None
        parser.limits = limits = self._limits()
        data = self._await_bytes(sock, limits.idle_timeout_ms / 1000)
        head_s = limits.head_timeout_ms / 1000
        until_s = time.monotonic() + head_s
        while data:
            parser.feed(data)
            if parser.complete:
                return parser.complete.pop(0)
            left_s = head_s if parser.in_body else until_s - time.monotonic()
            data = _receive(sock, max(0.0, left_s))
        return None

    def _await_bytes(self, sock: gevent_socket.socket, idle_s: float) -> bytes:
        """Returns the first bytes of a request, none at the end."""
        self._idle.add(sock)
        try:
            with gevent.Timeout(idle_s, False):
                return sock.recv(RECEIVE_BYTES)
            return b""
        finally:
            self._idle.discard(sock)

    def _answer(
        self, sock: gevent_socket.socket, request: http_parser.HttpRequest
    ) -> HttpReply | None:
        """Returns the reply, None if the caller left before it was ready."""
        if sockets.has_ended(sock):
            _logger.info("dropped a request whose caller has left")
            return None
        job = gevent.spawn(self._handle, request)
        try:
            with _killed_on_hangup(sock, job):
                job.join()
        finally:
            job.kill(block=False)
        if isinstance(job.value, HttpReply):
            return job.value
        if job.exception is not None:
            _logger.error("a request met a fault: %r", job.exception)
            return HttpReply(502, [], b"", close=True)
        return None

    def _send(
        self,
        sock: gevent_socket.socket,
        reply: HttpReply,
        *,
        close: bool,
        method: str = "GET",
    ) -> None:
        reason = _REASONS.get(reply.status, "Status")
        lines = [f"HTTP/1.1 {reply.status} {reason}"]
        lines += [f"{name}: {value}" for name, value in reply.headers]
        if reply.status >= 200 and reply.status not in (204, 304):
            lines.append(f"Content-Length: {len(reply.body)}")
        if close:
            lines.append("Connection: close")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1", "replace")
        sock.sendall(head if method == "HEAD" else head + reply.body)


def _receive(sock: gevent_socket.socket, timeout_s: float) -> bytes:
    """Returns more bytes of a request that has begun."""
    with gevent.Timeout(timeout_s, False):
        return sock.recv(RECEIVE_BYTES)
    raise http_parser.RefusedError(408, "the request took too long")


@contextlib.contextmanager
def _killed_on_hangup(
    sock: gevent_socket.socket, job: gevent.Greenlet
) -> Iterator[None]:
    """Kills a task when the other side closes the connection."""
    watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def look() -> None:
        watcher.stop()  # What came is the next request, or the end.
        if sockets.has_ended(sock):
            job.kill(block=False)

    watcher.start(look)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()


def _linger(sock: gevent_socket.socket) -> None:
    """Reads what is on its way, so that the answer is not lost to a reset."""
    with gevent.Timeout(CLOSE_LINGER_S, False):
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(RECEIVE_BYTES):
            pass
