"""Admission control of targets: concurrency limit, queues, long-work share."""

from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.operators import plan
from primrosecross.domain.requests import admission_queue
from primrosecross.domain.requests import limit as limit_module
from primrosecross.domain.requests import outcome
from primrosecross.ports import clock as clock_port

RETRY_AFTER_MS = 1000
LONG_MAX_WAIT_MS = 1000
MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 5000
REFUSALS_BEFORE_BACKOFF = 3
_FAILURES = frozenset({outcome.Reason.NO_TARGET, outcome.Reason.TARGET_CRASHED})


class Gate:
    """Admission control of one target.

    Long work holds at most its share of the limit and waits in a separate
    queue. A freed slot goes to short work first, unless no long work runs. A
    target that fails, or refuses repeatedly, gets no requests during a backoff
    and is then probed with one request.

    Args:
        service: The target's service.
        slots: Concurrent requests that the target announced.
        clock: Clock that deadlines refer to.
    """

    def __init__(
        self, *, service: plan.Service, slots: int, clock: clock_port.Clock
    ) -> None:
        self._service = service
        self._clock = clock
        self.limit = limit_module.AdaptiveLimit(slots=slots)
        self._short_queue = admission_queue.queue_for(service.policy)
        self._long_queue = admission_queue.FifoQueue(
            max_wait_ms=LONG_MAX_WAIT_MS, max_queue=slots
        )
        self._permits: set[admission_queue.Permit] = set()
        self._refusals = 0
        self._backoffs = 0
        self._backoff_until_ns = 0

    @property
    def utilization(self) -> float:
        """Running and queued requests as a share of the limit."""
        queued = len(self._short_queue) + len(self._long_queue)
        return (len(self._permits) + queued) / self.limit.value

    def update(self, service: plan.Service, slots: int) -> None:
        """Applies the plan and the announcement in force."""
        if slots != self.limit.slots:
            self.limit.set_slots(slots)
        if service.policy != self._service.policy:
            self._change_queue(service.policy)
        self._service = service

    def _change_queue(self, policy: plan.Policy) -> None:
        waiters = self._short_queue.drain()
        self._short_queue = admission_queue.queue_for(policy)
        for waiter in waiters:
            if not self._short_queue.enqueue(waiter, expected_wait_ms=0):
                waiter.refuse()

    def acquire(
        self, *, long: bool, deadline_ns: int
    ) -> admission_queue.Permit | outcome.NotRun:
        """Waits for a permit; refuses a request that would wait too long."""
        now_ns = self._clock.now_ns()
        if now_ns < self._backoff_until_ns:
            return outcome.NotRun(
                outcome.Reason.NO_TARGET,
                "the target failed or refused repeatedly and is in backoff",
                _to_ms(self._backoff_until_ns - now_ns) + 1,
            )
        if self._backoffs:  # Admits one request as a probe.
            self._back_off()
        queue = self._long_queue if long else self._short_queue
        if not len(queue) and self._has_free_slot(long):
            return self._grant(long)
        return self._wait(queue, long, now_ns, deadline_ns)

    def _has_free_slot(self, long: bool) -> bool:
        if len(self._permits) >= self.limit.value:
            return False
        return not long or self._long_running() < self._long_limit()

    def _long_limit(self) -> int:
        return max(1, int(self.limit.value * self._service.long_work.share))

    def _long_running(self) -> int:
        """Counts long work, including requests that turned out to be long."""
        started_before_ns = self._clock.now_ns() - (
            self._service.long_work.after_ms * lease_module.NS_PER_MS
        )
        return sum(
            p.long or p.started_ns < started_before_ns for p in self._permits
        )

    def _grant(self, long: bool) -> admission_queue.Permit:
        permit = admission_queue.Permit(long, self._clock.now_ns())
        self._permits.add(permit)
        return permit

    def _wait(
        self,
        queue: admission_queue.Queue,
        long: bool,
        now_ns: int,
        deadline_ns: int,
    ) -> admission_queue.Permit | outcome.NotRun:
        median_ms = 0.0 if long else self.limit.median_ms
        expected_wait_ms = (len(queue) + 1) * median_ms / self.limit.value
        remaining_ms = _to_ms(deadline_ns - now_ns) - median_ms
        if remaining_ms < expected_wait_ms:
            return _overloaded("the answer would miss the deadline")
        waiter = admission_queue.Waiter(now_ns)
        if not queue.enqueue(waiter, expected_wait_ms=expected_wait_ms):
            return _overloaded(
                "the queue is full or the expected wait is too long"
            )
        try:
            waiter.decided.wait(min(remaining_ms, queue.max_wait_ms) / 1000)
        except BaseException:
            if waiter.permit is not None:
                self._free_permit(waiter.permit)
            raise
        finally:
            queue.remove(waiter)
        return waiter.permit or _overloaded("no slot became free in time")

    def release(
        self, permit: admission_queue.Permit, result: outcome.Outcome
    ) -> None:
        """Returns a permit and records the outcome of its request."""
        if permit not in self._permits:
            return
        duration_ms = (
            self._clock.now_ns() - permit.started_ns
        ) / lease_module.NS_PER_MS
        if isinstance(result, outcome.Answered):
            self._refusals = self._backoffs = self._backoff_until_ns = 0
            if not permit.long:
                self.limit.record_answer(
                    duration_ms, in_flight=len(self._permits)
                )
        else:
            self._record_failure(result)
        self._free_permit(permit)

    def _record_failure(self, result: outcome.NotRun | outcome.Unknown) -> None:
        if result.reason is outcome.Reason.TARGET_REFUSED:
            self._refusals += 1
            self.limit.record_refusal()
            if self._refusals >= REFUSALS_BEFORE_BACKOFF:
                self._back_off()
        elif result.reason in _FAILURES:
            self.limit.reset()
            self._back_off()

    def _back_off(self) -> None:
        """Starts a backoff, which doubles until the target answers."""
        now_ns = self._clock.now_ns()
        if now_ns < self._backoff_until_ns:
            return
        backoff_ms = min(
            MAX_BACKOFF_MS, MIN_BACKOFF_MS << min(self._backoffs, 10)
        )
        self._backoffs += 1
        self._backoff_until_ns = now_ns + backoff_ms * lease_module.NS_PER_MS

    def _free_permit(self, permit: admission_queue.Permit) -> None:
        self._permits.discard(permit)
        while self._admit_next():
            pass

    def _admit_next(self) -> bool:
        """Grants a free slot to the next queued request, if there is one."""
        long_ready = bool(len(self._long_queue)) and self._has_free_slot(True)
        if long_ready and (
            not len(self._short_queue) or not self._long_running()
        ):
            return self._admit(self._long_queue, long=True)
        if len(self._short_queue) and self._has_free_slot(False):
            return self._admit(self._short_queue, long=False)
        return False

    def _admit(self, queue: admission_queue.Queue, *, long: bool) -> bool:
        waiter = queue.dequeue(self._clock.now_ns())
        if waiter is None:
            return False
        if not waiter.decided.is_set():
            waiter.admit(self._grant(long))
        return True


def _to_ms(duration_ns: int) -> int:
    return duration_ns // lease_module.NS_PER_MS


def _overloaded(detail: str) -> outcome.NotRun:
    return outcome.NotRun(outcome.Reason.OVERLOADED, detail, RETRY_AFTER_MS)


class Admission:
    """Admission gates of all targets on this VM.

    Args:
        clock: Clock that deadlines refer to.
    """

    def __init__(self, *, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._gates: dict[str, Gate] = {}

    def gate(self, service: plan.Service, address: str, slots: int) -> Gate:
        """Returns the gate of a target, creating it on first use."""
        gate = self._gates.get(address)
        if gate is None:
            gate = Gate(service=service, slots=slots, clock=self._clock)
            self._gates[address] = gate
        gate.update(service, slots)
        return gate
