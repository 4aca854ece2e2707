"""WSGI server with Nagle's algorithm disabled and limits for endless input."""

import io
import math
import socket
import time
from typing import Any

from gevent import pywsgi

from primrosecross.adapters import sockets

DISCARD_TIMEOUT_S = 1.0
YIELD_BYTES = 8 * 1024  # pywsgi parses chunks byte by byte
REQUEST_COST_BYTES = 1024  # other tasks run between pipelined requests


class _Input(io.RawIOBase):
    """Input of a connection; ends at a time limit, however fast data arrives.

    Args:
        sock: Socket of the connection.

    Attributes:
        expired: Whether the input ended at a time limit.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._sock = sock
        self._share = sockets.LoopShare(YIELD_BYTES)
        self._last_read_bytes = 0
        self._ends_at_s = math.inf
        self.expired = False

    def set_limit(self, limit_s: float) -> None:
        """Sets the time from now after which the input ends."""
        self._ends_at_s = time.monotonic() + limit_s

    def record_request(self) -> None:
        """Counts a request, which is more work than its bytes."""
        self._share.record(REQUEST_COST_BYTES)

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, buffer: memoryview) -> int:
        """Reads into a buffer; returns the number of bytes, 0 at the end."""
        self._share.record(self._last_read_bytes)
        if time.monotonic() >= self._ends_at_s:
            self.expired = True
            return 0
        self._last_read_bytes = self._sock.recv_into(buffer)
        return self._last_read_bytes


class Handler(pywsgi.WSGIHandler):
    """Serves one connection and closes it if its input does not end.

    Attributes:
        MAX_REQUEST_S: Maximum time for reading a request after its first line.
    """

    MAX_REQUEST_S = math.inf

    def __init__(self, sock: socket.socket, *arguments: Any) -> None:
        self._input = _Input(sock)
        super().__init__(sock, *arguments, rfile=io.BufferedReader(self._input))

    def read_requestline(self) -> str:
        """Returns the request line."""
        self._input.set_limit(math.inf)
        line = super().read_requestline()
        self._input.set_limit(self.MAX_REQUEST_S)
        return line

    def run_application(self) -> None:
        """Responds; the rest of the body, discarded next, gets a limit."""
        try:
            super().run_application()
        finally:
            self._input.set_limit(DISCARD_TIMEOUT_S)

    def handle_one_response(self) -> None:
        """Responds, and ends keep-alive if the request was not read whole."""
        super().handle_one_response()
        self._input.record_request()
        if self._input.expired:
            self.close_connection = True


class NoDelayWsgiServer(pywsgi.WSGIServer):
    """gevent's WSGI server with TCP_NODELAY set on each connection.

    The server sends a response in two writes; with Nagle's algorithm, the
    second waits for the delayed acknowledgement of the first, 40 ms on Linux.
    """

    handler_class = Handler

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serves one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)
