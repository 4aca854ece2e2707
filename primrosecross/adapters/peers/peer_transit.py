"""Time that messages from one peer spend queued on their way.

The clocks of two VMs have unknown offsets, so only differences count: the
shortest time on the way seen lately is taken as that without a queue.

Source: RFC 6817, section 3.4.2 (base delay history).
"""

import time

HISTORY_MS = 60_000  # two such spans; clocks drift apart little meanwhile
NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Returns this VM's boot clock, which counts suspended time."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class TransitMeter:
    """Measures by how much messages exceed the shortest time on the way."""

    def __init__(self) -> None:
        self._base_ms: int | None = None
        self._previous_base_ms: int | None = None
        self._span_ends_ms = 0

    def record(self, sent_ms: int, received_ms: int) -> int:
        """Records a message and returns its time in queues.

        Args:
            sent_ms: Clock of the sender when it queued the message.
            received_ms: Clock of the receiver.
        """
        offset_ms = received_ms - sent_ms
        if received_ms >= self._span_ends_ms:
            self._span_ends_ms = received_ms + HISTORY_MS
            self._previous_base_ms, self._base_ms = self._base_ms, None
        if self._base_ms is None or offset_ms < self._base_ms:
            self._base_ms = offset_ms
        bases_ms = (self._base_ms, self._previous_base_ms)
        return offset_ms - min(b for b in bases_ms if b is not None)
