"""Daemons whose address space is limited to what a VM grants them.

Guards against processes that end by themselves, with the requests that they
have accepted, as they reserve far more memory than they use.
"""

import http.client
import pathlib
import resource
import tempfile
import threading
import time
import unittest

from standins import sidecars

LIMIT_BYTES = 300 << 20
CALLERS_PER_VM = 20
REQUESTS_PER_CALLER = 25
WORK_MS = 30
UPLOAD_BYTES = 360_000
READY_TIMEOUT_S = 30.0
STATUS_FIELDS = ("VmPeak", "VmSize", "VmRSS", "Threads")


class AddressSpaceTest(unittest.TestCase):
    """Three VMs: keyed requests and uploads, each over a new connection."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = sidecars.Sidecars(
            services=["desk", "desk", "files"],
            directory=pathlib.Path(directory.name),
        )
        self.addCleanup(self.fleet.stop)
        with self.fleet.group.described_on_failure():
            self.fleet.start()
            self.fleet.put_config(sidecars.config(1), create=True)
            self._await_service()
        for vm in self.fleet.vms:
            limits = (LIMIT_BYTES, LIMIT_BYTES)
            resource.prlimit(vm.daemon.pid, resource.RLIMIT_AS, limits)
        self.unanswered: list[str] = []

    def _await_service(self) -> None:
        until_s = time.monotonic() + READY_TIMEOUT_S
        for vm in self.fleet.vms:
            while (
                self.fleet.send(vm, "/look/x", request_id="r", key=7)[0] != 200
            ):
                if time.monotonic() > until_s:
                    raise TimeoutError(f"{vm.vm} does not serve")
                time.sleep(0.1)

    def _call(self, vm: sidecars.Sidecar, caller: int) -> None:
        for n in range(REQUESTS_PER_CALLER):
            request_id = f"{vm.vm}-{caller}-{n}"
            options = {"key": (caller * 3001 + n * 997) % 65536}
            service = "look"
            if (caller + n) % 3 == 0:
                options = {"method": "POST", "body": bytes(UPLOAD_BYTES)}
                service = "file"
            try:
                self.fleet.send(
                    vm,
                    f"/{service}/x?ms={WORK_MS}",
                    request_id=request_id,
                    **options,
                )
            except (OSError, http.client.HTTPException) as error:
                self.unanswered.append(f"{request_id}: {error!r}")

    # The process aborted when a new thread's stack did not fit any more.
    def test_callers_are_answered_within_the_limit(self):
        threads = [
            threading.Thread(target=self._call, args=(vm, caller))
            for vm in self.fleet.vms
            for caller in range(CALLERS_PER_VM)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for vm in self.fleet.vms:
            self.assertIsNone(vm.daemon.poll(), self.fleet.log(vm)[-4000:])
        self.assertEqual(self.unanswered, [])
        for vm in self.fleet.vms:
            status = _status(vm.daemon.pid)
            self.assertEqual(status["Threads"], "1", status)


def _status(pid: int) -> dict[str, str]:
    """Returns the memory and threads of a process."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return {name: fields[name].strip() for name in STATUS_FIELDS}


if __name__ == "__main__":
    unittest.main()
