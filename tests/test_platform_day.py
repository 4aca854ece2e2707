"""A short day on the users' platform, played by processes on loopback."""

import pathlib
import tempfile
import threading
import time
import unittest

from standins import sidecars

READY_S = 30.0
RECOVER_S = 15.0  # the platform's bound for service after a full restart


class DayTest(unittest.TestCase):
    """Four VMs: three with keys, one without."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = sidecars.Sidecars(
            services=["desk", "desk", "desk", "files"],
            directory=pathlib.Path(directory.name),
        )
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.fleet.put_config(sidecars.config(1), first=True)
        self.sent = 0
        self._await_served(range(0, 65536, 4096), READY_S)

    def _send(self, path: str, key: int | None, vm: int = 0, **changed):
        self.sent += 1
        return self.fleet.send(
            self.fleet.vms[vm],
            path,
            request_id=f"r-{self.sent}",
            key=key,
            **changed,
        )

    def _await_served(self, keys: range, within_s: float) -> float:
        """Waits until a request to each key is answered; returns how long."""
        began_s = time.monotonic()
        left = list(keys)
        last: object = None
        while left:
            try:
                last = self._send("/look/x", left[0], vm=3)
            except OSError as error:
                last = error
            if isinstance(last, tuple) and last[0] == 200:
                left.pop(0)
                continue
            passed_s = time.monotonic() - began_s
            logs = "\n".join(self.fleet.log(v)[-1500:] for v in self.fleet.vms)
            self.assertLess(
                passed_s, within_s, f"{last} for key {left[0]}\n{logs}"
            )
            time.sleep(0.1)
        return time.monotonic() - began_s

    def _check_journal(self) -> None:
        """No booking ran twice; no key had two holders at a time."""
        runs = self.fleet.journal()
        ids = [r["id"] for r in runs]
        self.assertEqual(len(ids), len(set(ids)), "a request ran twice")
        newest: dict[str, tuple[int, str]] = {}
        for run in sorted(runs, key=lambda r: r["began_ns"]):
            if not run["key"]:
                continue
            generation, instance = newest.get(run["key"], (0, ""))
            self.assertGreaterEqual(run["generation"], generation, run)
            if run["generation"] == generation:
                self.assertEqual(run["instance"], instance, run)
            newest[run["key"]] = (run["generation"], run["instance"])

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

    def test_large_bodies_arrive_whole_and_come_back(self):
        bundle = bytes(range(256)) * (3 << 12)  # 3 MB, more than one frame
        for vm in range(4):
            status, body = self._send(
                "/book/x", 500, vm=vm, method="POST", body=bundle
            )
            self.assertEqual(status, 200)
            self.assertEqual(body, bundle)

    def test_what_no_route_allows_is_refused_and_a_new_plan_takes_hold(self):
        self.assertEqual(self._send("/new/x", 1, method="POST")[0], 404)
        self.fleet.put_config(sidecars.config(2, "/new/"))
        time.sleep(2.0)  # ConfigMs of the platform's bounds
        for vm in range(4):
            self.assertEqual(self._send("/new/x", 1, vm, method="POST")[0], 200)
            self.assertEqual(
                self._send("/book/x", 1, vm, method="POST")[0], 404
            )

    def test_a_short_outage_of_the_store_ends_nothing(self):
        for fault in ({"down": True}, {"silent": True}):
            self.fleet.set_faults(**fault)
            until_s = time.monotonic() + 3.0
            while time.monotonic() < until_s:
                self.assertEqual(self._send("/look/x", 9000)[0], 200)
                time.sleep(0.05)
            self.fleet.set_faults(down=False, silent=False)
            time.sleep(1.5)
        self._check_journal()

    def test_a_killed_daemon_is_back_before_its_targets_hold_runs_out(self):
        victim = self.fleet.vms[1]
        victim.daemon.kill()
        victim.daemon.wait()
        self.fleet.start_daemon(victim)
        self._await_served(range(0, 65536, 4096), 5.0)
        lives = {r["instance"] for r in self.fleet.journal() if r["key"]}
        self.assertEqual(len(lives), 3)
        self._check_journal()

    def test_the_keys_of_a_lost_vm_are_served_elsewhere(self):
        for process in (self.fleet.vms[2].daemon, self.fleet.vms[2].worker):
            process.kill()
            process.wait()
        self._await_served(range(0, 65536, 4096), RECOVER_S)
        self._check_journal()

    def test_all_killed_at_once_serve_again(self):
        for one in self.fleet.vms:
            one.daemon.kill()
            one.worker.kill()
        for one in self.fleet.vms:
            one.daemon.wait()
            one.worker.wait()
            self.fleet.start_worker(one)
            self.fleet.start_daemon(one)
        self._await_served(range(0, 65536, 4096), RECOVER_S)
        self._check_journal()

    def test_a_planned_stop_cuts_no_request(self):
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
