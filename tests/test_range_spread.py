"""Property: keys spread again from any legal map, to any live targets.

From a random map, random loads and any set of live targets, the decisions end
in a state in which no target is over its share by more than its largest range,
all keys are granted and no target has too many ranges. Busy keys that wander
for a month leave as few ranges.
"""

import random
import unittest
from unittest import mock

from primrosecross.domain.ownership import answer_grants
from primrosecross.domain.ownership import key_load
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import range_balance
from primrosecross.domain.ownership import range_joining
from tests import range_fleet

SEEDS = 40
MAX_RANGES = 700
MAX_TARGETS = 10
MONTH_H = 30 * 24
WANDER_H = 4
HOT_KEYS = 200
VERSION = 1000
_LAST = key_map.LAST_KEY
_LIMIT = range_balance.MAX_RANGES_PER_TARGET


def random_map(rng: random.Random) -> list[key_map.KeyRange]:
    """Returns ranges that any targets hold, move or have lost."""
    count = rng.choice((1, 5, 50, rng.randint(1, MAX_RANGES)))
    firsts = sorted({0, *rng.sample(range(1, _LAST), count - 1)})
    lives = [f"i-{n}@1000" for n in range(rng.randint(1, MAX_TARGETS))]
    ranges = []
    for first, end in zip(firsts, [*firsts[1:], _LAST + 1], strict=True):
        holder = rng.choice([*lives, *lives, ""])
        moves = holder and rng.random() < 0.1
        key_range = key_map.KeyRange(
            first,
            end - 1,
            holder,
            rng.randint(1, VERSION),
            rng.choice(("", "t")) if holder else "",
            rng.choice(lives) if moves else "",
        )
        ranges.append(key_range)
    return ranges


def random_load(rng: random.Random) -> key_load.KeyLoad:
    """Returns an even load with up to four places of busy keys."""
    load = key_load.KeyLoad()
    load.add([(k, rng.random()) for k in range(0, _LAST, 97)], 1.0)
    for _ in range(rng.randint(0, 4)):
        width = rng.choice((1, 10, HOT_KEYS, 2000))
        first = rng.randrange(_LAST - width)
        rate = rng.choice((10.0, 300.0, 1500.0)) / width
        load.add([(k, rate) for k in range(first, first + width)], 1.0)
    return load


class Generations:
    """Checks that each holder's generation is above all earlier ones."""

    def __init__(self, table: key_map.RangeTable) -> None:
        self._table = table

    def check(self, table: key_map.RangeTable) -> None:
        """Compares the next table with the one before."""
        for key_range in table.ranges:
            first = key_range.first
            while first <= key_range.last:
                before = self._table.find(first)
                rises = key_range.generation > before.generation
                same = (
                    key_range.generation == before.generation
                    and key_range.holder == before.holder
                )
                if key_range.holder and not (rises or same):
                    raise AssertionError(f"{before} became {key_range}")
                first = before.last + 1
        self._table = table


class SpreadTest(unittest.TestCase):
    """Any legal map, any set of live targets."""

    def _check_seed(self, seed: int) -> None:
        rng = random.Random(seed)
        fleet = range_fleet.Fleet(
            random_map(rng),
            live=rng.randint(1, MAX_TARGETS),
            load=random_load(rng),
            typical_ms=lambda: rng.choice((60, 100, 100, 200)),
        )
        ranges_before = len(fleet.table.ranges)
        generations = Generations(fleet.table)
        moves = fleet.settle(on_change=generations.check)
        self.assertLessEqual(moves, 2 * ranges_before + 60 * len(fleet.live))
        self._check_state(fleet)

    def _check_state(self, fleet: range_fleet.Fleet) -> None:
        self.assertLessEqual(fleet.owners(), set(fleet.live))
        self._check_limit(fleet)
        balance = fleet.balance()
        for target in balance.candidates.values():
            held = fleet.table.held_by(target.incarnation_id)
            largest = max((balance.load_of(r) for r in held), default=0.0)
            share = target.capacity * max(
                range_balance.MIN_UTILIZATION,
                (1 + range_balance.IMBALANCE_TOLERANCE) * fleet.mean(),
            )
            self.assertLessEqual(target.load, share + largest)
            self.assertTrue(held)
            self.assertEqual(len(answer_grants.fitting(held, ())), len(held))

    def _check_limit(self, fleet: range_fleet.Fleet) -> None:
        self.assertLessEqual(max(fleet.range_counts().values()), _LIMIT)

    def test_keys_spread_from_any_map(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self._check_seed(seed)

    def _fails(self) -> bool:
        for seed in range(SEEDS):
            try:
                self._check_seed(seed)
            except AssertionError:
                return True
        return False

    def test_it_fails_if_ranges_are_not_gathered(self):
        with mock.patch.object(
            range_joining, "gather", lambda table, balance: table
        ):
            self.assertTrue(self._fails())

    def test_it_fails_if_full_targets_give_no_keys(self):
        next_move = range_balance.Balance._next_move

        def next_move_unless_full(balance, table, source, receiver, load):
            if max(source.range_count, receiver.range_count) >= _LIMIT:
                return None
            return next_move(balance, table, source, receiver, load)

        with (
            mock.patch.object(
                range_balance.Balance, "_next_move", next_move_unless_full
            ),
            mock.patch.object(
                range_joining, "gather", lambda table, balance: table
            ),
            mock.patch.object(
                range_joining,
                "join_neighbors",
                lambda table, balance, version: table,
            ),
            mock.patch.object(SpreadTest, "_check_limit"),
        ):
            self.assertTrue(self._fails())

    def test_it_fails_if_ranges_are_joined_under_an_old_generation(self):
        join_neighbors = range_joining.join_neighbors
        with mock.patch.object(
            range_joining,
            "join_neighbors",
            lambda table, balance, version: join_neighbors(table, balance, 1),
        ):
            self.assertTrue(self._fails())


class MonthTest(unittest.TestCase):
    """Busy keys wander all day for a month; a target is lost each day."""

    def test_the_number_of_ranges_stays_bounded(self):
        rng = random.Random(5)
        fleet = range_fleet.Fleet(
            [key_map.KeyRange(0, _LAST)], live=8, load=None
        )
        generations = Generations(fleet.table)
        most_ranges = most_moves = 0
        for hour in range(0, MONTH_H, WANDER_H):
            fleet.load = self._hot_load(rng)
            if hour % 24 == 4:
                fleet.lose(rng.choice(fleet.live))
            if hour % 24 == 8:
                fleet.restore_all()
            moves = fleet.settle(on_change=generations.check)
            most_moves = max(most_moves, moves)
            counts = fleet.range_counts().values()
            most_ranges = max(most_ranges, *counts)
            self.assertLess(
                max(fleet.utilizations()), 1.7 * fleet.mean(), f"hour {hour}"
            )
        self.assertLessEqual(most_ranges, _LIMIT)
        self.assertLess(most_moves, 200)

    def _hot_load(self, rng: random.Random) -> key_load.KeyLoad:
        load = key_load.KeyLoad()
        load.add([(key, 1.0) for key in range(0, _LAST, 128)], 1.0)
        first = rng.randrange(_LAST - HOT_KEYS)
        load.add([(key, 4.0) for key in range(first, first + HOT_KEYS)], 1.0)
        return load
