"""A start beside a predecessor whose peer port was not its first one.

Guards against requests lost as two daemons announce one VM.
"""

import pathlib
import tempfile
import time
import unittest

from standins import ports
from standins import sidecars
from tests import test_process_start

WAIT_S = 2.0


class TwoDaemonsTest(unittest.TestCase):
    """One VM, whose daemon runs on the second port of its range."""

    # Both daemons announced one VM; others closed their connections at each
    # change of its address, and the requests on them were lost.
    def test_daemon_does_not_start_while_its_predecessor_runs(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        fleet = sidecars.Sidecars(
            services=["desk"], directory=pathlib.Path(directory.name)
        )
        self.addCleanup(fleet.stop)
        vm = fleet.vms[0]
        first, second = test_process_start.choose_neighbors()
        self.addCleanup(ports.release, [first, second])
        settings = pathlib.Path(directory.name) / f"{vm.vm}.toml"
        peer = vm.ports["peer"]
        settings.write_text(
            settings.read_text().replace(
                f"[{peer}, {peer}]", f"[{first}, {second}]"
            )
        )
        connection = test_process_start.connect_from(first)
        vm.ports["peer"] = second
        fleet.start()
        connection.close()
        predecessor = vm.daemon
        self.addCleanup(predecessor.wait)
        self.addCleanup(predecessor.kill)
        logged = len(fleet.log(vm))
        fleet.start_daemon(vm)
        time.sleep(WAIT_S)
        self.assertIsNone(vm.daemon.poll())
        self.assertNotIn('"message": "started"', fleet.log(vm)[logged:])


if __name__ == "__main__":
    unittest.main()
