"""Callers that use a connection until it ends, also through planned stops."""

import contextlib
import dataclasses
import random
import time
from collections.abc import Callable
from collections.abc import Iterator

import gevent
from gevent import socket as gevent_socket

from primrosecross.adapters.http import http_client
from soak import checks
from standins import sidecars

ANSWER_TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.05
UPLOAD_BYTES = (1, 20_000, 120_000, 360_000)
PIECE_BYTES = 16 * 1024
MAX_AHEAD = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    """A request as it is sent.

    Attributes:
        request_id: Request ID.
        idempotent: Whether it may be executed more than once.
        pieces: Head and body, sent one after the other.
        pause_s: Time between pieces.
        body: The body, which the target returns.
    """

    request_id: str
    idempotent: bool
    pieces: list[bytes]
    pause_s: float
    body: bytes


@dataclasses.dataclass(slots=True)
class _Sent:
    """A request that was sent in part or whole."""

    request: _Request
    began_s: float
    sent_s: float = 0.0


class KeptCaller:
    """Sends single requests, requests ahead, and uploads in pieces.

    Args:
        port: Port for callers of a daemon.
        rng: Selects what is sent.
        make_id: Returns an ID for a request.
        keys: Keys of keyed requests.
        deadline_ms: Time limit of each request.
        record: Gets the result of each request.
    """

    def __init__(
        self,
        *,
        port: int,
        rng: random.Random,
        make_id: Callable[[], str],
        keys: range,
        deadline_ms: int,
        record: Callable[[checks.CallerResult], None],
    ) -> None:
        self._port = port
        self._random = rng
        self._make_id = make_id
        self._keys = keys
        self._deadline_ms = deadline_ms
        self._record = record
        self._received = b""

    def run(self, has_ended: Callable[[], bool]) -> None:
        """Connects again whenever a connection ends."""
        while not has_ended():
            try:
                sock = gevent_socket.create_connection(
                    ("127.0.0.1", self._port), timeout=CONNECT_TIMEOUT_S
                )
            except OSError:
                gevent.sleep(RECONNECT_DELAY_S)
                continue
            with contextlib.closing(sock):
                sock.settimeout(ANSWER_TIMEOUT_S)
                self._received = b""
                while not has_ended() and self._exchange(sock):
                    gevent.sleep(self._random.uniform(0.0, 0.05))

    def _exchange(self, sock: gevent_socket.socket) -> bool:
        """Sends requests; returns whether the connection goes on."""
        sent: list[_Sent] = []
        for request in self._choose_requests():
            sent.append(_Sent(request, time.monotonic()))
            try:
                for piece in request.pieces[:-1]:
                    sock.sendall(piece)
                    gevent.sleep(request.pause_s)
                sock.sendall(request.pieces[-1])
            except OSError:  # It may have been answered all the same.
                break
            sent[-1].sent_s = time.monotonic()
        goes_on = True
        answers = self._receive(sock)
        for one in sent:
            status, body, goes_on = next(answers)
            self._record(
                checks.CallerResult(
                    one.request.request_id,
                    one.request.idempotent,
                    status,
                    body == one.request.body,
                    began_s=one.began_s,
                    sent_s=one.sent_s,
                    ended_s=time.monotonic(),
                )
            )
        return goes_on

    def _choose_requests(self) -> Iterator[_Request]:
        if self._random.random() < 0.2:
            yield self._upload()
            return
        for _ in range(self._random.choice((1, 1, 1, 2, MAX_AHEAD))):
            yield self._small_request()

    def _small_request(self) -> _Request:
        idempotent = self._random.random() < 0.6
        keyed = not idempotent or self._random.random() < 0.5
        path = "/file/x" if not keyed else "/look/x"
        path = path if idempotent else "/book/x"
        request_id = self._make_id()
        body = request_id.encode()
        work_ms = self._random.choice((1, 20, 100, 400))
        key = self._random.choice(self._keys) if keyed else None
        head = self._head(request_id, f"{path}?ms={work_ms}", key, len(body))
        return _Request(request_id, idempotent, [head + body], 0.0, body)

    def _upload(self) -> _Request:
        request_id = self._make_id()
        body = request_id.encode()
        body += bytes(self._random.choice(UPLOAD_BYTES))
        head = self._head(request_id, "/file/x?ms=20", None, len(body))
        pieces = [
            body[offset : offset + PIECE_BYTES]
            for offset in range(0, len(body), PIECE_BYTES)
        ]
        pause_s = self._random.choice((0.0, 0.005, 0.04))
        return _Request(request_id, True, [head, *pieces], pause_s, body)

    def _head(
        self, request_id: str, path: str, key: int | None, length: int
    ) -> bytes:
        headers = sidecars.request_headers(request_id, self._deadline_ms, key)
        fields = [*headers.items(), ("Content-Length", str(length))]
        return http_client.request_head("POST", path, fields)

    def _receive(
        self, sock: gevent_socket.socket
    ) -> Iterator[tuple[int, bytes, bool]]:
        """Yields status, body and whether the connection goes on.

        The status is 0 for each answer that does not arrive.
        """
        goes_on = True
        while goes_on:
            try:
                head = self._read_until(sock, b"\r\n\r\n").lower()
                lines = head.decode("latin-1").split("\r\n")
                fields = dict(line.split(": ", 1) for line in lines[1:] if line)
                body = self._read(sock, int(fields["content-length"]))
            except (OSError, EOFError):
                break
            goes_on = fields.get("connection") != "close"
            yield int(lines[0].split()[1]), body, goes_on
        while True:
            yield 0, b"", False

    def _read_until(self, sock: gevent_socket.socket, end: bytes) -> bytes:
        while end not in self._received:
            self._receive_more(sock)
        return self._read(sock, self._received.index(end) + len(end))

    def _read(self, sock: gevent_socket.socket, length: int) -> bytes:
        while len(self._received) < length:
            self._receive_more(sock)
        data, self._received = self._received[:length], self._received[length:]
        return data

    def _receive_more(self, sock: gevent_socket.socket) -> None:
        data = sock.recv(64 * 1024)
        if not data:
            raise EOFError
        self._received += data
