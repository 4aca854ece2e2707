"""Measures request rates of an owner's shards and finds its hottest keys."""

import collections
import dataclasses
import random

from primrosecross.domain.ownership import assignment

TARGET_SAMPLES = 4096
SHARD_TIME_CONSTANT_S = 10.0
KEY_TIME_CONSTANT_S = 2.0
MIN_TICKS = 3
KEY_COUNTERS = 64


class SpaceSaving:
    """The most frequent keys of a stream, in bounded memory.

    Source: Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent
    and Top-k Elements in Data Streams", ICDT 2005. Counts decay, so that
    keys that are no longer hot are evicted.

    Args:
        counters: Maximum number of keys that are tracked.
    """

    def __init__(self, *, counters: int = KEY_COUNTERS) -> None:
        self._counters = counters
        self._counts: dict[int, float] = {}
        self._errors: dict[int, float] = {}

    def decay(self, factor: float) -> None:
        """Multiplies all counts."""
        for key in self._counts:
            self._counts[key] *= factor
            self._errors[key] *= factor

    def add(self, key: int, count: float) -> None:
        """Adds to a key's count; evicts the least count if all are in use."""
        if key in self._counts:
            self._counts[key] += count
            return
        min_count = 0.0
        if len(self._counts) >= self._counters:
            evicted = min(self._counts, key=self._counts.__getitem__)
            min_count = self._counts.pop(evicted)
            del self._errors[evicted]
        self._counts[key] = min_count + count
        self._errors[key] = min_count

    def guaranteed_counts(self) -> dict[int, float]:
        """Returns each key's guaranteed count: the count minus its error."""
        return {k: c - self._errors[k] for k, c in self._counts.items()}


@dataclasses.dataclass(slots=True)
class _Average:
    """Exponential moving average with bias correction for early values."""

    value: float = 0.0
    weight: float = 0.0
    ticks: int = 0

    def add(self, rate: float, alpha: float) -> None:
        self.value += alpha * (rate - self.value)
        self.weight += alpha * (1 - self.weight)
        self.ticks += 1

    @property
    def rate(self) -> float:
        return self.value / self.weight if self.weight else 0.0


class LoadMeter:
    """Request rates of one service's shards and hottest keys at this owner.

    Samples about TARGET_SAMPLES requests per tick at random, with a probability
    derived from the request count of the previous tick.
    """

    def __init__(self) -> None:
        self._samples: list[int] = []
        self._request_count = 0
        self._sample_probability = 1.0
        self._shards: dict[int, _Average] = {}
        self._keys = SpaceSaving()
        self._key_weight = 0.0

    def record(self, key_hash: int) -> None:
        """Counts one request."""
        self._request_count += 1
        if (
            self._sample_probability >= 1.0
            or random.random() < self._sample_probability
        ):
            self._samples.append(key_hash)

    def rate(self) -> float:
        """Returns requests per second of all shards of this owner."""
        return sum(average.rate for average in self._shards.values())

    def tick(
        self, table: assignment.OwnerTable, vm: str, elapsed_s: float
    ) -> None:
        """Ends a measurement interval.

        Args:
            table: Owner table of the service.
            vm: This VM's name.
            elapsed_s: Length of the interval in seconds.
        """
        samples, self._samples = self._samples, []
        rate_per_sample = self._request_count / max(1, len(samples)) / elapsed_s
        self._sample_probability = min(
            1.0, TARGET_SAMPLES / max(1, self._request_count)
        )
        self._request_count = 0
        counts = collections.Counter(samples)
        self._count_keys(counts, rate_per_sample, elapsed_s)
        rates: collections.Counter[int] = collections.Counter()
        for key_hash, count in counts.items():
            rates[table.shard_of_hash(key_hash)] += count * rate_per_sample
        self._update_shards(table, set(table.shards_of(vm)))
        alpha = min(1.0, elapsed_s / SHARD_TIME_CONSTANT_S)
        for shard, average in self._shards.items():
            average.add(rates[shard], alpha)

    def _count_keys(
        self,
        counts: collections.Counter,
        rate_per_sample: float,
        elapsed_s: float,
    ) -> None:
        alpha = min(1.0, elapsed_s / KEY_TIME_CONSTANT_S)
        self._keys.decay(1 - alpha)
        self._key_weight += alpha * (1 - self._key_weight)
        for key_hash, count in counts.most_common(KEY_COUNTERS):
            self._keys.add(key_hash, alpha * count * rate_per_sample)

    def _update_shards(
        self, table: assignment.OwnerTable, owned: set[int]
    ) -> None:
        """Restarts averages of shards that are new or lost a split key."""
        new = owned - self._shards.keys()
        split = {
            table.parent_partition(shard)
            for shard in new
            if shard & assignment.KEY_SHARD_BIT
        }
        self._shards = {
            shard: average
            for shard, average in self._shards.items()
            if shard in owned and shard not in split
        }
        for shard in owned - self._shards.keys():
            self._shards[shard] = _Average()

    def shard_rates(self) -> dict[int, float]:
        """Returns requests per second of shards measured for MIN_TICKS."""
        return {
            shard: average.rate
            for shard, average in self._shards.items()
            if average.ticks >= MIN_TICKS
        }

    def hot_keys(self, min_rate: float) -> dict[int, float]:
        """Returns rates of hot keys not split off yet, by key shard.

        Args:
            min_rate: Minimum rate in requests per second.
        """
        hot = {}
        for key_hash, count in self._keys.guaranteed_counts().items():
            shard = key_hash | assignment.KEY_SHARD_BIT
            rate = count / self._key_weight
            if rate >= min_rate and shard not in self._shards:
                hot[shard] = rate
        return hot
