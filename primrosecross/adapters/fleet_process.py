"""Runs a daemon on a platform store as a process, from start to signal."""

import dataclasses
import logging
import signal
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent import event as gevent_event
from gevent import socket as gevent_socket

from primrosecross.adapters import listeners
from primrosecross.adapters import process_start
from primrosecross.models import addresses

# For a predecessor that stops and still answers other daemons.
PREDECESSOR_LIMIT_S = 8.0

_logger = logging.getLogger(__name__)


class Daemon(Protocol):
    """What a process runs."""

    def start(self) -> None:
        """Starts all tasks."""

    def reload(self) -> None:
        """Reads the settings again."""

    def stop(self) -> None:
        """Stops admission and waits for requests in flight."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listeners:
    """Sockets that listen before a daemon joins its fleet.

    Attributes:
        callers: For callers on this VM.
        peers: For other daemons.
    """

    callers: gevent_socket.socket
    peers: gevent_socket.socket


def run(
    create: Callable[[Listeners], Daemon],
    *,
    caller_address: str,
    peer_address: str,
    last_peer_address: str,
) -> None:
    """Runs a daemon until SIGTERM or SIGINT.

    Args:
        create: Returns the daemon.
        caller_address: Where callers connect.
        peer_address: Where other daemons connect, if the port is free.
        last_peer_address: The last of those that may be used instead.
    """
    stopping = gevent_event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    process_start.deliver_signals(signal.SIGTERM, signal.SIGINT)
    bound = _listen(caller_address, peer_address, last_peer_address, stopping)
    if bound is None:
        _logger.info("stopped before it could listen")
        return
    daemon = create(bound)
    gevent.signal_handler(signal.SIGHUP, daemon.reload)
    process_start.deliver_signals(signal.SIGHUP)
    daemon.start()
    _logger.info("started")
    stopping.wait()
    daemon.stop()


def _listen(
    caller_address: str,
    peer_address: str,
    last_peer_address: str,
    stopping: gevent_event.Event,
) -> Listeners | None:
    """Returns the listening sockets, None if the process is to end.

    The callers' port has one address only, so a process that has it is the only
    daemon of its VM; two that join as one VM would be taken for each other.
    Callers are refused until the daemon can join.
    """
    callers = listeners.bind_first(
        [addresses.parse(caller_address)], purpose="callers", stopping=stopping
    )
    host, first_port = addresses.parse(peer_address)
    _, last_port = addresses.parse(last_peer_address)
    peers = listeners.bind_first(
        [(host, p) for p in range(first_port, max(first_port, last_port) + 1)],
        purpose="other daemons",
        stopping=stopping,
        predecessor_limit_s=PREDECESSOR_LIMIT_S,
    )
    if callers is None or peers is None:
        return None
    listeners.listen(peers, purpose="other daemons")
    listeners.listen(callers, purpose="callers")
    return Listeners(callers, peers)
