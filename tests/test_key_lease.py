"""The lease by proof, and the grants of a daemon to its local target."""

import unittest

from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import proof
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.domain.ownership import target_watch
from tests import fakes
from tests import fleet_fakes

_NS_PER_MS = proof.NS_PER_MS
_LAST = key_map.LAST_KEY


class ProofLeaseTest(unittest.TestCase):
    """How long a proof lets keys be granted."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.lease = proof.ProofLease(clock=self.clock)
        self.clock.advance(100)

    def _record_proof(
        self, version: int, age_ms: int, *, local_version: int
    ) -> bool:
        read_ns = self.clock.now_ns() - age_ms * _NS_PER_MS
        return self.lease.record_proof(
            proof.Proof(version, read_ns), map_version=local_version
        )

    def test_lease_expires_lease_ms_after_the_read_began(self):
        self._record_proof(3, 50, local_version=3)
        self.assertGreater(self.lease.remaining_ms(), 5000)
        self.clock.advance(proof.LEASE_MS - 50)
        self.assertEqual(self.lease.remaining_ms(), 0)

    def test_lease_expires_before_a_revocation_completes_on_a_slow_clock(self):
        self._record_proof(3, 0, local_version=3)
        slow_clock_ms = self.lease.remaining_ms() * (1 + proof.DRIFT_SHARE)
        self.assertLess(slow_clock_ms, proof.revocation_wait_ms())

    def test_a_proof_of_a_newer_map_than_the_local_one_is_rejected(self):
        self.assertFalse(self._record_proof(4, 0, local_version=3))
        self.assertEqual(self.lease.remaining_ms(), 0)

    def test_a_proof_from_before_the_process_began_is_rejected(self):
        self.assertFalse(self._record_proof(3, 101, local_version=3))

    def test_an_older_proof_does_not_shorten_the_lease(self):
        self._record_proof(3, 10, local_version=3)
        remaining_ms = self.lease.remaining_ms()
        self._record_proof(3, 50, local_version=3)
        self.assertEqual(self.lease.remaining_ms(), remaining_ms)


class TargetWatchTest(unittest.TestCase):
    """Heartbeats of a target and the grants in their answers."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.lease = proof.ProofLease(clock=self.clock)
        self.map = fleet_fakes.make_map(
            key_map.KeyRange(0, 99, "i-1@1000", 3),
            key_map.KeyRange(100, _LAST, "i-2@1000", 3),
            vms={"i-1@1000": "a", "i-2@1000": "b"},
        )
        self.change_count = 0
        self.watch = target_watch.TargetWatch(
            lease=self.lease,
            key_map=lambda: self.map,
            max_hold_ms=10_000,
            clock=self.clock,
            on_change=self._count_change,
        )
        self._refresh_proof()

    def _count_change(self) -> None:
        self.change_count += 1

    def _refresh_proof(self) -> None:
        self.lease.record_proof(
            proof.Proof(self.map.version, self.clock.now_ns()),
            map_version=self.map.version,
        )

    def _move(self, first: int, last: int, version: int) -> None:
        moved = key_map.KeyRange(
            first, last, "i-1@1000", 3, receiver="i-2@1000"
        )
        table = self.map.tables["desk"].with_ranges([moved])
        self.map = key_map.KeyMap(version, self.map.holders, {"desk": table})

    def _grant_bounds(
        self, answer: target_heartbeat.HeartbeatAnswer
    ) -> list[tuple[int, int]]:
        return [(g.first, g.last) for g in answer.grants]

    def test_grants_last_no_longer_than_the_remaining_lease(self):
        answer = self.watch.handle_heartbeat(fleet_fakes.heartbeat())
        self.assertEqual(self._grant_bounds(answer), [(0, 99)])
        self.assertLessEqual(answer.hold_ms, proof.LEASE_MS)
        self.assertFalse(
            self.watch.holds(50),
            "the target may not have applied the answer yet",
        )
        self.clock.advance(target_watch.GRANT_APPLY_MS)
        self.assertTrue(self.watch.holds(50))
        self.assertFalse(self.watch.holds(100))

    def test_nothing_is_renewed_after_the_lease_has_expired(self):
        self.watch.handle_heartbeat(fleet_fakes.heartbeat())
        self.clock.advance(proof.LEASE_MS)
        self.assertIsNone(
            self.watch.handle_heartbeat(fleet_fakes.heartbeat(2)).grants
        )
        self.clock.advance(200)
        self.assertFalse(self.watch.holds(50))

    def test_a_frozen_daemon_grants_nothing_after_it_resumes(self):
        self.clock.advance(20_000)
        self.assertIsNone(
            self.watch.handle_heartbeat(fleet_fakes.heartbeat()).grants
        )

    def test_a_holder_being_revoked_gets_no_grants(self):
        holder = key_map.Holder(
            "i-1@1000", "a", "desk", key_map.HolderState.REVOKING, 6
        )
        self.map = key_map.KeyMap(
            6, {**self.map.holders, "i-1@1000": holder}, self.map.tables
        )
        self.assertIsNone(
            self.watch.handle_heartbeat(fleet_fakes.heartbeat()).grants
        )

    def test_a_stale_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        self.watch.handle_heartbeat(fleet_fakes.heartbeat(1, born_ms=1000))
        late = fleet_fakes.heartbeat(9, born_ms=500, instance="i-0")
        self.assertIsNone(self.watch.handle_heartbeat(late).grants)
        self.assertEqual(self.watch.local_target.last_heartbeat.instance, "i-1")

    def test_a_repeated_heartbeat_renews_nothing(self):
        beat = fleet_fakes.heartbeat(2, held=((0, 99, 3),))
        self.assertIsNotNone(self.watch.handle_heartbeat(beat).grants)
        self.watch.handle_heartbeat(fleet_fakes.heartbeat(3))
        self.assertIsNone(self.watch.handle_heartbeat(beat).grants)
        self.assertEqual(self.watch.local_target.last_heartbeat.held, ())

    def test_a_new_incarnation_after_the_clock_was_set_back_is_accepted(self):
        """The wall clock is set back between two incarnations (clock_step)."""
        self.watch.handle_heartbeat(fleet_fakes.heartbeat(9, born_ms=1000))
        for sequence in range(1, 6):
            self.clock.advance(900)
            self._refresh_proof()
            self.watch.handle_heartbeat(
                fleet_fakes.heartbeat(sequence, born_ms=400)
            )
        self.assertEqual(self.watch.local_target.last_heartbeat.born_ms, 400)

    def test_a_restart_under_the_same_id_is_another_incarnation(self):
        self.watch.handle_heartbeat(fleet_fakes.heartbeat(7))
        answer = self.watch.handle_heartbeat(
            fleet_fakes.heartbeat(1, born_ms=2000)
        )
        self.assertEqual(answer.grants, ())

    def test_a_moving_range_counts_as_released_once_it_is_not_held(self):
        self.watch.handle_heartbeat(fleet_fakes.heartbeat())
        self._move(50, 99, 6)
        answer = self.watch.handle_heartbeat(
            fleet_fakes.heartbeat(2, held=((0, 99, 3),))
        )
        self.assertEqual(self._grant_bounds(answer), [(0, 49)])
        self.assertEqual(self.watch.local_target.released_ranges, ())
        self.watch.handle_heartbeat(
            fleet_fakes.heartbeat(
                3, held=((0, 49, 3),), released=((50, 99, "token"),)
            )
        )
        moved_out = self.watch.local_target.released_ranges
        self.assertEqual(
            [(r.first, r.token) for r in moved_out], [(50, "token")]
        )

    def test_a_release_before_the_move_was_known_does_not_count(self):
        self.watch.handle_heartbeat(fleet_fakes.heartbeat(1, held=()))
        self._move(50, 99, 6)
        self.assertEqual(self.watch.local_target.released_ranges, ())

    def test_two_refused_connections_mean_gone_and_void_the_grants(self):
        self.watch.handle_heartbeat(fleet_fakes.heartbeat())
        self.watch.record_refused_connection()
        self.assertEqual(
            self.watch.local_target.state, target_heartbeat.TargetState.READY
        )
        self.clock.advance(50)
        self.watch.record_refused_connection()
        self.assertEqual(
            self.watch.local_target.state, target_heartbeat.TargetState.GONE
        )
        self.assertEqual(
            self.watch.local_target.forfeited_version, self.map.version
        )
        answer = self.watch.handle_heartbeat(fleet_fakes.heartbeat(2))
        self.assertEqual(answer.grants, ())

    def test_a_silent_target_forfeits_only_after_all_grants_have_expired(self):
        self.clock.advance(11_000)  # grants of an earlier process have expired
        self._refresh_proof()
        self.watch.handle_heartbeat(fleet_fakes.heartbeat())
        self.clock.advance(3100)
        self.watch.check_silence()
        self.assertEqual(
            self.watch.local_target.state, target_heartbeat.TargetState.SILENT
        )
        self.watch.check_silence()
        self.assertEqual(self.watch.local_target.forfeited_version, 0)
        self.clock.advance(3200)
        self.watch.check_silence()
        self.assertEqual(
            self.watch.local_target.forfeited_version, self.map.version
        )

    def test_a_draining_target_stays_draining(self):
        self.watch.handle_heartbeat(fleet_fakes.heartbeat())
        self.watch.start_draining("i-1")
        self.watch.handle_heartbeat(fleet_fakes.heartbeat(2))
        self.assertEqual(
            self.watch.local_target.state, target_heartbeat.TargetState.DRAINING
        )

    def test_a_deregistration_of_an_earlier_incarnation_is_ignored(self):
        self.watch.handle_heartbeat(fleet_fakes.heartbeat(born_ms=2000))
        for born_ms, state in (
            (1000, target_heartbeat.TargetState.READY),
            (2000, target_heartbeat.TargetState.DRAINING),
        ):
            self.watch.start_draining("i-1", born_ms)
            self.assertEqual(self.watch.local_target.state, state)

    def test_a_deregistration_before_the_first_heartbeat_counts(self):
        self.watch.start_draining("i-1", 1000)
        self.watch.handle_heartbeat(fleet_fakes.heartbeat(1, born_ms=500))
        self.assertEqual(
            self.watch.local_target.state, target_heartbeat.TargetState.READY
        )
        self.watch.handle_heartbeat(fleet_fakes.heartbeat(1, born_ms=1000))
        self.assertEqual(
            self.watch.local_target.state, target_heartbeat.TargetState.DRAINING
        )
        self.assertGreater(self.watch.local_target.draining_since_ns, 0)
        self.watch.handle_heartbeat(fleet_fakes.heartbeat(1, born_ms=2000))
        self.assertEqual(
            self.watch.local_target.state, target_heartbeat.TargetState.READY
        )


class EarlierProcessTest(unittest.TestCase):
    """A new process whose predecessor may have granted keys."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.lease = proof.ProofLease(clock=self.clock)
        self.map = fleet_fakes.make_map(
            key_map.KeyRange(0, 99, "i-1@1000", 3),
            key_map.KeyRange(100, _LAST, "i-1@1000", 4, receiver="i-2@1000"),
            vms={"i-1@1000": "a", "i-2@1000": "b"},
        )
        self.watch = target_watch.TargetWatch(
            lease=self.lease,
            key_map=lambda: self.map,
            max_hold_ms=10_000,
            clock=self.clock,
            on_change=lambda: None,
        )
        self._record_proof()

    def _record_proof(self) -> None:
        self.lease.record_proof(
            proof.Proof(self.map.version, self.clock.now_ns()),
            map_version=self.map.version,
        )

    def _released_after(self, *heartbeats) -> list[tuple[int, int, str]]:
        for heartbeat in heartbeats:
            self.clock.advance(10)
            self.watch.handle_heartbeat(heartbeat)
        released_ranges = self.watch.local_target.released_ranges
        return [(r.first, r.last, r.token) for r in released_ranges]

    def test_a_first_heartbeat_may_be_older_than_a_grant(self):
        """The late one and the next were sent before the keys were granted."""
        late = fleet_fakes.heartbeat(5, held=((0, 99, 3),))
        next_late = fleet_fakes.heartbeat(6, held=((0, 99, 3),))
        self.assertEqual(self._released_after(late, next_late), [])
        newer = fleet_fakes.heartbeat(9, held=((0, 99, 3), (100, _LAST, 4)))
        self.assertEqual(self._released_after(newer), [])

    def test_a_release_that_is_seen_counts_at_once(self):
        listed = fleet_fakes.heartbeat(5, held=((0, 99, 3), (100, _LAST, 4)))
        at_work = fleet_fakes.heartbeat(
            6, held=((0, 99, 3), (200, _LAST, 4)), released=((100, 199, "t1"),)
        )
        self.assertEqual(self._released_after(listed, at_work), [])
        done = fleet_fakes.heartbeat(
            7, held=((0, 99, 3),), released=((200, _LAST, "t2"),)
        )
        self.assertEqual(
            [r[:2] for r in self._released_after(done)], [(100, _LAST)]
        )

    def test_an_expired_hold_may_have_been_renewed(self):
        listed = fleet_fakes.heartbeat(5, held=((100, _LAST, 4),))
        expired = fleet_fakes.heartbeat(6)
        self.assertEqual(self._released_after(listed, expired), [])

    def test_a_release_of_an_earlier_hold_does_not_count(self):
        earlier = (100, _LAST, "earlier")
        listed = fleet_fakes.heartbeat(
            5, held=((100, _LAST, 4),), released=(earlier,)
        )
        expired = fleet_fakes.heartbeat(6, released=(earlier,))
        self.assertEqual(self._released_after(listed, expired), [])

    def test_a_release_of_an_older_generation_does_not_count(self):
        listed = fleet_fakes.heartbeat(5, held=((100, _LAST, 2),))
        released = fleet_fakes.heartbeat(6, released=((100, _LAST, "t"),))
        self.assertEqual(self._released_after(listed, released), [])

    def test_all_earlier_grants_expire(self):
        self.assertEqual(self._released_after(fleet_fakes.heartbeat(5)), [])
        self.clock.advance(proof.LEASE_MS)
        self.assertEqual(self._released_after(fleet_fakes.heartbeat(6)), [])
        self.clock.advance(proof.LEASE_MS * proof.DRIFT_SHARE)
        self.assertEqual(
            self._released_after(fleet_fakes.heartbeat(7)), [(100, _LAST, "")]
        )

    def test_a_range_of_a_later_map_was_not_granted_before(self):
        self._released_after(fleet_fakes.heartbeat(5))
        moved = key_map.KeyRange(0, 99, "i-1@1000", 6, receiver="i-2@1000")
        table = self.map.tables["desk"].with_ranges([moved])
        self.map = key_map.KeyMap(7, self.map.holders, {"desk": table})
        self._record_proof()
        self.assertEqual(
            self._released_after(fleet_fakes.heartbeat(6)), [(0, 99, "")]
        )
