"""Targets that stop announcing are dropped."""

import unittest

from primrosecross.domain import announcements
from primrosecross.domain import events
from primrosecross.domain import stamp
from primrosecross.ports import target as target_port
from tests import fakes

TARGET = target_port.Announcement("s", "127.0.0.1:1", 8, True)


class AnnouncementsTest(unittest.TestCase):
    """One target and a daemon's checks."""

    def setUp(self) -> None:
        clock = fakes.ManualClock()
        self.timeline = events.Timeline(
            vm="vm", clock=clock, stamps=stamp.StampClock(clock=clock)
        )
        self.changes: list[dict] = []
        self.forgotten: list = []
        self.announcements = announcements.Announcements(
            clock=clock,
            timeline=self.timeline,
            changed=self.changes.append,
            forget=self.forgotten.append,
        )
        self.announcements.take(TARGET)

    def test_repeated_announcements_keep_it(self):
        for _ in range(5 * announcements.MISSED_CHECKS):
            self.announcements.check()
            self.announcements.take(TARGET)
        self.assertEqual(self.changes, [{TARGET.address: TARGET}])

    def test_silent_target_is_dropped_and_may_come_back(self):
        for _ in range(announcements.MISSED_CHECKS):
            self.announcements.check()
        self.assertEqual(self.changes[-1], {})
        self.assertEqual(self.forgotten, [TARGET])
        self.announcements.take(TARGET)
        self.assertEqual(self.changes[-1], {TARGET.address: TARGET})
        kinds = [type(e.event).__name__ for e in self.timeline.entries()]
        self.assertEqual(
            kinds, ["TargetAnnounced", "TargetLost", "TargetAnnounced"]
        )


if __name__ == "__main__":
    unittest.main()
