"""HTTP/1.1 server on gevent's StreamServer, strict about framing.

One task serves each connection: it reads requests and starts a task for each,
which is killed when the caller disconnects. Requests that a caller sends ahead
run at the same time if all of them may be repeated; they are answered in the
order in which they came. In a stop, the answer that closes a connection is the
one behind which the caller has sent nothing. A request behind one that asks for
the close is never started. A connection that carries an invalid request gets
the parser's status and is closed.

Source: RFC 9112, sections 2.2, 5, 6.3, 7 and 9.3.2; RFC 9110, section 15.
"""

import collections
import contextlib
import dataclasses
import http
import logging
import socket
import time
from collections.abc import Callable
from collections.abc import Iterator

import gevent
from gevent import event as gevent_event
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from primrosecross.adapters import boot_clock
from primrosecross.adapters import sockets
from primrosecross.adapters.http import http_parser
from primrosecross.domain.requests import body_memory

RECEIVE_BYTES = 64 * 1024
LINGER_S = 10.0  # in all, for a caller that still sends behind the last reply
LINGER_IDLE_S = 1.0  # for a caller that does not
LINGER_BYTES = 64 << 20  # then a caller never stops sending
BACKLOG = 1024
BACKLOG_READ_S = 0.2  # for the first request on a connection found in a stop
MAX_AHEAD = 8  # requests of one connection that run or wait for their turn
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
    """Serves HTTP on one address, or on a socket that listens already.

    Args:
        listen: Address, as (ip, port), or a socket that listens.
        handle: Handles one request; its task is killed when the caller
            disconnects.
        limits: Returns the current limits.
        may_overlap: Returns whether a request may run beside others of its
            connection.
        bodies: Memory for bodies; one of its own if not given.
    """

    def __init__(
        self,
        *,
        listen: tuple[str, int] | gevent_socket.socket,
        handle: Handler,
        limits: Callable[
            [], http_parser.ServerLimits
        ] = http_parser.ServerLimits,
        may_overlap: Callable[
            [http_parser.HttpRequest], bool
        ] = lambda request: False,
        bodies: body_memory.BodyMemory | None = None,
    ) -> None:
        self.handle = handle
        self.limits = limits
        self.may_overlap = may_overlap
        self._server = gevent_server.StreamServer(
            listen,
            self._serve,
            backlog=BACKLOG if isinstance(listen, tuple) else None,
        )
        self.bodies = bodies or body_memory.BodyMemory(
            clock=boot_clock.BootClock()
        )
        self._connections: set[_Connection] = set()
        self.idle: set[gevent_socket.socket] = set()
        self.stopped_reading = False
        self.in_flight = 0
        self.receiving = 0  # connections with a part of a request
        self.lingering = 0  # connections whose callers have not closed yet
        self.closing = False

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._server.server_port

    @property
    def unfinished(self) -> int:
        """Number of requests and connections that an exit would cut off."""
        return self.in_flight + self.receiving + self.lingering

    def start(self) -> None:
        """Starts listening; raises OSError if the port is in use."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening."""
        self._server.close()

    def stop_reading(self) -> None:
        """Stops reading requests; those already read are answered.

        So is the first request of a connection found in the backlog.
        """
        self.stopped_reading = self.closing = True
        sockets.close_listener(self._server)
        for connection in self._connections:
            connection.note_stop()
        for sock in list(self.idle):
            if sockets.is_idle(sock):
                sock.shutdown(socket.SHUT_RD)

    def _serve(self, sock: gevent_socket.socket, _: object) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(self, sock)
        self._connections.add(connection)
        try:
            connection.serve()
        except OSError as error:
            _logger.debug("a caller's connection failed: %s", error)
        finally:
            self._connections.discard(connection)
            connection.abandon()
            sock.close()


@dataclasses.dataclass(eq=False, slots=True)
class _Exchange:
    """A request that was started, and its reply once it is known."""

    request: http_parser.HttpRequest
    reply: HttpReply | None = None
    task: gevent.Greenlet | None = None


class _Closed(Exception):  # noqa: N818
    """Ends the reading of a connection whose last reply was sent."""


class _Connection:
    """One connection from a caller.

    Args:
        server: The server, with its handler and limits.
        sock: The connection.
    """

    def __init__(self, server: HttpServer, sock: gevent_socket.socket) -> None:
        self._server = server
        self._sock = sock
        self._parser = http_parser.RequestParser(server.limits(), server.bodies)
        self._started: collections.deque[_Exchange] = collections.deque()
        self._progress = gevent_event.Event()
        self._reader = gevent.getcurrent()
        self._last_reply_s = 0.0
        self._has_started = False
        self._awaits_turn = False
        self._awaits_request = False
        self._is_reading = False
        self._is_sending = False
        self._is_closing = False  # The last reply is being sent.
        self._is_closed = False
        self._unread_at_stop_bytes = 0

    def serve(self) -> None:
        """Serves requests until the connection is to be closed."""
        try:
            while (request := self._read_request()) is not None:
                self._await_turn(request)
                self._start(request)
                keep_alive = request.keep_alive
                del request  # and its body, before the next one is awaited
                if not keep_alive:
                    self._await_close()
            if self._server.stopped_reading:
                self._await_close()
        except http_parser.RequestRejectedError as error:
            self._reject(error)
            self._linger()
        except _Closed:
            self._linger()

    def _linger(self) -> None:
        """Closes gracefully."""
        self._parser.release_all()
        self._server.lingering += 1
        try:
            _linger(self._sock)
        finally:
            self._server.lingering -= 1

    def abandon(self) -> None:
        """Ends the requests that were started and not answered."""
        for exchange in self._started:
            exchange.task.kill(block=False)
            if exchange.reply is not None:
                self._server.bodies.give_back(len(exchange.reply.body))
        self._server.in_flight -= len(self._started)
        self._started.clear()
        self._parser.release_all()

    def _await_close(self) -> None:
        """Waits for the last reply, if any is due; then raises _Closed."""
        while self._started:
            self._await_progress()
        raise _Closed

    def _await_turn(self, request: http_parser.HttpRequest) -> None:
        """Waits until a request may run; raises _Closed if it never may."""
        self._awaits_turn = True
        try:
            while self._is_closing or not self._may_start(request):
                self._await_progress()
        finally:
            self._awaits_turn = False

    def _may_start(self, request: http_parser.HttpRequest) -> bool:
        """Returns whether a request may run beside those not yet answered.

        During a stop requests run one by one, so that each reply can tell
        whether it is the last one.
        """
        if not self._started:
            return True
        return (
            len(self._started) < MAX_AHEAD
            and not self._server.closing
            and all(
                self._server.may_overlap(r)
                for r in (request, *(e.request for e in self._started))
            )
        )

    def _await_progress(self) -> None:
        """Waits for the next reply while the caller stays connected."""
        if self._is_closed:
            raise _Closed
        self._progress.clear()
        with _called_on_disconnect(self._sock, self._kill_reader):
            self._progress.wait()

    def _kill_reader(self) -> None:
        _logger.info("dropped requests whose caller had disconnected")
        self._reader.kill(block=False)

    def _start(self, request: http_parser.HttpRequest) -> None:
        if self._is_closed:
            raise _Closed
        if sockets.is_closed_by_peer(self._sock):
            _logger.info("dropped a request whose caller had disconnected")
            raise _Closed
        self._has_started = True
        exchange = _Exchange(request)
        self._started.append(exchange)
        self._server.in_flight += 1
        exchange.task = gevent.spawn(self._run, exchange)

    def _run(self, exchange: _Exchange) -> None:
        """Runs a request and sends all replies that are due."""
        try:
            reply = self._server.handle(exchange.request)
        except Exception as error:
            _logger.exception("the request handler raised %r", error)
            reply = HttpReply(502, [], b"", close=True)
        if exchange not in self._started:  # The connection has ended.
            return
        self._parser.release(len(exchange.request.body))
        exchange.request = dataclasses.replace(exchange.request, body=b"")
        self._server.bodies.charge(len(reply.body))
        exchange.reply = reply
        if self._is_sending:
            return
        self._is_sending = True
        try:
            self._send_due()
        except OSError as error:
            _logger.debug("a caller's connection failed: %s", error)
            self._close()
        finally:
            self._is_sending = False

    def _send_due(self) -> None:
        """Sends the replies at the head of the queue, in order."""
        while self._started and self._started[0].reply is not None:
            exchange = self._started[0]
            # A reply that closes the connection would void those behind it.
            is_last = len(self._started) == 1
            close = is_last and self._closes(exchange)
            self._is_closing = close
            self._send(
                exchange.reply, close=close, method=exchange.request.method
            )
            self._started.popleft()
            self._server.bodies.give_back(len(exchange.reply.body))
            self._server.in_flight -= 1
            self._last_reply_s = time.monotonic()
            self._update_idle()
            if close:
                self._close()
            self._progress.set()

    def _closes(self, exchange: _Exchange) -> bool:
        """Returns whether the reply to the last request started closes."""
        if not exchange.request.keep_alive:
            return True
        may_close = exchange.reply.close or self._server.closing
        return may_close and not self._has_input()

    def _has_input(self) -> bool:
        """Returns whether the caller has sent more than was started."""
        return (
            self._awaits_turn
            or bool(self._parser.complete_requests)
            or self._parser.rejected is not None
            or self._parser.in_body
            or (self._is_reading and not self._awaits_request)
            or self._has_unread_input()
        )

    def note_stop(self) -> None:
        """Records what the caller has sent before the server stops reading.

        A caller may send ahead without end; what comes later is not read.
        """
        self._unread_at_stop_bytes = sockets.unread_bytes(self._sock) or 0

    def _has_unread_input(self) -> bool:
        """Returns whether there is input that this connection still reads."""
        if self._server.stopped_reading:
            return self._unread_at_stop_bytes > 0
        return sockets.has_unread(self._sock)

    def _close(self) -> None:
        self._is_closed = True
        self._progress.set()
        if self._is_reading:
            self._reader.kill(_Closed, block=False)

    def _read_request(self) -> http_parser.HttpRequest | None:
        """Returns the next request, None at the end of the input."""
        parser = self._parser
        if parser.complete_requests:
            return parser.complete_requests.pop(0)
        if parser.rejected is not None:
            raise parser.rejected
        while self._is_closing:
            self._await_progress()
        if (
            self._server.stopped_reading
            and self._has_started
            and not self._has_input()
        ):
            return None
        self._is_reading = True
        try:
            return self._receive_request()
        finally:
            self._is_reading = False

    def _receive_request(self) -> http_parser.HttpRequest | None:
        parser = self._parser
        parser.limits = limits = self._server.limits()
        idle_timeout_s = limits.idle_timeout_ms / 1000
        if self._server.stopped_reading:
            idle_timeout_s = BACKLOG_READ_S
        head_timeout_s = limits.head_timeout_ms / 1000
        if parser.in_body:  # its first bytes came with the request before
            data = _receive_more(self._sock, head_timeout_s)
        else:
            data = self._receive_first(idle_timeout_s)
        if not data:
            return None
        self._server.receiving += 1
        try:
            return self._receive_rest(data, head_timeout_s)
        finally:
            self._server.receiving -= 1

    def _receive_rest(
        self, data: bytes, head_timeout_s: float
    ) -> http_parser.HttpRequest | None:
        """Returns the request that begins with `data`, None if cut off."""
        parser = self._parser
        deadline_s = time.monotonic() + head_timeout_s
        share = sockets.LoopShare()
        while data:
            parser.feed(data)
            self._unread_at_stop_bytes -= len(data)
            share.record(len(data))
            if parser.complete_requests:
                return parser.complete_requests.pop(0)
            remaining_s = (
                head_timeout_s
                if parser.in_body
                else deadline_s - time.monotonic()
            )
            data = _receive_more(self._sock, max(0.0, remaining_s))
        return None

    def _receive_first(self, idle_timeout_s: float) -> bytes:
        """Returns the first bytes of a request, empty at the end or timeout.

        The connection is idle only from the last reply on.
        """
        idle_since_s = time.monotonic()
        self._awaits_request = True
        self._update_idle()
        try:
            while True:
                idle_since_s = max(idle_since_s, self._last_reply_s)
                idle_s = time.monotonic() - idle_since_s
                with gevent.Timeout(max(0.0, idle_timeout_s - idle_s), False):
                    return self._sock.recv(RECEIVE_BYTES)
                if self._started:
                    idle_since_s = time.monotonic()
                elif self._last_reply_s <= idle_since_s:
                    return b""
        finally:
            self._awaits_request = False
            self._update_idle()

    def _update_idle(self) -> None:
        """Tells the server whether a stop may end the connection now."""
        if self._awaits_request and not self._started:
            self._server.idle.add(self._sock)
        else:
            self._server.idle.discard(self._sock)

    def _reject(self, error: http_parser.RequestRejectedError) -> None:
        """Answers an invalid request, after those before it."""
        _logger.info("rejected a request: %s", error)
        try:
            while self._started or self._is_closing:
                self._await_progress()
            body = f"{error}\n".encode()
            headers = []
            if error.retry_after_ms:
                retry_after_s = error.retry_after_ms / 1000
                headers.append(("Retry-After", f"{retry_after_s:.3f}"))
            self._send(HttpReply(error.status, headers, body), close=True)
        except _Closed:
            pass

    def _send(
        self, reply: HttpReply, *, close: bool, method: str = "GET"
    ) -> None:
        reason = _REASON_PHRASES.get(reply.status, "Status")
        lines = [f"HTTP/1.1 {reply.status} {reason}"]
        lines += [f"{name}: {value}" for name, value in reply.headers]
        if reply.status >= 200 and reply.status not in (204, 304):
            lines.append(f"Content-Length: {len(reply.body)}")
        if close:
            lines.append("Connection: close")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1", "replace")
        body = b"" if method == "HEAD" else reply.body
        sockets.send(self._sock, head, body, sockets.LoopShare())


def _receive_more(sock: gevent_socket.socket, timeout_s: float) -> bytes:
    """Returns more bytes of a partly received request."""
    with gevent.Timeout(timeout_s, False):
        return sock.recv(RECEIVE_BYTES)
    raise http_parser.RequestRejectedError(
        408, "timed out while reading the request"
    )


@contextlib.contextmanager
def _called_on_disconnect(
    sock: gevent_socket.socket, handle: Callable[[], None]
) -> Iterator[None]:
    """Calls a function when the peer closes the connection."""
    watcher = gevent.get_hub().loop.io(sock.fileno(), 1)

    def on_readable() -> None:
        watcher.stop()  # Either the next request or end of stream.
        if sockets.is_closed_by_peer(sock):
            handle()

    watcher.start(on_readable)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()


def _linger(sock: gevent_socket.socket) -> None:
    """Ends the output, and discards input until the caller closes.

    Closing a socket resets the connection if input is unread or arrives later,
    and a reset destroys what the caller has not received of the last reply.

    Source: RFC 9112, section 9.6.
    """
    share = sockets.LoopShare()
    deadline_s = time.monotonic() + LINGER_S
    received_bytes = 0
    sock.shutdown(socket.SHUT_WR)
    while received_bytes < LINGER_BYTES:
        data = b""
        remaining_s = max(0.0, deadline_s - time.monotonic())
        with gevent.Timeout(min(LINGER_IDLE_S, remaining_s), False):
            data = sock.recv(RECEIVE_BYTES)
        if not data:
            return
        received_bytes += len(data)
        share.record(len(data))
