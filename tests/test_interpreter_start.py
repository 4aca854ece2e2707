"""Signals that reach a daemon before its program's first statement."""

import os
import signal
import subprocess
import sys
import unittest

RUNS_FOR_S = 1.0


class InterpreterStartTest(unittest.TestCase):
    """The interpreter itself starts."""

    # SIGHUP ends a process whose interpreter is still starting (seed 7307).
    def test_hangup_before_the_first_statement_does_not_end_the_process(self):
        process = subprocess.Popen(
            [sys.executable, "-m", "primrosecross.platform"],
            env={**os.environ, "PRIMROSECROSS_NODE_FILE": "/no/settings"},
            stdout=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        process.send_signal(signal.SIGHUP)
        with self.assertRaises(subprocess.TimeoutExpired):
            process.wait(RUNS_FOR_S)
