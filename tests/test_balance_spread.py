"""Property: shards of the product's own fleet spread again from any table.

Whatever members own them, and whatever members are left, the balance ends in a
state in which no member is over its share by more than its largest shard.
"""

import random
import unittest
from unittest import mock

from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import balance
from primrosecross.domain.ownership import demand
from tests import assignments
from tests import fakes

PARTITIONS = 256
MAX_MEMBERS = 9
MAX_KEY_SHARDS = 300
SEEDS = 30
MAX_ROUNDS = 200


class SpreadTest(unittest.TestCase):
    """Any owners and rates, any set of members."""

    def _random_cluster(
        self, rng: random.Random, balancer: balance.Balancer
    ) -> assignment.Assignment:
        """Returns one member or more, and shards that any VM owns."""
        current = assignments.cluster(rng.randint(1, MAX_MEMBERS))
        for number, vm in enumerate(list(current.members)):
            slots = rng.choice((4, 16, 16, 32))
            current.members[vm] = assignments.member(number, slots=slots)
        table = assignment.OwnerTable.empty(assignments.SERVICE, PARTITIONS)
        current.tables[assignments.SERVICE] = table
        owners = [f"vm-{n}" for n in range(rng.randint(1, MAX_MEMBERS))]
        known = balancer.demand_of(assignments.SERVICE)
        for partition in range(PARTITIONS):
            if rng.random() < 0.8:
                table.set_owner(partition, rng.choice(owners), 1)
            if rng.random() < 0.9:
                known.record(partition, rng.choice((0, 1, 10, 200)))
        for number in range(rng.choice((0, 5, MAX_KEY_SHARDS))):
            key_shard = assignment.KEY_SHARD_BIT | number
            table.split_key(key_shard)
            table.set_owner(key_shard, rng.choice(owners), 1)
            known.record(key_shard, rng.choice((0, 5, 500)))
        return current

    def _check_seed(self, seed: int) -> None:
        rng = random.Random(seed)
        clock = fakes.ManualClock()
        balancer = balance.Balancer(clock=clock)
        service = assignments.service(PARTITIONS)
        current = self._random_cluster(rng, balancer)
        for _ in range(MAX_ROUNDS):
            current = assignments.next_version(current)
            changed = balancer.assign(service, current)
            assignments.finish_moves(current)
            clock.advance(balance.MOVE_COOLDOWN_MS + 1)
            if not changed:
                break
        else:
            self.fail(f"not settled after {MAX_ROUNDS} rounds")
        self._check_state(current, balancer.demand_of(assignments.SERVICE))

    def _check_state(
        self, current: assignment.Assignment, known: demand.Demand
    ) -> None:
        members = current.members
        weights = demand.Weights(
            known, partitions=PARTITIONS, members=len(members)
        )
        shards_by_vm = current.tables[assignments.SERVICE].shards_by_vm()
        owners = {vm for vm, shards in shards_by_vm.items() if shards}
        self.assertLessEqual(owners, set(members))
        slots = {
            vm: m.slots_for(assignments.SERVICE) for vm, m in members.items()
        }
        total = weights.total(s for v in owners for s in shards_by_vm[v])
        for vm in owners:
            share = total * slots[vm] / sum(slots.values())
            largest = max(map(weights.weight_of, shards_by_vm[vm]))
            self.assertLessEqual(
                weights.total(shards_by_vm[vm]),
                share * (1 + balance.REBALANCE_START_BAND) + largest,
            )

    def test_shards_spread_from_any_table(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self._check_seed(seed)

    def test_it_fails_if_a_member_keeps_its_shards(self):
        with (
            mock.patch.object(
                balance.Balancer, "_pick_shard", return_value=None
            ),
            self.assertRaises(AssertionError),
        ):
            for seed in range(SEEDS):
                self._check_seed(seed)


class FreedShardTest(unittest.TestCase):
    """A hand-over to a new owner and the loss of another, in one version."""

    def test_a_shard_is_freed_after_an_owner_was_added(self):
        table = assignment.OwnerTable.empty(assignments.SERVICE, PARTITIONS)
        for shard, vm in enumerate(("vm-0", "", "vm-1", "", "vm-0")):
            table.set_owner(shard, vm, 1)
        owners = [table.grant_of(shard).vm for shard in range(5)]
        self.assertEqual(owners, ["vm-0", "", "vm-1", "", "vm-0"])
        self.assertEqual(len(table.vms), 3)
