"""HTTP/1.1 client with persistent connections, parsed by llhttp.

Errors tell whether the request may have reached the server: nothing was sent, a
reused connection closed before the first byte of a response, or the response
was lost.
"""

import dataclasses
import socket
import time
from collections.abc import Callable
from collections.abc import Iterator

import gevent
import httptools
from gevent import socket as gevent_socket

from primrosecross.adapters import boot_clock
from primrosecross.adapters import sockets
from primrosecross.adapters.http import http_response
from primrosecross.domain import errors
from primrosecross.domain.requests import body as body_module
from primrosecross.domain.requests import body_memory

CONNECT_TIMEOUT_S = 1.0
RECEIVE_BYTES = 64 * 1024
DEFAULT_IDLE_LIMIT_S = 5.0
IDLE_TIMEOUT_SHARE = 0.5  # Of the server's Keep-Alive timeout.


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    sock: gevent_socket.socket
    idle_since_s: float
    idle_limit_s: float


class HttpClient:
    """Sends requests to one address over persistent connections.

    Args:
        address: "ip:port" of the server.
        max_idle_connections: Maximum number of idle connections.
        bodies: Memory for bodies, which several clients may share; one of its
            own if not given.
    """

    def __init__(
        self,
        *,
        address: str,
        max_idle_connections: int = 32,
        bodies: body_memory.BodyMemory | None = None,
    ) -> None:
        self._bodies = bodies or body_memory.BodyMemory(
            clock=boot_clock.BootClock()
        )
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._max_idle_connections = max_idle_connections
        self._idle: list[_IdleConnection] = []
        self.opened = 0

    def exchange(
        self,
        *,
        head: bytes,
        body: body_module.Body = b"",
        timeout_s: float,
        max_idle_s: float = 60.0,
        matches_request: Callable[
            [http_response.HttpResponse], bool
        ] = lambda response: True,
        allows_reuse: Callable[
            [http_response.HttpResponse], bool
        ] = lambda response: True,
        new_connection: bool = False,
        ends_at_line: bool = False,
        ends_at_head: bool = False,
        stream_above_bytes: int | None = None,
    ) -> http_response.HttpResponse:
        """Sends a request and returns the complete response.

        A streamed body is sent on a new connection, as it can't be repeated.

        Args:
            head: Request line and headers, with the empty line.
            body: Framed body, or a stream of the declared length.
            timeout_s: Time limit of the whole exchange.
            max_idle_s: Connections idle for longer are not reused.
            matches_request: Returns whether a response answers this request.
            allows_reuse: Returns whether further requests may be sent on the
                connection of a response.
            new_connection: Whether to open a connection for this request.
            ends_at_line: Whether to return once the body has a complete line,
                with that line only.
            ends_at_head: Whether the response has no body, as to HEAD.
            stream_above_bytes: Declared length of a response beyond which its
                body is returned as a stream; None for no length.

        Raises:
            errors.ServerRefusedError: Nothing listens at the address.
            errors.RequestNotSentError: Nothing was sent.
            errors.ConnectionClosedError: A reused connection closed before
                the first byte of a response.
            errors.ResponseLostError: No complete response arrived.
        """
        deadline_s = time.monotonic() + timeout_s
        with gevent.Timeout(timeout_s, False):
            if new_connection or not body_module.is_repeatable(body):
                sock = None
            else:
                sock = self._acquire_idle(max_idle_s)
            parser = http_response.ResponseParser(
                matches_request,
                reused=sock is not None,
                bodies=self._bodies,
                ends_at_line=ends_at_line,
                ends_at_head=ends_at_head,
                stream_above_bytes=stream_above_bytes,
            )
            return self._exchange(
                sock, head, body, parser, allows_reuse, deadline_s
            )
        raise errors.ResponseLostError(
            f"no response within {timeout_s * 1000:.0f} ms",
            remedy="check that the server is not overloaded",
        )

    def _exchange(
        self,
        sock: gevent_socket.socket | None,
        head: bytes,
        body: body_module.Body,
        parser: http_response.ResponseParser,
        allows_reuse: Callable[[http_response.HttpResponse], bool],
        deadline_s: float,
    ) -> http_response.HttpResponse:
        pieces = body_module.pieces(body)
        first_piece = _first(pieces)
        reused = sock is not None
        if sock is None:
            sock = self._connect()
        is_streamed = False

        def end() -> None:
            parser.release()
            if parser.is_reusable() and allows_reuse(parser.response):
                self._release(sock, parser.response)
            else:
                sock.close()

        try:
            self._send(sock, head, first_piece, pieces)
            self._receive(sock, parser, reused=reused)
            if parser.is_streamed:
                parser.response.body = ResponseStream(
                    sock, parser, deadline_s=deadline_s, on_end=end
                )
                is_streamed = True
            return parser.response
        finally:
            if not is_streamed:
                end()

    def _acquire_idle(self, max_idle_s: float) -> gevent_socket.socket | None:
        now_s = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now_s - connection.idle_since_s
            unexpired = idle_s < min(connection.idle_limit_s, max_idle_s)
            if unexpired and sockets.is_idle(connection.sock):
                return connection.sock
            connection.sock.close()
        return None

    def _connect(self) -> gevent_socket.socket:
        try:
            sock = sockets.connect(self._address, timeout_s=CONNECT_TIMEOUT_S)
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            error_type = (
                errors.ServerRefusedError
                if refused
                else errors.RequestNotSentError
            )
            raise error_type(
                f"cannot connect to {self._address[0]}:{self._address[1]}: "
                f"{error}",
                remedy="check that the server runs and is reachable",
            ) from error
        self.opened += 1
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def _send(
        self,
        sock: gevent_socket.socket,
        head: bytes,
        first_piece: bytes,
        other_pieces: Iterator[bytes],
    ) -> None:
        try:
            share = sockets.LoopShare()
            sockets.send(sock, head, first_piece, share)
            for piece in other_pieces:
                sockets.send(sock, b"", piece, share)
        except OSError:
            # The server may have responded before reading the whole request.
            return
        except errors.BodyError as error:
            raise _response_lost(
                f"the request's body was cut: {error.problem}"
            ) from error

    def _receive(
        self,
        sock: gevent_socket.socket,
        parser: http_response.ResponseParser,
        *,
        reused: bool,
    ) -> None:
        received = False
        share = sockets.LoopShare()
        try:
            while not (parser.complete or parser.is_streamed):
                data = sock.recv(RECEIVE_BYTES)
                if not data:
                    parser.handle_close()
                    break
                received = True
                parser.feed(data)
                share.record(len(data))
        except httptools.HttpParserUpgrade as error:
            raise _response_lost("the server switched protocols") from error
        except (OSError, httptools.HttpParserError, ValueError) as error:
            if parser.complete:  # The bytes after the response are not HTTP.
                parser.has_excess = True
                return
            if reused and not received and isinstance(error, OSError):
                raise _connection_closed() from error
            raise _response_lost(str(error)) from error
        if parser.complete or parser.is_streamed:
            return
        if reused and not received:
            raise _connection_closed()
        raise _response_lost(
            "the connection closed before the response was complete"
        )

    def _release(
        self, sock: gevent_socket.socket, response: http_response.HttpResponse
    ) -> None:
        if len(self._idle) >= self._max_idle_connections:
            self._idle.pop(0).sock.close()
        self._idle.append(
            _IdleConnection(sock, time.monotonic(), _idle_limit_s(response))
        )

    def close(self) -> None:
        """Closes the idle connections."""
        idle_connections, self._idle = self._idle, []
        for entry in idle_connections:
            entry.sock.close()


class ResponseStream(body_module.Stream):
    """Body of a response that is read while it is passed on.

    Args:
        sock: Connection to the server.
        parser: Parser that has read the head of the response.
        deadline_s: Monotonic time after which reading is given up.
        on_end: Called once to reuse or close the connection.
    """

    def __init__(
        self,
        sock: gevent_socket.socket,
        parser: http_response.ResponseParser,
        *,
        deadline_s: float,
        on_end: Callable[[], None],
    ) -> None:
        super().__init__(int(parser.response.get("content-length")))
        self._sock = sock
        self._parser = parser
        self._deadline_s = deadline_s
        self._share = sockets.LoopShare()
        self.add_done_callback(on_end)

    def read(self) -> bytes:
        """Returns the next piece, or no bytes at the end."""
        parser = self._parser
        while not parser.pieces and not parser.complete:
            self._receive()
        if parser.pieces:
            return parser.pieces.popleft()
        self.finish()
        return b""

    def _receive(self) -> None:
        if self.finished:
            raise _truncated("it was closed before its end")
        data = b""
        problem: object = "the connection closed or the deadline passed"
        remaining_s = max(0.0, self._deadline_s - time.monotonic())
        try:
            with gevent.Timeout(remaining_s, False):
                data = self._sock.recv(RECEIVE_BYTES)
            if data:
                self._parser.feed(data)
                self._share.record(len(data))
        except (OSError, httptools.HttpParserError, ValueError) as error:
            if self._parser.complete:  # The bytes after it are not HTTP.
                self._parser.has_excess = True
                return
            data, problem = b"", error
        if not data:
            self.close()
            raise _truncated(problem)

    def finish(self) -> None:
        """Releases the connection and what was not read."""
        self._parser.pieces.clear()
        super().finish()


def _truncated(problem: object) -> errors.BodyError:
    return errors.BodyError(
        f"the response was truncated: {problem}",
        remedy="retry the request if it is idempotent",
    )


def _first(pieces: Iterator[bytes]) -> bytes:
    """Returns the first piece of a request's body, before anything is sent."""
    try:
        return next(pieces, b"")
    except errors.BodyError as error:
        raise errors.RequestNotSentError(
            error.problem, remedy="send the request again"
        ) from error


def _idle_limit_s(response: http_response.HttpResponse) -> float:
    """Returns how long a connection may stay idle before it is not reused.

    A share of the server's Keep-Alive timeout leaves a margin before the server
    closes the connection.

    Source: RFC 9112, section 9.3, and the Keep-Alive header of RFC 2068.
    """
    for parameter in response.get("keep-alive").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return int(value) * IDLE_TIMEOUT_SHARE
    return DEFAULT_IDLE_LIMIT_S


def _connection_closed() -> errors.ConnectionClosedError:
    return errors.ConnectionClosedError(
        "a reused connection closed before the first byte of a response",
        remedy="retry the request if it is idempotent",
    )


def _response_lost(problem: str) -> errors.ResponseLostError:
    return errors.ResponseLostError(
        f"the response was lost: {problem}",
        remedy="retry the request if it is idempotent",
    )


def request_head(
    method: str, target: str, headers: list[tuple[str, str]]
) -> bytes:
    """Returns the encoded request line and headers."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1", "replace")


def is_listening(address: str, *, timeout_s: float) -> bool:
    """Returns False only if "ip:port" refuses a connection."""
    host, _, port = address.rpartition(":")
    try:
        sockets.connect((host, int(port)), timeout_s=timeout_s).close()
    except ConnectionRefusedError:
        return False
    except OSError:  # A slow or unreachable server may still listen.
        return True
    return True
