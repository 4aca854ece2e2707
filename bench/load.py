"""Open-loop load on admission control, in one process with simulated targets.

A target runs at most as many requests as it has slots; an admitted request
sleeps for its service time on the event loop. This measures the decisions of
admission control (queueing, refusals, order), not sockets or parsing.
"""

import dataclasses
import gc
import random
from collections.abc import Callable

import gevent
from gevent import lock
from gevent import pool

from primrosecross.adapters import boot_clock
from primrosecross.domain.membership import lease
from primrosecross.domain.operators import plan
from primrosecross.domain.requests import admission
from primrosecross.domain.requests import admission_queue
from primrosecross.domain.requests import outcome

ANSWERED = outcome.Answered(200, (), b"")


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of the workload.

    Attributes:
        arrival_s: Arrival time since the start of the run.
        service_ms: Service time.
        long: Whether it counts as long work.
    """

    arrival_s: float
    service_ms: float
    long: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """The result of one request.

    Attributes:
        request: The request.
        answered: Whether it was admitted and ran.
        latency_ms: Time from arrival to answer or refusal.
    """

    request: Request
    answered: bool
    latency_ms: float


Handler = Callable[[Request], bool]


def service(policy: plan.Policy, **fields: object) -> plan.Service:
    """Returns an unkeyed service with a policy.

    Args:
        policy: Admission policy.
        fields: Further fields of plan.Service that replace the defaults.
    """
    defaults = {
        "name": "s",
        "keyed": False,
        "key_pattern": "",
        "partitions": 1,
        "timeout_ms": 1000,
        "max_body_bytes": 0,
        "idempotent_methods": frozenset(),
    }
    return plan.Service(policy=policy, **(defaults | fields))


class GatedTargets:
    """Targets with admission control, selected round robin.

    Args:
        service_spec: The service.
        targets: Number of targets.
        slots: Slots of each target.
        deadline_ms: Deadline of each request.
    """

    def __init__(
        self,
        service_spec: plan.Service,
        *,
        targets: int,
        slots: int,
        deadline_ms: int,
    ) -> None:
        self._clock = boot_clock.BootClock()
        self._deadline_ms = deadline_ms
        self._target_index = 0
        self.gates = [
            admission.Gate(service=service_spec, slots=slots, clock=self._clock)
            for _ in range(targets)
        ]

    def handle(self, request: Request) -> bool:
        """Handles one request; returns whether it was admitted and ran."""
        self._target_index = (self._target_index + 1) % len(self.gates)
        gate = self.gates[self._target_index]
        deadline_ns = self._clock.now_ns() + self._deadline_ms * lease.NS_PER_MS
        ticket = gate.acquire(long=request.long, deadline_ns=deadline_ns)
        if not isinstance(ticket, admission_queue.Permit):
            return False
        gevent.sleep(request.service_ms / 1000)
        gate.release(ticket, ANSWERED)
        return True


class UnboundedTargets:
    """Targets selected round robin, each with an unbounded FIFO queue.

    Args:
        targets: Number of targets.
        slots: Slots of each target.
    """

    def __init__(self, *, targets: int, slots: int) -> None:
        self._target_index = 0
        self._slots = [lock.Semaphore(slots) for _ in range(targets)]

    def handle(self, request: Request) -> bool:
        """Handles one request, without a limit on its wait."""
        self._target_index = (self._target_index + 1) % len(self._slots)
        with self._slots[self._target_index]:
            gevent.sleep(request.service_ms / 1000)
        return True


def run_open_loop(requests: list[Request], handle: Handler) -> list[Completion]:
    """Issues requests at their arrival times; returns their results."""
    gc.collect()
    gc.freeze()  # full collections of the workload would stall the event loop
    clock = boot_clock.BootClock()
    completions: list[Completion] = []
    start_ns = clock.now_ns()

    def handle_one(request: Request) -> None:
        started_ns = clock.now_ns()
        answered = handle(request)
        latency_ms = (clock.now_ns() - started_ns) / lease.NS_PER_MS
        completions.append(Completion(request, answered, latency_ms))

    tasks = pool.Group()
    for request in requests:
        delay_s = request.arrival_s - (clock.now_ns() - start_ns) / 1e9
        if delay_s > 0:
            gevent.sleep(delay_s)
        tasks.spawn(handle_one, request)
    tasks.join()
    return completions


def arrivals(
    rng: random.Random, rate: Callable[[float], float], duration_s: float
) -> list[float]:
    """Returns the arrival times of a Poisson process with a varying rate.

    Args:
        rng: Source of randomness.
        rate: Arrivals per second at a time in seconds.
        duration_s: Length of the process.
    """
    times = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(max(rate(at_s), 1e-9))
        if at_s >= duration_s:
            return times
        times.append(at_s)


def percentile(values: list[float], quantile: float) -> float:
    """Returns the value at a quantile between 0 and 1; 0.0 without values."""
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(quantile * len(ranked)))]
