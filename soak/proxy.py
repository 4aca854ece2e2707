"""A loopback TCP proxy that delays, drops and resets traffic."""

import contextlib
import enum
import socket

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

RECEIVE_BYTES = 64 * 1024
DELAY_S = 0.25


class Fault(enum.Enum):
    """Injected fault.

    A direction of a connection that received data under BLACKHOLE forwards
    nothing until it closes, even after the fault ends.
    """

    NONE = enum.auto()
    DELAY = enum.auto()
    DROP_RESPONSES = enum.auto()
    BLACKHOLE = enum.auto()


class Proxy:
    """Forwards connections to another port.

    Args:
        to_port: Loopback port to forward to.
    """

    def __init__(self, *, to_port: int) -> None:
        self._to_port = to_port
        self._server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self._pairs: set[tuple[gevent_socket.socket, ...]] = set()
        self.fault = Fault.NONE

    @property
    def port(self) -> int:
        """Returns the port that it listens on."""
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
        """Stops listening and resets all connections."""
        self._server.close()
        self.reset()

    def _serve(self, sock: gevent_socket.socket, _: object) -> None:
        try:
            upstream = gevent_socket.create_connection(
                ("127.0.0.1", self._to_port), timeout=1
            )
        except OSError:
            sock.close()
            return
        upstream.settimeout(None)
        pair = (sock, upstream)
        self._pairs.add(pair)
        response_task = gevent.spawn(
            self._copy, upstream, sock, is_response=True
        )
        try:
            self._copy(sock, upstream, is_response=False)
            response_task.join()
        finally:
            self._pairs.discard(pair)
            sock.close()
            upstream.close()

    def _copy(
        self,
        source: gevent_socket.socket,
        destination: gevent_socket.socket,
        *,
        is_response: bool,
    ) -> None:
        blackholed = False
        with contextlib.suppress(OSError):
            while data := source.recv(RECEIVE_BYTES):
                blackholed = blackholed or self.fault is Fault.BLACKHOLE
                if self.fault is Fault.DELAY:
                    gevent.sleep(DELAY_S)
                dropped = is_response and self.fault is Fault.DROP_RESPONSES
                if not blackholed and not dropped:
                    destination.sendall(data)
            if not blackholed:
                destination.shutdown(socket.SHUT_WR)
