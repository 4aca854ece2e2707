"""Metrics in the Prometheus text format, over HTTP."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import prometheus_client
from hdrh import histogram
from prometheus_client import core
from prometheus_client import exposition
from prometheus_client import registry

from primrosecross.adapters import http_server
from primrosecross.domain import election as election_module
from primrosecross.domain import executor as executor_module
from primrosecross.domain import lease as lease_module
from primrosecross.domain import meter as meter_module
from primrosecross.domain import state as state_module

PREFIX = "primrosecross"
BUCKETS_MS = (
    1,
    2,
    5,
    12,
    25,
    50,
    100,
    250,
    500,
    1000,
    2500,
    5000,
    10000,
    60000,
)
US_PER_MS = 1000
MS_PER_S = 1000


class DaemonCollector(registry.Collector):
    """Reads a daemon's figures when they are asked for.

    Args:
        meter: Requests that entered here.
        state: Versions in force.
        lease: This daemon's lease.
        election: Whether it is the coordinator.
        executor: Requests that run on its targets.
        counters: Other counters, by name without prefix; each gives its
            description and a function that returns its value.
    """

    def __init__(
        self,
        *,
        meter: meter_module.Meter,
        state: state_module.State,
        lease: lease_module.Lease,
        election: election_module.Election,
        executor: executor_module.Executor,
        counters: dict[str, tuple[str, Callable[[], int]]],
    ) -> None:
        self._meter = meter
        self._state = state
        self._lease = lease
        self._election = election
        self._executor = executor
        self._counters = counters

    def collect(self) -> Iterable[core.Metric]:
        """Yields all metrics."""
        yield self._requests()
        yield self._latencies()
        for name, (text, value) in self._counters.items():
            yield core.CounterMetricFamily(f"{PREFIX}_{name}", text, value())
        yield from self._gauges()

    def _requests(self) -> core.Metric:
        family = core.CounterMetricFamily(
            f"{PREFIX}_requests",
            "Requests that entered here, by outcome.",
            labels=["service", "outcome", "reason"],
        )
        for labels, count in sorted(self._meter.counts.items()):
            family.add_metric(labels, count)
        return family

    def _latencies(self) -> core.Metric:
        family = core.HistogramMetricFamily(
            f"{PREFIX}_request_seconds",
            "Time from a request's arrival to its outcome.",
            labels=["service", "outcome"],
        )
        for labels, latencies in sorted(self._meter.latencies.items()):
            family.add_metric(
                labels,
                buckets=_buckets(latencies),
                sum_value=_sum_s(latencies),
            )
        return family

    def _gauges(self) -> Iterable[core.Metric]:
        current = self._state.assignment
        vm_shards = [
            len(table.shards_of(self._state.vm))
            for table in current.tables.values()
        ]
        gauges = {
            "plan_version": ("Plan in force here.", self._state.plan.version),
            "assignment_version": (
                "Assignment in force here.",
                current.version,
            ),
            "lease_held": ("1 while the lease is held.", self._lease.held()),
            "coordinator": ("1 while in office.", self._election.in_office),
            "members": ("Members of the assignment.", len(current.members)),
            "owned_shards": ("Shards owned here.", sum(vm_shards)),
            "in_flight": (
                "Keyed requests running on targets here.",
                self._executor.in_flight(),
            ),
        }
        for name, (text, value) in gauges.items():
            yield core.GaugeMetricFamily(f"{PREFIX}_{name}", text, value)


def _buckets(latencies: histogram.HdrHistogram) -> list[tuple[str, int]]:
    counts = [0] * (len(BUCKETS_MS) + 1)
    for item in latencies.get_recorded_iterator():
        value_ms = item.value_iterated_to / US_PER_MS
        place = sum(bound < value_ms for bound in BUCKETS_MS)
        counts[place] += item.count_added_in_this_iter_step
    total = 0
    buckets = []
    names = [*(str(ms / MS_PER_S) for ms in BUCKETS_MS), "+Inf"]
    for name, count in zip(names, counts, strict=True):
        total += count
        buckets.append((name, total))
    return buckets


def _sum_s(latencies: histogram.HdrHistogram) -> float:
    mean_us = latencies.get_mean_value() if latencies.total_count else 0.0
    return mean_us * latencies.total_count / (US_PER_MS * MS_PER_S)


class Metrics:
    """A daemon's metrics as text.

    Args:
        collector: Reads the figures.
    """

    def __init__(self, collector: DaemonCollector) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(collector)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return exposition.generate_latest(self._registry)


class MetricsServer:
    """Answers GET /metrics.

    Args:
        listen: Address to listen on, as (ip, port).
        metrics: What is answered.
    """

    def __init__(self, *, listen: tuple[str, int], metrics: Metrics) -> None:
        self._metrics = metrics
        self._server = http_server.HttpServer(
            listen, self._serve, log=None, error_log=None
        )

    def start(self) -> None:
        """Begins to listen; raises OSError when the port is taken."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop(timeout=1)

    def _serve(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        if (environ["REQUEST_METHOD"], environ["PATH_INFO"]) != (
            "GET",
            "/metrics",
        ):
            start_response("404 Not Found", [])
            return [b"get /metrics\n"]
        headers = [("Content-Type", exposition.CONTENT_TYPE_LATEST)]
        start_response("200 OK", headers)
        return [self._metrics.text()]
