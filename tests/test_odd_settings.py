"""A settings file that is odd is refused; the daemon goes on watching it."""

import pathlib
import tempfile
import unittest

from primrosecross.adapters import settings_watch
from primrosecross.domain import errors
from primrosecross.platform import settings

DEPTH = 5000
VALID = """
[Self]
Node = "vm-1"
Ip = "10.1.0.38"
Zone = "a"
App = "10.1.0.38:8145"
Service = "desk"
[Self.Limits]
CpuShare = 0.86
Cores = 1
MemoryMb = 300
[Network]
PortRange = [7380, 7395]
[Network.Listen]
Outbound = "10.1.0.38:8147"
Ready = "10.1.0.38:8141"
Control = "10.1.0.38:8144"
[Platform.Platform]
Address = "10.200.1.7:8142"
[Terms.Bounds]
GraceS = 6
"""
ODD_CHANGES = (
    ("GraceS = 6", "GraceS = inf"),
    ("GraceS = 6", "GraceS = nan"),
    ("GraceS = 6", "GraceS = -1"),
    ("GraceS = 6", "GraceS = " + "9" * 5000),
    ("GraceS = 6", "GraceS = " + "[" * DEPTH + "]" * DEPTH),
    ("GraceS = 6", 'GraceS = "6"'),
    ("MemoryMb = 300", "MemoryMb = 1e300"),
    ("Cores = 1", "Cores = inf"),
    ("[7380, 7395]", "[73800, 73900]"),
    ("[7380, 7395]", "[7380]"),
    ("10.1.0.38:8147", "10.1.0.38:81470"),
    ("10.1.0.38:8145", "10.1.0.38"),
    ("10.200.1.7:8142", "999.200.1.7:8142"),
    ('Ip = "10.1.0.38"', 'Ip = "x"'),
    ('Node = "vm-1"', ""),
    ("[Self]", "[Self"),
    ('Zone = "a"', 'Zone = "\udc80"'),
)


class SettingsTest(unittest.TestCase):
    """The settings file of a daemon that runs."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "boot.toml"

    def write(self, text: str) -> None:
        self.path.write_bytes(text.encode("utf-8", "surrogateescape"))

    # The task that watches the file ends with OverflowError, ValueError or
    # RecursionError, and no later change of the settings is seen.
    def test_odd_settings_are_refused(self):
        for valid, odd in ODD_CHANGES:
            with self.subTest(odd=odd[:40]):
                self.write(VALID.replace(valid, odd))
                with self.assertRaises(errors.SettingsError):
                    settings.load(self.path)

    # The first odd file would end the task that watches it.
    def test_reload_logs_odd_settings_and_accepts_the_next(self):
        self.write(VALID)
        applied = []
        watched = settings_watch.SettingsWatch(
            load=lambda: settings.load(self.path),
            settings=settings.load(self.path),
            live_fields=settings.LIVE_FIELDS,
            apply=applied.append,
        )
        self.write(VALID.replace("GraceS = 6", "GraceS = inf"))
        with self.assertLogs(settings_watch.__name__, "ERROR"):
            watched.reload()
        self.assertEqual(watched.settings.stop_limit_ms, 6000)
        self.write(VALID.replace("GraceS = 6", "GraceS = 8"))
        watched.reload()
        self.assertEqual(watched.settings.stop_limit_ms, 8000)
        self.assertEqual([s.stop_limit_ms for s in applied], [8000])


if __name__ == "__main__":
    unittest.main()
