"""Key ranges and their encoding."""

import unittest

from hypothesis import given
from hypothesis import strategies

from primrosecross.adapters import fleet_repository
from primrosecross.domain import errors
from primrosecross.domain.ownership import key_map
from tests import fleet_fakes

_LAST = key_map.LAST_KEY


class RangeTableTest(unittest.TestCase):
    """Finding and replacing ranges."""

    def test_replacing_a_middle_keeps_both_ends(self):
        table = key_map.RangeTable.unassigned().with_ranges(
            [key_map.KeyRange(100, 199, "x", 7)]
        )
        bounds = [(r.first, r.last, r.holder) for r in table.ranges]
        self.assertEqual(
            bounds, [(0, 99, ""), (100, 199, "x"), (200, _LAST, "")]
        )

    def test_equal_adjacent_ranges_are_joined(self):
        table = key_map.RangeTable.unassigned().with_ranges(
            [key_map.KeyRange(100, 199, "x", 7)]
        )
        table = table.with_ranges([key_map.KeyRange(200, 300, "x", 7)])
        self.assertEqual(table.find(250).first, 100)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, _LAST),
                strategies.integers(0, _LAST),
                strategies.sampled_from("xyz"),
            ),
            max_size=12,
        ),
        strategies.integers(0, _LAST),
    )
    def test_every_key_has_one_range_and_the_last_change_wins(
        self, changes, key
    ):
        table = key_map.RangeTable.unassigned()
        expected = ""
        for bound, other_bound, holder in changes:
            first, last = min(bound, other_bound), max(bound, other_bound)
            table = table.with_ranges(
                [key_map.KeyRange(first, last, holder, 1)]
            )
            if first <= key <= last:
                expected = holder
        self.assertEqual(table.find(key).holder, expected)
        self.assertEqual(sum(r.size for r in table.ranges), _LAST + 1)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, _LAST),
                strategies.integers(0, _LAST),
                strategies.sampled_from("xyz"),
            ),
            min_size=1,
            max_size=10,
        ),
        strategies.integers(0, 9),
    )
    def test_a_change_turns_the_older_map_into_the_newer(self, changes, cut):
        maps = [
            key_map.KeyMap(1, {}, {"desk": key_map.RangeTable.unassigned()})
        ]
        for number, (bound, other_bound, incarnation_id) in enumerate(changes):
            changed = key_map.KeyRange(
                min(bound, other_bound),
                max(bound, other_bound),
                incarnation_id,
                number,
            )
            table = maps[-1].tables["desk"].with_ranges([changed])
            holders = {
                r.holder: key_map.Holder(r.holder, "a", "desk", since=number)
                for r in table.ranges
                if r.holder
            }
            maps.append(key_map.KeyMap(number + 2, holders, {"desk": table}))
        old, new = maps[min(cut, len(maps) - 1)], maps[-1]
        for base in (old, None):
            changed_map = key_map.apply_change(
                base or old, key_map.diff(base, new)
            )
            self.assertEqual(changed_map.holders, new.holders)
            self.assertEqual(
                changed_map.tables["desk"].ranges, new.tables["desk"].ranges
            )
        if old.version < new.version:
            change = key_map.diff(old, new)
            self.assertIsNone(key_map.apply_change(new, change))


class MapRepositoryTest(unittest.TestCase):
    """The map as an object of a store."""

    def setUp(self) -> None:
        self.store = fleet_fakes.MemoryStore()
        self.repository = fleet_repository.ObjectFleetRepository(
            store=self.store
        )
        self.map = fleet_fakes.make_map(
            key_map.KeyRange(0, 99, "i-1@5", 3, "t", "i-2@6"),
            key_map.KeyRange(100, _LAST),
            vms={"i-1@5": "a", "i-2@6": "b"},
        )

    def test_a_written_map_is_read_back_unchanged(self):
        version = self.repository.write_map(self.map, "")
        stored_map, stored_version = self.repository.read_map()
        self.assertEqual(stored_version, version)
        self.assertEqual(stored_map.holders, self.map.holders)
        self.assertEqual(
            stored_map.tables["desk"].ranges, self.map.tables["desk"].ranges
        )
        full_change = key_map.diff(None, self.map)
        decoded_change = self.repository.decode_change(
            self.repository.encode_change(full_change)
        )
        self.assertEqual(
            key_map.apply_change(key_map.KeyMap(3), decoded_change).holders,
            self.map.holders,
        )

    def test_a_write_whose_answer_is_lost_counts_if_it_took_effect(self):
        self.store.lose_answers = True
        self.assertEqual(self.repository.write_map(self.map, ""), "1")

    def test_gaps_and_unknown_holders_are_rejected(self):
        self.repository.write_map(self.map, "")
        kind = (fleet_repository.MAPS, fleet_repository.NAME)
        spec = self.store.objects[kind].spec
        for malformed_spec in (
            {**spec, "version": "x"},
            {**spec, "tables": {"desk": [[0, 5, 0, 1, "", 0]]}},
            {**spec, "tables": {"desk": [[0, _LAST, 9, 1, "", 0]]}},
        ):
            self.store.revision += 1
            self.store._put(*kind, malformed_spec)
            with self.assertRaises(errors.StoreObjectError):
                self.repository.read_map()
