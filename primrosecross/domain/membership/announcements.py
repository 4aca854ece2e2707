"""Tracks the targets that announce themselves to this daemon."""

from collections.abc import Callable

from primrosecross.domain.operators import events
from primrosecross.ports import clock as clock_port
from primrosecross.ports import target as target_port

CHECK_INTERVAL_MS = 1000
MAX_CHECKS_WITHOUT_ANNOUNCEMENT = 8


class Announcements:
    """Keeps the targets with recent announcements.

    The time without an announcement is counted in checks of this daemon, so
    that a daemon that was suspended does not drop its targets.

    Args:
        clock: Clock for the delay between checks.
        timeline: Records new and lost targets.
        on_change: Called with the announced targets, by address, after each
            change.
        on_drop: Called with each dropped target.
    """

    def __init__(
        self,
        *,
        clock: clock_port.Clock,
        timeline: events.Timeline,
        on_change: Callable[[dict[str, target_port.Announcement]], None],
        on_drop: Callable[[target_port.Announcement], None],
    ) -> None:
        self._clock = clock
        self._timeline = timeline
        self._on_change = on_change
        self._on_drop = on_drop
        self._announced: dict[str, target_port.Announcement] = {}
        # Checks since the last announcement, by address.
        self._checks_while_silent: dict[str, int] = {}

    def handle_announcement(
        self, announcement: target_port.Announcement
    ) -> None:
        """Handles an announcement of a target."""
        address = announcement.address
        previous = self._announced.get(address)
        self._checks_while_silent[address] = 0
        if announcement == previous:
            return
        self._announced[address] = announcement
        if previous is None:
            self._timeline.record(
                events.TargetAnnounced(announcement.service, address)
            )
        self._on_change(dict(self._announced))

    def run(self) -> None:
        """Drops silent targets, until killed."""
        while True:
            self._clock.sleep(CHECK_INTERVAL_MS)
            self.check()

    def check(self) -> None:
        """Counts a check for each target and drops the silent ones.

        A target is dropped at MAX_CHECKS_WITHOUT_ANNOUNCEMENT.
        """
        for address, announcement in list(self._announced.items()):
            self._checks_while_silent[address] += 1
            if (
                self._checks_while_silent[address]
                < MAX_CHECKS_WITHOUT_ANNOUNCEMENT
            ):
                continue
            del self._announced[address], self._checks_while_silent[address]
            self._timeline.record(
                events.TargetLost(announcement.service, address)
            )
            self._on_drop(announcement)
            self._on_change(dict(self._announced))
