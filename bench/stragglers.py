"""Short requests beside work that runs 50 times longer.

One request in a hundred runs 50 times longer; together they use 70% of the
slots, which the bound is for, or 90%, which shows what the share is worth.
The p99 of short requests is compared with the same short requests alone. In
one process over simulated targets, see bench/load.py; the baselines are the
same load without a share for long work, and round robin with unbounded FIFO
queues.
"""

import dataclasses
import random
from collections.abc import Iterator

from bench import load
from bench import result
from primrosecross.domain import plan

SEED = 12
TARGETS = 4
SLOTS = 16
SHORT_MS = 10.0
LONG_FACTOR = 50
LONG_ONE_IN = 100
UTILISATION = 0.7
HIGH_UTILISATION = 0.9
SECONDS = 7.0
MEASURED_FROM_S = 2.0
DEADLINE_MS = 5000
RATIO = 1.5
POLICY = plan.WaitingPolicy(max_wait_ms=50)


def _works(utilisation: float) -> list[load.Work]:
    rng = random.Random(SEED)
    mean_ms = SHORT_MS * (1 + (LONG_FACTOR - 1) / LONG_ONE_IN)
    rate = utilisation * TARGETS * SLOTS * 1000 / mean_ms
    works = []
    for at_s in load.arrivals(rng, lambda _: rate, SECONDS):
        long = rng.randrange(LONG_ONE_IN) == 0
        factor = LONG_FACTOR if long else 1
        service_ms = factor * rng.uniform(0.5, 1.5) * SHORT_MS
        works.append(load.Work(at_s, service_ms, long))
    return works


def _gated(share: float) -> load.GatedTargets:
    long_work = plan.LongWork(share=share, after_ms=10 * DEADLINE_MS)
    return load.GatedTargets(
        load.service(POLICY, long_work=long_work),
        targets=TARGETS,
        slots=SLOTS,
        deadline_ms=DEADLINE_MS,
    )


def _p99_short(seen: list[load.Seen]) -> float:
    took = [
        s.took_ms
        for s in seen
        if s.answered and not s.work.long and s.work.at_s >= MEASURED_FROM_S
    ]
    return load.percentile(took, 0.99)


def _refused(seen: list[load.Seen], *, long: bool) -> float:
    """Returns the share of short or long requests that were refused."""
    mine = [s.answered for s in seen if s.work.long == long]
    return 1 - sum(mine) / max(1, len(mine))


def run() -> Iterator[result.Result]:
    """Yields p99 of short requests with and without long work."""
    yield from _at(UTILISATION, bound=RATIO)
    yield from _at(HIGH_UTILISATION, bound=None)


def _at(utilisation: float, *, bound: float | None) -> Iterator[result.Result]:
    works = _works(utilisation)
    percent = int(100 * utilisation)
    note = f"{TARGETS}x{SLOTS} slots, {len(works)} requests, seed {SEED}"
    shorts = [w for w in works if not w.long]
    alone = _p99_short(load.play(shorts, _gated(0.5).serve))
    yield result.Result(f"stragglers_{percent}_p99_alone", alone, "ms")
    seen = load.play(works, _gated(0.5).serve)
    ratio = _p99_short(seen) / alone
    met = bound is None or ratio <= bound
    yield result.Result(
        f"stragglers_{percent}_ratio", ratio, "times", bound, met, note
    )
    for long in (False, True):
        kind = "long" if long else "short"
        yield result.Result(
            f"stragglers_{percent}_refused_{kind}",
            _refused(seen, long=long),
            "share",
        )
    yield from _baselines(works, alone, percent)


def _baselines(
    works: list[load.Work], alone: float, percent: int
) -> Iterator[result.Result]:
    unmarked = [dataclasses.replace(w, long=False) for w in works]
    by_time = {w.at_s: w for w in works}
    plain = load.UnboundedTargets(targets=TARGETS, slots=SLOTS)
    for name, serve in (
        ("no_share", _gated(1.0).serve),
        ("round_robin_fifo", plain.serve),
    ):
        seen = [
            dataclasses.replace(s, work=by_time[s.work.at_s])
            for s in load.play(unmarked, serve)
        ]
        yield result.Result(
            f"stragglers_{percent}_ratio_{name}",
            _p99_short(seen) / alone,
            "times",
        )
        yield result.Result(
            f"stragglers_{percent}_refused_short_{name}",
            _refused(seen, long=False),
            "share",
        )
