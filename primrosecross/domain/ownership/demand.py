"""Load that owners reported to the coordinator."""

from collections.abc import Iterable

from primrosecross.domain.ownership import assignment

PRIOR_SHARE = 0.05  # of the mean partition rate
PRIOR_MEMBER_RATE = 100.0  # requests per second of a member's partitions


class Demand:
    """Request rates of one service's shards.

    A key that is not split from its partition yet may have a rate of its own;
    the partition's rate then includes it.
    """

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}

    def record(self, shard: int, rate: float) -> None:
        """Records a shard's rate, in requests per second."""
        self._rates[shard] = rate

    def rate_of(self, shard: int) -> float | None:
        """Returns a shard's rate, None if it was not reported."""
        return self._rates.get(shard)

    def forget(self, shard: int) -> None:
        """Drops the rate of a shard."""
        self._rates.pop(shard, None)

    def split_key(self, key_shard: int, partition: int) -> None:
        """Subtracts a key's rate from its partition's."""
        if partition in self._rates:
            remaining = self._rates[partition] - self._rates.get(key_shard, 0.0)
            self._rates[partition] = max(0.0, remaining)

    def merge_key(self, key_shard: int, partition: int) -> None:
        """Adds a key's rate to its partition's and drops the key."""
        rate = self._rates.pop(key_shard, 0.0)
        if partition in self._rates:
            self._rates[partition] += rate

    def hot_keys(self) -> list[int]:
        """Returns keys with a rate of their own, the hottest first."""
        keys = [s for s in self._rates if s & assignment.KEY_SHARD_BIT]
        return sorted(keys, key=self._rates.__getitem__, reverse=True)

    def partition_rates(self) -> list[float]:
        """Returns the reported rates of partitions."""
        bit = assignment.KEY_SHARD_BIT
        return [rate for shard, rate in self._rates.items() if not shard & bit]


class Weights:
    """Weight of each shard for load balancing.

    A partition's weight is its observed rate plus a prior that is the same for
    all partitions. The prior spreads idle partitions evenly and outweighs the
    noise in low rates. A partition without a report has the average weight.

    Args:
        demand: Reported rates.
        partitions: Number of the service's partitions.
        members: Number of members that share the partitions.
    """

    def __init__(
        self, demand: Demand, *, partitions: int, members: int
    ) -> None:
        reported_rates = demand.partition_rates()
        average = (
            sum(reported_rates) / len(reported_rates) if reported_rates else 0.0
        )
        self._demand = demand
        self._prior = max(
            PRIOR_SHARE * average, PRIOR_MEMBER_RATE * members / partitions
        )
        self.average = average + self._prior

    def weight_of(self, shard: int) -> float:
        """Returns the weight of one shard, in requests per second."""
        rate = self._demand.rate_of(shard)
        if shard & assignment.KEY_SHARD_BIT:
            return rate or 0.0
        return self.average if rate is None else rate + self._prior

    def total(self, shards: Iterable[int]) -> float:
        """Returns the total weight of some shards."""
        return sum(map(self.weight_of, shards))
