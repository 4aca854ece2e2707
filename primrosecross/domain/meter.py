"""Counts requests and their latencies, and notices bursts of refusals."""

import collections
import dataclasses
import functools
import logging
from typing import Protocol

from hdrh import histogram

from primrosecross.domain import assignment
from primrosecross.domain import events
from primrosecross.domain import outcome
from primrosecross.domain import request
from primrosecross.domain import state as state_module
from primrosecross.ports import clock as clock_port

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
BURST_WINDOW_MS = 1000
BURST_REFUSALS = 10
BURST_REPEAT_MS = 10_000
MAX_LOGGED_ID = 64
NS_PER_US = 1000
NS_PER_MS = 1_000_000

_logger = logging.getLogger(__name__)


class Routes(Protocol):
    """What brings a request to its outcome."""

    def route(self, req: request.Request) -> outcome.Outcome:
        """Returns the outcome of a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """An outcome as it is counted and logged."""

    name: str
    reason: str
    level: int


@functools.singledispatch
def verdict_of(result: outcome.Outcome) -> Verdict:
    """Returns how an outcome is counted and logged."""
    raise TypeError(f"no verdict for {type(result).__name__}")


_ANSWERED = Verdict("answered", "", logging.DEBUG)


@verdict_of.register
def _(_: outcome.Answered) -> Verdict:
    return _ANSWERED


@verdict_of.register
def _(result: outcome.NotRun) -> Verdict:
    return Verdict("not-run", result.reason.value, logging.INFO)


@verdict_of.register
def _(result: outcome.Unknown) -> Verdict:
    return Verdict("unknown", result.reason.value, logging.WARNING)


@dataclasses.dataclass(slots=True)
class _Window:
    """Refusals of one service for one reason, until the next event."""

    started_ns: int
    refused: int = 0
    reported_ns: int = -BURST_REPEAT_MS * NS_PER_MS
    unreported: int = 0


class Meter:
    """Latencies and counts of the requests that entered at this daemon.

    Args:
        clock: Clock for windows.
        timeline: Where bursts of refusals are recorded.
    """

    def __init__(
        self, *, clock: clock_port.Clock, timeline: events.Timeline
    ) -> None:
        self._clock = clock
        self._timeline = timeline
        self._windows: dict[tuple[str, str], _Window] = {}
        self.latencies: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self.counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    def record(self, service: str, verdict: Verdict, took_ns: int) -> None:
        """Counts one request.

        Args:
            service: A service of the plan, or an empty string.
            verdict: Its outcome.
            took_ns: Time from its arrival to its outcome.
        """
        self.counts[service, verdict.name, verdict.reason] += 1
        latencies = self.latencies.get((service, verdict.name))
        if latencies is None:
            latencies = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self.latencies[service, verdict.name] = latencies
        latencies.record_value(max(LOWEST_US, took_ns // NS_PER_US))
        if verdict.name == "not-run":
            self._note_refusal(service, verdict.reason)

    def total(self, outcome_name: str) -> int:
        """Returns the requests that had an outcome."""
        return sum(
            n for key, n in self.counts.items() if key[1] == outcome_name
        )

    def _note_refusal(self, service: str, reason: str) -> None:
        now_ns = self._clock.now_ns()
        window = self._windows.setdefault((service, reason), _Window(now_ns))
        if now_ns - window.started_ns > BURST_WINDOW_MS * NS_PER_MS:
            window.started_ns = now_ns
            window.refused = 0
        window.refused += 1
        window.unreported += 1
        rested_ns = now_ns - window.reported_ns
        if window.refused < BURST_REFUSALS:
            return
        if rested_ns < BURST_REPEAT_MS * NS_PER_MS:
            return
        self._timeline.record(
            events.RefusalBurst(service, reason, window.unreported)
        )
        window.reported_ns = now_ns
        window.unreported = 0


class MeteredRouter:
    """Routes requests and records what became of them.

    Log lines carry the request's id and the hash of its key; never the key,
    the path, the body or what a target said.

    Args:
        router: Brings a request to its outcome.
        state: Names the services that are counted apart.
        meter: Where requests are counted.
        clock: Clock for latencies.
    """

    def __init__(
        self,
        *,
        router: Routes,
        state: state_module.State,
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
        took_ns = self._clock.now_ns() - started_ns
        verdict = verdict_of(result)
        service = (
            req.service if req.service in self._state.plan.services else ""
        )
        self._meter.record(service, verdict, took_ns)
        if _logger.isEnabledFor(verdict.level):
            _log(req, service, verdict, took_ns)
        return result


def _log(
    req: request.Request, service: str, verdict: Verdict, took_ns: int
) -> None:
    _logger.log(
        verdict.level,
        "request %s",
        f"{verdict.name} {verdict.reason}".rstrip(),
        extra={
            "request_id": req.request_id[:MAX_LOGGED_ID],
            "key_hash": f"{assignment.hash_key(service, req.key):016x}",
            "service": service,
            "took_ms": took_ns // NS_PER_MS,
        },
    )
