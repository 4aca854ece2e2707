"""Keys granted to the local target by calls, whose answers may be lost."""

import unittest

from primrosecross.domain.ownership import grant_caller
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import proof
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.domain.ownership import target_watch
from primrosecross.ports import key_calls
from tests import fakes
from tests import fleet_fakes

_NS_PER_MS = proof.NS_PER_MS
_LAST = key_map.LAST_KEY
_DRIFT = 1 + proof.DRIFT_SHARE


class FakeCalls:
    """Answers calls with results set by the test."""

    def __init__(self, clock: fakes.ManualClock) -> None:
        self._clock = clock
        self.sent: list[key_calls.KeyCall] = []
        self.results: list[key_calls.CallResult] = []
        self.default: key_calls.CallResult = key_calls.Done("token", 1)

    def call(self, instance, order, *, timeout_ms):
        """Takes 1 ms if answered, else the time limit."""
        del instance
        self.sent.append(order)
        result = self.results.pop(0) if self.results else self.default
        in_doubt = isinstance(result, key_calls.InDoubt)
        self._clock.advance(timeout_ms if in_doubt else 1)
        self.closed_ns = self._clock.now_ns()
        return result


class CalledGrantsTest(unittest.TestCase):
    """One target, which holds keys 0 to 99 and may get or lose others."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.lease = proof.ProofLease(clock=self.clock)
        self.map = fleet_fakes.make_map(
            key_map.KeyRange(0, 99, "i-1@1000", 3, token="earlier"),
            key_map.KeyRange(100, _LAST, "i-2@1000", 3),
            vms={"i-1@1000": "a", "i-2@1000": "b"},
        )
        self.calls = FakeCalls(self.clock)
        self.superseded = 0
        self.sequence = 0
        self._start_process()
        # Grants of an earlier process have expired.
        self.clock.advance(proof.LEASE_MS * _DRIFT + 1)
        self._refresh_proof()
        self._beat()

    def _start_process(self) -> None:
        """Starts a daemon that knows nothing of an earlier one's calls."""
        self.watch = target_watch.TargetWatch(
            lease=self.lease,
            key_map=lambda: self.map,
            max_hold_ms=10_000,
            clock=self.clock,
            on_change=lambda: None,
            granted_by_call=lambda service: True,
        )
        self.caller = grant_caller.GrantCaller(
            watch=self.watch,
            calls=self.calls,
            clock=self.clock,
            on_superseded=self._count_superseded,
        )

    def _count_superseded(self) -> None:
        self.superseded += 1

    def _refresh_proof(self) -> None:
        self.lease.record_proof(
            proof.Proof(self.map.version, self.clock.now_ns()),
            map_version=self.map.version,
        )

    def _beat(self, **changed: object):
        self.sequence += 1
        return self.watch.handle_heartbeat(
            fleet_fakes.heartbeat(self.sequence, **changed)
        )

    def _send_due(self) -> list[key_calls.KeyCall]:
        """Sends all calls that are due; returns them."""
        before = len(self.calls.sent)
        while (order := self.caller.next_order()) is not None:
            if isinstance(order, key_calls.ReleaseCall):
                self.caller.begin_release(order)
            self.caller.send(order)
        return self.calls.sent[before:]

    def _move(self, first: int, last: int) -> None:
        moved = key_map.KeyRange(
            first, last, "i-1@1000", 3, receiver="i-2@1000"
        )
        self._set_ranges(moved)

    def _set_ranges(self, *ranges: key_map.KeyRange) -> None:
        table = self.map.tables["desk"].with_ranges(ranges)
        self.map = key_map.KeyMap(
            self.map.version + 1, self.map.holders, {"desk": table}
        )
        self._refresh_proof()

    def _released(self) -> list[tuple[int, int, str]]:
        self.watch.update_releases()
        return [
            (r.first, r.last, r.token)
            for r in self.watch.local_target.released_ranges
        ]

    def test_heartbeat_answer_carries_no_keys(self):
        self.assertIsNone(self._beat().grants)

    def test_key_is_used_from_the_answer_until_the_hold_ends(self):
        self.assertFalse(self.watch.holds(50))
        sent_ns = self.clock.now_ns()
        (grant,) = self._send_due()
        self.assertEqual(
            (grant.first, grant.last, grant.generation, grant.token),
            (0, 99, 3, "earlier"),
        )
        self.assertTrue(self.watch.holds(50))
        self.assertFalse(self.watch.holds(100))
        self.clock.advance(grant.hold_ms - 2)
        self.assertTrue(self.watch.holds(50))
        self.clock.time_ns = sent_ns + grant.hold_ms * _NS_PER_MS
        self.assertFalse(self.watch.holds(50))

    def test_hold_ends_before_the_lease_if_the_call_arrives_late(self):
        (grant,) = self._send_due()
        arrival_ms = target_watch.CALL_MARGIN_MS
        self.assertLess(
            arrival_ms + grant.hold_ms * _DRIFT, proof.revocation_wait_ms()
        )

    def test_grants_are_renewed_every_second(self):
        self._send_due()
        self.assertEqual(self._send_due(), [])
        self.clock.advance(grant_caller.RENEW_MS)
        self.assertEqual(len(self._send_due()), 1)

    def test_unanswered_grant_is_not_used_and_sent_again(self):
        self.calls.results = [key_calls.InDoubt("no answer")]
        self._send_due()
        self.assertFalse(self.watch.holds(50))
        self.clock.advance(grant_caller.MIN_RETRY_MS)
        self.assertEqual(len(self._send_due()), 1)
        self.assertTrue(self.watch.holds(50))

    def test_unanswered_renewal_does_not_end_a_hold(self):
        self._send_due()
        self.clock.advance(grant_caller.RENEW_MS)
        self.calls.results = [key_calls.InDoubt("no answer")]
        self._send_due()
        self.assertTrue(self.watch.holds(50))

    def test_keys_in_doubt_are_served_and_released_once_it_has_ended(self):
        """applied_late: a grant is carried out after a later release."""
        self._send_due()
        self.clock.advance(grant_caller.RENEW_MS)
        self.calls.results = [key_calls.InDoubt("no answer")]
        (grant,) = self._send_due()
        closed_ns = self.clock.now_ns()
        self._move(50, 99)
        self.clock.advance(grant_caller.MIN_RETRY_MS)
        self.assertEqual([o.last for o in self._send_due()], [49])
        self.assertTrue(self.watch.holds(60))
        hold_ns = int(grant.hold_ms * _DRIFT * _NS_PER_MS)
        self.clock.time_ns = closed_ns + hold_ns
        self._refresh_proof()
        self._send_due()
        self.assertEqual(self._released(), [])
        self.clock.advance(100)
        self._send_due()
        self.assertEqual(self._released(), [(50, 99, "token")])

    def test_unanswered_release_is_repeated_and_never_counts(self):
        """applied_late: a release without an answer."""
        self._send_due()
        self._move(50, 99)
        self.calls.results = [key_calls.InDoubt("no answer")]
        self._send_due()
        self.assertEqual(self._released(), [])
        self.assertFalse(self.watch.holds(60))
        self.assertTrue(self.watch.holds(40))
        self.clock.advance(grant_caller.MIN_RETRY_MS)
        (release,) = self._send_due()
        self.assertEqual((release.first, release.last), (50, 99))
        self.assertEqual(self._released(), [(50, 99, "token")])

    def test_release_waits_for_grants_of_an_earlier_process(self):
        """A daemon killed with a grant in doubt, and back at once."""
        self._start_process()
        self._beat()
        self._move(50, 99)
        self._send_due()
        self.assertEqual(self._released(), [])
        self.clock.advance(target_watch.MAX_CALL_HOLD_MS * _DRIFT)
        self._refresh_proof()
        self._send_due()
        self.assertEqual(self._released(), [])
        self.clock.advance(100)
        self._send_due()
        self.assertEqual(self._released(), [(50, 99, "token")])

    def test_higher_generation_asks_for_the_map_and_raises_nothing(self):
        self.calls.default = key_calls.NotApplied("409", superseded=True)
        self._send_due()
        self.assertEqual(self.superseded, 1)
        self.assertEqual(self._send_due(), [])
        self.clock.advance(grant_caller.RETRY_MS)
        (grant,) = self._send_due()
        self.assertEqual(grant.generation, 3)
        self.assertFalse(self.watch.holds(50))

    def test_new_incarnation_releases_calls_meant_for_its_predecessor(self):
        """A target restarts under its address; a renewal reaches the new one.

        The order that releases everything comes before any grant.
        """
        self._send_due()
        self.clock.advance(grant_caller.RENEW_MS)
        self._send_due()
        self.sequence = 0
        self._beat(born_ms=2000)
        self._set_ranges(key_map.KeyRange(0, 99, "i-1@2000", 6))
        clear, grant = self._send_due()
        self.assertEqual(clear, key_calls.ReleaseCall(0, _LAST, 3))
        self.assertEqual(grant.generation, 6)

    def test_grant_in_flight_at_a_restart_is_suspected_of_the_new_one(self):
        """The new incarnation may have got it before its first heartbeat."""
        order = self.caller.next_order()
        earlier = self.watch.local_target
        self.sequence = 0
        self._beat(born_ms=2000)
        self.assertFalse(self.watch.local_target.must_clear)
        self.caller.record(
            key_calls.Done("", 1), order, earlier, self.clock.now_ns()
        )
        self._set_ranges(key_map.KeyRange(0, 99, "i-1@2000", 6))
        clear, _ = self._send_due()
        self.assertIsInstance(clear, key_calls.ReleaseCall)
        self._set_ranges(
            key_map.KeyRange(0, 49, "i-1@2000", 6, receiver="i-2@1000")
        )
        self._send_due()
        self.assertEqual(self._released(), [])

    def test_first_incarnation_is_not_asked_to_release_everything(self):
        (order,) = self._send_due()
        self.assertIsInstance(order, key_calls.GrantCall)

    def test_refused_key_is_granted_again_without_delay(self):
        self._send_due()
        self.assertTrue(self.watch.record_refused_key(50))
        self.assertFalse(self.watch.holds(50))
        self.assertEqual(len(self._send_due()), 1)
        self.assertTrue(self.watch.holds(50))

    def test_awaited_keys_come_first_then_releases_then_renewals(self):
        self._set_ranges(
            key_map.KeyRange(0, 9, "i-1@1000", 3),
            key_map.KeyRange(10, 19, "i-1@1000", 4),
        )
        self._send_due()
        self.clock.advance(grant_caller.RENEW_MS)
        self._set_ranges(
            key_map.KeyRange(200, 209, "i-1@1000", 7),
            key_map.KeyRange(300, 309, "i-1@1000", 7),
        )
        self._move(10, 19)
        self.watch.awaited_keys[305] += 1
        orders = [(type(o).__name__, o.first) for o in self._send_due()]
        self.assertEqual(
            orders[:3],
            [("GrantCall", 300), ("GrantCall", 200), ("ReleaseCall", 10)],
        )
        self.assertEqual({name for name, _ in orders[3:]}, {"GrantCall"})

    def test_closed_port_voids_the_grants(self):
        self._send_due()
        self.calls.default = key_calls.NotListening("refused")
        self.clock.advance(grant_caller.RENEW_MS)
        self._send_due()
        self.clock.advance(grant_caller.MIN_RETRY_MS)
        self._send_due()
        self.assertIs(
            self.watch.local_target.state, target_heartbeat.TargetState.GONE
        )
        self.assertEqual(
            self.watch.local_target.forfeited_version, self.map.version
        )
        self.assertIsNone(self.caller.next_order())

    def _pass_seconds(self, count: int) -> None:
        for _ in range(count):
            self.clock.advance(1000)
            self._refresh_proof()
            self._send_due()
            self.watch.check_silence()

    def test_answered_calls_are_signs_of_life(self):
        """srv_cut: heartbeats do not arrive, requests and calls do."""
        self._send_due()
        self.clock.advance(500)
        self._beat()
        self._pass_seconds(8)
        self.assertIs(
            self.watch.local_target.state, target_heartbeat.TargetState.READY
        )

    def test_answers_on_a_new_connection_are_no_signs_of_life(self):
        """The connection may be to another incarnation."""
        self._send_due()
        self.clock.advance(500)
        self._beat()
        self.calls.default = key_calls.Done("", 2)
        self._pass_seconds(5)
        self.assertIs(
            self.watch.local_target.state, target_heartbeat.TargetState.SILENT
        )

    def test_silent_target_forfeits_only_after_all_doubts_have_expired(self):
        """srv_crash dark: calls hang, and nothing says whether they arrived."""
        self._send_due()
        self.calls.default = key_calls.InDoubt("no answer")
        self._pass_seconds(4)
        self.assertIs(
            self.watch.local_target.state, target_heartbeat.TargetState.SILENT
        )
        hold_ns = int(self.calls.sent[-1].hold_ms * _DRIFT * _NS_PER_MS)
        self.clock.time_ns = self.calls.closed_ns + hold_ns
        self.watch.check_silence()
        self.assertEqual(self.watch.local_target.forfeited_version, 0)
        self.clock.advance(10_000)
        self.watch.check_silence()
        self.assertEqual(
            self.watch.local_target.forfeited_version, self.map.version
        )
