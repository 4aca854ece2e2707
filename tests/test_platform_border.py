"""The platform's names stay in primrosecross/platform/."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[1]
_NAMES = re.compile(
    r"Expect-Instance|Server-Stamp|Deadline-Ms|Shard-Key|Not-Executed"
    r"|Caller-Service|ColdRemainingMs|HoldMs|HeartbeatMs|WeightedServices"
    r"|CurrentRev|WaitMs|PathPrefix|TargetLatencyMs|PortRange|readyz"
    r"|api/objects|api/instances|Tombstone"
)
MAX_LINES = 1500


class BorderTest(unittest.TestCase):
    """Sources outside the folder know none of the names."""

    def test_no_name_of_the_wire_stands_outside_the_folder(self):
        inside = ROOT / "primrosecross" / "platform"
        for path in sorted((ROOT / "primrosecross").rglob("*.py")):
            if inside in path.parents:
                continue
            found = _NAMES.findall(path.read_text())
            self.assertEqual(found, [], path)

    def test_the_folder_stays_small_and_decides_nothing(self):
        inside = ROOT / "primrosecross" / "platform"
        lines = sum(
            len(path.read_text().splitlines()) for path in inside.glob("*.py")
        )
        self.assertLess(lines, MAX_LINES)

    def test_nothing_of_the_product_imports_the_folder(self):
        for path in sorted((ROOT / "primrosecross").rglob("*.py")):
            if path.parent.name != "platform":
                self.assertNotIn("primrosecross.platform", path.read_text())
