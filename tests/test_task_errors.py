"""Errors in one task of a daemon, which must not end its process."""

import subprocess
import sys
import unittest

# Raises an error in a task, and prints a line if the process outlives it.
PROGRAM = """
import gevent
from primrosecross.adapters import json_log

def fail():
    raise {error}("in one task")

json_log.configure(vm="vm-1", level="INFO")
gevent.spawn(fail)
gevent.sleep(0.1)
print("still runs")
"""


class TaskErrorTest(unittest.TestCase):
    """A task that fails with an error of each kind."""

    # A C library's error in one task ended the process, with all requests.
    def test_error_in_a_task_does_not_end_the_process(self):
        for error in ("SystemError", "MemoryError", "RecursionError"):
            with self.subTest(error=error):
                ended = subprocess.run(
                    [sys.executable, "-c", PROGRAM.format(error=error)],
                    capture_output=True,
                    text=True,
                    check=False,
                )
                self.assertIn("still runs", ended.stdout, ended.stderr)
                self.assertIn(f"a task failed with {error}", ended.stderr)
                self.assertEqual(ended.returncode, 0)


if __name__ == "__main__":
    unittest.main()
