"""Ports for the processes of stand-ins, kept apart from outgoing connections.

A port that the system chooses lies in the range from which it also gives
outgoing connections theirs, so one of those may take it before the process
that is to listen there has started.
"""

import itertools
import os
import socket

FIRST_PORT = 10_000
END_PORT = 22_000  # tests with fixed ports begin above
STEP_PORTS = 97  # spreads the first choices of runs that overlap

_next_ports = itertools.count(os.getpid() * STEP_PORTS)


def choose_free(count: int) -> list[int]:
    """Returns ports on loopback on which nothing listens.

    A port is returned once in a process until all others have been.

    Args:
        count: How many ports.

    Returns:
        Ports below the range of outgoing connections.

    Raises:
        OSError: None is free; end processes that were left behind.
    """
    ports: list[int] = []
    for number in itertools.islice(_next_ports, END_PORT - FIRST_PORT):
        port = FIRST_PORT + number % (END_PORT - FIRST_PORT)
        if _is_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError(f"fewer than {count} ports are free; end processes left over")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
