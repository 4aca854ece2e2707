"""Clock port."""

from typing import Protocol


class Clock(Protocol):
    """A monotonic clock that includes time spent suspended."""

    def now_ns(self) -> int:
        """Returns nanoseconds since an arbitrary fixed point in time."""

    def wall_ms(self) -> int:
        """Returns Unix time in milliseconds, for display only."""

    def sleep(self, duration_ms: float) -> None:
        """Suspends the calling task."""
