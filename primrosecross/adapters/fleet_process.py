"""Runs a daemon on a platform store as a process, from start to signal."""

import logging
import signal
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent import event as gevent_event
from gevent import socket as gevent_socket

from primrosecross.adapters import listeners
from primrosecross.adapters import process_memory
from primrosecross.adapters import process_start
from primrosecross.models import addresses

_logger = logging.getLogger(__name__)


class Daemon(Protocol):
    """What a process runs."""

    def start(self) -> None:
        """Starts all tasks."""

    def reload(self) -> None:
        """Reads the settings again."""

    def stop(self) -> None:
        """Stops admission and waits for requests in flight."""


def run(
    create: Callable[[gevent_socket.socket], Daemon],
    *,
    peer_address: str,
    last_peer_address: str,
) -> None:
    """Runs a daemon until SIGTERM or SIGINT.

    Args:
        create: Returns the daemon, given the socket that listens for others.
        peer_address: Where other daemons connect, if the port is free.
        last_peer_address: The last of those that may be used instead.
    """
    process_memory.map_large_blocks()
    stopping = gevent_event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    process_start.deliver_signals(signal.SIGTERM, signal.SIGINT)
    host, first_port = addresses.parse(peer_address)
    _, last_port = addresses.parse(last_peer_address)
    ports = range(first_port, max(first_port, last_port) + 1)
    listener = listeners.bind_first(host, ports, stopping=stopping)
    if listener is None:
        return
    daemon = create(listener)
    gevent.signal_handler(signal.SIGHUP, daemon.reload)
    process_start.deliver_signals(signal.SIGHUP)
    daemon.start()
    _logger.info("started")
    stopping.wait()
    daemon.stop()
