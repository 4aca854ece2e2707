"""Starts of daemon processes under odd conditions, with the real program.

Guards against processes that end by themselves while they start.
"""

import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from standins import ports
from standins import sidecars

READY_TIMEOUT_S = 20.0
RUNS_FOR_S = 1.0
SIGNAL_DELAYS_S = (0.0, 0.05, 0.1, 0.2, 0.35)  # from the first statement on


class StartTest(unittest.TestCase):
    """One VM, whose daemon is started under odd conditions."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.fleet = sidecars.Sidecars(
            services=["desk"], directory=self.directory
        )
        self.addCleanup(self.fleet.stop)
        self.vm = self.fleet.vms[0]
        self.fleet.group.log(f"{self.vm.vm}-daemon").touch()
        self.settings = self.directory / f"{self.vm.vm}.toml"

    def _assert_runs(self, process: subprocess.Popen) -> None:
        """Waits until all ports of the daemon listen."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for endpoint in ("ready", "control", "outbound", "peer"):
            while not _listens(self.vm.ports[endpoint]):
                self.assertIsNone(process.poll(), self.fleet.log(self.vm))
                self.assertLess(
                    time.monotonic(), deadline_s, self.fleet.log(self.vm)
                )
                time.sleep(0.05)
        time.sleep(RUNS_FOR_S)
        self.assertIsNone(process.poll(), self.fleet.log(self.vm))

    def _start(self) -> subprocess.Popen:
        self.fleet.start_daemon(self.vm)
        return self.vm.daemon

    # A signal before the handlers are installed ended the process.
    def test_hangup_during_the_start_does_not_end_the_process(self):
        for delay_s in SIGNAL_DELAYS_S:
            with self.subTest(delay_s=delay_s):
                process = self._start()
                await_first_statement(process)
                time.sleep(delay_s)
                process.send_signal(signal.SIGHUP)
                self._assert_runs(process)
                process.kill()
                process.wait()

    # A stop during the start ended the process by the signal.
    def test_stop_during_the_start_is_a_stop(self):
        for delay_s in SIGNAL_DELAYS_S:
            with self.subTest(delay_s=delay_s):
                process = self._start()
                await_first_statement(process)
                time.sleep(delay_s)
                process.terminate()
                self.assertEqual(process.wait(READY_TIMEOUT_S), 0)

    # A port that an outgoing connection uses ended each start of the process.
    def test_ports_of_outgoing_connections_are_waited_for(self):
        for endpoint in ("ready", "control", "outbound"):
            with self.subTest(endpoint=endpoint):
                connection = connect_from(self.vm.ports[endpoint])
                process = self._start()
                time.sleep(RUNS_FOR_S)
                self.assertIsNone(process.poll(), self.fleet.log(self.vm))
                self.assertIn("cannot listen for", self.fleet.log(self.vm))
                connection.close()
                self._assert_runs(process)
                process.kill()
                process.wait()

    # A predecessor that still ends held the ports, which ended each start.
    def test_ports_of_a_predecessor_are_waited_for(self):
        predecessor = self._start()
        self._assert_runs(predecessor)
        process = self._start()
        time.sleep(RUNS_FOR_S)
        self.assertIsNone(process.poll(), self.fleet.log(self.vm))
        predecessor.kill()
        predecessor.wait()
        self._assert_runs(process)

    # A daemon whose peer port was taken could not be reached by others.
    def test_peer_port_in_use_is_replaced_by_another_of_the_range(self):
        taken, free = choose_neighbors()
        self.addCleanup(ports.release, [taken, free])
        text = self.settings.read_text()
        peer = self.vm.ports["peer"]
        self.settings.write_text(
            text.replace(f"[{peer}, {peer}]", f"[{taken}, {free}]")
        )
        connection = connect_from(taken)
        self.addCleanup(connection.close)
        self.vm.ports["peer"] = free
        self._assert_runs(self._start())

    # Callers waited for a daemon that could not serve them yet.
    def test_callers_are_refused_until_the_daemon_can_join(self):
        connection = connect_from(self.vm.ports["peer"])
        process = self._start()
        time.sleep(RUNS_FOR_S)
        self.assertIn("for other daemons", self.fleet.log(self.vm))
        self.assertFalse(_listens(self.vm.ports["outbound"]))
        connection.close()
        self._assert_runs(process)

    # Log lines went to the first connection that got the descriptor.
    def test_closed_standard_streams_are_no_connections(self):
        for closed in ((1,), (0, 1, 2)):
            with self.subTest(closed=closed):
                redirections = " ".join(f"{n}>&-" for n in closed)
                process = subprocess.Popen(
                    [
                        "sh",
                        "-c",
                        f'exec "$0" -m primrosecross.platform {redirections}',
                        sys.executable,
                    ],
                    env={
                        **os.environ,
                        "PRIMROSECROSS_NODE_FILE": str(self.settings),
                    },
                )
                self.addCleanup(process.wait)
                self.addCleanup(process.kill)
                self._assert_runs(process)
                for descriptor in closed:
                    target = os.readlink(f"/proc/{process.pid}/fd/{descriptor}")
                    self.assertEqual(target, os.devnull)
                process.kill()
                process.wait()

    # A settings file that was still being written ended the process.
    def test_settings_written_during_the_start_are_awaited(self):
        text = self.settings.read_text()
        self.settings.write_text(text[: len(text) // 2])
        process = self._start()
        time.sleep(RUNS_FOR_S)
        self.settings.write_text(text)
        self._assert_runs(process)

    def test_invalid_settings_end_the_process_with_a_message(self):
        self.settings.write_text("[Self]")
        self.assertEqual(self._start().wait(READY_TIMEOUT_S), 2)
        self.assertIn("set PRIMROSECROSS_NODE_FILE", self.fleet.log(self.vm))


def await_first_statement(process: subprocess.Popen) -> None:
    """Waits until a process holds signals; the interpreter itself does not."""
    status = pathlib.Path(f"/proc/{process.pid}/status")
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        blocked = re.search(r"^SigBlk:\s*(\w+)", status.read_text(), re.M)
        if blocked and int(blocked[1], 16) & 1 << (signal.SIGHUP - 1):
            return
        time.sleep(0.001)
    raise TimeoutError("the process holds no signals")


def _listens(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), timeout=1).close()
    except OSError:
        return False
    return True


def connect_from(port: int) -> socket.socket:
    """Returns a connection whose local port is the given one."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        sock = socket.socket()
        # The stand-ins hold the port by a socket with SO_REUSEADDR.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        sock.connect(server.getsockname())
        return sock


def choose_neighbors() -> tuple[int, int]:
    """Returns two adjacent ports that are free."""
    while True:
        first, second = ports.choose_free(2)
        if second == first + 1:
            return first, second
        ports.release([first, second])


if __name__ == "__main__":
    unittest.main()
