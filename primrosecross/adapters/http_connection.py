"""HTTP/1.1 server on gevent's StreamServer, strict about framing.

One task serves each connection; a second one runs the request, so that a
caller who leaves ends the work. llhttp refuses what lets two parsers disagree
about where a request ends; such a connection gets 400 and is closed.

Source: RFC 9112, sections 2.2, 5, 6.3 and 7; RFC 9110, section 15.
"""

import contextlib
import dataclasses
import http
import logging
import re
import socket
import time
from collections.abc import Callable
from collections.abc import Iterator

import gevent
import httptools
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from primrosecross.adapters import sockets

RECEIVE_BYTES = 64 * 1024
CLOSE_LINGER_S = 0.3
BACKLOG = 1024
_VERSIONS = frozenset({"1.0", "1.1"})
_TARGET = re.compile(r"[!-~]+")
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A whole request.

    Attributes:
        method: Method as sent.
        target: Path and query as sent.
        headers: Names as sent, with their values in order.
        body: The whole body.
        keep_alive: Whether the caller lets the connection go on.
    """

    method: str = ""
    target: str = ""
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True

    def get(self, name: str) -> str:
        """Returns the first header of a lower-case name, empty if absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""

    def count(self, name: str) -> int:
        """Returns how many headers have a lower-case name."""
        return sum(key.lower() == name for key, _ in self.headers)


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


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """What callers may send and how long they may take.

    Attributes:
        max_head_bytes: Request line and headers; more is answered 431.
        max_body_bytes: Body; more is answered 413.
        head_timeout_ms: From the first byte of a request to its last; a
            caller who takes longer is answered 408.
        idle_timeout_ms: Longest time without a request.
        max_held_bytes: Bodies of all callers together; a request beyond that
            is answered 503 before it is read.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 << 20
    head_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000
    max_held_bytes: int = 64 << 20


class _RefusedError(Exception):
    """The request cannot be read; the connection ends with this status."""

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status


class _Held:
    """Bytes of bodies that a server holds now."""

    def __init__(self) -> None:
        self.bytes = 0


class _Parser:
    """Collects requests from the bytes of one connection."""

    def __init__(self, limits: ServerLimits, held: _Held) -> None:
        self.limits = limits
        self._held = held
        self.held_bytes = 0
        self.complete: list[HttpRequest] = []
        self.refused: _RefusedError | None = None
        self.in_body = False
        self._request = HttpRequest()
        self._target: list[bytes] = []
        self._pieces: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Takes in bytes.

        Raises:
            _RefusedError: They are no acceptable request. It is kept for
                later if whole requests came before.
        """
        try:
            self._feed(data)
        except _RefusedError as error:
            if not self.complete:
                raise
            self.refused = error

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, _RefusedError):
                raise error.__context__ from None
            raise _RefusedError(400, "the request cannot be read") from error
        except httptools.HttpParserUpgrade:
            raise _RefusedError(400, "upgrades are not offered") from None
        except httptools.HttpParserError as error:
            raise _RefusedError(400, str(error)) from error

    def on_message_begin(self) -> None:
        self._request = HttpRequest()
        self._target.clear()
        self._pieces.clear()
        self._head_bytes = self._body_bytes = 0
        self.in_body = False

    def on_url(self, url: bytes) -> None:
        self._target.append(url)
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value) + 4)
        if self.in_body:  # Trailers are read and not passed on.
            return
        self._request.headers.append(
            (name.decode("latin-1"), value.decode("latin-1"))
        )

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.max_head_bytes:
            raise _RefusedError(431, "the head is too long")

    def on_headers_complete(self) -> None:
        self.in_body = True
        request = self._request
        request.method = self._parser.get_method().decode("latin-1")
        request.target = b"".join(self._target).decode("latin-1")
        if self._parser.get_http_version() not in _VERSIONS:
            raise _RefusedError(400, "only HTTP/1.0 and HTTP/1.1 are spoken")
        if not _TARGET.fullmatch(request.target):
            raise _RefusedError(400, "the request target has stray characters")
        if request.count("host") != 1:
            raise _RefusedError(400, "exactly one Host is required")
        self._check_coding(request)
        length = request.get("content-length")
        if length.isdigit() and int(length) > self.limits.max_body_bytes:
            raise _RefusedError(413, "the body is too long")

    def _check_coding(self, request: HttpRequest) -> None:
        coding = [v for n, v in request.headers if _is_coding(n)]
        if not coding:
            return
        if [v.strip().lower() for v in coding] != ["chunked"]:
            raise _RefusedError(400, "only the chunked coding is understood")
        if self._parser.get_http_version() == "1.0":
            raise _RefusedError(400, "HTTP/1.0 has no transfer coding")

    def on_body(self, piece: bytes) -> None:
        self._pieces.append(piece)
        self._body_bytes += len(piece)
        self.held_bytes += len(piece)
        self._held.bytes += len(piece)
        if self._held.bytes > self.limits.max_held_bytes:
            raise _RefusedError(503, "too many bodies are held now")
        if self._body_bytes > self.limits.max_body_bytes:
            raise _RefusedError(413, "the body is too long")

    def release(self) -> None:
        """Counts the bodies taken in so far as held no more."""
        self._held.bytes -= self.held_bytes
        self.held_bytes = 0

    def on_message_complete(self) -> None:
        self._request.body = b"".join(self._pieces)
        self._pieces.clear()
        self._request.keep_alive = self._parser.should_keep_alive()
        self.in_body = False
        self.complete.append(self._request)


def _is_coding(name: str) -> bool:
    return name.lower() == "transfer-encoding"


Handler = Callable[[HttpRequest], HttpReply]


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
        limits: Callable[[], ServerLimits] = ServerLimits,
    ) -> None:
        self._handle = handle
        self._limits = limits
        self._server = gevent_server.StreamServer(
            listen, self._serve, backlog=BACKLOG
        )
        self._held = _Held()
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
        parser = _Parser(self._limits(), self._held)
        try:
            self._run(sock, parser)
        except OSError as error:
            _logger.debug("a caller's connection ended: %s", error)
        finally:
            parser.release()
            sock.close()

    def _run(self, sock: gevent_socket.socket, parser: _Parser) -> None:
        while True:
            try:
                request = self._read(sock, parser)
            except _RefusedError as error:
                _logger.info("refused a request: %s", error)
                body = f"{error}\n".encode()
                self._send(sock, HttpReply(error.status, [], body), close=True)
                _linger(sock)
                return
            if request is None:
                return
            reply = self._answer(sock, request)
            if reply is None:
                return
            if not parser.complete:
                parser.release()
            close = reply.close or self.closing or not request.keep_alive
            self._send(sock, reply, close=close, method=request.method)
            if close:
                return

    def _read(
        self, sock: gevent_socket.socket, parser: _Parser
    ) -> HttpRequest | None:
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
        self, sock: gevent_socket.socket, request: HttpRequest
    ) -> HttpReply | None:
        """Returns the reply, None if the caller left before it was ready."""
        job = gevent.spawn(self._handle, request)
        self.in_flight += 1
        try:
            with _killed_on_hangup(sock, job):
                job.join()
        finally:
            self.in_flight -= 1
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
    raise _RefusedError(408, "the request took too long")


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
