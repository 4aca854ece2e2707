"""Counters and gauges of one daemon on a platform store."""

import logging
import math
from collections.abc import Callable
from collections.abc import Mapping

import gevent

from primrosecross.adapters import process_memory
from primrosecross.adapters.peers import peer_streams
from primrosecross.domain import fleet_node
from primrosecross.domain.operators import meter as meter_module

LOG_INTERVAL_S = 10.0
BYTES_PER_MB = 1 << 20

_logger = logging.getLogger(__name__)


class FleetMetrics:
    """Renders the metrics of a daemon, and logs them.

    Args:
        node: The daemon.
        meter: Counts its requests.
        peers: Connections to other daemons.
        store_calls: Returns the calls to the store by kind.
        target_connections: Returns the connections opened to the target.
    """

    def __init__(
        self,
        *,
        node: fleet_node.FleetNode,
        meter: meter_module.Meter,
        peers: peer_streams.PeerStreams,
        store_calls: Callable[[], Mapping[str, int]],
        target_connections: Callable[[], int],
    ) -> None:
        self._node = node
        self._meter = meter
        self._peers = peers
        self._store_calls = store_calls
        self._target_connections = target_connections

    def text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        # Imported at the first scrape, as most daemons are never scraped.
        from primrosecross.adapters.http import metrics_http

        node = self._node
        collector = metrics_http.RequestCollector(
            meter=self._meter,
            peer_counts=self._peers.counts,
            counters={
                "store_calls": (
                    "Calls to the store.",
                    lambda: sum(self._store_calls().values()),
                ),
                "target_connections": (
                    "Connections opened to the target.",
                    self._target_connections,
                ),
                "key_calls_in_doubt": (
                    "Grants and releases without an answer.",
                    lambda: node.grant_caller.in_doubt,
                ),
                "peer_sent_bytes": (
                    "Bytes sent to other daemons.",
                    lambda: self._peers.traffic.sent_bytes,
                ),
                "bodies_refused": (
                    "Bodies for which there was no memory.",
                    lambda: node.bodies.refused,
                ),
            },
            gauges={
                "map_version": (
                    "Key map in force here.",
                    lambda: node.state.key_map.version,
                ),
                "proof_age_ms": (
                    "Age of the proof under which keys are granted.",
                    node.lease.age_ms,
                ),
                "plan_version": (
                    "Route plan in force here, -1 for none.",
                    lambda: node.state.plan.version if node.state.plan else -1,
                ),
                "plan_age_ms": (
                    "Time since the plan was known to be the newest.",
                    node.route_lookup.plan_age_ms,
                ),
                "coordinator": (
                    "1 while in office.",
                    lambda: node.election.is_coordinator,
                ),
                "running": (
                    "Requests at the target.",
                    lambda: node.gate.queue.running,
                ),
                "waiting": (
                    "Requests that wait for the target.",
                    lambda: node.gate.queue.waiting,
                ),
                "resident_bytes": (
                    "Resident memory of this process.",
                    _resident_bytes,
                ),
                "body_bytes": (
                    "Memory held by bodies of requests and answers.",
                    lambda: node.bodies.used_bytes,
                ),
            },
        )
        return metrics_http.Metrics(collector).text()

    def log_periodically(self) -> None:
        """Logs counters until killed, so that logs alone show the load."""
        while True:
            gevent.sleep(LOG_INTERVAL_S)
            _logger.info(
                "requests %s, store calls %s, running %d, waiting %d, "
                "proof %.0f ms old, plan %d ms old, target connections %d, "
                "key calls in doubt %d, peers %s, "
                "event loop late by at most %d ms, "
                "resident %.0f MB, at most %.0f MB, "
                "bodies %.1f of %.0f MB, %d refused",
                {"/".join(k): n for k, n in self._meter.counts().items()},
                dict(self._store_calls()),
                self._node.gate.queue.running,
                self._node.gate.queue.waiting,
                self._node.lease.age_ms(),
                self._node.route_lookup.plan_age_ms(),
                self._target_connections(),
                self._node.grant_caller.in_doubt,
                dict(self._peers.counts),
                self._peers.lateness.take_worst_ms(),
                _resident_bytes() / BYTES_PER_MB,
                process_memory.peak_bytes() / BYTES_PER_MB,
                self._node.bodies.used_bytes / BYTES_PER_MB,
                self._node.bodies.max_bytes / BYTES_PER_MB,
                self._node.bodies.refused,
            )


def _resident_bytes() -> float:
    """Returns the resident memory, not a number if the system hides it."""
    try:
        return process_memory.resident_bytes()
    except OSError as error:
        _logger.warning("cannot read the memory of this process: %s", error)
        return math.nan
