"""Small fakes at the ports."""

from primrosecross.domain import lease


class ManualClock:
    """A clock that moves only when told to."""

    def __init__(self) -> None:
        self.time_ns = 1_000 * lease.NS_PER_MS

    def now_ns(self) -> int:
        """Returns the set time."""
        return self.time_ns

    def wall_ms(self) -> int:
        """Returns the set time."""
        return self.time_ns // lease.NS_PER_MS

    def sleep(self, duration_ms: float) -> None:
        """Moves the time on."""
        self.advance(duration_ms)

    def advance(self, duration_ms: float) -> None:
        """Moves the time on."""
        self.time_ns += int(duration_ms * lease.NS_PER_MS)
