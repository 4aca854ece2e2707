"""Keys spread again after a loss, whatever number of ranges a target holds.

Load pattern: busy keys wander for a while, so that the map is cut into many
ranges; then all targets but one are lost, and come back without keys.
"""

import unittest

from primrosecross.domain.ownership import key_load
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import range_balance
from tests import range_fleet

_LAST = key_map.LAST_KEY
_LIMIT = range_balance.MAX_RANGES_PER_TARGET


def _load() -> key_load.KeyLoad:
    """Returns an even load that is more than one target can run."""
    load = key_load.KeyLoad()
    load.add([(key, 8) for key in range(0, _LAST, 128)], 1.0)
    return load


class FullTargetTest(unittest.TestCase):
    """A target holds as many ranges as a target may have, or more."""

    def test_a_full_target_gives_keys_to_idle_ones(self):
        size = (_LAST + 1) // 64
        fleet = range_fleet.Fleet(
            [
                key_map.KeyRange(n * size, n * size + size - 1, "i-0@1000", n)
                for n in range(64)
            ],
            live=8,
            load=_load(),
        )
        fleet.settle()
        self.assertEqual(len(fleet.owners()), 8)
        self.assertLess(max(fleet.utilizations()), 2 * fleet.mean())

    def test_a_full_target_gives_whole_ranges(self):
        size = (_LAST + 1) // 64
        ranges = [
            key_map.KeyRange(
                n * size,
                n * size + size - 1,
                f"i-{n % 8 if n < 8 else 0}@1000",
                1000 if n % 2 else 3,
            )
            for n in range(64)
        ]
        candidates = [
            range_balance.Candidate(f"i-{n}@1000", f"vm-{n}", 100.0)
            for n in range(8)
        ]
        table = key_map.RangeTable(ranges)
        balance = range_balance.Balance(
            candidates=candidates, load=_load(), movable_version=2000
        )
        moving = [r for r in balance.rebalance(table).ranges if r.receiver]
        self.assertTrue(moving)
        bounds = {(r.first, r.last) for r in ranges}
        self.assertLessEqual({(r.first, r.last) for r in moving}, bounds)


class DealingOutTest(unittest.TestCase):
    """Ranges of lost targets are dealt out within the limit."""

    def test_a_target_without_room_gets_none_while_others_have_room(self):
        size = (_LAST + 1) // 128
        ranges = [
            key_map.KeyRange(
                n * size,
                n * size + size - 1,
                "i-1@1000" if n % 2 else "i-2@1000",
                n + 1,
            )
            for n in range(2 * _LIMIT)
        ]
        ranges += [
            key_map.KeyRange(
                2 * _LIMIT * size,
                _LAST,
                "i-0@1000",
                3,
            )
        ]
        fleet = range_fleet.Fleet(ranges, live=3, load=None)
        fleet.lose("i-2@1000")
        fleet.decide()
        counts = fleet.range_counts()
        self.assertLessEqual(max(counts.values()), _LIMIT + 1)
        self.assertNotIn("i-2@1000", counts)

    def test_the_last_target_holds_all_keys_in_one_range(self):
        size = (_LAST + 1) // 256
        ranges = [
            key_map.KeyRange(
                n * size, n * size + size - 1, f"i-{n % 8}@1000", n + 1
            )
            for n in range(256)
        ]
        fleet = range_fleet.Fleet(ranges, live=8, load=_load())
        for number in range(1, 8):
            fleet.lose(f"i-{number}@1000")
        fleet.decide()
        self.assertEqual(fleet.range_counts(), {"i-0@1000": 1})


class LastKeyTest(unittest.TestCase):
    """A target without keys gets none from one that would have none left."""

    def test_a_single_key_stays(self):
        fleet = range_fleet.Fleet(
            [
                key_map.KeyRange(0, 0, "i-0@1000", 1),
                key_map.KeyRange(1, _LAST, "i-1@1000", 2),
            ],
            live=3,
            load=None,
        )
        fleet.load = key_load.KeyLoad()
        fleet.load.add([(0, 900)], 1.0)
        fleet.settle()
        self.assertEqual(fleet.table.find(0).holder, "i-0@1000")
        self.assertEqual(len(fleet.owners()), 3)
