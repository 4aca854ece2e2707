"""Clock port."""

from typing import Protocol


class Clock(Protocol):
    """A clock that never goes back and counts time spent suspended."""

    def now_ns(self) -> int:
        """Returns nanoseconds since an arbitrary fixed moment."""

    def wall_ms(self) -> int:
        """Returns milliseconds since 1970 UTC, for display only."""

    def sleep(self, duration_ms: float) -> None:
        """Suspends the calling task."""
