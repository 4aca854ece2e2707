"""Listening on ports that other sockets may use.

A process that is started again often meets such a port: its predecessor has not
ended yet, or the system has given the port to an outgoing connection.
"""

import logging
import math
import time
from collections.abc import Callable
from collections.abc import Iterable

import gevent
from gevent import event as gevent_event
from gevent import socket as gevent_socket

from primrosecross.adapters import sockets

RETRY_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 0.2
BACKLOG = 1024

_logger = logging.getLogger(__name__)


def start(
    start_server: Callable[[], None],
    *,
    purpose: str,
    limit_s: float = math.inf,
) -> None:
    """Starts a server, again and again while its port cannot be had.

    Args:
        start_server: Starts listening, or raises OSError.
        purpose: Who connects to the port, for the log.
        limit_s: Time after which an error is final.

    Raises:
        OSError: The server cannot listen after limit_s.
    """
    started_s = time.monotonic()
    while True:
        try:
            start_server()
            return
        except OSError as error:
            if time.monotonic() - started_s >= limit_s:
                raise
            _logger.warning("cannot listen for %s yet: %s", purpose, error)
        gevent.sleep(RETRY_INTERVAL_S)


def bind_first(
    host: str, ports: Iterable[int], *, stopping: gevent_event.Event
) -> gevent_socket.socket | None:
    """Listens for other daemons on the first of several ports that is free.

    A port on which somebody listens belongs to a predecessor that has not
    ended: this waits for it. One used by an outgoing connection may stay so.

    Args:
        host: IP address of this VM.
        ports: Ports in order of preference.
        stopping: Set when the process is to end.

    Returns:
        The listening socket; None if the process is to end.
    """
    ports = list(ports)
    while not stopping.is_set():
        for port in ports:
            try:
                return _listen(host, port)
            except OSError as error:
                _logger.warning(
                    "cannot listen for other daemons on port %d yet: %s",
                    port,
                    error,
                )
            if _is_listening(host, port):
                break
        stopping.wait(RETRY_INTERVAL_S)
    return None


def _listen(host: str, port: int) -> gevent_socket.socket:
    sock = gevent_socket.socket()
    try:
        sock.setsockopt(gevent_socket.SOL_SOCKET, gevent_socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def _is_listening(host: str, port: int) -> bool:
    try:
        sockets.connect((host, port), timeout_s=PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return False
    except OSError as error:
        _logger.info("cannot tell who uses port %d: %s", port, error)
        return False
    return True
