"""The soak's checks and a short seeded soak run."""

import shutil
import signal
import subprocess
import unittest
from unittest import mock

import gevent

from soak import checks
from soak import process_ends
from soak import scenario
from standins import sidecars


def _run(
    request_id: str, key: str, generation: int, instance: str, began_ns: int
):
    return {
        "id": request_id,
        "key": key,
        "generation": generation,
        "instance": instance,
        "began_ns": began_ns,
    }


class ChecksTest(unittest.TestCase):
    """Each check reports its violation."""

    def test_reports_second_execution_of_unsafe_request(self):
        results = [checks.CallerResult("r", False, 200, True)]
        runs = [_run("r", "1", 2, "a", 1), _run("r", "1", 2, "a", 2)]
        self.assertEqual(
            checks.violations(results, runs), ["r was executed 2 times"]
        )

    def test_reports_executed_request_refused_as_not_run(self):
        results = [checks.CallerResult("r", False, 503, False)]
        found = checks.violations(results, [_run("r", "1", 2, "a", 1)])
        self.assertEqual(found, ["r was executed but got 503"])

    def test_reports_response_of_another_request(self):
        results = [checks.CallerResult("r", True, 200, False)]
        found = checks.violations(results, [_run("r", "", 0, "a", 1)])
        self.assertEqual(found, ["r got the response of another request"])

    def test_reports_two_holders_and_old_generation(self):
        same_generation = [_run("r", "1", 2, "a", 1), _run("s", "1", 2, "b", 2)]
        older_generation = [
            _run("r", "1", 3, "a", 1),
            _run("s", "1", 2, "b", 2),
        ]
        self.assertEqual(len(checks.violations([], same_generation)), 1)
        self.assertEqual(len(checks.violations([], older_generation)), 1)

    def test_reports_request_that_is_lost_without_a_disruption(self):
        passed_on = checks.CallerResult("r", True, 0, False, 9.0, 9.1, 9.2)
        ended_late = checks.CallerResult("s", True, 0, False, 9.0, 9.1, 9.4)
        crossing = checks.CallerResult("t", True, 0, False, 9.0, 9.1, 9.2)
        sent_in_part = checks.CallerResult("u", True, 0, False, 9.0, 0.0, 9.4)
        results = [passed_on, ended_late, crossing, sent_in_part]
        runs = [_run("r", "", 0, "a", 1)]
        found = checks.violations(results, runs)
        self.assertEqual([text.split()[0] for text in found], ["r", "s"])
        for disruption, count in (
            (checks.Disruption(1.0, 5.9), 2),
            (checks.Disruption(1.0, 6.1), 0),
            (checks.Disruption(9.1), 0),
            (checks.Disruption(9.5), 2),
        ):
            found = checks.violations(results, runs, [disruption])
            self.assertEqual(len(found), count, disruption)

    def test_reports_process_that_ends_by_itself(self):
        for expected, status, is_reported, is_started in (
            (None, 1, True, True),
            (0, -15, True, False),
            (0, 0, False, False),
            (9, -9, False, False),
            (None, None, False, False),
        ):
            with self.subTest(expected=expected, status=status):
                process = mock.Mock(args=["", "", "daemon"])
                process.poll.return_value = status
                fleet = mock.Mock(vms=[mock.Mock(daemon=process, worker=None)])
                ends = process_ends.ProcessEnds(fleet)
                if expected is not None:
                    ends.expect(process, expected)
                self.assertEqual(len(ends.violations()), is_reported)
                self.assertEqual(len(ends.violations()), is_reported)
                self.assertEqual(fleet.start_daemon.call_count, is_started)


class FaultTasksTest(unittest.TestCase):
    """Faults that last longer than their injection."""

    def setUp(self) -> None:
        self.scenario = scenario.Scenario(seed=1, length_s=0.2, vms=2)
        self.addCleanup(shutil.rmtree, self.scenario.directory)
        self.steps: list[str] = []
        self.faults = [self._fault]
        for name, replacement in (
            ("start", lambda _: None),
            ("put_config", lambda *_, **__: None),
            ("stop", lambda _: self.steps.append("stopped")),
        ):
            self._patch(sidecars.Sidecars, name, replacement)
        for name, replacement in (
            ("_run_caller", lambda *_: None),
            ("_inject_faults", lambda _: self._start_faults()),
            ("_clear_faults", lambda _: self.steps.append("cleared")),
            ("_await_all_keys", lambda *_: True),
        ):
            self._patch(scenario.Scenario, name, replacement)

    def _patch(self, owner: type, name: str, replacement: object) -> None:
        patcher = mock.patch.object(owner, name, replacement)
        patcher.start()
        self.addCleanup(patcher.stop)

    def _start_faults(self) -> None:
        self.scenario._faults += [gevent.spawn(fault) for fault in self.faults]

    def _fault(self) -> None:
        try:
            gevent.sleep(0.5)
            self.steps.append("restarted")
        finally:
            self.steps.append("fault ended")

    def _failing_fault(self) -> None:
        raise ValueError("fault failed")

    def test_faults_end_before_they_are_cleared(self):
        self.assertEqual(self.scenario.execute(), [])
        self.assertEqual(
            self.steps, ["restarted", "fault ended", "cleared", "stopped"]
        )

    def test_faults_end_with_a_run_that_fails(self):
        self.faults.insert(0, self._failing_fault)
        with self.assertRaisesRegex(ValueError, "fault failed"):
            self.scenario.execute()
        self.assertEqual(self.steps, ["fault ended", "stopped"])

    # Guards against a daemon that stays away as its stop and a pause overlap
    # (seed 119110).
    def test_daemon_that_is_paused_at_its_stop_is_back(self):
        sidecar = self.scenario._fleet.vms[0]
        sidecar.daemon = subprocess.Popen(["sleep", "60"])
        self.addCleanup(sidecar.daemon.wait)
        self.addCleanup(sidecar.daemon.kill)
        sidecar.daemon.send_signal(signal.SIGSTOP)
        started: list[sidecars.Sidecar] = []
        self._patch(
            sidecars.Sidecars, "start_daemon", lambda _, vm: started.append(vm)
        )
        self._patch(scenario, "STOP_LIMIT_S", 0.2)
        self._patch(process_ends, "await_program", lambda _: None)
        self._patch(
            self.scenario,
            "_random",
            mock.Mock(choice=lambda _: signal.SIGTERM, uniform=lambda *_: 0.1),
        )
        self.scenario._stop_daemon(sidecar, 0)
        self.assertEqual(started, [sidecar])


class SoakTest(unittest.TestCase):
    """One short run."""

    def test_short_run_violates_no_guarantee(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                self._play(seed)

    def _play(self, seed: int) -> None:
        soak_run = scenario.Scenario(seed=seed, length_s=6.0, vms=4)
        self.assertEqual(soak_run.execute(), [], soak_run.directory)
        shutil.rmtree(soak_run.directory)
