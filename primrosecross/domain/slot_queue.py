"""Who gets a target's slots, who waits, and who is refused at once.

Requests wait by urgency, then in order of arrival, and only while they can
still be answered within their objective. Those whose callers have waited so
long that no answer can be in time come after all others: at a crest the slots
would else go to callers who come back, and everybody would be late.
"""

import bisect
import dataclasses
import itertools

from gevent import event as gevent_event

from primrosecross.domain import outcome
from primrosecross.domain import request
from primrosecross.domain import run_times
from primrosecross.ports import clock as clock_port

NS_PER_MS = 1_000_000
WAIT_SHARE = 0.5  # of what the objective leaves beside the usual run time
MIN_WAIT_MS = 25
LATE_LEFT_FACTOR = 2.0  # of the objective; see _is_late
DEFAULT_OBJECTIVE_MS = 500
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 2000


@dataclasses.dataclass(eq=False, slots=True)
class Slot:
    """A slot held by a request.

    Attributes:
        since_ns: When it was given.
        usual_ms: What such a request usually takes.
    """

    since_ns: int
    usual_ms: float


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    rank: tuple[bool, int, int]
    usual_ms: float
    latest_ns: int
    decided: gevent_event.Event = dataclasses.field(
        default_factory=gevent_event.Event
    )
    slot: Slot | None = None


class SlotQueue:
    """Slots of one target.

    Args:
        clock: Clock that deadlines refer to.
        times: How long requests usually run here.
    """

    def __init__(
        self, *, clock: clock_port.Clock, times: run_times.RunTimes
    ) -> None:
        self._clock = clock
        self._times = times
        self._held: set[Slot] = set()
        self._waiters: list[_Waiter] = []
        self._arrivals = itertools.count()
        self.slots = 1

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiters)

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._held)

    def enter(self, req: request.Request) -> Slot | outcome.NotRun:
        """Waits for a slot; refuses what could only be answered late."""
        now_ns = self._clock.now_ns()
        usual_ms = self._times.usual_ms(req)
        if not self._waiters and len(self._held) < self.slots:
            return self._give(usual_ms, now_ns)
        late = _is_late(req, usual_ms, now_ns)
        latest_ns = _latest_start_ns(req, usual_ms, now_ns, late=late)
        rank = (late, req.priority, next(self._arrivals))
        waiter = _Waiter(rank, usual_ms, latest_ns)
        expected_ms = self._expected_ms(waiter, now_ns)
        if now_ns + expected_ms * NS_PER_MS > latest_ns:
            return self._refuse(expected_ms)
        bisect.insort(self._waiters, waiter, key=lambda w: w.rank)
        try:
            waiter.decided.wait((latest_ns - now_ns) / 1e9)
        except BaseException:
            if waiter.slot is not None:
                self.leave(waiter.slot)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        if waiter.slot is None:
            return self._refuse(expected_ms)
        return waiter.slot

    def _give(self, usual_ms: float, now_ns: int) -> Slot:
        slot = Slot(now_ns, usual_ms)
        self._held.add(slot)
        return slot

    def _expected_ms(self, waiter: _Waiter, now_ns: int) -> float:
        """Returns how long a request is likely to wait."""
        ahead_ms = sum(
            w.usual_ms for w in self._waiters if w.rank < waiter.rank
        )
        for slot in self._held:
            ran_ms = (now_ns - slot.since_ns) / NS_PER_MS
            ahead_ms += max(slot.usual_ms - ran_ms, slot.usual_ms / 4)
        free = max(0, self.slots - len(self._held))
        if free:
            return 0.0
        return ahead_ms / self.slots

    def _refuse(self, expected_ms: float) -> outcome.NotRun:
        retry_ms = min(
            MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, int(2 * expected_ms))
        )
        return outcome.NotRun(
            outcome.Reason.OVERLOADED,
            f"{len(self._held)} run and {len(self._waiters)} wait for "
            f"{self.slots} slots; it would be answered late",
            retry_ms,
        )

    def leave(self, slot: Slot) -> None:
        """Gives a slot back."""
        self._held.discard(slot)
        self._admit()

    def set_slots(self, slots: int) -> None:
        """Takes in how many requests the target runs at once."""
        self.slots = max(1, slots)
        self._admit()

    def forget_times(self, times: run_times.RunTimes) -> None:
        """Goes by other run times, as another life of the target runs."""
        self._times = times

    def _admit(self) -> None:
        now_ns = self._clock.now_ns()
        while self._waiters and len(self._held) < self.slots:
            waiter = self._waiters.pop(0)
            if waiter.latest_ns >= now_ns:
                waiter.slot = self._give(waiter.usual_ms, now_ns)
            waiter.decided.set()


def _objective_ms(req: request.Request) -> int:
    return req.objective_ms or DEFAULT_OBJECTIVE_MS


def _is_late(req: request.Request, usual_ms: float, now_ns: int) -> bool:
    """Tells whether an answer cannot be within the objective any more.

    A request with little time left counts as urgent: it may be a call of a
    target, which holds a slot meanwhile.
    """
    objective_ms = _objective_ms(req)
    left_ms = (req.deadline_ns - now_ns) / NS_PER_MS
    return (
        req.waited_ms + usual_ms > objective_ms
        and req.waited_ms > 0
        and left_ms > LATE_LEFT_FACTOR * objective_ms
    )


def _latest_start_ns(
    req: request.Request, usual_ms: float, now_ns: int, *, late: bool
) -> int:
    """Returns when a request must begin to be worth running."""
    by_deadline_ns = req.deadline_ns - int(usual_ms * NS_PER_MS)
    wait_ms = (_objective_ms(req) - usual_ms) * WAIT_SHARE
    if not late:
        wait_ms -= req.waited_ms * WAIT_SHARE
    wait_ms = max(MIN_WAIT_MS, wait_ms)
    return min(now_ns + int(wait_ms * NS_PER_MS), by_deadline_ns)
