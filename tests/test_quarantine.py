"""Tests of the quarantine of requests that crash their targets."""

import unittest

import gevent

from primrosecross.domain import errors
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import quarantine
from primrosecross.domain.requests import request
from primrosecross.domain.requests import request_messages
from tests import fleet_fakes
from tests import request_fakes

LOST = outcome.Unknown(outcome.Reason.ANSWER_LOST, "")


class QuarantineTest(unittest.TestCase):
    """One crashing request among four daemons."""

    def setUp(self) -> None:
        self.cluster = request_fakes.Cluster(
            *"abcd", declared=request_fakes.service(keyed=False)
        )
        self.crashed: list[str] = []
        for vm in self.cluster.vms.values():
            self._crash_on_path(vm)

    def _crash_on_path(self, vm: request_fakes.Vm) -> None:
        def run(req: request.Request) -> outcome.Outcome:
            vm.targets.listening = not req.path.startswith("/crash")
            if vm.targets.listening:
                return outcome.Answered(200, (), b"")
            self.crashed.append(vm.name)
            self.cluster.clock.advance(400)
            return LOST

        vm.targets.action = run

    def _send(self, via: str, path: str = "/crash") -> outcome.Outcome:
        self.cluster.clock.advance(10_000)
        req = self.cluster.request(
            path=path, idempotent=True, identified=False, method="GET"
        )
        return self.cluster.vms[via].router.route(req)

    def test_a_crashing_request_costs_two_targets_through_any_daemon(self):
        results = [self._send(via) for via in "abcdabcd"]
        self.assertEqual(len(self.crashed), quarantine.QUARANTINE_CRASHES)
        self.assertIsInstance(results[0], outcome.Unknown)
        for result in results[2:]:
            self.assertIsInstance(result, outcome.NotRun)
            self.assertEqual(result.reason, outcome.Reason.QUARANTINED)

    def test_other_requests_run(self):
        for via in "abcd":
            self._send(via)
        self.assertIsInstance(self._send("a", "/book"), outcome.Answered)

    def test_a_suspect_is_listed_and_released_on_all_daemons(self):
        for via in "ab":
            self._send(via)
        quarantine_on_c = self.cluster.vms["c"].quarantine
        (suspect,) = quarantine_on_c.suspects()
        self.assertTrue(suspect.refused)
        self.assertEqual(suspect.path, "/crash")
        quarantine_on_c.release(suspect.fingerprint)
        for vm in self.cluster.vms.values():
            self.assertEqual(vm.quarantine.suspects(), [])
        with self.assertRaises(errors.NotFoundError):
            quarantine_on_c.release(suspect.fingerprint)

    def test_the_suspicion_expires(self):
        for via in "ab":
            self._send(via)
        self.cluster.clock.advance(quarantine.EXPIRY_MS)
        for vm in self.cluster.vms.values():
            self.assertEqual(vm.quarantine.suspects(), [])

    def test_an_answer_clears_a_concurrent_request(self):
        concurrent = self.cluster.request(path="/book")
        vm = self.cluster.vms["a"]
        vm.quarantine.record_crash(concurrent, "t")
        self.assertEqual(len(vm.quarantine.suspects()), 1)
        vm.quarantine.record_answer(concurrent)
        self.assertEqual(vm.quarantine.suspects(), [])

    def test_losses_in_one_crash_count_once(self):
        concurrent = self.cluster.request(path="/book")
        vm = self.cluster.vms["a"]
        for _ in range(3):
            vm.quarantine.record_crash(concurrent, "t")
        self.assertEqual(vm.quarantine.suspects()[0].vms, ("a",))

    def test_a_daemon_that_missed_the_notes_gets_them(self):
        self.cluster.peers.lost.add("d")
        for via in "ab":
            self._send(via)
        quarantine_on_d = self.cluster.vms["d"].quarantine
        self.assertEqual(quarantine_on_d.suspects(), [])
        self.cluster.peers.lost.clear()
        quarantine_on_d.sync_notes()
        (suspect,) = quarantine_on_d.suspects()
        self.assertTrue(suspect.refused)
        self.cluster.peers.lost.add("d")
        self.cluster.vms["a"].quarantine.release(suspect.fingerprint)
        self.cluster.peers.lost.clear()
        for _ in range(20):
            quarantine_on_d.sync_notes()
        self.assertEqual(quarantine_on_d.suspects(), [])

    def test_a_broadcast_carries_the_whole_note(self):
        req = self.cluster.request(path="/crash")
        self.cluster.peers.lost.add("d")
        self.cluster.vms["a"].quarantine.record_crash(req, "t1")
        self.cluster.peers.lost.clear()
        self.cluster.vms["b"].quarantine.record_crash(req, "t2")
        (suspect,) = self.cluster.vms["d"].quarantine.suspects()
        self.assertTrue(suspect.refused)

    def test_a_late_note_does_not_undo_a_release(self):
        for via in "ab":
            self._send(via)
        quarantine_on_c = self.cluster.vms["c"].quarantine
        listed = quarantine_on_c.handle_list(
            operator_messages.ListQuarantined()
        )
        quarantine_on_c.release(listed.notes[0].fingerprint)
        quarantine_on_c.handle_notes(request_messages.NoteCrashes(listed.notes))
        self.assertEqual(quarantine_on_c.suspects(), [])


class RestartTest(unittest.TestCase):
    """A new process "a" among members, of which "b" knows a quarantine."""

    def setUp(self) -> None:
        self.clock = fleet_fakes.GeventClock()
        self.peers = fleet_fakes.Peers()
        self.members: list[str] = ["a"]
        self.req = fleet_fakes.make_request()
        for vm in "bcd":
            self.peers.handlers[vm] = self._make("bcd", vm).handle_list
        informed = self._make((), "b")
        for address in ("t1", "t2"):
            informed.record_crash(self.req, address)
        self.peers.handlers["b"] = informed.handle_list
        self.restarted = self._make(self.members, "a")

    def _make(self, members, vm: str) -> quarantine.Quarantine:
        return quarantine.Quarantine(
            vm=vm,
            members=lambda: members,
            peers=self.peers,
            clock=self.clock,
            timeline=fleet_fakes.NoTimeline(),
        )

    def _start(self) -> None:
        task = gevent.spawn(self.restarted.run)
        self.addCleanup(task.kill)
        gevent.sleep(0)

    def test_notes_are_fetched_before_the_first_request(self):
        """The other members, of which two know nothing, become known late."""
        self._start()
        gevent.spawn(self.members.extend, "bcd")
        result = self.restarted.check(self.req)
        self.assertEqual(result.reason, outcome.Reason.QUARANTINED)

    def test_a_member_that_does_not_answer_is_not_the_only_one_asked(self):
        del self.peers.handlers["c"], self.peers.handlers["d"]
        self.members.extend("cdb")
        self._start()
        result = self.restarted.check(self.req)
        self.assertEqual(result.reason, outcome.Reason.QUARANTINED)

    def test_a_daemon_alone_serves_after_a_while(self):
        started_ns = self.clock.now_ns()
        self._start()
        self.assertIsNone(self.restarted.check(self.req))
        waited_ms = (self.clock.now_ns() - started_ns) / 1e6
        # The periodic task sleeps once before this one goes on.
        self.assertLessEqual(waited_ms, 2 * quarantine.FIRST_SYNC_WAIT_MS)
