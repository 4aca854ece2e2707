"""A loopback TCP proxy that delays, resets, cuts one way and silences."""

import contextlib
import enum
import socket

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

RECEIVE_BYTES = 64 * 1024
DELAY_S = 0.25


class Fault(enum.Enum):
    """What a proxy does with bytes; SILENT connections never recover."""

    NONE = enum.auto()
    DELAYED = enum.auto()
    NO_ANSWERS = enum.auto()
    SILENT = enum.auto()


class Proxy:
    """Forwards one port to another.

    Args:
        to_port: Port on loopback to forward to.
    """

    def __init__(self, *, to_port: int) -> None:
        self._to_port = to_port
        self._server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self._pairs: set[tuple[gevent_socket.socket, ...]] = set()
        self.fault = Fault.NONE

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.server_port

    def reset(self) -> None:
        """Resets all connections."""
        for pair in list(self._pairs):
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0" * 2
                    )
                    sock.close()

    def stop(self) -> None:
        """Stops listening and ends all connections."""
        self._server.close()
        self.reset()

    def _serve(self, sock: gevent_socket.socket, _: object) -> None:
        try:
            onward = gevent_socket.create_connection(
                ("127.0.0.1", self._to_port), timeout=1
            )
        except OSError:
            sock.close()
            return
        onward.settimeout(None)
        pair = (sock, onward)
        self._pairs.add(pair)
        back = gevent.spawn(self._pump, onward, sock, answers=True)
        try:
            self._pump(sock, onward, answers=False)
            back.join()
        finally:
            self._pairs.discard(pair)
            sock.close()
            onward.close()

    def _pump(
        self,
        source: gevent_socket.socket,
        sink: gevent_socket.socket,
        *,
        answers: bool,
    ) -> None:
        silent = False
        with contextlib.suppress(OSError):
            while data := source.recv(RECEIVE_BYTES):
                silent = silent or self.fault is Fault.SILENT
                if self.fault is Fault.DELAYED:
                    gevent.sleep(DELAY_S)
                lost = answers and self.fault is Fault.NO_ANSWERS
                if not silent and not lost:
                    sink.sendall(data)
            if not silent:
                sink.shutdown(socket.SHUT_WR)
