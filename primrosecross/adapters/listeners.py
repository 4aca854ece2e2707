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
        limit_s: Time after which an error is final. The caller reports a final
            error, so attempts are logged only if there is no limit.

    Raises:
        OSError: The server cannot listen after limit_s.
    """
    level = logging.WARNING if limit_s == math.inf else logging.DEBUG
    started_s = time.monotonic()
    failures = 0
    while True:
        try:
            start_server()
            break
        except OSError as error:
            if time.monotonic() - started_s >= limit_s:
                raise
            failures += 1
            _logger.log(level, "cannot listen for %s yet: %s", purpose, error)
        gevent.sleep(RETRY_INTERVAL_S)
    if failures:
        _logger.warning(
            "listening for %s after %d attempts, as the port was in use",
            purpose,
            failures,
        )


def bind_first(
    addresses: Iterable[tuple[str, int]],
    *,
    purpose: str,
    stopping: gevent_event.Event,
    predecessor_limit_s: float = math.inf,
) -> gevent_socket.socket | None:
    """Binds a socket to the first of several addresses that is free.

    It does not listen yet, so connections are refused. An address on which
    somebody listens may belong to a predecessor that has not ended; one that an
    outgoing connection uses may stay so.

    Args:
        addresses: IP address and port, in order of preference.
        purpose: Who connects, for the log.
        stopping: Set when the process is to end.
        predecessor_limit_s: Time for which a predecessor is waited for rather
            than the next address taken.

    Returns:
        The socket; None if the process is to end.
    """
    addresses = list(addresses)
    started_s = time.monotonic()
    while not stopping.is_set():
        waits_for_predecessor = (
            time.monotonic() - started_s < predecessor_limit_s
        )
        for address in addresses:
            try:
                return _bind(address)
            except OSError as error:
                _logger.warning(
                    "cannot listen for %s on %s:%d yet: %s",
                    purpose,
                    *address,
                    error,
                )
            if waits_for_predecessor and _is_listening(address):
                break
        stopping.wait(RETRY_INTERVAL_S)
    return None


def listen(sock: gevent_socket.socket, *, purpose: str) -> None:
    """Listens on a bound socket, once no other socket on its port does."""
    start(lambda: sock.listen(BACKLOG), purpose=purpose)


def _bind(address: tuple[str, int]) -> gevent_socket.socket:
    sock = gevent_socket.socket(sockets.family_of(address[0]))
    try:
        sock.setsockopt(gevent_socket.SOL_SOCKET, gevent_socket.SO_REUSEADDR, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def _is_listening(address: tuple[str, int]) -> bool:
    try:
        sockets.connect(address, timeout_s=PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return False
    except OSError as error:
        _logger.info("cannot tell who uses %s:%d: %s", *address, error)
        return False
    return True
