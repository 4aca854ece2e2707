"""Tests of dispatching: target selection, retries, key moves, outcomes."""

import collections
import functools
import unittest

import gevent

from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import proof
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.domain.ownership import target_watch
from primrosecross.domain.requests import body_memory
from primrosecross.domain.requests import dispatcher
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import quarantine
from primrosecross.domain.requests import request
from primrosecross.domain.requests import request_messages
from primrosecross.domain.requests import routes
from primrosecross.domain.requests import target_gate
from primrosecross.ports import peers as peers_port
from tests import fleet_fakes

_LAST = key_map.LAST_KEY


def _entry(vm: str, *, state: str = "ready", place: str = "a"):
    return fleet_messages.VmEntry(vm, place, f"{vm}:1", "desk", 2, state, False)


def _answered(forward: request_messages.Forward, status: int = 200):
    return request_messages.ForwardAnswered(
        forward.request_id, status, (), b"there"
    )


def _not_run(forward: request_messages.Forward, reason: outcome.Reason):
    return request_messages.ForwardNotRun(
        forward.request_id, reason.value, "refused", 100
    )


def _lost(forward: request_messages.Forward):
    return request_messages.ForwardUnknown(
        forward.request_id, outcome.Reason.ANSWER_LOST.value, "lost"
    )


class DispatcherTest(unittest.TestCase):
    """Daemon "a" with a local target, and other daemons "b" and "c"."""

    def setUp(self) -> None:
        self.clock = fleet_fakes.GeventClock()
        self.state = fleet_state.FleetState()
        self.peers = fleet_fakes.Peers()
        self.targets = fleet_fakes.Targets()
        self.lease = proof.ProofLease(clock=self.clock)
        self.watch = target_watch.TargetWatch(
            lease=self.lease,
            key_map=lambda: self.state.key_map,
            max_hold_ms=10_000,
            clock=self.clock,
            on_change=lambda: None,
        )
        self.gate = target_gate.TargetGate(
            watch=self.watch,
            key_map=lambda: self.state.key_map,
            targets=self.targets,
            quarantine=quarantine.Quarantine(
                vm="a",
                members=list,
                peers=self.peers,
                clock=self.clock,
                timeline=None,
            ),
            drain_ms=2000,
            clock=self.clock,
        )
        self.dispatcher = dispatcher.Dispatcher(
            vm="a",
            place="a",
            state=self.state,
            gate=self.gate,
            peers=self.peers,
            clock=self.clock,
            bodies=body_memory.BodyMemory(clock=self.clock),
        )

    def _update_entries(self, *entries: fleet_messages.VmEntry) -> None:
        self.state.update_entries(entries, replace_all=True)

    def _run(
        self, max_run_attempts: int = 2, **changed: object
    ) -> outcome.Outcome:
        return self.dispatcher.run(
            fleet_fakes.make_request(**changed),
            max_run_attempts=max_run_attempts,
        )

    # Guards against a 502 for a run that goes on at a slow VM (LOST).
    def test_last_attempt_of_a_request_waits_for_a_silent_vm(self):
        self._update_entries(_entry("b"), _entry("c"))
        self.peers.handlers = {"b": _lost, "c": _lost}
        self._run(max_run_attempts=2, idempotent=True)
        self.assertEqual(
            self.peers.patience,
            [
                peers_port.Patience.UNTIL_SILENT,
                peers_port.Patience.UNTIL_REMOVED,
            ],
        )

    def test_request_that_must_not_run_twice_waits_for_a_silent_vm(self):
        self._update_entries(_entry("b"))
        self.peers.handlers = {"b": _lost}
        self._run(max_run_attempts=2, idempotent=False)
        self.assertEqual(
            self.peers.patience, [peers_port.Patience.UNTIL_REMOVED]
        )

    # Guards against a 503 for an upload cut off on its way to another VM.
    def test_request_whose_body_was_cut_between_vms_is_sent_elsewhere(self):
        self._update_entries(_entry("b"), _entry("c"))
        cut = functools.partial(_not_run, reason=outcome.Reason.BODY_CUT)
        self.peers.handlers = {"b": cut, "c": cut}
        result = self._run(idempotent=False)
        self.assertIsInstance(result, outcome.NotRun)
        self.assertEqual(sorted(self._forwards()), ["b", "c"])

    def _forwards(self) -> list[str]:
        return [
            vm
            for vm, message in self.peers.sent
            if isinstance(message, request_messages.Forward)
        ]

    def test_a_request_reaches_another_vm_and_its_answer_comes_back(self):
        self._update_entries(_entry("b"))
        self.peers.handlers["b"] = _answered
        self.assertEqual(self._run().body, b"there")

    def test_requests_that_did_not_run_go_to_other_targets(self):
        self._update_entries(_entry("b"), _entry("c"))
        self.peers.handlers["b"] = self.peers.handlers["c"] = lambda f: (
            _not_run(f, outcome.Reason.OVERLOADED)
        )
        result = self._run(idempotent=False)
        self.assertEqual(result.reason, outcome.Reason.OVERLOADED)
        self.assertEqual(sorted(self._forwards()), ["b", "c"])

    def test_overload_of_all_targets_refuses_a_request_after_one_try(self):
        """Overload (burst): every target has just refused such requests."""
        self._update_entries(_entry("b"), _entry("c"), _entry("d"))
        refuse = functools.partial(_not_run, reason=outcome.Reason.OVERLOADED)
        self.peers.handlers = dict.fromkeys("bcd", refuse)
        self._run()
        self.assertEqual(len(self.peers.sent), 3)
        self._run()
        self.assertEqual(len(self.peers.sent), 4)
        self.clock.advance(1000)
        self._run()
        self.assertEqual(len(self.peers.sent), 7)

    def test_a_stopping_daemon_takes_what_overloads_the_others(self):
        """A roll of all VMs: those about to stop can still serve for 2 s."""
        self._update_entries(_entry("b"), _entry("c", state="stopping"))
        self.peers.handlers = {
            "b": _answered,
            "c": _answered,
        }
        self._run()
        self.assertEqual([vm for vm, _ in self.peers.sent], ["b"])
        self.peers.handlers["b"] = functools.partial(
            _not_run, reason=outcome.Reason.OVERLOADED
        )
        self.assertIsInstance(self._run(), outcome.Answered)
        self.assertEqual([vm for vm, _ in self.peers.sent], ["b", "b", "c"])

    def test_a_lost_answer_is_retried_only_if_idempotent(self):
        self._update_entries(_entry("b"), _entry("c"))
        self.peers.handlers["b"] = self.peers.handlers["c"] = _lost
        result = self._run(idempotent=False)
        self.assertIsInstance(result, outcome.Unknown)
        self.assertEqual(len(self._forwards()), 1)
        self._run(idempotent=True)
        self.assertEqual(len(self._forwards()), 3)

    def test_a_refusal_after_a_lost_answer_is_not_reported_as_not_run(self):
        self._update_entries(_entry("b"), _entry("c"))
        replies = collections.deque([_lost])

        def answer(forward):
            if replies:
                return replies.popleft()(forward)
            return _not_run(forward, outcome.Reason.OVERLOADED)

        self.peers.handlers["b"] = self.peers.handlers["c"] = answer
        self.assertIsInstance(self._run(), outcome.Unknown)

    def test_retries_stay_within_the_max_attempts_of_the_route(self):
        self._update_entries(*(_entry(vm) for vm in "bcdef"))
        for vm in "bcdef":
            self.peers.handlers[vm] = lambda f: _answered(f, 500)
        self._run(max_run_attempts=2)
        self.assertEqual(len(self._forwards()), 2)

    def test_no_retry_starts_that_would_miss_the_deadline(self):
        self._update_entries(_entry("b"), _entry("c"))

        def answer_late(forward):
            self.clock.advance(1500)
            return _answered(forward, 500)

        self.peers.handlers["b"] = self.peers.handlers["c"] = answer_late
        self.assertEqual(self._run().status, 500)
        self.assertEqual(len(self._forwards()), 1)

    def test_retries_are_a_small_share_of_the_requests(self):
        """Guards against retry storms when targets fail requests (srv_grey)."""
        self._update_entries(*(_entry(vm) for vm in "bcd"))
        for vm in "bcd":
            self.peers.handlers[vm] = lambda f: _answered(f, 500)
        for _ in range(200):
            self._run()
        self.assertLess(len(self._forwards()) - 200, 0.2 * 200)

    def test_failed_runs_are_retried_less_than_refusals(self):
        """All targets refuse or fail for a while (srv_grey, shed all).

        A retry after a failed run repeats the nested calls of that run, and
        both count against the budget of the called service.
        """
        self._update_entries(*(_entry(vm) for vm in "bcd"))
        retries = {}
        for name, answer in (
            ("failed", lambda f: _answered(f, 500)),
            ("shed", lambda f: _not_run(f, outcome.Reason.TARGET_REFUSED)),
        ):
            for vm in "bcd":
                self.peers.handlers[vm] = answer
            before = len(self._forwards())
            for _ in range(400):
                self._run()
            retries[name] = len(self._forwards()) - before - 400
        self.assertLessEqual(retries["shed"], 0.1 * 400)
        self.assertLessEqual(retries["failed"], 0.04 * 400)

    def test_a_key_follows_its_holder_to_another_vm(self):
        self._update_entries(_entry("b"), _entry("c"))
        self.state.update_map(
            fleet_fakes.make_map(
                key_map.KeyRange(0, _LAST, "i-2@1", 3),
                vms={"i-2@1": "b"},
            )
        )

        def move_key(forward):
            self.state.update_map(
                fleet_fakes.make_map(
                    key_map.KeyRange(0, _LAST, "i-3@1", 6),
                    version=6,
                    vms={"i-3@1": "c"},
                )
            )
            return _not_run(forward, outcome.Reason.NOT_OWNER)

        self.peers.handlers["b"] = move_key
        self.peers.handlers["c"] = _answered
        self.assertEqual(self._run(key="7").body, b"there")
        self.assertEqual(self._forwards(), ["b", "c"])

    def test_a_key_of_a_lost_vm_is_refused_at_once(self):
        self._update_entries(_entry("b", state="lost"))
        self.state.update_map(
            fleet_fakes.make_map(
                key_map.KeyRange(0, _LAST, "i-2@1", 3), vms={"i-2@1": "b"}
            )
        )
        started_ns = self.clock.now_ns()
        self.assertIsInstance(self._run(key="7"), outcome.NotRun)
        self.assertEqual(self.clock.now_ns(), started_ns)

    def test_a_key_of_an_unreachable_vm_is_refused_at_once(self):
        """A VM is down but not yet detected as lost (replace_core, power)."""
        self._update_entries(_entry("b"))
        holder = key_map.KeyRange(0, _LAST, "i-2@1", 3)
        self.state.update_map(fleet_fakes.make_map(holder, vms={"i-2@1": "b"}))
        started_ns = self.clock.now_ns()
        result = self._run(key="7")
        self.assertEqual(result.reason, outcome.Reason.OWNER_UNREACHABLE)
        self.assertEqual(self.clock.now_ns(), started_ns)
        self.assertEqual(len(self._forwards()), 1)

    def test_a_key_that_is_being_revoked_is_refused_at_once(self):
        self._update_entries(_entry("b"))
        original_map = fleet_fakes.make_map(
            key_map.KeyRange(0, _LAST, "i-2@1", 3), vms={"i-2@1": "b"}
        )
        revoked = key_map.Holder(
            "i-2@1", "b", "desk", key_map.HolderState.REVOKING, 5
        )
        self.state.update_map(
            key_map.KeyMap(5, {"i-2@1": revoked}, original_map.tables)
        )
        self.peers.handlers["b"] = lambda f: _not_run(
            f, outcome.Reason.NOT_OWNER
        )
        self._run(key="7")
        self.assertEqual(len(self._forwards()), 1)

    def test_weights_hold_over_a_few_requests(self):
        split = fleet_fakes.route(
            shares=(routes.Share("x", 90), routes.Share("y", 10))
        )
        chosen = collections.Counter(
            self.dispatcher.choose_service(split) for _ in range(20)
        )
        self.assertEqual(chosen, {"x": 18, "y": 2})

    def test_a_service_of_weight_zero_gets_nothing(self):
        split = fleet_fakes.route(
            shares=(routes.Share("x", 0), routes.Share("y", 10))
        )
        self.assertEqual(self.dispatcher.choose_service(split), "y")

    def test_targets_in_the_same_zone_are_preferred_at_equal_latency(self):
        self._update_entries(_entry("b", place="far"), _entry("c", place="a"))
        self.peers.handlers["b"] = self.peers.handlers["c"] = _answered
        for _ in range(20):
            self._run()
        self.assertEqual(set(self._forwards()), {"c"})


class GateTest(DispatcherTest):
    """The gate of the local target."""

    def _send_heartbeat(self, **changed: object) -> None:
        self.watch.handle_heartbeat(fleet_fakes.heartbeat(**changed))
        self.gate.queue.set_slots(2)
        self._update_entries(_entry("a"))

    def _grant(self) -> None:
        self.state.update_map(
            fleet_fakes.make_map(
                key_map.KeyRange(0, _LAST, "i-1@1000", 3),
                vms={"i-1@1000": "a"},
            )
        )
        self.lease.record_proof(
            proof.Proof(5, self.clock.now_ns()), map_version=5
        )

    def test_a_key_that_is_held_runs(self):
        self._grant()
        self._send_heartbeat()
        self.clock.advance(target_watch.GRANT_APPLY_MS)
        self.assertEqual(self._run(key="7").body, b"ok")
        self.assertEqual(self.gate.drain_key_counts(), ((7, 1),))

    def test_a_key_that_is_not_held_does_not_run(self):
        self._send_heartbeat()
        refused = self.gate.run(fleet_fakes.make_request(key="7"))
        self.assertEqual(refused.reason, outcome.Reason.NOT_OWNER)
        self.assertEqual(self.targets.ran, [])

    def test_a_draining_target_gets_no_unkeyed_requests(self):
        self._send_heartbeat()
        self.watch.start_draining("i-1")
        refused = self.gate.run(fleet_fakes.make_request())
        self.assertEqual(refused.reason, outcome.Reason.LEAVING)
        self.assertEqual(self.targets.ran, [])

    def test_a_draining_target_serves_its_keys_during_the_hand_over(self):
        """Targets are drained and removed (scale_in, release)."""
        self._grant()
        self._send_heartbeat()
        self.clock.advance(target_watch.GRANT_APPLY_MS)
        self.watch.start_draining("i-1")
        keyed = fleet_fakes.make_request(key="7")
        self.assertIsInstance(self.gate.run(keyed), outcome.Answered)
        self.clock.advance(1300)
        refused = self.gate.run(fleet_fakes.make_request(key="7"))
        self.assertEqual(refused.reason, outcome.Reason.LEAVING)

    def test_a_restarted_daemon_sends_nothing_to_a_draining_target(self):
        """Daemons restart while targets drain (roll_term, scale_in)."""
        self._grant()
        self._send_heartbeat(state=target_heartbeat.TargetState.DRAINING)
        self.clock.advance(target_watch.GRANT_APPLY_MS)
        refused = self.gate.run(fleet_fakes.make_request(key="7"))
        self.assertEqual(refused.reason, outcome.Reason.LEAVING)

    def test_a_request_that_crashes_targets_is_refused_the_third_time(self):
        self._send_heartbeat()
        self.targets.alive = False
        self.targets.answer = lambda req: outcome.Unknown(
            outcome.Reason.ANSWER_LOST, "reset"
        )
        self.gate._quarantine._timeline = fleet_fakes.NoTimeline()
        for born_ms in (1000, 2000):
            self._send_heartbeat(born_ms=born_ms)
            result = self.gate.run(fleet_fakes.make_request())
            self.assertEqual(result.reason, outcome.Reason.TARGET_CRASHED)
            self.clock.advance(1000)
        self._send_heartbeat(born_ms=3000)
        refused = self.gate.run(fleet_fakes.make_request())
        self.assertEqual(refused.reason, outcome.Reason.QUARANTINED)
        self.assertEqual(len(self.targets.ran), 2)

    def _quarantine(self, req: request.Request) -> None:
        self.gate._quarantine._timeline = fleet_fakes.NoTimeline()
        for address in ("t1", "t2"):
            self.gate._quarantine.record_crash(req, address)

    def test_the_daemon_that_takes_a_request_refuses_a_quarantined_one(self):
        """The other one was restarted and does not know of the crashes."""
        self._update_entries(_entry("b"))
        self.peers.handlers["b"] = _answered
        self._quarantine(fleet_fakes.make_request())
        self.assertEqual(self._run().reason, outcome.Reason.QUARANTINED)
        self.assertEqual(self._forwards(), [])

    def test_a_request_is_not_sent_again_once_it_is_quarantined(self):
        self._update_entries(_entry("b"), _entry("c"))

        def crash(forward: request_messages.Forward):
            self._quarantine(fleet_fakes.make_request())
            return _lost(forward)

        self.peers.handlers = {"b": crash, "c": crash}
        self.assertIsInstance(self._run(), outcome.Unknown)
        self.assertEqual(len(self._forwards()), 1)

    def test_a_queued_request_is_refused_once_it_is_quarantined(self):
        self._send_heartbeat()
        req = fleet_fakes.make_request()
        slots = [self.gate.queue.acquire(req) for _ in range(2)]
        queued = gevent.spawn(self.gate.run, req)
        gevent.sleep(0)
        self._quarantine(req)
        for slot in slots:
            self.gate.queue.release(slot)
        self.assertEqual(queued.get().reason, outcome.Reason.QUARANTINED)
        self.assertEqual(self.targets.ran, [])
