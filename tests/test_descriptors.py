"""A stop of a daemon that has no descriptor left.

Guards against processes that end by themselves in a stop, with the requests
that they have accepted.
"""

import os
import pathlib
import resource
import socket
import tempfile
import time
import unittest

from standins import sidecars

SPARE_DESCRIPTORS = 10
CONNECTIONS = 40
STOP_TIMEOUT_S = 15.0


class DescriptorTest(unittest.TestCase):
    """One VM, whose callers use all descriptors and fill the backlog."""

    # The stop accepted the backlog, and the error ended the process at once.
    def test_stop_without_descriptors_is_a_stop(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        fleet = sidecars.Sidecars(
            services=["desk"], directory=pathlib.Path(directory.name)
        )
        self.addCleanup(fleet.stop)
        fleet.start()
        vm = fleet.vms[0]
        pid = vm.daemon.pid
        used = len(os.listdir(f"/proc/{pid}/fd"))
        limit = used + SPARE_DESCRIPTORS
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, limit))
        for _ in range(CONNECTIONS):
            self.addCleanup(
                socket.create_connection(
                    ("127.0.0.1", vm.ports["outbound"])
                ).close
            )
        time.sleep(0.5)
        vm.daemon.terminate()
        self.assertEqual(
            vm.daemon.wait(STOP_TIMEOUT_S), 0, fleet.log(vm)[-2000:]
        )


if __name__ == "__main__":
    unittest.main()
