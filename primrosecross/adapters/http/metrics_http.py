"""HTTP endpoint for metrics in the Prometheus text format."""

import types
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import prometheus_client
from prometheus_client import core
from prometheus_client import exposition
from prometheus_client import registry

from primrosecross.adapters.http import http_server
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import latencies as latencies_module
from primrosecross.domain.operators import meter as meter_module
from primrosecross.domain.ownership import election as election_module
from primrosecross.domain.requests import executor as executor_module

PREFIX = "primrosecross"
MS_PER_S = 1000

_BUCKET_BOUNDS_S = [
    *(str(ms / MS_PER_S) for ms in latencies_module.BUCKETS_MS),
    "+Inf",
]


MetricSources = dict[str, tuple[str, Callable[[], float]]]
NO_COUNTS: Mapping[str, int] = types.MappingProxyType({})


class RequestCollector(registry.Collector):
    """Collects requests, latencies and other metrics at each scrape.

    Args:
        meter: Counts the requests that callers sent to this daemon.
        counters: Description and reading function of each other counter, by
            name without prefix.
        gauges: The same for other gauges.
        peer_counts: Events on connections to other daemons, by "kind" or
            "kind/cause".
    """

    def __init__(
        self,
        *,
        meter: meter_module.Meter,
        counters: MetricSources,
        gauges: MetricSources,
        peer_counts: Mapping[str, int] = NO_COUNTS,
    ) -> None:
        self._peer_counts = peer_counts
        self._meter = meter
        self._counters = counters
        self._gauges = gauges

    def collect(self) -> Iterable[core.Metric]:
        """Yields all metrics."""
        yield self._requests()
        yield from self._latencies()
        yield self._peer_events()
        for name, (description, read) in self._counters.items():
            yield core.CounterMetricFamily(
                f"{PREFIX}_{name}", description, read()
            )
        for name, (description, read) in self._gauges.items():
            yield core.GaugeMetricFamily(
                f"{PREFIX}_{name}", description, read()
            )

    def _requests(self) -> core.Metric:
        family = core.CounterMetricFamily(
            f"{PREFIX}_requests",
            "Requests that entered here, by outcome.",
            labels=["service", "outcome", "reason"],
        )
        for labels, count in self._meter.counts().items():
            family.add_metric(labels, count)
        return family

    def _peer_events(self) -> core.Metric:
        family = core.CounterMetricFamily(
            f"{PREFIX}_peer_events",
            "Events on connections to other daemons, by kind and cause.",
            labels=["kind", "cause"],
        )
        for name, count in self._peer_counts.items():
            kind, _, cause = name.partition("/")
            family.add_metric([kind, cause], count)
        return family

    def _latencies(self) -> Iterable[core.Metric]:
        family = core.HistogramMetricFamily(
            f"{PREFIX}_request_seconds",
            "Time from a request's arrival to its outcome.",
            labels=["service", "outcome"],
        )
        percentiles = core.GaugeMetricFamily(
            f"{PREFIX}_request_percentile_seconds",
            "Time that a share of requests took at most, since the start.",
            labels=["service", "outcome", "percentile"],
        )
        for labels, latencies in sorted(self._meter.latencies.items()):
            counts = latencies.cumulative_counts()
            family.add_metric(
                labels,
                buckets=list(zip(_BUCKET_BOUNDS_S, counts, strict=True)),
                sum_value=latencies.sum_ms() / MS_PER_S,
            )
            for percentile, value_ms in latencies.percentiles_ms().items():
                percentiles.add_metric(
                    [*labels, f"{percentile:g}"], value_ms / MS_PER_S
                )
        yield family
        yield percentiles


class DaemonCollector(RequestCollector):
    """Collects a daemon's metrics at each scrape.

    Args:
        meter: Counts the requests that callers sent to this daemon.
        state: Plan and assignment in force.
        lease: This daemon's lease.
        election: Reports whether this daemon is the coordinator.
        executor: Runs requests on the targets of this daemon.
        counters: Description and reading function of each other counter, by
            name without prefix.
        peer_counts: Events on connections to other daemons.
    """

    def __init__(
        self,
        *,
        meter: meter_module.Meter,
        state: state_module.ClusterState,
        lease: lease_module.Lease,
        election: election_module.Election,
        executor: executor_module.Executor,
        counters: MetricSources,
        peer_counts: Mapping[str, int] = NO_COUNTS,
    ) -> None:
        gauges: MetricSources = {
            "plan_version": (
                "Plan in force here.",
                lambda: state.plan.version,
            ),
            "assignment_version": (
                "Assignment in force here.",
                lambda: state.assignment.version,
            ),
            "lease_held": ("1 while the lease is held.", lease.held),
            "coordinator": (
                "1 while in office.",
                lambda: election.is_coordinator,
            ),
            "members": (
                "Members of the assignment.",
                lambda: len(state.assignment.members),
            ),
            "owned_shards": (
                "Shards owned here.",
                lambda: _count_owned_shards(state),
            ),
            "in_flight": (
                "Keyed requests running on targets here.",
                executor.in_flight,
            ),
        }
        super().__init__(
            meter=meter,
            counters=counters,
            gauges=gauges,
            peer_counts=peer_counts,
        )


def _count_owned_shards(state: state_module.ClusterState) -> int:
    return sum(
        len(table.shards_of(state.vm))
        for table in state.assignment.tables.values()
    )


class Metrics:
    """Renders a daemon's metrics as text.

    Args:
        collector: Collects the metrics.
    """

    def __init__(self, collector: RequestCollector) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(collector)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return exposition.generate_latest(self._registry)


class MetricsServer:
    """Serves GET /metrics.

    Args:
        listen: Address to listen on, as (ip, port).
        metrics: Renders the response.
    """

    def __init__(self, *, listen: tuple[str, int], metrics: Metrics) -> None:
        self._metrics = metrics
        self._server = http_server.NoDelayWsgiServer(
            listen, self._serve, log=None, error_log=None
        )

    def start(self) -> None:
        """Starts listening; raises OSError if the port is in use."""
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
