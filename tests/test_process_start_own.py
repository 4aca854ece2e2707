"""Starts of the product's own daemon on ports that are in use, and SIGHUP.

Guards against processes that end by themselves.
"""

import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import unittest

from standins import fleet
from standins import ports
from tests import test_process_start

VM = "vm-0"
HELD_S = 1.5
IMPORTS_S = 2.0  # before the first port is tried
RUNS_FOR_S = 0.5
SIGNAL_DELAYS_S = (0.0, 0.2, 0.5)
EXIT_PORT_IN_USE = 3
START_TIMEOUT_S = 20.0
ENDPOINTS = ("peer", "announce", "operator", "caller")


class OwnStartTest(unittest.TestCase):
    """One VM, whose daemon is started while a port is in use."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.fleet = fleet.Fleet(
            vms=[fleet.Vm(VM, "zone", "region", "desk")],
            directory=self.directory,
        )
        self.addCleanup(self.fleet.stop)
        self.fleet.start_platform()

    def _start(self) -> subprocess.Popen:
        self.fleet.start_daemon(VM)
        return self.fleet.processes[f"{VM}-daemon"]

    def _log(self) -> str:
        return self.fleet.log(f"{VM}-daemon").read_text()

    def _assert_runs(self, process: subprocess.Popen) -> None:
        for endpoint in ENDPOINTS:
            ports.await_listener(
                self.fleet.port(VM, endpoint), timeout_s=START_TIMEOUT_S
            )
        time.sleep(RUNS_FOR_S)
        self.assertIsNone(process.poll(), self._log())

    # A port that its predecessor still held ended the process.
    def test_port_that_becomes_free_is_waited_for(self):
        for endpoint in ENDPOINTS:
            with self.subTest(endpoint=endpoint):
                listener = _listen(self.fleet.port(VM, endpoint))
                process = self._start()
                time.sleep(IMPORTS_S + HELD_S)
                self.assertIsNone(process.poll(), self._log())
                listener.close()
                self._assert_runs(process)
                self.assertIn("as the port was in use", self._log())
                process.kill()
                process.wait()
                self.fleet.log(f"{VM}-daemon").unlink()

    def test_port_that_stays_in_use_ends_the_process_with_its_code(self):
        listener = _listen(self.fleet.port(VM, "caller"))
        self.addCleanup(listener.close)
        process = self._start()
        self.assertEqual(process.wait(START_TIMEOUT_S), EXIT_PORT_IN_USE)
        self.assertIn("free the port or change the settings", self._log())

    # A signal during the imports ended the process.
    def test_hangup_during_the_start_does_not_end_the_process(self):
        for delay_s in SIGNAL_DELAYS_S:
            with self.subTest(delay_s=delay_s):
                process = self._start()
                test_process_start.await_first_statement(process)
                time.sleep(delay_s)
                process.send_signal(signal.SIGHUP)
                self._assert_runs(process)
                process.kill()
                process.wait()

    # A settings file that was still being written ended the process.
    def test_settings_written_during_the_start_are_awaited(self):
        path = self.directory / f"{VM}.json"
        process = self._start()
        text = path.read_text()
        path.write_text(text[: len(text) // 2])
        time.sleep(HELD_S)
        path.write_text(text)
        self._assert_runs(process)

    # SIGHUP ended the process, and with it the requests that it had accepted.
    def test_hangup_does_not_end_the_process(self):
        process = self._start()
        self._assert_runs(process)
        process.send_signal(signal.SIGHUP)
        self._assert_runs(process)
        self.assertIn("SIGHUP changes nothing", self._log())


def _listen(port: int) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen()
    return sock


if __name__ == "__main__":
    unittest.main()
