"""Loopback ports for stand-ins, below the ephemeral port range.

Ports that the system chooses come from the range that it also uses for outgoing
connections, so a connection may take one before the process that is to listen
on it has started. Another run on the same machine may choose the same port in
that time, so a bound socket that never listens holds each chosen port: servers
with SO_REUSEADDR can listen on it, but nobody can choose it again.
"""

import atexit
import itertools
import os
import socket
import time
from collections.abc import Iterable

import gevent
from gevent import socket as gevent_socket

FIRST_PORT = 10_000
END_PORT = 22_000  # examples and benchmarks with fixed ports use higher ones
PROCESS_STRIDE_PORTS = 97  # spreads the first ports of concurrent runs
LISTEN_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.1

_next_ports = itertools.count(os.getpid() * PROCESS_STRIDE_PORTS)
_holding_sockets: dict[int, socket.socket] = {}


def choose_free(count: int) -> list[int]:
    """Returns loopback ports that no process uses or has chosen.

    They stay chosen until release() or the end of this process. Within a
    process, a port is repeated only after all others.

    Args:
        count: Number of ports.

    Returns:
        Ports below the ephemeral range.

    Raises:
        OSError: Too few ports are free; end leftover processes.
    """
    ports: list[int] = []
    for number in itertools.islice(_next_ports, END_PORT - FIRST_PORT):
        port = FIRST_PORT + number % (END_PORT - FIRST_PORT)
        if _hold(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    release(ports)
    raise OSError(f"fewer than {count} ports are free; end leftover processes")


def release(ports: Iterable[int]) -> None:
    """Lets chosen ports be chosen again; ignores other ports."""
    for port in ports:
        sock = _holding_sockets.pop(port, None)
        if sock is not None:
            sock.close()


def await_listener(port: int, *, timeout_s: float = LISTEN_TIMEOUT_S) -> None:
    """Waits until a process listens on a port; other greenlets run meanwhile.

    Args:
        port: Loopback port.
        timeout_s: Maximum time to wait.

    Raises:
        TimeoutError: No process listens on the port in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        try:
            gevent_socket.create_connection(
                ("127.0.0.1", port), timeout=CONNECT_TIMEOUT_S
            ).close()
            return
        except OSError:
            gevent.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"no process listens on port {port} after {timeout_s} s")


def _release_all() -> None:
    release(list(_holding_sockets))


atexit.register(_release_all)


def _hold(port: int) -> bool:
    """Returns whether a port was free and is now held."""
    sock = socket.socket()
    try:
        # Without SO_REUSEADDR this fails for any port that is bound.
        sock.bind(("127.0.0.1", port))
    except OSError:
        sock.close()
        return False
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _holding_sockets[port] = sock
    return True
