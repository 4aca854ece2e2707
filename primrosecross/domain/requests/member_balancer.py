"""Load balancer over the members that have targets of a service without keys.

Power of two choices, as in Finagle's peak EWMA balancer: of two random members,
the one with the lower expected wait is chosen. The wait is estimated from the
requests in flight and the latency measured on this VM. A member that fails gets
no requests during a backoff and is then probed with one request.
"""

import dataclasses
import random

from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.ownership import assignment
from primrosecross.domain.requests import outcome
from primrosecross.ports import clock as clock_port

LATENCY_WEIGHT = 0.2
MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 5000
OVERLOADED_BACKOFF_MS = 20
SAMPLE_SIZE = 6
_FAILURES = frozenset(
    {
        outcome.Reason.OWNER_UNREACHABLE,
        outcome.Reason.NO_TARGET,
        outcome.Reason.TARGET_REFUSED,
        outcome.Reason.TARGET_CRASHED,
        outcome.Reason.ANSWER_LOST,
        outcome.Reason.LEAVING,
    }
)


@dataclasses.dataclass(slots=True)
class _MemberStats:
    in_flight: int = 0
    latency_ms: float = 0.0
    failures: int = 0
    backoff_until_ns: int = 0


class MemberBalancer:
    """Balances the requests of one service over its members.

    Args:
        service: Name of the service.
        clock: Clock for backoffs.
    """

    def __init__(self, *, service: str, clock: clock_port.Clock) -> None:
        self._service = service
        self._clock = clock
        self._stats: dict[str, _MemberStats] = {}
        self._assignment: assignment.Assignment | None = None
        self._candidates: list[assignment.Member] = []

    def choose(
        self,
        current_assignment: assignment.Assignment,
        *,
        avoid: frozenset[str] = frozenset(),
    ) -> str:
        """Returns a VM that offers the service, or an empty string.

        Args:
            current_assignment: Assignment in force; members that are leaving
                or being revoked are not chosen.
            avoid: VMs already tried, chosen only if there are no others.
        """
        if current_assignment is not self._assignment:
            self._update_members(current_assignment)
        if not self._candidates:
            return ""
        sampled = random.sample(
            self._candidates, min(SAMPLE_SIZE, len(self._candidates))
        )
        untried = [m for m in sampled if m.vm not in avoid] or sampled
        now_ns = self._clock.now_ns()
        available = [
            m
            for m in untried
            if self._stats_of(m.vm).backoff_until_ns <= now_ns
        ]
        chosen = min((available or untried)[:2], key=self._expected_wait_ms).vm
        self._back_off_during_probe(chosen)
        return chosen

    def _update_members(
        self, current_assignment: assignment.Assignment
    ) -> None:
        self._assignment = current_assignment
        self._candidates = [
            m
            for m in current_assignment.members.values()
            if m.state is assignment.MemberState.ACTIVE
            and m.offers_service(self._service)
        ]
        vms = {m.vm for m in self._candidates}
        self._stats = {
            vm: stats
            for vm, stats in self._stats.items()
            if vm in vms or stats.in_flight
        }

    def _stats_of(self, vm: str) -> _MemberStats:
        return self._stats.setdefault(vm, _MemberStats())

    def _expected_wait_ms(self, member: assignment.Member) -> float:
        stats = self._stats_of(member.vm)
        slots = max(1, member.slots_for(self._service))
        return (stats.in_flight + 1) * max(stats.latency_ms, 0.1) / slots

    def _back_off_during_probe(self, vm: str) -> None:
        stats = self._stats_of(vm)
        if stats.failures:
            self._back_off(stats, self._backoff_ms(stats))

    def _backoff_ms(self, stats: _MemberStats) -> int:
        return min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << min(stats.failures, 10))

    def _back_off(self, stats: _MemberStats, backoff_ms: int) -> None:
        until_ns = self._clock.now_ns() + backoff_ms * lease_module.NS_PER_MS
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
        if isinstance(result, outcome.Answered):
            stats.failures = stats.backoff_until_ns = 0
            self._record_latency(stats, duration_ms)
        elif result.reason is outcome.Reason.OVERLOADED:
            self._back_off(stats, OVERLOADED_BACKOFF_MS)
        elif result.reason in _FAILURES:
            stats.failures += 1
            self._back_off(stats, self._backoff_ms(stats))

    def _record_latency(self, stats: _MemberStats, duration_ms: float) -> None:
        if duration_ms > stats.latency_ms:
            stats.latency_ms = duration_ms
        else:
            stats.latency_ms += LATENCY_WEIGHT * (
                duration_ms - stats.latency_ms
            )
