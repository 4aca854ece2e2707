"""Admission queues of a target, selected by the service's policy.

WaitingPolicy queues first in, first out, and refuses on arrival requests whose
expected wait exceeds the limit. CrestPolicy switches to last in, first out
while its queue does not drain, like Facebook's adaptive LIFO. Under overload
the slots then go to requests that can still meet their deadlines. The oldest
request is refused when the queue is full.
"""

import abc
import collections
import dataclasses
import functools

from gevent import event as gevent_event

from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.operators import plan

OVERLOADED_AFTER_MS = 100  # time without an empty queue
REFUSAL_MARGIN_MS = 10  # between the last refusal and the maximum wait


@dataclasses.dataclass(eq=False, slots=True)
class Permit:
    """Right of a request to use a slot.

    Attributes:
        long: Whether the request counts as long work.
        started_ns: Time at which the slot was granted.
    """

    long: bool
    started_ns: int


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A queued request.

    Attributes:
        queued_ns: Time at which it was queued.
        permit: Its permit, None while it waits or if refused.
        decided: Set when the request is admitted or refused.
    """

    queued_ns: int
    permit: Permit | None = None
    decided: gevent_event.Event = dataclasses.field(
        default_factory=gevent_event.Event
    )

    def admit(self, permit: Permit) -> None:
        """Admits the request."""
        self.permit = permit
        self.decided.set()

    def refuse(self) -> None:
        """Refuses the request."""
        self.decided.set()


class Queue(abc.ABC):
    """Requests that wait for a slot.

    Args:
        max_wait_ms: Maximum time until a request is admitted or refused.
    """

    def __init__(self, *, max_wait_ms: int) -> None:
        margin_ms = min(REFUSAL_MARGIN_MS, max_wait_ms // 2)
        self.max_wait_ms = max_wait_ms - margin_ms
        self._waiters: collections.deque[Waiter] = collections.deque()

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._waiters)

    @abc.abstractmethod
    def enqueue(self, waiter: Waiter, *, expected_wait_ms: float) -> bool:
        """Queues a request; returns False to refuse it.

        Args:
            waiter: The request.
            expected_wait_ms: Expected wait of the request.
        """

    @abc.abstractmethod
    def dequeue(self, now_ns: int) -> Waiter | None:
        """Removes and returns the next request."""

    def remove(self, waiter: Waiter) -> None:
        """Removes a request that was cancelled or timed out."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def drain(self) -> list[Waiter]:
        """Removes and returns all requests."""
        waiters = list(self._waiters)
        self._waiters.clear()
        return waiters


class FifoQueue(Queue):
    """First in, first out; refuses on arrival if the wait would be too long.

    Args:
        max_wait_ms: Maximum time until a request is admitted or refused.
        max_queue: Maximum number of queued requests, None for no limit.
    """

    def __init__(
        self, *, max_wait_ms: int, max_queue: int | None = None
    ) -> None:
        super().__init__(max_wait_ms=max_wait_ms)
        self._max_queue = max_queue

    def enqueue(self, waiter: Waiter, *, expected_wait_ms: float) -> bool:
        """Queues a request; returns False to refuse it."""
        full = self._max_queue is not None and len(self) >= self._max_queue
        if full or expected_wait_ms > self.max_wait_ms:
            return False
        self._waiters.append(waiter)
        return True

    def dequeue(self, now_ns: int) -> Waiter | None:
        """Removes and returns the oldest request."""
        return self._waiters.popleft() if self._waiters else None


class AdaptiveLifoQueue(Queue):
    """Last in, first out while overloaded; the oldest is refused when full.

    Args:
        max_wait_ms: Maximum time until a request is admitted or refused.
        max_queue: Maximum number of queued requests.
    """

    def __init__(self, *, max_wait_ms: int, max_queue: int) -> None:
        super().__init__(max_wait_ms=max_wait_ms)
        self._max_queue = max_queue
        self._nonempty_since_ns: int | None = None

    def enqueue(self, waiter: Waiter, *, expected_wait_ms: float) -> bool:
        """Queues a request; returns False to refuse it."""
        if not self._max_queue:
            return False
        if not self._waiters:
            self._nonempty_since_ns = waiter.queued_ns
        if len(self._waiters) >= self._max_queue:
            self._waiters.popleft().refuse()
        self._waiters.append(waiter)
        return True

    def dequeue(self, now_ns: int) -> Waiter | None:
        """Removes the newest request while overloaded, else the oldest."""
        if not self._waiters:
            return None
        nonempty_ns = now_ns - (self._nonempty_since_ns or now_ns)
        if nonempty_ns > OVERLOADED_AFTER_MS * lease_module.NS_PER_MS:
            return self._waiters.pop()
        return self._waiters.popleft()


@functools.singledispatch
def queue_for(policy: plan.Policy) -> Queue:
    """Returns an empty queue for a policy."""
    raise TypeError(f"no queue for {type(policy).__name__}")


@queue_for.register
def _(policy: plan.WaitingPolicy) -> Queue:
    return FifoQueue(max_wait_ms=policy.max_wait_ms)


@queue_for.register
def _(policy: plan.CrestPolicy) -> Queue:
    return AdaptiveLifoQueue(
        max_wait_ms=policy.max_wait_ms, max_queue=policy.max_queue
    )
