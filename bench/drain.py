"""Which member to empty first: the least occupied, or the youngest work.

The least occupied is the cordoning rule of Mandel, "Scaling Dedicated Game
Servers with Kubernetes: Part 4 - Scaling Down". Shards move away within a
round trip, so what keeps a member from being empty is its running requests.
"""

import random
import statistics
from collections.abc import Callable
from collections.abc import Iterator

from bench import result

SEED = 9
MEMBERS = 62
TRIALS = 2000
MEAN_RUNNING = 8
SHORT_S = 0.05
LONG_SHARE = 0.25
LONG_LEAST_S = 2.0
LONG_SHAPE = 1.5
OLD_S = 1.0

Work = list[tuple[float, float]]


def _work(rng: random.Random) -> Work:
    """Returns elapsed and remaining seconds of one member's requests.

    LONG_SHARE is the share of running requests, not of arrivals.
    """
    work = []
    for _ in range(rng.randint(1, 2 * MEAN_RUNNING - 1)):
        if rng.random() < LONG_SHARE:
            total_s = LONG_LEAST_S * rng.paretovariate(LONG_SHAPE)
        else:
            total_s = rng.expovariate(1 / SHORT_S)
        elapsed_s = rng.random() * total_s
        work.append((elapsed_s, total_s - elapsed_s))
    return work


def _random(work: Work) -> float:
    del work
    return random.random()


def _least_occupied(work: Work) -> float:
    return len(work)


def _youngest(work: Work) -> float:
    """Returns the age of the oldest request: long ones go on longest."""
    return max(elapsed_s for elapsed_s, _ in work)


def _fewest_old(work: Work) -> float:
    old = sum(elapsed_s > OLD_S for elapsed_s, _ in work)
    return old + len(work) / 1000


RULES: dict[str, Callable[[Work], float]] = {
    "any": _random,
    "least occupied": _least_occupied,
    "youngest oldest request": _youngest,
    "fewest old requests": _fewest_old,
}


def run() -> Iterator[result.Result]:
    """Yields the time until the chosen member runs nothing, for each rule."""
    note = f"{MEMBERS} members, {TRIALS} trials, seed {SEED}"
    for name, rule in RULES.items():
        random.seed(SEED)
        rng = random.Random(SEED)
        times = []
        for _ in range(TRIALS):
            members = [_work(rng) for _ in range(MEMBERS)]
            chosen = min(members, key=rule)
            times.append(max(left_s for _, left_s in chosen))
        worst = statistics.quantiles(times, n=100)[98]
        label = f"time to empty, {name} first"
        yield result.Result(
            f"{label}, mean", statistics.mean(times), "s", note=note
        )
        yield result.Result(f"{label}, p99", worst, "s", note=note)
