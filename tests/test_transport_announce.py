"""Targets are dropped when they stop announcing themselves."""

import unittest

from primrosecross.domain import stamp
from primrosecross.domain.membership import announcements
from primrosecross.domain.operators import events
from primrosecross.ports import target as target_port
from tests import fakes

TARGET = target_port.Announcement("s", "127.0.0.1:1", 8, True)


class AnnouncementsTest(unittest.TestCase):
    """One target, and the checks of a daemon."""

    def setUp(self) -> None:
        clock = fakes.ManualClock()
        self.timeline = events.Timeline(
            vm="vm", clock=clock, stamps=stamp.StampClock(clock=clock)
        )
        self.changes: list[dict] = []
        self.dropped: list = []
        self.announcements = announcements.Announcements(
            clock=clock,
            timeline=self.timeline,
            on_change=self.changes.append,
            on_drop=self.dropped.append,
        )
        self.announcements.handle_announcement(TARGET)

    def test_repeated_announcements_keep_a_target(self):
        for _ in range(5 * announcements.MAX_CHECKS_WITHOUT_ANNOUNCEMENT):
            self.announcements.check()
            self.announcements.handle_announcement(TARGET)
        self.assertEqual(self.changes, [{TARGET.address: TARGET}])

    def test_silent_target_is_dropped_and_may_come_back(self):
        for _ in range(announcements.MAX_CHECKS_WITHOUT_ANNOUNCEMENT):
            self.announcements.check()
        self.assertEqual(self.changes[-1], {})
        self.assertEqual(self.dropped, [TARGET])
        self.announcements.handle_announcement(TARGET)
        self.assertEqual(self.changes[-1], {TARGET.address: TARGET})
        kinds = [type(e.event).__name__ for e in self.timeline.entries()]
        self.assertEqual(
            kinds, ["TargetAnnounced", "TargetLost", "TargetAnnounced"]
        )


if __name__ == "__main__":
    unittest.main()
