"""Planned stop of a daemon on a platform store."""

import logging

import gevent

from primrosecross.adapters.http import http_connection
from primrosecross.adapters.peers import peer_streams
from primrosecross.domain import fleet_node
from primrosecross.ports import clock as clock_port

# The platform takes a VM out after two failed readiness checks 1 s apart.
UNREADY_DELAY_MS = 2200
STOP_MARGIN_MS = 800
IDLE_POLL_INTERVAL_S = 0.1
MIN_IDLE_POLLS = 2  # responses to other daemons may still be in transit
MAX_ANSWER_POLLS = 4  # for answers to requests that the stop cuts off

_logger = logging.getLogger(__name__)


def run(
    *,
    node: fleet_node.FleetNode,
    callers: http_connection.HttpServer,
    peers: peer_streams.PeerStreams,
    limit_ms: int,
    clock: clock_port.Clock,
) -> None:
    """Stops admission, waits for requests in flight, stops listening.

    Args:
        node: The daemon.
        callers: Server for its callers.
        peers: Connections to other daemons.
        limit_ms: Time until the process is killed.
        clock: Clock that includes time spent suspended.
    """
    started_ns = clock.now_ns()
    limit_ms -= STOP_MARGIN_MS
    _logger.info("stopping within at most %d ms", limit_ms)
    node.begin_stop()
    callers.closing = True
    gevent.sleep(UNREADY_DELAY_MS / 1000)
    node.gate.stopping = True
    callers.stop_reading()
    elapsed_ms = UNREADY_DELAY_MS
    idle_polls = 0
    while idle_polls < MIN_IDLE_POLLS and elapsed_ms < limit_ms:
        gevent.sleep(IDLE_POLL_INTERVAL_S)
        elapsed_ms = (clock.now_ns() - started_ns) // 10**6
        is_idle = not (
            callers.unfinished
            or node.gate.in_flight
            or peers.requests_in_flight()
        )
        idle_polls = idle_polls + 1 if is_idle else 0
    _logger.info("stopped after %d ms, idle: %s", elapsed_ms, idle_polls > 0)
    peers.stop()
    for _ in range(MAX_ANSWER_POLLS):
        if callers.unfinished:
            gevent.sleep(IDLE_POLL_INTERVAL_S)
