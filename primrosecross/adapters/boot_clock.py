"""Clock that counts time spent suspended."""

import time

import gevent


class BootClock:
    """CLOCK_BOOTTIME, shared by all processes of one VM."""

    def now_ns(self) -> int:
        """Returns nanoseconds since the VM booted."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Returns milliseconds since 1970 UTC."""
        return time.time_ns() // 1_000_000

    def sleep(self, duration_ms: float) -> None:
        """Suspends the calling task."""
        gevent.sleep(max(0.0, duration_ms) / 1000)
