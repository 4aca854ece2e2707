"""A failed request explained from log files."""

import json
import pathlib
import tempfile
import unittest

from typer import testing

from primrosecross import cli


class ExplainTest(unittest.TestCase):
    """The command over two files."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.paths = [pathlib.Path(directory.name) / n for n in ("a", "b")]
        self._write(
            0,
            [
                {"time_ms": 1000, "vm": "a", "level": "WARNING",
                 "message": "lost the store"},
                {"time_ms": 1300, "vm": "a", "level": "ERROR",
                 "message": "lost: answer-lost", "request_id": "r1"},
                {"time_ms": 1310, "vm": "a", "level": "WARNING",
                 "message": "refused", "request_id": "r2"},
            ],
        )  # fmt: skip
        self._write(
            1,
            [
                {"time_ms": 1200, "vm": "b", "level": "WARNING",
                 "message": "target vanished", "request_id": "r1"},
                {"time_ms": 1100, "vm": "b", "level": "INFO",
                 "message": "answered 200", "request_id": "r1.c1"},
            ],
        )  # fmt: skip

    def _write(self, file: int, lines: list[dict]) -> None:
        text = "".join(f"  0.1 b {json.dumps(line)}\n" for line in lines)
        self.paths[file].write_text(text + "no json {\n")

    def _run(self, request_id: str) -> testing.Result:
        arguments = ["explain", request_id, *map(str, self.paths)]
        return testing.CliRunner().invoke(cli.app, arguments)

    def test_the_lines_of_all_daemons_come_in_order_with_their_context(self):
        told = [line.split()[0] for line in self._run("r1").stdout.splitlines()]
        self.assertEqual(told, ["1000", "1100", "1200", "1300"])

    def test_an_unknown_request_is_said_to_be_unknown(self):
        result = self._run("r9")
        self.assertEqual(result.exit_code, 2)
