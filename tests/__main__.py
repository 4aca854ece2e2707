"""Runs all tests but those that KNOWN-RED.txt lists, which it prints.

An entry of KNOWN-RED.txt is one line that begins with the test's id, as
unittest prints it, followed by " | " and what was seen.
"""

import pathlib
import sys
import unittest
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parents[1]


def known_red() -> dict[str, str]:
    """Returns the listed tests with their entries."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return {}
    lines = (line.strip() for line in path.read_text().splitlines())
    return {
        line.partition(" | ")[0]: line
        for line in lines
        if line and not line.startswith("#")
    }


def cases(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yields the single tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from cases(item)
        else:
            yield item


def main() -> int:
    """Runs the tests; returns the exit code."""
    found = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    passed_over = known_red()
    chosen = unittest.TestSuite()
    for case in cases(found):
        if case.id() in passed_over:
            print(f"known red, not run: {passed_over[case.id()]}")
        else:
            chosen.addTest(case)
    result = unittest.TextTestRunner(stream=sys.stdout).run(chosen)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
