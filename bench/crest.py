"""Goodput under a fourfold increase in load within a second, for each policy.

Service times average 40 ms (10 ms plus an exponential part); the deadline is
250 ms. The load rises from 60% to 240% of capacity within the first second and
stays there; requests that arrive after two seconds count. Runs in one process
with simulated targets, see bench/load.py. The baseline, round robin with
unbounded FIFO queues, gets the same arrivals in the same run.
"""

import random
from collections.abc import Iterator

from bench import load
from bench import result
from primrosecross.domain.operators import plan

SEED = 11
TARGETS = 4
SLOTS = 16
MIN_SERVICE_MS = 10.0
MEAN_SERVICE_MS = 40.0
DEADLINE_MS = 250
INITIAL_UTILIZATION = 0.6
RATE_FACTOR = 4
RAMP_S = 1.0
DURATION_S = 6.0
MEASURED_FROM_S = 2.0
MIN_GOODPUT = 0.9
MAX_REFUSAL_MS = 50
POLICIES: dict[str, plan.Policy] = {
    "waiting": plan.WaitingPolicy(max_wait_ms=50),
    "crest": plan.CrestPolicy(max_queue=32),
}


def _rate(at_s: float) -> float:
    capacity_per_s = TARGETS * SLOTS * 1000 / MEAN_SERVICE_MS
    factor = 1 + (RATE_FACTOR - 1) * min(1.0, at_s / RAMP_S)
    return capacity_per_s * INITIAL_UTILIZATION * factor


def _make_requests() -> list[load.Request]:
    rng = random.Random(SEED)
    excess_mean_ms = MEAN_SERVICE_MS - MIN_SERVICE_MS
    return [
        load.Request(at_s, MIN_SERVICE_MS + rng.expovariate(1 / excess_mean_ms))
        for at_s in load.arrivals(rng, _rate, DURATION_S)
    ]


def _goodput(completions: list[load.Completion]) -> float:
    """Returns answers within the deadline as a share of capacity."""
    capacity_per_s = TARGETS * SLOTS * 1000 / MEAN_SERVICE_MS
    in_time_count = sum(
        completion.answered
        and completion.latency_ms <= DEADLINE_MS
        and completion.request.arrival_s >= MEASURED_FROM_S
        for completion in completions
    )
    return in_time_count / (capacity_per_s * (DURATION_S - MEASURED_FROM_S))


def run() -> Iterator[result.Result]:
    """Yields goodput, refusal latency and answer latency for each policy."""
    requests = _make_requests()
    note = f"{TARGETS}x{SLOTS} slots, {len(requests)} requests, seed {SEED}"
    fifo_targets = load.UnboundedTargets(targets=TARGETS, slots=SLOTS)
    baseline_goodput = _goodput(
        load.run_open_loop(requests, fifo_targets.handle)
    )
    yield result.Result(
        "crest_goodput_round_robin_fifo",
        baseline_goodput,
        "of capacity",
        note=note,
    )
    for name, policy in POLICIES.items():
        gated_targets = load.GatedTargets(
            load.service(policy),
            targets=TARGETS,
            slots=SLOTS,
            deadline_ms=DEADLINE_MS,
        )
        completions = load.run_open_loop(requests, gated_targets.handle)
        yield from _results(name, completions, note)


def _results(
    name: str, completions: list[load.Completion], note: str
) -> Iterator[result.Result]:
    refused_ms = [
        completion.latency_ms
        for completion in completions
        if not completion.answered
    ]
    answered_ms = [
        completion.latency_ms
        for completion in completions
        if completion.answered
    ]
    yield result.at_least(
        f"crest_goodput_{name}",
        _goodput(completions),
        "of capacity",
        bound=MIN_GOODPUT,
        note=note,
    )
    yield result.at_most(
        f"crest_refusal_p99_{name}",
        load.percentile(refused_ms, 0.99),
        "ms",
        bound=MAX_REFUSAL_MS,
        note=f"{len(refused_ms)} refused",
    )
    for quantile in (0.5, 0.99):
        yield result.Result(
            f"crest_answer_p{int(quantile * 100)}_{name}",
            load.percentile(answered_ms, quantile),
            "ms",
        )
