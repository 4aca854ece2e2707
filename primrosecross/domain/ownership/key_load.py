"""Request rates by key, averaged over the last seconds."""

import bisect
import itertools
import math
from collections.abc import Iterable

DECAY_TIME_S = 2.0  # busy keys change within seconds
MIN_RATE_PER_S = 0.02  # keys below it are dropped
MAX_KEYS = 20_000


class KeyLoad:
    """Exponentially decaying request rates by key, for one service."""

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self._decayed_at_s = 0.0
        self._sorted_keys: list[int] = []
        self._prefix_sums: list[float] = []
        self._sums_valid = False

    def add(self, counts: Iterable[tuple[int, int]], now_s: float) -> None:
        """Adds request counts by key."""
        self._decay(now_s)
        rates = self._rates
        for key, count in counts:
            rates[key] = rates.get(key, 0.0) + count / DECAY_TIME_S
        self._sums_valid = False

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._decayed_at_s
        if elapsed_s <= 0.05:
            return
        self._decayed_at_s = now_s
        factor = math.exp(-elapsed_s / DECAY_TIME_S)
        min_rate = MIN_RATE_PER_S if len(self._rates) < MAX_KEYS else 0.2
        self._rates = {
            key: rate * factor
            for key, rate in self._rates.items()
            if rate * factor > min_rate
        }
        self._sums_valid = False

    def _update_sums(self) -> None:
        if not self._sums_valid:
            self._sorted_keys = sorted(self._rates)
            self._prefix_sums = [
                0.0,
                *itertools.accumulate(
                    self._rates[k] for k in self._sorted_keys
                ),
            ]
            self._sums_valid = True

    def total_rate(self) -> float:
        """Returns requests per second of all keys."""
        self._update_sums()
        return self._prefix_sums[-1]

    def range_rate(self, first: int, last: int) -> float:
        """Returns requests per second of a range of keys."""
        self._update_sums()
        low = bisect.bisect_left(self._sorted_keys, first)
        high = bisect.bisect_right(self._sorted_keys, last)
        return self._prefix_sums[high] - self._prefix_sums[low]

    def densest_slice(
        self, first: int, last: int, *, max_rate: float
    ) -> tuple[int, int, float] | None:
        """Returns the slice of a range with the most load for its width.

        Args:
            first: First key of the range.
            last: Last key of the range.
            max_rate: Most requests per second that the slice may have.

        Returns:
            First key, last key and requests per second; None if each busy key
            alone exceeds max_rate.
        """
        self._update_sums()
        low = bisect.bisect_left(self._sorted_keys, first)
        high = bisect.bisect_right(self._sorted_keys, last)
        best: tuple[float, int, int, float] | None = None
        start = low
        for end in range(low, high):
            while (
                self._prefix_sums[end + 1] - self._prefix_sums[start] > max_rate
            ):
                start += 1
                if start > end:
                    break
            if start > end:
                continue
            rate = self._prefix_sums[end + 1] - self._prefix_sums[start]
            width = self._sorted_keys[end] - self._sorted_keys[start] + 1
            score = rate * min(rate / max_rate, 1.0) / (width + 8)
            if best is None or score > best[0]:
                best = (
                    score,
                    self._sorted_keys[start],
                    self._sorted_keys[end],
                    rate,
                )
        return None if best is None else best[1:]
