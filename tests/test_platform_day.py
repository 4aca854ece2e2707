"""Daemons on the users' platform, as processes on loopback, under faults."""

import pathlib
import tempfile
import threading
import time
import unittest

from standins import sidecars

READY_TIMEOUT_S = 30.0
MAX_RECOVERY_S = 15.0  # the platform's limit for serving after a full restart


class _OwnershipDays(unittest.TestCase):
    """Four VMs: three of a keyed service, one of a service without keys."""

    GRANTS = "heartbeat"

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = sidecars.Sidecars(
            services=["desk", "desk", "desk", "files"],
            directory=pathlib.Path(directory.name),
            grants=self.GRANTS,
        )
        self.addCleanup(self.fleet.stop)
        self.sent = 0
        with self.fleet.group.described_on_failure():
            self.fleet.start()
            self.fleet.put_config(sidecars.config(1), create=True)
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for vm in range(4):
            self._wait_until_served(
                range(0, 65536, 4096), deadline_s - time.monotonic(), vm
            )

    def _send(self, path: str, key: int | None, vm: int = 0, **options):
        self.sent += 1
        with self.fleet.group.described_on_failure():
            return self.fleet.send(
                self.fleet.vms[vm],
                path,
                request_id=f"r-{self.sent}",
                key=key,
                **options,
            )

    def _wait_until_served(
        self, keys: range, within_s: float, vm: int = 3
    ) -> None:
        """Waits until a VM has got 200 for each key."""
        started_s = time.monotonic()
        pending = list(keys)
        last_result: object = None
        while pending:
            try:
                last_result = self._send("/look/x", pending[0], vm=vm)
            except OSError as error:
                last_result = error
            if isinstance(last_result, tuple) and last_result[0] == 200:
                pending.pop(0)
                continue
            elapsed_s = time.monotonic() - started_s
            self.assertLess(
                elapsed_s,
                within_s,
                f"{last_result} for key {pending[0]}\n"
                f"{self.fleet.group.describe()}",
            )
            time.sleep(0.1)

    def _check_journal(self) -> None:
        """Checks that no request ran twice and no key had two holders."""
        runs = self.fleet.journal()
        ids = [r["id"] for r in runs]
        repeated = {i for i in ids if ids.count(i) > 1}
        self.assertEqual(
            len(ids),
            len(set(ids)),
            f"a request ran twice: {self._explain(repeated)}",
        )
        newest: dict[str, tuple[int, str]] = {}
        for run in sorted(runs, key=lambda r: r["began_ns"]):
            if not run["key"]:
                continue
            generation, instance = newest.get(run["key"], (0, ""))
            self.assertGreaterEqual(run["generation"], generation, run)
            if run["generation"] == generation:
                self.assertEqual(run["instance"], instance, run)
            newest[run["key"]] = (run["generation"], run["instance"])

    def _explain(self, request_ids: set[str]) -> str:
        """Returns what journals and logs say of some requests."""
        entries = [
            str(run) for run in self.fleet.journal() if run["id"] in request_ids
        ]
        lines = [
            f"{sidecar.vm} {line}"
            for sidecar in self.fleet.vms
            for line in self.fleet.log(sidecar).splitlines()
            if any(f'"{request_id}"' in line for request_id in request_ids)
        ]
        return "\n".join([*entries, *lines])

    def test_requests_reach_the_holder_of_their_key_from_any_vm(self):
        for vm in range(4):
            status, body = self._send("/book/x", 500, vm=vm, method="POST")
            self.assertEqual((status, body), (200, b"done"))
        self.assertEqual(self._send("/file/x", None)[0], 200)
        holders = {r["instance"] for r in self.fleet.journal() if r["key"]}
        self.assertGreater(len(holders), 1)
        origins = {
            r["origin"] for r in self.fleet.journal() if r["key"] == "500"
        }
        self.assertEqual(origins, {"desk", "files"})
        self._check_journal()

    def test_killed_daemon_restarts_before_its_targets_hold_expires(self):
        victim = self.fleet.vms[1]
        victim.daemon.kill()
        victim.daemon.wait()
        self.fleet.start_daemon(victim)
        self._wait_until_served(range(0, 65536, 4096), 5.0)
        instances = {r["instance"] for r in self.fleet.journal() if r["key"]}
        self.assertEqual(len(instances), 3, self.fleet.group.describe())
        self._check_journal()

    def test_keys_of_a_lost_vm_are_served_by_others(self):
        for process in (self.fleet.vms[2].daemon, self.fleet.vms[2].worker):
            process.kill()
            process.wait()
        self._wait_until_served(range(0, 65536, 4096), MAX_RECOVERY_S)
        self._check_journal()

    def test_fleet_serves_again_after_all_processes_are_killed(self):
        for vm_processes in self.fleet.vms:
            vm_processes.daemon.kill()
            vm_processes.worker.kill()
        for vm_processes in self.fleet.vms:
            vm_processes.daemon.wait()
            vm_processes.worker.wait()
            self.fleet.start_worker(vm_processes)
            self.fleet.start_daemon(vm_processes)
        self._wait_until_served(range(0, 65536, 4096), MAX_RECOVERY_S)
        self._check_journal()


class DayTest(_OwnershipDays):
    """Keys are granted in the answers to heartbeats."""

    def test_large_bodies_are_forwarded_whole_in_both_directions(self):
        large_body = bytes(range(256)) * (3 << 12)  # 3 MB, exceeds a frame
        for vm in range(4):
            status, body = self._send(
                "/book/x", 500, vm=vm, method="POST", body=large_body
            )
            self.assertEqual(status, 200)
            self.assertEqual(body, large_body)

    def test_unrouted_path_gets_404_and_a_new_plan_takes_effect(self):
        self.assertEqual(self._send("/new/x", 1, method="POST")[0], 404)
        self.fleet.put_config(sidecars.config(2, "/new/"))
        time.sleep(2.0)  # ConfigMs of the platform's bounds
        for vm in range(4):
            self.assertEqual(self._send("/new/x", 1, vm, method="POST")[0], 200)
            self.assertEqual(
                self._send("/book/x", 1, vm, method="POST")[0], 404
            )

    def test_requests_succeed_during_a_short_store_outage(self):
        for fault in ({"down": True}, {"silent": True}):
            self.fleet.set_faults(**fault)
            until_s = time.monotonic() + 3.0
            while time.monotonic() < until_s:
                self.assertEqual(self._send("/look/x", 9000)[0], 200)
                time.sleep(0.05)
            self.fleet.set_faults(down=False, silent=False)
            time.sleep(1.5)
        self._check_journal()

    def test_planned_stop_cuts_no_request(self):
        victim = self.fleet.vms[0]
        results: list[int] = []

        def keep_sending() -> None:
            for _ in range(15):
                results.append(
                    self._send("/look/x?ms=150", 100, method="POST")[0]
                )

        caller = threading.Thread(target=keep_sending)
        caller.start()
        time.sleep(0.2)
        victim.daemon.terminate()
        victim.daemon.wait(timeout=7)
        caller.join()
        self.assertEqual(victim.daemon.returncode, 0)
        self.assertEqual(set(results) - {200, 503}, set(), results)
        self._check_journal()


class CalledGrantsDayTest(_OwnershipDays):
    """Keys are granted by calls."""

    GRANTS = "call"

    def test_keys_move_and_stay_while_calls_are_carried_out_late(self):
        """applied_late: orders without an answer, a daemon killed meanwhile."""
        for sidecar in self.fleet.vms[:3]:
            self.fleet.delay_key_calls(sidecar, share=0.3, delay_ms=2500)
        victim = self.fleet.vms[1]
        victim.daemon.kill()
        victim.daemon.wait()
        self.fleet.start_daemon(victim)
        self._wait_until_served(range(0, 65536, 4096), MAX_RECOVERY_S)
        victim.worker.kill()
        victim.worker.wait()
        self._wait_until_served(range(0, 65536, 4096), MAX_RECOVERY_S)
        self.fleet.start_worker(victim)
        until_s = time.monotonic() + 5.0
        while time.monotonic() < until_s:
            for key in range(0, 65536, 4096):
                self._send("/look/x", key, vm=3)
        self._check_journal()


def load_tests(
    loader: unittest.TestLoader, tests: unittest.TestSuite, pattern: str
) -> unittest.TestSuite:
    """Leaves out the base class."""
    del tests, pattern
    return unittest.TestSuite(
        loader.loadTestsFromTestCase(case)
        for case in (DayTest, CalledGrantsDayTest)
    )
