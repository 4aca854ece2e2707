"""Clock that includes time spent suspended."""

import time

import gevent


class BootClock:
    """CLOCK_BOOTTIME, which all processes of one VM share."""

    def now_ns(self) -> int:
        """Returns nanoseconds since the VM booted."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def sleep(self, duration_ms: float) -> None:
        """Blocks the calling task for a duration."""
        gevent.sleep(max(0.0, duration_ms) / 1000)
