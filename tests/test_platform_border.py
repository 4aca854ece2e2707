"""Checks that the platform's names are used only in primrosecross/platform/."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[1]
_NAMES = re.compile(
    r"Expect-Instance|Server-Stamp|Deadline-Ms|Shard-Key|Not-Executed"
    r"|Caller-Service|ColdRemainingMs|HoldMs|HeartbeatMs|WeightedServices"
    r"|CurrentRev|WaitMs|PathPrefix|TargetLatencyMs|PortRange|readyz"
    r"|api/objects|api/instances|Tombstone|api/grant|api/release"
    r"|TargetVersion|Handover"
)
MAX_LINES = 1500


class BorderTest(unittest.TestCase):
    """Modules outside the folder use none of the names and do not import it."""

    def test_platform_names_are_used_only_in_the_folder(self):
        folder = ROOT / "primrosecross" / "platform"
        for path in sorted((ROOT / "primrosecross").rglob("*.py")):
            if folder in path.parents:
                continue
            outer_names = _NAMES.findall(path.read_text())
            self.assertEqual(outer_names, [], path)

    def test_folder_stays_below_its_line_limit(self):
        folder = ROOT / "primrosecross" / "platform"
        lines = sum(
            len(path.read_text().splitlines()) for path in folder.glob("*.py")
        )
        self.assertLess(lines, MAX_LINES)

    def test_no_module_outside_imports_the_folder(self):
        for path in sorted((ROOT / "primrosecross").rglob("*.py")):
            if path.parent.name != "platform":
                self.assertNotIn("primrosecross.platform", path.read_text())
