"""Limits and counts the calls that one daemon makes to the store.

A token bucket (Turner, 1986) bounds the rate. After a failed call the next
ones wait, with exponential backoff and full jitter (Brooker, "Exponential
Backoff And Jitter", 2015), so that a store that returns is not overrun.
"""

import collections
import random

from primrosecross.domain import errors
from primrosecross.domain import lease
from primrosecross.ports import clock as clock_port

RATE_PER_S = 20.0
BURST = 60.0
MIN_BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 1000.0
MAX_WAIT_MS = 2000.0


class CallBudget:
    """Calls allowed, and calls made by kind.

    Args:
        clock: Clock that counts time spent suspended.
    """

    def __init__(self, *, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._tokens = BURST
        self._filled_ns = clock.now_ns()
        self._backoff_ms = 0.0
        self._resume_ns = 0
        self.counts: collections.Counter[str] = collections.Counter()

    def spend(self, kind: str) -> None:
        """Waits until a call may be made and counts it.

        Args:
            kind: What the call does, such as "read plans".

        Raises:
            errors.StoreUnavailableError: It would have to wait too long.
        """
        wait_ms = max(self._until_resumed_ms(), self._until_token_ms())
        if wait_ms > MAX_WAIT_MS:
            self.counts["refused here"] += 1
            raise errors.StoreUnavailableError(
                f"{kind}: this daemon's limit of {RATE_PER_S:g} calls a second "
                "to the store is used up",
                remedy="find what calls so often in the counts by kind",
            )
        self._tokens -= 1
        self.counts[kind] += 1
        if wait_ms > 0:
            self._clock.sleep(wait_ms)

    def _until_resumed_ms(self) -> float:
        return (self._resume_ns - self._clock.now_ns()) / lease.NS_PER_MS

    def _until_token_ms(self) -> float:
        now_ns = self._clock.now_ns()
        passed_s = (now_ns - self._filled_ns) / lease.NS_PER_MS / 1000
        self._filled_ns = now_ns
        self._tokens = min(BURST, self._tokens + passed_s * RATE_PER_S)
        return (1 - self._tokens) / RATE_PER_S * 1000

    def failed(self) -> None:
        """Has the next calls wait, longer after each failure."""
        doubled_ms = max(MIN_BACKOFF_MS, 2 * self._backoff_ms)
        self._backoff_ms = min(doubled_ms, MAX_BACKOFF_MS)
        wait_ms = random.uniform(0, self._backoff_ms)
        now_ns = self._clock.now_ns()
        resume_ns = now_ns + int(wait_ms * lease.NS_PER_MS)
        self._resume_ns = max(self._resume_ns, resume_ns)

    def succeeded(self) -> None:
        """Ends the backoff."""
        self._backoff_ms = 0.0

    def total(self) -> int:
        """Returns the calls made."""
        return self.counts.total() - self.counts["refused here"]
