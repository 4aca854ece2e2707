"""Queue for the slots of one target, with load shedding.

Requests wait in order of priority, then of arrival, and only while they can
still be answered within their objective. Requests whose callers have waited
too long for an answer in time rank behind all others: under overload, slots
would otherwise go to their retries, and all requests would be late.
"""

import bisect
import dataclasses
import heapq
import itertools
import random

from gevent import event as gevent_event

from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.domain.requests import run_times
from primrosecross.ports import clock as clock_port

NS_PER_MS = 1_000_000
WAIT_SHARE = 0.5  # of the objective minus the expected run time
MIN_WAIT_MS = 25
LATE_REMAINING_FACTOR = 2.0  # of the objective; see _is_late
DEFAULT_OBJECTIVE_MS = 500
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 2000
OVERLOADED_SHARE = 0.3  # of recent arrivals refused; early retries add to it
OVERLOAD_RETRY_MS = 3000  # demand changes within seconds
RETRY_SHARE = 1 / 3  # of the remaining time; leaves time for the retry
REFUSED_SHARE_WEIGHT = 0.1
SHED_FACTOR = 1.5  # run times vary; a wait may be shorter than expected


@dataclasses.dataclass(eq=False, slots=True)
class Slot:
    """A slot held by a request.

    Attributes:
        started_ns: Time at which the slot was granted.
        expected_run_ms: Expected run time of the request.
    """

    started_ns: int
    expected_run_ms: float


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    rank: tuple[bool, int, int]
    expected_run_ms: float
    latest_start_ns: int
    decided: gevent_event.Event = dataclasses.field(
        default_factory=gevent_event.Event
    )
    slot: Slot | None = None


class SlotQueue:
    """Slots of one target and the requests that wait for them.

    Args:
        clock: Clock that deadlines refer to.
        times: Average run times of the target.
    """

    def __init__(
        self, *, clock: clock_port.Clock, times: run_times.RunTimes
    ) -> None:
        self._clock = clock
        self._run_times = times
        self._held_slots: set[Slot] = set()
        self._waiters: list[_Waiter] = []
        self._arrivals = itertools.count()
        self._refused_share = 0.0
        self.slots = 1

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._waiters)

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._held_slots)

    def acquire(self, req: request.Request) -> Slot | outcome.NotRun:
        """Waits for a slot; refuses a request that would be answered late."""
        now_ns = self._clock.now_ns()
        expected_run_ms = self._run_times.expected_run_ms(req)
        if not self._waiters and len(self._held_slots) < self.slots:
            self._update_refused_share(0.0)
            return self._grant(expected_run_ms, now_ns)
        late = _is_late(req, expected_run_ms, now_ns)
        latest_start_ns = _latest_start_ns(
            req, expected_run_ms, now_ns, late=late
        )
        rank = (late, req.priority, next(self._arrivals))
        waiter = _Waiter(rank, expected_run_ms, latest_start_ns)
        expected_wait_ms = self._expected_wait_ms(waiter, now_ns)
        if now_ns + expected_wait_ms * NS_PER_MS > latest_start_ns:
            return self._refuse(req, expected_wait_ms)
        bisect.insort(self._waiters, waiter, key=lambda w: w.rank)
        self._shed(now_ns)
        try:
            waiter.decided.wait((latest_start_ns - now_ns) / 1e9)
        except BaseException:
            if waiter.slot is not None:
                self.release(waiter.slot)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        if waiter.slot is None:
            return self._refuse(req, expected_wait_ms)
        self._update_refused_share(0.0)
        return waiter.slot

    def _grant(self, expected_run_ms: float, now_ns: int) -> Slot:
        slot = Slot(now_ns, expected_run_ms)
        self._held_slots.add(slot)
        return slot

    def _expected_wait_ms(self, waiter: _Waiter, now_ns: int) -> float:
        """Returns the expected wait of a request."""
        free_after_ms = self._free_after_ms(now_ns)
        for ahead in self._waiters:
            if ahead.rank < waiter.rank:
                _run_next(free_after_ms, ahead)
        return free_after_ms[0]

    def _free_after_ms(self, now_ns: int) -> list[float]:
        """Returns a heap of the times until each slot is expected to be free.

        A request waits for the first slot, not for the average one: with many
        slots the first becomes free much sooner than a run takes.
        """
        free_after_ms = [0.0] * (self.slots - len(self._held_slots))
        for slot in self._held_slots:
            elapsed_ms = (now_ns - slot.started_ns) / NS_PER_MS
            free_after_ms.append(
                max(slot.expected_run_ms - elapsed_ms, slot.expected_run_ms / 4)
            )
        heapq.heapify(free_after_ms)
        while len(free_after_ms) > self.slots:  # Their number was reduced.
            heapq.heappop(free_after_ms)
        return free_after_ms

    def _shed(self, now_ns: int) -> None:
        """Refuses requests that a higher-ranked arrival has made too late."""
        free_after_ms = self._free_after_ms(now_ns)
        for waiter in tuple(self._waiters):
            remaining_ms = (waiter.latest_start_ns - now_ns) / NS_PER_MS
            if free_after_ms[0] > SHED_FACTOR * remaining_ms + MIN_WAIT_MS:
                self._waiters.remove(waiter)
                waiter.decided.set()
            else:
                _run_next(free_after_ms, waiter)

    def _update_refused_share(self, refused: float) -> None:
        self._refused_share += REFUSED_SHARE_WEIGHT * (
            refused - self._refused_share
        )

    def _refuse(
        self, req: request.Request, expected_wait_ms: float
    ) -> outcome.NotRun:
        self._update_refused_share(1.0)
        return outcome.NotRun(
            outcome.Reason.OVERLOADED,
            f"the target is overloaded: {len(self._held_slots)} running and "
            f"{len(self._waiters)} queued for {self.slots} slots; the request "
            "would be answered late",
            self._retry_after_ms(req, expected_wait_ms),
        )

    def _retry_after_ms(
        self, req: request.Request, expected_wait_ms: float
    ) -> int:
        """Returns the delay after which a refused caller should retry.

        The delay is short if the overload is brief. Under lasting overload it
        is as long as the caller's deadline permits, since an early retry
        would be refused again.
        """
        if self._refused_share < OVERLOADED_SHARE:
            delay_ms = min(MAX_RETRY_AFTER_MS, 2 * expected_wait_ms)
        else:
            delay_ms = OVERLOAD_RETRY_MS * random.uniform(0.8, 1.0)
        remaining_ms = (req.deadline_ns - self._clock.now_ns()) / NS_PER_MS
        return int(
            max(MIN_RETRY_AFTER_MS, min(delay_ms, remaining_ms * RETRY_SHARE))
        )

    def release(self, slot: Slot) -> None:
        """Returns a slot."""
        self._held_slots.discard(slot)
        self._admit()

    def set_slots(self, slots: int) -> None:
        """Sets the number of requests that the target runs concurrently."""
        self.slots = max(1, slots)
        self._admit()

    def set_run_times(self, times: run_times.RunTimes) -> None:
        """Replaces the run times, as for a new incarnation of the target."""
        self._run_times = times

    def _admit(self) -> None:
        now_ns = self._clock.now_ns()
        while self._waiters and len(self._held_slots) < self.slots:
            waiter = self._waiters.pop(0)
            if waiter.latest_start_ns >= now_ns:
                waiter.slot = self._grant(waiter.expected_run_ms, now_ns)
            waiter.decided.set()


def _run_next(free_after_ms: list[float], waiter: _Waiter) -> None:
    """Occupies the slot that is free first with a waiting request."""
    heapq.heapreplace(free_after_ms, free_after_ms[0] + waiter.expected_run_ms)


def _objective_ms(req: request.Request) -> int:
    return req.objective_ms or DEFAULT_OBJECTIVE_MS


def _is_late(req: request.Request, expected_run_ms: float, now_ns: int) -> bool:
    """Returns whether an answer can no longer be within the objective.

    A request with little time left does not count as late: it may be a nested
    call of a target that holds a slot meanwhile.
    """
    objective_ms = _objective_ms(req)
    remaining_ms = (req.deadline_ns - now_ns) / NS_PER_MS
    return (
        req.waited_ms + expected_run_ms > objective_ms
        and req.waited_ms > 0
        and remaining_ms > LATE_REMAINING_FACTOR * objective_ms
    )


def _latest_start_ns(
    req: request.Request, expected_run_ms: float, now_ns: int, *, late: bool
) -> int:
    """Returns the time after which a request is not worth starting."""
    by_deadline_ns = req.deadline_ns - int(expected_run_ms * NS_PER_MS)
    wait_ms = (_objective_ms(req) - expected_run_ms) * WAIT_SHARE
    if not late:
        wait_ms -= req.waited_ms * WAIT_SHARE
    wait_ms = max(MIN_WAIT_MS, wait_ms)
    return min(now_ns + int(wait_ms * NS_PER_MS), by_deadline_ns)
