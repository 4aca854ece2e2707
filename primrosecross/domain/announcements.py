"""Targets beside this daemon that still announce themselves."""

from collections.abc import Callable

from primrosecross.domain import events
from primrosecross.ports import clock as clock_port
from primrosecross.ports import target as target_port

CHECK_MS = 1000
MISSED_CHECKS = 8


class Announcements:
    """Keeps the targets that announced themselves lately.

    Silence is counted in this daemon's own checks, not by the clock, so that
    a daemon which was suspended does not take its targets for gone.

    Args:
        clock: Clock for the pause between checks.
        timeline: Where arrivals and losses are recorded.
        changed: Called with what is announced after each change.
        forget: Called with each target that is dropped.
    """

    def __init__(
        self,
        *,
        clock: clock_port.Clock,
        timeline: events.Timeline,
        changed: Callable[[dict[str, target_port.Announcement]], None],
        forget: Callable[[target_port.Announcement], None],
    ) -> None:
        self._clock = clock
        self._timeline = timeline
        self._changed = changed
        self._forget = forget
        self._present: dict[str, target_port.Announcement] = {}
        self._missed: dict[str, int] = {}

    def take(self, announcement: target_port.Announcement) -> None:
        """Takes in what a target says of itself."""
        address = announcement.address
        before = self._present.get(address)
        self._missed[address] = 0
        if announcement == before:
            return
        self._present[address] = announcement
        if before is None:
            self._timeline.record(
                events.TargetAnnounced(announcement.service, address)
            )
        self._changed(dict(self._present))

    def run(self) -> None:
        """Drops targets that fell silent, until killed."""
        while True:
            self._clock.sleep(CHECK_MS)
            self.check()

    def check(self) -> None:
        """Counts a check and drops targets that missed too many."""
        for address, announcement in list(self._present.items()):
            self._missed[address] += 1
            if self._missed[address] < MISSED_CHECKS:
                continue
            del self._present[address], self._missed[address]
            self._timeline.record(
                events.TargetLost(announcement.service, address)
            )
            self._forget(announcement)
            self._changed(dict(self._present))
