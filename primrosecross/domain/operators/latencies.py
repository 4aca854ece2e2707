"""Latency histograms with a cheap recording path.

Recording only buffers the value; buffered values are counted in batches, so
that the histogram is updated once for each distinct value.
"""

import bisect
import collections

from hdrh import histogram

TICK_BITS = 14  # One tick is 2**14 ns, about 16 us.
NS_PER_MS = 1_000_000
HIGHEST_MS = 3_600_000
HIGHEST_TICKS = HIGHEST_MS * NS_PER_MS >> TICK_BITS
SIGNIFICANT_DIGITS = 2
MAX_PENDING = 4096
BUCKETS_MS = (
    1,
    2,
    5,
    12,
    25,
    50,
    100,
    250,
    500,
    1000,
    2500,
    5000,
    10000,
    60000,
)
PERCENTILES = (50.0, 99.0, 99.9)

_BOUNDS_TICKS = [ms * NS_PER_MS >> TICK_BITS for ms in BUCKETS_MS]


class Latencies:
    """Latencies of requests with the same labels."""

    def __init__(self) -> None:
        self._pending: list[int] = []
        self._histogram = histogram.HdrHistogram(
            1, HIGHEST_TICKS, SIGNIFICANT_DIGITS
        )
        self._bucket_counts = [0] * (len(BUCKETS_MS) + 1)
        self._sum_ticks = 0

    def record(self, took_ns: int) -> None:
        """Records one latency."""
        pending = self._pending
        pending.append(took_ns >> TICK_BITS)
        if len(pending) >= MAX_PENDING:
            self._count_pending()

    def _count_pending(self) -> None:
        pending, self._pending = self._pending, []
        for ticks, count in collections.Counter(pending).items():
            self._histogram.record_value(
                min(max(1, ticks), HIGHEST_TICKS), count
            )
            bucket = bisect.bisect_left(_BOUNDS_TICKS, ticks)
            self._bucket_counts[bucket] += count
            self._sum_ticks += ticks * count

    def cumulative_counts(self) -> list[int]:
        """Returns the cumulative count of each of BUCKETS_MS, and the total."""
        self._count_pending()
        total = 0
        counts = []
        for count in self._bucket_counts:
            total += count
            counts.append(total)
        return counts

    def sum_ms(self) -> float:
        """Returns the sum of all latencies."""
        self._count_pending()
        return (self._sum_ticks << TICK_BITS) / NS_PER_MS

    def percentiles_ms(self) -> dict[float, float]:
        """Returns the latency at each of PERCENTILES."""
        self._count_pending()
        percentiles = self._histogram.get_percentile_to_value_dict(
            list(PERCENTILES)
        )
        return {
            percentile: (ticks << TICK_BITS) / NS_PER_MS
            for percentile, ticks in percentiles.items()
        }
