"""Counts requests and their latencies, and detects bursts of refusals."""

import collections
import dataclasses
import functools
import logging
from typing import Protocol

from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import events
from primrosecross.domain.operators import latencies as latencies_module
from primrosecross.domain.ownership import assignment
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.ports import clock as clock_port

BURST_REFUSALS = 10
BURST_WINDOW_NS = 1_000_000_000
BURST_EVENT_INTERVAL_NS = 10_000_000_000
MAX_LOGGED_ID_CHARS = 64
NS_PER_MS = 1_000_000

_logger = logging.getLogger(__name__)


class RequestRouter(Protocol):
    """Interface of objects that route requests."""

    def route(self, req: request.Request) -> outcome.Outcome:
        """Returns the outcome of a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeLabels:
    """Metric labels and log level of an outcome."""

    name: str
    reason: str
    level: int


@functools.singledispatch
def labels_of(result: outcome.Outcome) -> OutcomeLabels:
    """Returns the metric labels and log level of an outcome."""
    raise TypeError(f"no labels for {type(result).__name__}")


ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
_ANSWERED = OutcomeLabels(ANSWERED, "", logging.DEBUG)
_NOT_RUN = {
    r: OutcomeLabels(NOT_RUN, r.value, logging.INFO) for r in outcome.Reason
}
_UNKNOWN = {
    r: OutcomeLabels(UNKNOWN, r.value, logging.WARNING) for r in outcome.Reason
}


@labels_of.register
def _(_: outcome.Answered) -> OutcomeLabels:
    return _ANSWERED


@labels_of.register
def _(result: outcome.NotRun) -> OutcomeLabels:
    return _NOT_RUN[result.reason]


@labels_of.register
def _(result: outcome.Unknown) -> OutcomeLabels:
    return _UNKNOWN[result.reason]


@dataclasses.dataclass(slots=True)
class _RefusalWindow:
    """Refusals of one service for one reason.

    Attributes:
        started_ns: Start of the current window of BURST_WINDOW_NS.
        refused: Refusals in the current window.
        reported_ns: Time of the last event.
        unreported: Refusals since the last event.
    """

    started_ns: int
    refused: int = 0
    reported_ns: int = -BURST_EVENT_INTERVAL_NS
    unreported: int = 0

    def record_refusal(self, now_ns: int) -> bool:
        """Counts a refusal; returns whether an event is due."""
        if now_ns - self.started_ns > BURST_WINDOW_NS:
            self.started_ns = now_ns
            self.refused = 0
        self.refused += 1
        self.unreported += 1
        if self.refused < BURST_REFUSALS:
            return False
        return now_ns - self.reported_ns >= BURST_EVENT_INTERVAL_NS

    def reset_unreported(self, now_ns: int) -> int:
        """Returns the number of unreported refusals and resets it."""
        self.reported_ns = now_ns
        refused, self.unreported = self.unreported, 0
        return refused


@dataclasses.dataclass(slots=True)
class _OutcomeCounter:
    """Requests of one service with the same outcome and reason.

    Attributes:
        latencies: Latencies of the outcome, shared by all its reasons.
        window: Recent refusals; None for other outcomes than "not run".
        count: Number of requests.
    """

    latencies: latencies_module.Latencies
    window: _RefusalWindow | None
    count: int = 0


class Meter:
    """Latencies and counts of requests that entered at this daemon.

    Args:
        timeline: Where bursts of refusals are recorded.
    """

    def __init__(self, *, timeline: events.Timeline) -> None:
        self._timeline = timeline
        self._counters: dict[tuple[str, str, str], _OutcomeCounter] = {}
        self.latencies: dict[tuple[str, str], latencies_module.Latencies] = (
            collections.defaultdict(latencies_module.Latencies)
        )

    def record(
        self, service: str, labels: OutcomeLabels, *, took_ns: int, now_ns: int
    ) -> None:
        """Counts one request.

        Args:
            service: A service of the plan, or an empty string.
            labels: Labels of its outcome.
            took_ns: Time from its arrival to its outcome.
            now_ns: Time of its outcome.
        """
        counter = self._counters.get((service, labels.name, labels.reason))
        if counter is None:
            counter = self._add_counter(service, labels, now_ns)
        counter.count += 1
        counter.latencies.record(took_ns)
        if counter.window is not None and counter.window.record_refusal(now_ns):
            refused = counter.window.reset_unreported(now_ns)
            self._timeline.record(
                events.RefusalBurst(service, labels.reason, refused)
            )

    def _add_counter(
        self, service: str, labels: OutcomeLabels, now_ns: int
    ) -> _OutcomeCounter:
        counter = _OutcomeCounter(
            latencies=self.latencies[service, labels.name],
            window=_RefusalWindow(now_ns) if labels.name == NOT_RUN else None,
        )
        self._counters[service, labels.name, labels.reason] = counter
        return counter

    def counts(self) -> dict[tuple[str, str, str], int]:
        """Returns request counts by service, outcome and reason."""
        return {
            key: counter.count
            for key, counter in sorted(self._counters.items())
        }

    def total(self, outcome_name: str) -> int:
        """Returns the number of requests with an outcome."""
        return sum(
            counter.count
            for key, counter in self._counters.items()
            if key[1] == outcome_name
        )


class MeteredRouter:
    """Routes requests and records their outcomes.

    Log lines contain the request ID and the hash of the key; never the key,
    the path, the body or the answer of a target.

    Args:
        router: Routes requests.
        state: Holds the plan; requests for services that are not in it are
            counted under an empty service name.
        meter: Counts requests.
        clock: Clock for latencies.
    """

    def __init__(
        self,
        *,
        router: RequestRouter,
        state: state_module.ClusterState,
        meter: Meter,
        clock: clock_port.Clock,
    ) -> None:
        self._router = router
        self._state = state
        self._meter = meter
        self._clock = clock

    def route(self, req: request.Request) -> outcome.Outcome:
        """Returns the outcome of a request."""
        started_ns = self._clock.now_ns()
        result = self._router.route(req)
        now_ns = self._clock.now_ns()
        took_ns = now_ns - started_ns
        labels = labels_of(result)
        is_known = req.service in self._state.plan.services
        service = req.service if is_known else ""
        self._meter.record(service, labels, took_ns=took_ns, now_ns=now_ns)
        if _logger.isEnabledFor(labels.level):
            _log(req, service, labels, took_ns)
        return result


def _log(
    req: request.Request, service: str, labels: OutcomeLabels, took_ns: int
) -> None:
    _logger.log(
        labels.level,
        "request %s",
        f"{labels.name} {labels.reason}".rstrip(),
        extra={
            "request_id": req.request_id[:MAX_LOGGED_ID_CHARS],
            "key_hash": f"{assignment.hash_key(service, req.key):016x}",
            "service": service,
            "took_ms": took_ns // NS_PER_MS,
        },
    )
