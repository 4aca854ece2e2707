"""Ends of processes that a scenario did not cause."""

import collections
import subprocess

import gevent

from standins import sidecars

POLL_INTERVAL_S = 0.1


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
