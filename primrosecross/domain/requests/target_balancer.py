"""Load balancer over the targets of a service, for requests without a key.

Power of two choices (Mitzenmacher, 2001) by the requests in flight from this
VM and the latencies measured on it. A target that refuses or fails gets no
requests during a backoff.
"""

import dataclasses
import random

from primrosecross.domain.membership import directory
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.requests import outcome
from primrosecross.ports import clock as clock_port

NS_PER_MS = 1_000_000
LATENCY_WEIGHT = 0.2
OVERLOADED_BACKOFF_MS = 30
MIN_BACKOFF_MS = 150
MAX_BACKOFF_MS = 2400
COLD_FACTOR = 2.0
# Traffic between availability zones has a cost, so a target in this VM's zone
# is preferred up to this ratio of expected times.
REMOTE_FACTOR = 1.3
LARGE_BYTES = 16 * 1024
LARGE_REMOTE_FACTOR = 2.5  # large bodies cause most of that traffic
INITIAL_LATENCY_MS = 50.0
_READY = "ready"
# Backoff after a refusal that is no failure of the target.
_BACKOFF_MS = {
    outcome.Reason.OVERLOADED: OVERLOADED_BACKOFF_MS,
    outcome.Reason.PLAN_UNCONFIRMED: 0,  # The sender's plan is the old one.
}


@dataclasses.dataclass(slots=True)
class _TargetStats:
    in_flight: int = 0
    latency_ms: float = INITIAL_LATENCY_MS
    failures: int = 0
    backoff_until_ns: int = 0


class TargetBalancer:
    """Balances requests over the targets of all VMs.

    Args:
        place: Availability zone of this VM.
        clock: Clock for backoffs.
    """

    def __init__(self, *, place: str, clock: clock_port.Clock) -> None:
        self._place = place
        self._clock = clock
        self._stats: dict[str, _TargetStats] = {}

    def choose(
        self,
        entries: dict[str, fleet_messages.VmEntry],
        service: str,
        *,
        avoid: frozenset[str],
        size_bytes: int = 0,
    ) -> str:
        """Returns a VM with a ready target of the service, "" if there is none.

        A stopping daemon still accepts requests for about 2 s; it gets them if
        all other targets are in a backoff.

        Args:
            entries: Known VMs, by name.
            service: Name of the service.
            avoid: VMs already tried.
            size_bytes: Size of the request's body.
        """
        candidates = _candidates(entries, service, avoid)
        eligible = (
            self._available(candidates)
            or self._available(
                _candidates(entries, service, avoid, directory.STOPPING)
            )
            or candidates
        )
        if not eligible:
            return ""
        sampled = random.sample(eligible, min(2, len(eligible)))
        same_zone = [e for e in eligible if e.place == self._place]
        if same_zone:
            sampled.append(random.choice(same_zone))
        remote = (
            LARGE_REMOTE_FACTOR if size_bytes > LARGE_BYTES else REMOTE_FACTOR
        )
        chosen = min(sampled, key=lambda e: self._expected_ms(e, remote)).vm
        stats = self._stats_of(chosen)
        if stats.failures:  # Admits one request as a probe.
            self._back_off(stats, self._backoff_ms(stats))
        return chosen

    def has_available(
        self,
        entries: dict[str, fleet_messages.VmEntry],
        service: str,
        *,
        avoid: frozenset[str],
    ) -> bool:
        """Returns whether a target is left that is not in a backoff."""
        return any(
            self._available(_candidates(entries, service, avoid, state))
            for state in (_READY, directory.STOPPING)
        )

    def _available(
        self, candidates: list[fleet_messages.VmEntry]
    ) -> list[fleet_messages.VmEntry]:
        now_ns = self._clock.now_ns()
        return [
            e
            for e in candidates
            if self._stats_of(e.vm).backoff_until_ns <= now_ns
        ]

    def _stats_of(self, vm: str) -> _TargetStats:
        return self._stats.setdefault(vm, _TargetStats())

    def _expected_ms(
        self, entry: fleet_messages.VmEntry, remote_factor: float
    ) -> float:
        stats = self._stats_of(entry.vm)
        factor = COLD_FACTOR if entry.cold else 1.0
        if entry.place != self._place:
            factor *= remote_factor
        queue_length = (stats.in_flight + 1) / max(1, entry.slots)
        return (1 + queue_length) * stats.latency_ms * factor

    def _backoff_ms(self, stats: _TargetStats) -> int:
        return min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << min(stats.failures - 1, 8))

    def _back_off(self, stats: _TargetStats, backoff_ms: int) -> None:
        until_ns = self._clock.now_ns() + backoff_ms * NS_PER_MS
        stats.backoff_until_ns = max(stats.backoff_until_ns, until_ns)

    def record_start(self, vm: str) -> None:
        """Counts a request sent to a VM."""
        self._stats_of(vm).in_flight += 1

    def record_end(
        self, vm: str, result: outcome.Outcome, duration_ms: float
    ) -> None:
        """Records the outcome and duration of a request sent to a VM."""
        stats = self._stats_of(vm)
        stats.in_flight = max(0, stats.in_flight - 1)
        if isinstance(result, outcome.Answered) and result.status < 500:
            stats.failures = stats.backoff_until_ns = 0
            stats.latency_ms += LATENCY_WEIGHT * (
                duration_ms - stats.latency_ms
            )
        elif (
            isinstance(result, outcome.NotRun) and result.reason in _BACKOFF_MS
        ):
            self._back_off(stats, _BACKOFF_MS[result.reason])
        elif not isinstance(result, outcome.Answered):
            stats.failures += 1
            self._back_off(stats, self._backoff_ms(stats))


def _candidates(
    entries: dict[str, fleet_messages.VmEntry],
    service: str,
    avoid: frozenset[str],
    state: str = _READY,
) -> list[fleet_messages.VmEntry]:
    return [
        e
        for e in entries.values()
        if e.service == service and e.state == state and e.vm not in avoid
    ]
