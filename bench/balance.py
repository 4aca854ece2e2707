"""Imbalance, churn and moves under a changing hot set, against plain hashing.

The load consists of the expected rates of Zipf-distributed keys; a key is
capped at MAX_KEY_SHARE of the mean load of a server. Owners report rates as
the meter does, and moves finish by the next step.
"""

import collections
import dataclasses
import random
import statistics
from collections.abc import Iterator

import xxhash

from bench import result
from primrosecross.domain.membership import member_messages
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import balance
from primrosecross.domain.ownership import decisions

SERVICE = "rezervace"
SEED = 4
KEYS = 40_000
ZIPF_EXPONENT = 0.9
HOT_KEYS = 12
MAX_KEY_SHARE = 0.9
STEP_S = 1
STEPS = 240
HOT_SET_PERIOD_STEPS = 60
SETTLE_STEPS = 15
MEMBERS_AND_PARTITIONS = ((8, 512), (62, 4096))
RATE_PER_MEMBER = 10_000
MAX_IMBALANCE = 1.15
MAX_CHURN = 1.2


@dataclasses.dataclass(slots=True)
class SimulatedClock:
    """Clock of the simulation; advances only in sleep()."""

    time_ns: int = 0

    def now_ns(self) -> int:
        """Returns the simulated time."""
        return self.time_ns

    def wall_ms(self) -> int:
        """Returns the simulated time."""
        return self.time_ns // 1_000_000

    def sleep(self, duration_ms: float) -> None:
        """Advances the simulated time."""
        self.time_ns += int(duration_ms * 1_000_000)


class Traffic:
    """Rates of keys with a hot set that changes.

    Args:
        members: Number of servers that share the load.
        rng: Seeded source of randomness.
    """

    def __init__(self, *, members: int, rng: random.Random) -> None:
        weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(KEYS)]
        max_weight = MAX_KEY_SHARE * sum(weights) / members
        weights = [min(weight, max_weight) for weight in weights]
        scale = RATE_PER_MEMBER * members / sum(weights)
        self.rates = [weight * scale for weight in weights]
        self.names = [f"booking-{number}" for number in range(KEYS)]
        self.hashes = [assignment.hash_key(SERVICE, n) for n in self.names]
        self._rng = rng
        self._hot = list(range(HOT_KEYS))

    def change_hot_set(self) -> None:
        """Swaps the rates of the hot keys with those of random other keys."""
        new_hot = self._rng.sample(range(HOT_KEYS, KEYS), HOT_KEYS)
        for number, hot in enumerate(self._hot):
            new_key = new_hot[number]
            rates = self.rates
            rates[hot], rates[new_key] = rates[new_key], rates[hot]
        self._hot = new_hot


class Cluster:
    """Members, owner table and the balancer under test.

    Args:
        members: Number of members.
        partitions: Number of partitions.
    """

    def __init__(self, *, members: int, partitions: int) -> None:
        self.clock = SimulatedClock()
        self.balancer = balance.Balancer(clock=self.clock)
        self.service = plan.Service(
            name=SERVICE,
            keyed=True,
            key_pattern=".*",
            partitions=partitions,
            timeout_ms=5000,
            max_body_bytes=1000,
            idempotent_methods=frozenset(),
            policy=plan.WaitingPolicy(max_wait_ms=50),
        )
        self.current = assignment.Assignment(version=1)
        for number in range(members):
            self.add_member(number)
        self.moved = 0

    def add_member(self, number: int) -> None:
        """Adds a member without shards."""
        member = assignment.Member(
            vm=f"vm-{number:04d}",
            place=f"place-{number % 6}",
            region=f"region-{number % 2}",
            peer_address=f"10.0.{number // 256}.{number % 256}:7000",
            incarnation=xxhash.xxh3_128_hexdigest(f"{number}".encode()),
            epoch=1,
            witnesses=(),
            offers=(assignment.Offer(SERVICE, 16, True),),
        )
        self.current.members[member.vm] = member

    @property
    def table(self) -> assignment.OwnerTable:
        """Returns the owner table of the service."""
        return self.current.tables[SERVICE]

    def step(self) -> int:
        """Runs one decision and finishes its moves; returns their number."""
        self.clock.sleep(STEP_S * 1000)
        draft = self.current.copy()
        draft.version += 1
        self.balancer.assign(self.service, draft)
        self.current = draft
        finished_moves = list(self.table.moves.items())
        for shard, vm in finished_moves:
            self.table.set_owner(shard, vm, draft.version)
        self.moved += len(finished_moves)
        return len(finished_moves)

    def report_loads(self, traffic: Traffic) -> collections.Counter:
        """Reports the rates of all shards; returns the rate of each member."""
        rates: collections.Counter[int] = collections.Counter()
        table = self.table
        hot_rate = self.balancer.hot_rate(SERVICE)
        hot: dict[int, float] = {}
        for key_hash, rate in zip(traffic.hashes, traffic.rates, strict=True):
            shard = table.shard_of_hash(key_hash)
            rates[shard] += rate
            if rate >= hot_rate and not shard & assignment.KEY_SHARD_BIT:
                hot[key_hash | assignment.KEY_SHARD_BIT] = rate
        loads: collections.Counter[str] = collections.Counter()
        reports: dict[str, dict[int, float]] = {}
        for shard in [*range(table.partitions), *table.key_grants]:
            vm = table.grant_of(shard).vm
            loads[vm] += rates[shard]
            reports.setdefault(vm, {})[shard] = rates[shard]
        for shard, rate in hot.items():
            vm = table.grant_of(table.parent_partition(shard)).vm
            reports[vm][shard] = rate
        for vm, shard_rates in reports.items():
            self._report(vm, shard_rates)
        return loads

    def _report(self, vm: str, shard_rates: dict[int, float]) -> None:
        report = member_messages.LoadReport(
            vm=vm,
            epoch=1,
            service=SERVICE,
            shards=tuple(shard_rates),
            rates=tuple(round(rate) for rate in shard_rates.values()),
        )
        self.balancer.record_report(report, self.current)

    def owners(self, traffic: Traffic) -> list[str]:
        """Returns the owner of each key."""
        table = self.table
        return [
            table.grant_of(table.shard_of_hash(key_hash)).vm
            for key_hash in traffic.hashes
        ]


def imbalance(loads: collections.Counter, members: int) -> float:
    """Returns the ratio of the largest load to the mean load."""
    return max(loads.values()) * members / sum(loads.values())


def static_loads(traffic: Traffic, owners: list[int]) -> collections.Counter:
    """Returns the rate of each member for a fixed assignment of keys."""
    loads: collections.Counter[int] = collections.Counter()
    for owner, rate in zip(owners, traffic.rates, strict=True):
        loads[owner] += rate
    return loads


def rendezvous_owner(key_hash: int, members: int) -> int:
    """Returns the member that rendezvous hashing selects for a key."""
    data = key_hash.to_bytes(8, "little")
    return max(
        range(members),
        key=lambda member: xxhash.xxh3_64_intdigest(data, seed=member),
    )


def run() -> Iterator[result.Result]:
    """Yields the results for each size."""
    for members, partitions in MEMBERS_AND_PARTITIONS:
        rng = random.Random(SEED)
        note = f"{members} members, {partitions} partitions, seed {SEED}"
        traffic = Traffic(members=members, rng=rng)
        cluster = Cluster(members=members, partitions=partitions)
        yield from _measure_moving_hot_set(cluster, traffic, members, note)
        yield from _measure_churn(cluster, traffic, members, note)


def _measure_moving_hot_set(
    cluster: Cluster, traffic: Traffic, members: int, note: str
) -> Iterator[result.Result]:
    modulo_owners = [key_hash % members for key_hash in traffic.hashes]
    rendezvous_owners = [
        rendezvous_owner(key_hash, members) for key_hash in traffic.hashes
    ]
    cluster.step()
    imbalances: list[float] = []
    settled_imbalances: list[float] = []
    static_imbalances: list[tuple[float, float]] = []
    for step in range(STEPS):
        if step % HOT_SET_PERIOD_STEPS == 0:
            traffic.change_hot_set()
            static_imbalances.append(
                (
                    imbalance(static_loads(traffic, modulo_owners), members),
                    imbalance(
                        static_loads(traffic, rendezvous_owners), members
                    ),
                )
            )
        current_imbalance = imbalance(cluster.report_loads(traffic), members)
        imbalances.append(current_imbalance)
        if step % HOT_SET_PERIOD_STEPS >= SETTLE_STEPS:
            settled_imbalances.append(current_imbalance)
        cluster.step()
        if step == HOT_SET_PERIOD_STEPS:
            cluster.moved = 0
    p99 = statistics.quantiles(settled_imbalances, n=100)[98]
    yield result.at_most(
        "imbalance p99, from 15 s after a change of the hot set",
        p99,
        "max/mean",
        bound=MAX_IMBALANCE,
        note=note,
    )
    yield result.Result(
        "imbalance, mean over all time",
        statistics.mean(imbalances),
        "max/mean",
        note=note,
    )
    minutes = (STEPS - HOT_SET_PERIOD_STEPS) * STEP_S / 60
    yield result.Result(
        "shards moved", cluster.moved / minutes, "1/min", note=note
    )
    for number, name in enumerate(("hash mod n", "rendezvous")):
        mean_imbalance = statistics.mean(
            pair[number] for pair in static_imbalances
        )
        yield result.Result(
            f"imbalance of {name}", mean_imbalance, "max/mean", note=note
        )


def _measure_churn(
    cluster: Cluster, traffic: Traffic, members: int, note: str
) -> Iterator[result.Result]:
    _rebalance(cluster, traffic)
    owners_before = cluster.owners(traffic)
    cluster.add_member(members)
    _rebalance(cluster, traffic)
    owners_after_join = cluster.owners(traffic)
    moved_keys = _changed_share(owners_before, owners_after_join) * (
        members + 1
    )
    yield result.at_most(
        "keys moved when one joins",
        moved_keys,
        "1/n",
        bound=MAX_CHURN,
        note=note,
    )
    draft = decisions.Draft(cluster.current.copy())
    draft.assignment.version += 1
    decisions.apply(decisions.LeaseLapsed("vm-0003", 1), draft)
    cluster.current = draft.assignment
    cluster.step()
    moved_keys = _changed_share(owners_after_join, cluster.owners(traffic)) * (
        members + 1
    )
    yield result.at_most(
        "keys moved when one is lost",
        moved_keys,
        "1/n",
        bound=MAX_CHURN,
        note=note,
    )
    modulo_moved = [
        key_hash % members != key_hash % (members + 1)
        for key_hash in traffic.hashes
    ]
    yield result.Result(
        "keys moved by hash mod n when one joins",
        statistics.mean(modulo_moved) * (members + 1),
        "1/n",
        note=note,
    )


def _rebalance(cluster: Cluster, traffic: Traffic) -> None:
    for _ in range(40):
        cluster.report_loads(traffic)
        cluster.step()


def _changed_share(old_owners: list[str], new_owners: list[str]) -> float:
    pairs = zip(old_owners, new_owners, strict=True)
    return statistics.mean(
        owner_before != owner_after for owner_before, owner_after in pairs
    )
