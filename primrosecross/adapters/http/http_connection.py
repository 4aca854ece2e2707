"""HTTP/1.1 server on gevent's StreamServer, strict about framing.

One task serves each connection; a second one runs the request, so that it can
be killed when the caller disconnects. A connection that carries an invalid
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

from primrosecross.adapters import sockets
from primrosecross.adapters.http import http_parser

RECEIVE_BYTES = 64 * 1024
CLOSE_DRAIN_S = 0.3
BACKLOG = 1024
_REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class HttpReply:
    """Response to send.

    Attributes:
        status: Status code.
        headers: Headers, except those for framing and the connection.
        body: Complete body.
        close: Whether to close the connection after the response.
    """

    status: int
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    close: bool = False


Handler = Callable[[http_parser.HttpRequest], HttpReply]


class HttpServer:
    """Serves HTTP on one address.

    Args:
        listen: Address, as (ip, port).
        handle: Handles one request; its task is killed when the caller
            disconnects.
        limits: Returns the current limits.
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
        self._buffered = http_parser.BufferedBytes()
        self._idle: set[gevent_socket.socket] = set()
        self._stopped_reading = False
        self.in_flight = 0
        self.closing = False

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Starts listening; raises OSError if the port is in use."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening."""
        self._server.close()

    def stop_reading(self) -> None:
        """Stops reading requests; those already read are answered."""
        self._stopped_reading = self.closing = True
        self._server.close()
        for sock in list(self._idle):
            if sockets.is_idle(sock):
                sock.shutdown(socket.SHUT_RD)

    def _serve(self, sock: gevent_socket.socket, _: object) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        parser = http_parser.RequestParser(self._limits(), self._buffered)
        try:
            self._serve_connection(sock, parser)
        except OSError as error:
            _logger.debug("a caller's connection failed: %s", error)
        finally:
            parser.release()
            sock.close()

    def _serve_connection(
        self, sock: gevent_socket.socket, parser: http_parser.RequestParser
    ) -> None:
        while True:
            try:
                request = self._read_request(sock, parser)
            except http_parser.RequestRejectedError as error:
                _logger.info("rejected a request: %s", error)
                body = f"{error}\n".encode()
                self._send_reply(
                    sock, HttpReply(error.status, [], body), close=True
                )
                _drain_before_close(sock)
                return
            if request is None:
                return
            self.in_flight += 1
            try:
                keep_open = self._serve_request(sock, parser, request)
            finally:
                self.in_flight -= 1
            if not keep_open:
                return

    def _serve_request(
        self,
        sock: gevent_socket.socket,
        parser: http_parser.RequestParser,
        request: http_parser.HttpRequest,
    ) -> bool:
        """Answers a request; returns whether the connection stays open."""
        reply = self._handle_request(sock, request)
        if reply is None:
            return False
        if not parser.complete_requests:
            parser.release()
        close = reply.close or self.closing or not request.keep_alive
        self._send_reply(sock, reply, close=close, method=request.method)
        return not close

    def _read_request(
        self, sock: gevent_socket.socket, parser: http_parser.RequestParser
    ) -> http_parser.HttpRequest | None:
        """Returns the next request, None if the connection is to be closed."""
        if parser.complete_requests:
            return parser.complete_requests.pop(0)
        if parser.rejected is not None:
            raise parser.rejected
        if self._stopped_reading:
            return None
        parser.limits = limits = self._limits()
        data = self._receive_first(sock, limits.idle_timeout_ms / 1000)
        head_timeout_s = limits.head_timeout_ms / 1000
        deadline_s = time.monotonic() + head_timeout_s
        share = sockets.LoopShare()
        while data:
            parser.feed(data)
            share.record(len(data))
            if parser.complete_requests:
                return parser.complete_requests.pop(0)
            remaining_s = (
                head_timeout_s
                if parser.in_body
                else deadline_s - time.monotonic()
            )
            data = _receive_more(sock, max(0.0, remaining_s))
        return None

    def _receive_first(
        self, sock: gevent_socket.socket, idle_timeout_s: float
    ) -> bytes:
        """Returns the first bytes of a request, empty at the end or timeout."""
        self._idle.add(sock)
        try:
            with gevent.Timeout(idle_timeout_s, False):
                return sock.recv(RECEIVE_BYTES)
            return b""
        finally:
            self._idle.discard(sock)

    def _handle_request(
        self, sock: gevent_socket.socket, request: http_parser.HttpRequest
    ) -> HttpReply | None:
        """Returns the reply, None if the caller disconnected before it."""
        if sockets.is_closed_by_peer(sock):
            _logger.info("dropped a request whose caller had disconnected")
            return None
        task = gevent.spawn(self._handle, request)
        try:
            with _killed_on_disconnect(sock, task):
                task.join()
        finally:
            task.kill(block=False)
        if isinstance(task.value, HttpReply):
            return task.value
        if task.exception is not None:
            _logger.error(
                "the request handler raised an exception: %r", task.exception
            )
            return HttpReply(502, [], b"", close=True)
        return None

    def _send_reply(
        self,
        sock: gevent_socket.socket,
        reply: HttpReply,
        *,
        close: bool,
        method: str = "GET",
    ) -> None:
        reason = _REASON_PHRASES.get(reply.status, "Status")
        lines = [f"HTTP/1.1 {reply.status} {reason}"]
        lines += [f"{name}: {value}" for name, value in reply.headers]
        if reply.status >= 200 and reply.status not in (204, 304):
            lines.append(f"Content-Length: {len(reply.body)}")
        if close:
            lines.append("Connection: close")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1", "replace")
        sock.sendall(head if method == "HEAD" else head + reply.body)


def _receive_more(sock: gevent_socket.socket, timeout_s: float) -> bytes:
    """Returns more bytes of a partly received request."""
    with gevent.Timeout(timeout_s, False):
        return sock.recv(RECEIVE_BYTES)
    raise http_parser.RequestRejectedError(
        408, "timed out while reading the request"
    )


@contextlib.contextmanager
def _killed_on_disconnect(
    sock: gevent_socket.socket, task: gevent.Greenlet
) -> Iterator[None]:
    """Kills a task when the peer closes the connection."""
    watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def on_readable() -> None:
        watcher.stop()  # Either the next request or end of stream.
        if sockets.is_closed_by_peer(sock):
            task.kill(block=False)

    watcher.start(on_readable)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()


def _drain_before_close(sock: gevent_socket.socket) -> None:
    """Discards unread input before a close.

    Closing a socket with unread input resets the connection, and a reset could
    make the caller lose the response.
    """
    share = sockets.LoopShare()
    with gevent.Timeout(CLOSE_DRAIN_S, False):
        sock.shutdown(socket.SHUT_WR)
        while data := sock.recv(RECEIVE_BYTES):
            share.record(len(data))
