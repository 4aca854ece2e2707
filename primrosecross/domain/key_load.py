"""Requests by key, averaged over the last seconds."""

import bisect
import itertools
import math
from collections.abc import Iterable

AVERAGED_OVER_S = 2.0  # busy keys change within seconds
FORGOTTEN_PER_S = 0.02
MAX_KEYS = 20_000


class KeyLoad:
    """Decaying rates of requests by key of one service."""

    def __init__(self) -> None:
        self._rates: dict[int, float] = {}
        self._at_s = 0.0
        self._keys: list[int] = []
        self._sums: list[float] = []
        self._fresh = False

    def add(self, counts: Iterable[tuple[int, int]], now_s: float) -> None:
        """Takes in how many requests came for each key."""
        self._decay(now_s)
        rates = self._rates
        for key, count in counts:
            rates[key] = rates.get(key, 0.0) + count / AVERAGED_OVER_S
        self._fresh = False

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._at_s
        if passed_s <= 0.05:
            return
        self._at_s = now_s
        factor = math.exp(-passed_s / AVERAGED_OVER_S)
        least = FORGOTTEN_PER_S if len(self._rates) < MAX_KEYS else 0.2
        self._rates = {
            key: rate * factor
            for key, rate in self._rates.items()
            if rate * factor > least
        }
        self._fresh = False

    def _sum_up(self) -> None:
        if not self._fresh:
            self._keys = sorted(self._rates)
            self._sums = [
                0.0,
                *itertools.accumulate(self._rates[k] for k in self._keys),
            ]
            self._fresh = True

    def total(self) -> float:
        """Returns requests a second of all keys."""
        self._sum_up()
        return self._sums[-1]

    def between(self, first: int, last: int) -> float:
        """Returns requests a second of a range of keys."""
        self._sum_up()
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        return self._sums[high] - self._sums[low]

    def densest(
        self, first: int, last: int, *, at_most: float
    ) -> tuple[int, int, float] | None:
        """Returns the part of a range with most load for its width.

        Args:
            first: First key of the range.
            last: Last key of the range.
            at_most: Most requests a second that the part may have.

        Returns:
            First key, last key and requests a second, None if every busy key
            has more than that.
        """
        self._sum_up()
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        best: tuple[float, int, int, float] | None = None
        start = low
        for end in range(low, high):
            while self._sums[end + 1] - self._sums[start] > at_most:
                start += 1
                if start > end:
                    break
            if start > end:
                continue
            rate = self._sums[end + 1] - self._sums[start]
            width = self._keys[end] - self._keys[start] + 1
            worth = rate * min(rate / at_most, 1.0) / (width + 8)
            if best is None or worth > best[0]:
                best = (worth, self._keys[start], self._keys[end], rate)
        return None if best is None else best[1:]
