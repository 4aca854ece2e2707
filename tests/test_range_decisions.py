"""Assignment of key ranges to targets."""

import unittest

from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.ownership import key_load
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import range_decisions
from tests import fleet_fakes

_LAST = key_map.LAST_KEY
_REVOKING = key_map.HolderState.REVOKING


def _owners(new_map: key_map.KeyMap) -> set[str]:
    return {r.holder for r in new_map.tables["desk"].ranges}


def _size(new_map: key_map.KeyMap, incarnation_id: str) -> int:
    return sum(
        r.size
        for r in new_map.tables["desk"].ranges
        if incarnation_id in (r.receiver or r.holder,)
    )


class DecideTest(unittest.TestCase):
    """One decision from a map and its inputs."""

    def setUp(self) -> None:
        self.first_target = fleet_fakes.target("i-1@1000")
        self.second_target = fleet_fakes.target("i-2@1000")
        self.map = fleet_fakes.make_map(
            key_map.KeyRange(0, 32767, "i-1@1000", 3),
            key_map.KeyRange(32768, _LAST, "i-2@1000", 3),
            vms={"i-1@1000": "a", "i-2@1000": "b"},
        )

    def _decide(self, *views: object, **changed: object):
        return range_decisions.decide(
            self.map, fleet_fakes.decision_inputs(*views, **changed)
        )

    def test_free_keys_are_divided_by_capacity(self):
        self.map = key_map.KeyMap(1)
        slow = fleet_fakes.target("i-2@1000", typical_ms=300)
        new_map = self._decide(
            fleet_fakes.vm_view("a", self.first_target),
            fleet_fakes.vm_view("b", slow),
        )
        self.assertAlmostEqual(_size(new_map, "i-1@1000") / 65536, 0.75, 1)
        self.assertEqual(_owners(new_map), {"i-1@1000", "i-2@1000"})

    def test_nothing_changes_in_a_balanced_fleet(self):
        self.assertIsNone(
            self._decide(
                fleet_fakes.vm_view("a", self.first_target),
                fleet_fakes.vm_view("b", self.second_target),
            )
        )

    def test_a_lost_vm_is_revoked_first_and_its_keys_stay(self):
        new_map = self._decide(
            fleet_fakes.vm_view("a", self.first_target, lost=True),
            fleet_fakes.vm_view("b", self.second_target),
        )
        self.assertEqual(new_map.holders["i-1@1000"].state, _REVOKING)
        self.assertEqual(new_map.holders["i-1@1000"].since, new_map.version)
        self.assertEqual(_owners(new_map), {"i-1@1000", "i-2@1000"})

    def test_its_keys_go_to_others_when_the_wait_is_over(self):
        new_map = self._decide(
            fleet_fakes.vm_view("a", self.first_target, lost=True),
            fleet_fakes.vm_view("b", self.second_target),
            expired_ids=frozenset({"i-1@1000"}),
        )
        self.assertEqual(_owners(new_map), {"i-2@1000"})
        moved = new_map.tables["desk"].find(0)
        self.assertEqual(moved.generation, new_map.version)
        self.assertNotIn("i-1@1000", new_map.holders)

    def test_a_vm_that_returns_during_the_wait_keeps_its_keys(self):
        self.map = self._decide(
            fleet_fakes.vm_view("a", self.first_target, lost=True),
            fleet_fakes.vm_view("b", self.second_target),
        )
        new_map = self._decide(
            fleet_fakes.vm_view("a", self.first_target),
            fleet_fakes.vm_view("b", self.second_target),
        )
        self.assertEqual(
            new_map.holders["i-1@1000"].state, key_map.HolderState.ACTIVE
        )
        self.assertEqual(new_map.tables["desk"].find(0).generation, 3)

    def test_a_vm_without_report_is_revoked_too(self):
        new_map = self._decide(fleet_fakes.vm_view("b", self.second_target))
        self.assertEqual(new_map.holders["i-1@1000"].state, _REVOKING)

    def test_a_restarted_daemon_gets_time_to_hear_its_target(self):
        self.assertIsNone(
            self._decide(
                fleet_fakes.vm_view("a", warmed_up=False),
                fleet_fakes.vm_view("b", self.second_target),
            )
        )

    def test_the_next_incarnation_of_a_target_gets_its_keys_again(self):
        later = fleet_fakes.target("i-1@2000")
        new_map = self._decide(
            fleet_fakes.vm_view("a", later),
            fleet_fakes.vm_view("b", self.second_target),
        )
        reassigned = new_map.tables["desk"].find(0)
        self.assertEqual(
            (reassigned.holder, reassigned.last), ("i-1@2000", 32767)
        )
        self.assertEqual(reassigned.generation, new_map.version)

    def test_a_stale_report_of_an_earlier_incarnation_changes_nothing(self):
        earlier = fleet_fakes.target("i-0@500")
        new_map = self._decide(
            fleet_fakes.vm_view("a", earlier, warmed_up=False),
            fleet_fakes.vm_view("b", self.second_target),
        )
        self.assertTrue(
            new_map is None
            or new_map.tables["desk"].find(0).holder == "i-1@1000"
        )

    def test_a_gone_target_loses_its_keys_immediately(self):
        gone = fleet_fakes.target("i-1@1000", state="gone", forfeited=5)
        new_map = self._decide(
            fleet_fakes.vm_view("a", gone),
            fleet_fakes.vm_view("b", self.second_target),
        )
        self.assertEqual(_owners(new_map), {"i-2@1000"})

    def test_a_gone_target_loses_later_grants_by_revocation(self):
        """It was given keys again, or they were joined, as it ended."""
        gone = fleet_fakes.target("i-1@1000", state="gone", forfeited=2)
        other_view = fleet_fakes.vm_view("b", self.second_target)
        self.map = self._decide(fleet_fakes.vm_view("a", gone), other_view)
        self.assertEqual(self.map.holders["i-1@1000"].state, _REVOKING)
        new_map = self._decide(
            fleet_fakes.vm_view("a", gone),
            other_view,
            expired_ids=frozenset({"i-1@1000"}),
        )
        self.assertEqual(_owners(new_map), {"i-2@1000"})

    def test_grants_made_after_the_forfeit_stay(self):
        returned = fleet_fakes.target("i-1@1000", forfeited=2)
        self.assertIsNone(
            self._decide(
                fleet_fakes.vm_view("a", returned),
                fleet_fakes.vm_view("b", self.second_target),
            )
        )

    def test_a_draining_target_hands_over_with_its_token(self):
        leaving = fleet_fakes.target("i-1@1000", state="draining")
        self.map = self._decide(
            fleet_fakes.vm_view("a", leaving),
            fleet_fakes.vm_view("b", self.second_target),
        )
        moving = self.map.tables["desk"].find(0)
        self.assertEqual(
            (moving.holder, moving.receiver), ("i-1@1000", "i-2@1000")
        )
        released = fleet_fakes.target(
            "i-1@1000",
            state="draining",
            given_back=(fleet_messages.GivenBack(0, 32767, 3, "t"),),
        )
        new_map = self._decide(
            fleet_fakes.vm_view("a", released),
            fleet_fakes.vm_view("b", self.second_target),
        )
        assigned = new_map.tables["desk"].find(0)
        self.assertEqual((assigned.holder, assigned.token), ("i-2@1000", "t"))
        self.assertEqual(assigned.generation, new_map.version)

    def test_a_stopping_daemon_hands_its_keys_over(self):
        new_map = self._decide(
            fleet_fakes.vm_view("a", self.first_target, stopping=True),
            fleet_fakes.vm_view("b", self.second_target),
        )
        self.assertEqual(new_map.tables["desk"].find(0).receiver, "i-2@1000")

    def test_a_release_under_another_generation_moves_nothing(self):
        leaving = fleet_fakes.target(
            "i-1@1000",
            state="draining",
            given_back=(fleet_messages.GivenBack(0, 32767, 2, "t"),),
        )
        new_map = self._decide(
            fleet_fakes.vm_view("a", leaving),
            fleet_fakes.vm_view("b", self.second_target),
        )
        self.assertEqual(new_map.tables["desk"].find(0).holder, "i-1@1000")

    def test_an_added_target_gets_keys(self):
        self.map = fleet_fakes.make_map(
            key_map.KeyRange(0, _LAST, "i-1@1000", 3),
            vms={"i-1@1000": "a"},
        )
        load = key_load.KeyLoad()
        load.add([(k, 5) for k in range(0, 65536, 640)], 1.0)
        new_map = self._decide(
            fleet_fakes.vm_view("a", self.first_target),
            fleet_fakes.vm_view("b", self.second_target),
            loads={"desk": load},
        )
        self.assertGreater(_size(new_map, "i-2@1000"), 0)


class HotKeysTest(unittest.TestCase):
    """A few adjacent keys get much of the traffic (hot_key)."""

    def test_they_spread_over_targets_by_moving_few_keys(self):
        targets = [fleet_fakes.target(f"i-{n}@1000") for n in range(8)]
        size = 8192
        current = fleet_fakes.make_map(
            *(
                key_map.KeyRange(n * size, n * size + size - 1, t.life, 3)
                for n, t in enumerate(targets)
            ),
            vms={t.life: f"vm-{n}" for n, t in enumerate(targets)},
        )
        load = key_load.KeyLoad()
        load.add([(key, 2) for key in range(64, 264)], 1.0)
        load.add([(key, 1) for key in range(0, 65536, 128)], 1.0)
        new_map = range_decisions.decide(
            current,
            fleet_fakes.decision_inputs(
                *(
                    fleet_fakes.vm_view(f"vm-{n}", t)
                    for n, t in enumerate(targets)
                ),
                loads={"desk": load},
            ),
        )
        moving = [r for r in new_map.tables["desk"].ranges if r.receiver]
        self.assertGreaterEqual(len({r.receiver for r in moving}), 2)
        self.assertLess(sum(r.size for r in moving), 1000)
        remaining_rate = sum(
            load.range_rate(r.first, r.last)
            for r in new_map.tables["desk"].ranges
            if r.holder == "i-0@1000" and not r.receiver
        )
        self.assertLess(remaining_rate, 0.7 * load.range_rate(0, size - 1))
