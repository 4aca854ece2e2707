"""Processes of one fleet, with a log file each."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterator

DESCRIBED_LOG_LINES = 12
SECOND_SIGNAL_DELAY_S = 0.2
TERMINATE_TIMEOUT_S = 5.0


class Processes:
    """Starts Python modules as processes and describes their state.

    Args:
        directory: Directory for the logs.

    Attributes:
        by_name: Process that was started last under each name.
        started: All processes in the order of their start.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self.by_name: dict[str, subprocess.Popen] = {}
        self.started: list[subprocess.Popen] = []
        self._ended = False

    def log(self, name: str) -> pathlib.Path:
        """Returns the path of the log that all processes of a name share."""
        return self._directory / f"{name}.log"

    def last_log_lines(
        self, name: str, count: int = DESCRIBED_LOG_LINES
    ) -> str:
        """Returns the last lines of a log."""
        lines = self.log(name).read_text(errors="replace").splitlines()
        return "\n".join(lines[-count:])

    def start(
        self, name: str, module: str, *arguments: str, **variables: str
    ) -> subprocess.Popen:
        """Starts a process that runs a module.

        Args:
            name: Name of the process and of its log.
            module: Module to run.
            *arguments: Command line arguments of the module.
            **variables: Environment variables to add.

        Returns:
            The process.

        Raises:
            RuntimeError: kill() or terminate() was called before; a process
                started now would be left behind.
        """
        if self._ended:
            raise RuntimeError(f"{name} is started after its fleet has ended")
        with self.log(name).open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **variables},
            )
        self.by_name[name] = process
        self.started.append(process)
        return process

    def kill(self) -> None:
        """Kills all processes, also those replaced under their name."""
        self._ended = True
        for process in self.started:
            process.kill()
        for process in self.started:
            process.wait()

    def terminate(self) -> None:
        """Terminates all processes; a second signal aborts their draining.

        Kills those that still run after TERMINATE_TIMEOUT_S.
        """
        self._ended = True
        for process in self.started:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        time.sleep(SECOND_SIGNAL_DELAY_S)
        for process in self.started:
            process.terminate()
        deadline_s = time.monotonic() + TERMINATE_TIMEOUT_S
        for process in self.started:
            try:
                process.wait(timeout=max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def describe(self) -> str:
        """Returns exit code and last log lines of each process."""
        return "\n".join(
            f"{name}, pid {process.pid}, {_describe_state(process)}:\n"
            f"{self.last_log_lines(name)}"
            for name, process in self.by_name.items()
        )

    @contextlib.contextmanager
    def described_on_failure(self) -> Iterator[None]:
        """Adds the description of all processes to an exception as a note."""
        try:
            yield
        except Exception as error:
            error.add_note(self.describe())
            raise


def _describe_state(process: subprocess.Popen) -> str:
    code = process.poll()
    return "running" if code is None else f"exit code {code}"
