"""No key has two holders: leases by proof under random faults.

With any one mechanism disabled the simulation finds two holders, which shows
that it detects faults.
"""

import dataclasses
import unittest
from unittest import mock

from primrosecross.domain.ownership import earlier_grants
from primrosecross.domain.ownership import grant_caller
from primrosecross.domain.ownership import grant_ledger
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import lease_extension
from primrosecross.domain.ownership import proof
from primrosecross.domain.ownership import range_joining
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.domain.ownership import target_watch
from primrosecross.ports import key_calls
from tests import key_model
from tests import key_model_calls

SEEDS = 20
LENGTH_MS = 90_000
SEEDS_TO_FAIL = 40


class KeyModelTest(unittest.TestCase):
    """Random runs, with all mechanisms and with one disabled."""

    def test_no_key_has_two_holders(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual(key_model.Model(seed).run(LENGTH_MS), "")

    def test_keys_are_held_and_moved(self):
        versions = []
        for seed in range(5):
            model = key_model.Model(seed)
            model.run(LENGTH_MS)
            versions.append(model.stored.version)
        self.assertGreater(min(versions), 10)
        self.assertGreater(max(versions), 20)

    def _fails(self) -> bool:
        return any(
            key_model.Model(seed).run(LENGTH_MS)
            for seed in range(SEEDS_TO_FAIL)
        )

    def test_it_fails_if_revocations_do_not_wait(self):
        with mock.patch.object(key_model.Model, "wait_ms", return_value=2000):
            self.assertTrue(self._fails())

    def test_it_fails_if_a_frozen_daemon_counts_only_its_own_time(self):
        with mock.patch.object(
            proof.ProofLease, "remaining_ms", return_value=5000
        ):
            self.assertTrue(self._fails())

    def test_it_fails_if_moving_ranges_are_still_granted(self):
        def grant_moving(watch, target):
            table = watch._key_map().tables.get(target.last_heartbeat.service)
            if table is None:
                return target_heartbeat.HeartbeatAnswer()
            grants = tuple(
                target_heartbeat.GrantedRange(
                    r.first, r.last, r.generation, r.token
                )
                for r in table.held_by(target.last_heartbeat.incarnation_id)
            )
            return target_heartbeat.HeartbeatAnswer(
                grants, watch._lease.remaining_ms()
            )

        def release_moving(watch, target):
            table = watch._key_map().tables.get(target.last_heartbeat.service)
            return tuple(
                r
                for r in (
                    table.held_by(target.last_heartbeat.incarnation_id)
                    if table
                    else ()
                )
                if r.receiver
            )

        with (
            mock.patch.object(target_watch.TargetWatch, "_grant", grant_moving),
            mock.patch.object(
                target_watch.TargetWatch, "_released_ranges", release_moving
            ),
        ):
            self.assertTrue(self._fails())

    def test_it_fails_if_a_revoked_holder_is_still_granted_to(self):
        with mock.patch.object(target_watch, "_is_revoked", return_value=False):
            self.assertTrue(self._fails())

    def test_it_fails_if_a_new_coordinator_ignores_lease_extensions(self):
        with mock.patch.object(
            lease_extension.LeaseExtensions,
            "earlier_expired",
            return_value=True,
        ):
            self.assertTrue(self._fails())

    def test_it_fails_if_lease_extensions_need_no_majority(self):
        def extension_without_majority_ms(
            extensions, newest_map, *, renewed_ns
        ):
            del newest_map
            if renewed_ns is None:
                return 0
            age_ns = extensions._clock.now_ns() - renewed_ns
            remaining_ms = (
                lease_extension.MAX_OUTAGE_MS - age_ns // proof.NS_PER_MS
            )
            return max(0, min(remaining_ms, lease_extension.EXTENSION_MS))

        with mock.patch.object(
            lease_extension.LeaseExtensions,
            "extension_ms",
            extension_without_majority_ms,
        ):
            self.assertTrue(self._fails())

    def test_keys_are_held_longer_than_proofs_in_an_outage(self):
        """The store is down for 9 s, starting at 10 s."""
        model = key_model.Model(1)
        model.fault_share = 0.0
        model.run(10_000)
        model.store_down = True
        model.run(9_000)
        held_keys = [
            key
            for key in key_model.PROBED_KEYS
            if any(t.holds(key) for t in model.targets.values())
        ]
        self.assertEqual(len(held_keys), len(key_model.PROBED_KEYS))


class LateHeartbeatsModelTest(unittest.TestCase):
    """Random runs with late heartbeats and restarts, one or all at once."""

    def _find_violation(self, seeds: range) -> str:
        runs = (
            key_model.Model(seed, late_heartbeats=True).run(LENGTH_MS)
            for seed in seeds
        )
        return next((violation for violation in runs if violation), "")

    def test_no_key_has_two_holders(self):
        self.assertEqual(self._find_violation(range(SEEDS)), "")

    def test_it_fails_if_a_new_process_believes_an_old_heartbeat(self):
        with mock.patch.object(
            earlier_grants.EarlierGrants, "may_hold", return_value=False
        ):
            self.assertNotEqual(self._find_violation(range(SEEDS_TO_FAIL)), "")


class CalledGrantsModelTest(unittest.TestCase):
    """Random runs in which keys are granted by calls that lose answers."""

    def _find_violation(self, seeds: range) -> str:
        runs = (
            key_model.Model(seed, by_call=True).run(LENGTH_MS) for seed in seeds
        )
        return next((violation for violation in runs if violation), "")

    def test_no_key_has_two_holders(self):
        self.assertEqual(self._find_violation(range(SEEDS)), "")

    def test_keys_are_held_and_moved(self):
        model = key_model.Model(0, by_call=True)
        model.run(LENGTH_MS)
        self.assertGreater(model.stored.version, 10)

    def test_it_fails_if_grants_in_doubt_are_forgotten(self):
        with mock.patch.object(
            grant_ledger.GrantLedger, "record_doubt", return_value=None
        ):
            self.assertNotEqual(self._find_violation(range(SEEDS_TO_FAIL)), "")

    def test_it_fails_if_an_unanswered_release_counts(self):
        record_doubt = grant_caller.GrantCaller._record_doubt

        def record(caller, result, order, target, sent_ns):
            if isinstance(order, key_calls.ReleaseCall):
                done = key_calls.Done()
                caller._apply_release(order, done, target, sent_ns)
            else:
                record_doubt(caller, result, order, target, sent_ns)

        with mock.patch.object(
            grant_caller.GrantCaller, "_record_doubt", record
        ):
            self.assertNotEqual(self._find_violation(range(60, 100)), "")

    def test_it_fails_if_silence_is_taken_for_the_end_of_all_holds(self):
        with mock.patch.object(
            grant_ledger.GrantLedger, "expiry_ns", return_value=0
        ):
            self.assertNotEqual(self._find_violation(range(SEEDS_TO_FAIL)), "")


class JoinedRangesModelTest(unittest.TestCase):
    """Random runs in which busy keys wander and all neighbors are joined."""

    def setUp(self) -> None:
        for limit in ("JOIN_ABOVE_RANGES", "GATHER_ABOVE_RANGES"):
            patch = mock.patch.object(range_joining, limit, 3)
            patch.start()
            self.addCleanup(patch.stop)

    def _find_violation(self, seeds: range, *, by_call: bool) -> str:
        runs = (
            key_model.Model(seed, by_call=by_call, wandering=True).run(
                LENGTH_MS
            )
            for seed in seeds
        )
        return next((violation for violation in runs if violation), "")

    def test_no_key_has_two_holders(self):
        for by_call in (False, True):
            with self.subTest(by_call=by_call):
                violation = self._find_violation(
                    range(SEEDS // 2), by_call=by_call
                )
                self.assertEqual(violation, "")

    def test_ranges_are_joined(self):
        join_neighbors = range_joining.join_neighbors
        joined_count = 0

        def count_joined(table, balance, version):
            nonlocal joined_count
            joined = join_neighbors(table, balance, version)
            joined_count += len(table.ranges) - len(joined.ranges)
            return joined

        with mock.patch.object(range_joining, "join_neighbors", count_joined):
            for seed in range(3):
                key_model.Model(seed, wandering=True).run(LENGTH_MS)
        self.assertGreater(joined_count, 20)

    def test_it_fails_if_joined_ranges_keep_the_lower_generation(self):
        join_neighbors = range_joining.join_neighbors
        with mock.patch.object(
            range_joining,
            "join_neighbors",
            lambda table, balance, version: join_neighbors(table, balance, 1),
        ):
            self.assertNotEqual(
                self._find_violation(range(SEEDS_TO_FAIL), by_call=False), ""
            )

    def test_joining_leaves_no_gap_in_a_hold(self):
        for by_call in (False, True):
            with (
                self.subTest(by_call=by_call),
                mock.patch.object(key_model_calls, "LOST_SHARE", 0.0),
            ):
                self._check_no_gap(by_call=by_call)

    def _check_no_gap(self, *, by_call: bool) -> None:
        """Without faults and lost answers, a held key stays held."""
        model = key_model.Model(3, by_call=by_call)
        model.fault_share = 0.0
        model.run(15_000)
        cut_count = 4 * len(model.stored.tables["desk"].ranges)
        model.stored = _cut_in_four(model.stored)
        gaps = []
        for _ in range(200):
            model.run(key_model.STEP_MS)
            gaps += [
                key
                for key in key_model.PROBED_KEYS
                if not any(t.holds(key) for t in model.targets.values())
            ]
        self.assertEqual(gaps, [])
        self.assertLess(len(model.stored.tables["desk"].ranges), cut_count / 2)


def _cut_in_four(whole: key_map.KeyMap) -> key_map.KeyMap:
    """Returns a map whose ranges are cut; the parts differ by their tokens."""
    table = whole.tables["desk"]
    for key_range in table.ranges:
        size = key_range.size // 4
        parts = [
            dataclasses.replace(
                key_range,
                first=key_range.first + n * size,
                last=key_range.first + (n + 1) * size - 1,
                token=f"part{n}",
            )
            for n in range(3)
        ]
        table = table.with_ranges(parts)
    return dataclasses.replace(
        whole, version=whole.version + 1, tables={"desk": table}
    )
