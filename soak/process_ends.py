"""Ends of processes that a scenario did not cause."""

import collections
import pathlib
import re
import signal
import subprocess
import time

import gevent

from standins import sidecars

POLL_INTERVAL_S = 0.1
HELD_TIMEOUT_S = 5.0
HELD_POLL_INTERVAL_S = 0.002
_SIGNAL_MASKS = re.compile(r"^Sig(?:Blk|Cgt):\s*([0-9a-f]+)$", re.MULTILINE)


def await_program(process: subprocess.Popen) -> None:
    """Waits until a daemon holds or handles signals, or has ended.

    The program cannot before its first statement: the interpreter starts with
    the default actions (KNOWN-RED.txt, tests.test_interpreter_start).
    """
    status_file = pathlib.Path(f"/proc/{process.pid}/status")
    until_s = time.monotonic() + HELD_TIMEOUT_S
    while process.poll() is None and time.monotonic() < until_s:
        masks = _SIGNAL_MASKS.findall(status_file.read_text())
        if any(int(m, 16) >> (signal.SIGHUP - 1) & 1 for m in masks):
            return
        gevent.sleep(HELD_POLL_INTERVAL_S)


class ProcessEnds:
    """Polls the processes of a fleet and starts those again that ended.

    Args:
        fleet: The fleet.
    """

    def __init__(self, fleet: sidecars.Sidecars) -> None:
        self._fleet = fleet
        self._expected: collections.defaultdict[int, set[int]] = (
            collections.defaultdict(set)
        )
        self._reported: dict[int, str] = {}

    def expect(self, process: subprocess.Popen, status: int) -> None:
        """Allows a process to end.

        Args:
            process: The process.
            status: Its exit status, or the signal that kills it.
        """
        self._expected[process.pid] |= {status, -status}

    def watch(self) -> None:
        """Polls until killed, and starts what ended by itself again."""
        while True:
            self._poll()
            gevent.sleep(POLL_INTERVAL_S)

    def _poll(self) -> None:
        for sidecar in self._fleet.vms:
            for process, start in (
                (sidecar.daemon, self._fleet.start_daemon),
                (sidecar.worker, self._fleet.start_worker),
            ):
                if process is not None and self._ended_by_itself(
                    sidecar.vm, process
                ):
                    start(sidecar)

    def _ended_by_itself(self, vm: str, process: subprocess.Popen) -> bool:
        status = process.poll()
        expected = self._expected[process.pid]
        if status is None or status in expected:
            return False
        is_new = process.pid not in self._reported
        self._reported[process.pid] = (
            f"{process.args[2]} on {vm} ended by itself with status {status}"
        )
        # One that was told to end is started again by whoever told it.
        return is_new and not expected

    def violations(self) -> list[str]:
        """Returns a description of each process that ended by itself."""
        self._poll()
        return list(self._reported.values())
