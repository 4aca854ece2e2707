"""Latency of short requests next to requests that run 50 times longer.

One request in a hundred runs 50 times longer. The load uses 70% of the slots,
to which the bound applies, or 90%, which shows the effect of the share for
long work. Compares the p99 of short requests with that of the same short
requests alone. Runs in one process with simulated targets, see bench/load.py.
The baselines are the same load without a share for long work, and round robin
with unbounded FIFO queues.
"""

import dataclasses
import random
from collections.abc import Iterator

from bench import load
from bench import result
from primrosecross.domain.operators import plan

SEED = 12
TARGETS = 4
SLOTS = 16
SHORT_MS = 10.0
LONG_FACTOR = 50
LONG_ONE_IN = 100
UTILIZATION = 0.7
HIGH_UTILIZATION = 0.9
DURATION_S = 7.0
MEASURED_FROM_S = 2.0
DEADLINE_MS = 5000
MAX_P99_RATIO = 1.5
POLICY = plan.WaitingPolicy(max_wait_ms=50)


def _make_requests(utilization: float) -> list[load.Request]:
    rng = random.Random(SEED)
    mean_ms = SHORT_MS * (1 + (LONG_FACTOR - 1) / LONG_ONE_IN)
    rate_per_s = utilization * TARGETS * SLOTS * 1000 / mean_ms
    requests = []
    for at_s in load.arrivals(rng, lambda _: rate_per_s, DURATION_S):
        long = rng.randrange(LONG_ONE_IN) == 0
        factor = LONG_FACTOR if long else 1
        service_ms = factor * rng.uniform(0.5, 1.5) * SHORT_MS
        requests.append(load.Request(at_s, service_ms, long))
    return requests


def _gated(share: float) -> load.GatedTargets:
    long_work = plan.LongWork(share=share, after_ms=10 * DEADLINE_MS)
    return load.GatedTargets(
        load.service(POLICY, long_work=long_work),
        targets=TARGETS,
        slots=SLOTS,
        deadline_ms=DEADLINE_MS,
    )


def _short_p99_ms(completions: list[load.Completion]) -> float:
    latencies_ms = [
        completion.latency_ms
        for completion in completions
        if completion.answered
        and not completion.request.long
        and completion.request.arrival_s >= MEASURED_FROM_S
    ]
    return load.percentile(latencies_ms, 0.99)


def _refused_share(completions: list[load.Completion], *, long: bool) -> float:
    """Returns the share of the short or long requests that were refused."""
    answered_flags = [
        completion.answered
        for completion in completions
        if completion.request.long == long
    ]
    return 1 - sum(answered_flags) / max(1, len(answered_flags))


def run() -> Iterator[result.Result]:
    """Yields the p99 ratio of short requests at both utilizations."""
    yield from _measure(UTILIZATION, bound=MAX_P99_RATIO)
    yield from _measure(HIGH_UTILIZATION, bound=None)


def _measure(
    utilization: float, *, bound: float | None
) -> Iterator[result.Result]:
    requests = _make_requests(utilization)
    percent = int(100 * utilization)
    note = f"{TARGETS}x{SLOTS} slots, {len(requests)} requests, seed {SEED}"
    short_requests = [item for item in requests if not item.long]
    alone_p99_ms = _short_p99_ms(
        load.run_open_loop(short_requests, _gated(0.5).handle)
    )
    yield result.Result(f"stragglers_{percent}_p99_alone", alone_p99_ms, "ms")
    completions = load.run_open_loop(requests, _gated(0.5).handle)
    ratio = _short_p99_ms(completions) / alone_p99_ms
    met = bound is None or ratio <= bound
    yield result.Result(
        f"stragglers_{percent}_ratio", ratio, "times", bound, met, note
    )
    for long in (False, True):
        kind = "long" if long else "short"
        yield result.Result(
            f"stragglers_{percent}_refused_{kind}",
            _refused_share(completions, long=long),
            "share",
        )
    yield from _measure_baselines(requests, alone_p99_ms, percent)


def _measure_baselines(
    requests: list[load.Request], alone_p99_ms: float, percent: int
) -> Iterator[result.Result]:
    unmarked = [dataclasses.replace(item, long=False) for item in requests]
    requests_by_arrival = {item.arrival_s: item for item in requests}
    fifo_targets = load.UnboundedTargets(targets=TARGETS, slots=SLOTS)
    for name, handle in (
        ("no_share", _gated(1.0).handle),
        ("round_robin_fifo", fifo_targets.handle),
    ):
        completions = [
            dataclasses.replace(
                completion,
                request=requests_by_arrival[completion.request.arrival_s],
            )
            for completion in load.run_open_loop(unmarked, handle)
        ]
        yield result.Result(
            f"stragglers_{percent}_ratio_{name}",
            _short_p99_ms(completions) / alone_p99_ms,
            "times",
        )
        yield result.Result(
            f"stragglers_{percent}_refused_short_{name}",
            _refused_share(completions, long=False),
            "share",
        )
