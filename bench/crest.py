"""A fourfold step of demand within a second, for each policy.

Work takes 40 ms on average (exponential above 10 ms), the deadline is 250 ms.
Demand rises from 60% of capacity to 240% within the first second and stays
there; what comes after two seconds is measured. In one process over simulated
targets, see bench/load.py; the baseline, round robin with unbounded FIFO
queues, runs with the same arrivals in the same run.
"""

import random
from collections.abc import Iterator

from bench import load
from bench import result
from primrosecross.domain import plan

SEED = 11
TARGETS = 4
SLOTS = 16
MIN_SERVICE_MS = 10.0
MEAN_SERVICE_MS = 40.0
DEADLINE_MS = 250
CALM_SHARE = 0.6
STEP = 4
RISE_S = 1.0
SECONDS = 6.0
MEASURED_FROM_S = 2.0
GOODPUT_SHARE = 0.9
REFUSAL_MS = 50
POLICIES: dict[str, plan.Policy] = {
    "waiting": plan.WaitingPolicy(max_wait_ms=50),
    "crest": plan.CrestPolicy(max_queue=32),
}


def _rate(at_s: float) -> float:
    capacity = TARGETS * SLOTS * 1000 / MEAN_SERVICE_MS
    factor = 1 + (STEP - 1) * min(1.0, at_s / RISE_S)
    return capacity * CALM_SHARE * factor


def _works() -> list[load.Work]:
    rng = random.Random(SEED)
    spread_ms = MEAN_SERVICE_MS - MIN_SERVICE_MS
    return [
        load.Work(at_s, MIN_SERVICE_MS + rng.expovariate(1 / spread_ms))
        for at_s in load.arrivals(rng, _rate, SECONDS)
    ]


def _goodput(seen: list[load.Seen]) -> float:
    """Returns answers within deadline as a share of capacity."""
    capacity = TARGETS * SLOTS * 1000 / MEAN_SERVICE_MS
    good = sum(
        s.answered
        and s.took_ms <= DEADLINE_MS
        and s.work.at_s >= MEASURED_FROM_S
        for s in seen
    )
    return good / (capacity * (SECONDS - MEASURED_FROM_S))


def run() -> Iterator[result.Result]:
    """Yields goodput and time of refusals for each policy."""
    works = _works()
    note = f"{TARGETS}x{SLOTS} slots, {len(works)} requests, seed {SEED}"
    plain = load.UnboundedTargets(targets=TARGETS, slots=SLOTS)
    baseline = _goodput(load.play(works, plain.serve))
    yield result.Result(
        "crest_goodput_round_robin_fifo", baseline, "of capacity", note=note
    )
    for name, policy in POLICIES.items():
        gated = load.GatedTargets(
            load.service(policy),
            targets=TARGETS,
            slots=SLOTS,
            deadline_ms=DEADLINE_MS,
        )
        seen = load.play(works, gated.serve)
        yield from _results(name, seen, note)


def _results(
    name: str, seen: list[load.Seen], note: str
) -> Iterator[result.Result]:
    refused = [s.took_ms for s in seen if not s.answered]
    answered = [s.took_ms for s in seen if s.answered]
    yield result.at_least(
        f"crest_goodput_{name}",
        _goodput(seen),
        "of capacity",
        bound=GOODPUT_SHARE,
        note=note,
    )
    yield result.at_most(
        f"crest_refusal_p99_{name}",
        load.percentile(refused, 0.99),
        "ms",
        bound=REFUSAL_MS,
        note=f"{len(refused)} refused",
    )
    for share in (0.5, 0.99):
        yield result.Result(
            f"crest_answer_p{int(share * 100)}_{name}",
            load.percentile(answered, share),
            "ms",
        )
