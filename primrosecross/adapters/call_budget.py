"""Rate limit, backoff and counts of one daemon's calls to the store.

A token bucket (Turner, 1986) bounds the rate. Exponential backoff with full
jitter delays the calls that follow a failed one (Brooker, "Exponential Backoff
And Jitter", 2015). It keeps a recovering store from being overloaded.
"""

import collections
import random

from primrosecross.domain import errors
from primrosecross.domain.membership import lease
from primrosecross.ports import clock as clock_port

RATE_PER_S = 20.0
BURST = 60.0
MIN_BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 1000.0
MAX_WAIT_MS = 2000.0


class CallBudget:
    """Limits calls and counts them by kind.

    Args:
        clock: Clock that includes time spent suspended.

    Attributes:
        counts: Number of calls by kind; "refused here" counts the calls that
            the limit refused and that were not sent.
    """

    def __init__(self, *, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._tokens = BURST
        self._refilled_ns = clock.now_ns()
        self._backoff_ms = 0.0
        self._retry_at_ns = 0
        self.counts: collections.Counter[str] = collections.Counter()

    def acquire(self, kind: str) -> None:
        """Waits for a token and the end of the backoff, and counts the call.

        Args:
            kind: Kind of call, such as "read plans".

        Raises:
            errors.StoreUnavailableError: The wait would exceed MAX_WAIT_MS.
        """
        wait_ms = max(self._remaining_backoff_ms(), self._token_wait_ms())
        if wait_ms > MAX_WAIT_MS:
            self.counts["refused here"] += 1
            raise errors.StoreUnavailableError(
                f"{kind}: this daemon has used up its limit of {RATE_PER_S:g} "
                "calls a second to the store",
                remedy="find the most frequent calls in the counts by kind",
            )
        self._tokens -= 1
        self.counts[kind] += 1
        if wait_ms > 0:
            self._clock.sleep(wait_ms)

    def _remaining_backoff_ms(self) -> float:
        return (self._retry_at_ns - self._clock.now_ns()) / lease.NS_PER_MS

    def _token_wait_ms(self) -> float:
        now_ns = self._clock.now_ns()
        elapsed_s = (now_ns - self._refilled_ns) / lease.NS_PER_MS / 1000
        self._refilled_ns = now_ns
        self._tokens = min(BURST, self._tokens + elapsed_s * RATE_PER_S)
        return (1 - self._tokens) / RATE_PER_S * 1000

    def record_failure(self) -> None:
        """Delays the next calls; the backoff doubles with each failure."""
        doubled_ms = max(MIN_BACKOFF_MS, 2 * self._backoff_ms)
        self._backoff_ms = min(doubled_ms, MAX_BACKOFF_MS)
        wait_ms = random.uniform(0, self._backoff_ms)
        now_ns = self._clock.now_ns()
        retry_at_ns = now_ns + int(wait_ms * lease.NS_PER_MS)
        self._retry_at_ns = max(self._retry_at_ns, retry_at_ns)

    def record_success(self) -> None:
        """Resets the length of the next backoff; a running one continues."""
        self._backoff_ms = 0.0

    def total(self) -> int:
        """Returns the number of calls made."""
        return self.counts.total() - self.counts["refused here"]
