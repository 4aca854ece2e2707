"""Hybrid logical clock: orders events of processes with different clocks.

Source: Kulkarni et al., "Logical Physical Clocks", OPODIS 2014. A stamp is
the wall clock in milliseconds shifted left by COUNTER_BITS plus a counter.
"""

import logging

from primrosecross.ports import clock as clock_port

COUNTER_BITS = 16
MAX_AHEAD_MS = 366 * 24 * 3_600_000

_logger = logging.getLogger(__name__)


class StampClock:
    """Issues stamps that increase along every chain of messages.

    Args:
        clock: Source of wall-clock time.
    """

    def __init__(self, *, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._last = 0
        self._refused = False

    def now(self) -> int:
        """Returns a stamp greater than all returned or observed before."""
        self._last = max(self._last + 1, self._clock.wall_ms() << COUNTER_BITS)
        return self._last

    def observe(self, stamp: int) -> None:
        """Merges a stamp received from another process.

        A stamp more than MAX_AHEAD_MS ahead of this VM's clock is ignored: one
        near the end of 64 bits would leave no later stamps to any process.
        """
        if stamp <= self._last:
            return
        limit = (self._clock.wall_ms() + MAX_AHEAD_MS) << COUNTER_BITS
        if stamp <= limit:
            self._last = stamp
        elif not self._refused:
            self._refused = True
            _logger.warning(
                "ignoring stamps more than %d days ahead of this VM's clock, "
                "the first is %.20s",
                MAX_AHEAD_MS // (24 * 3_600_000),
                stamp,
            )
