"""Assignment of shards: churn, load, hot keys, pins and drained members."""

import collections
import dataclasses
import unittest

from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import witness_choice
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import balance
from primrosecross.domain.ownership import decisions
from tests import assignments
from tests import fakes

PARTITIONS = 512
LEAVING = assignment.MemberState.LEAVING
MAX_CHURN = 1.2
MAX_IMBALANCE = 1.15


class BalanceCase(unittest.TestCase):
    """A cluster whose hand-overs complete immediately."""

    members = 8

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.balancer = balance.Balancer(clock=self.clock)
        self.current = assignments.cluster(self.members)
        self.service = assignments.service(PARTITIONS)
        self.settle()

    @property
    def table(self) -> assignment.OwnerTable:
        return self.current.tables[assignments.SERVICE]

    def step(self) -> int:
        """Runs one balancing round; returns the number of changes."""
        self.current = assignments.next_version(self.current)
        return self.balancer.assign(self.service, self.current)

    def settle(self, rounds: int = 100) -> int:
        """Runs rounds and completes moves until nothing changes."""
        moved = 0
        for _ in range(rounds):
            changed = self.step()
            moved += assignments.finish_moves(self.current)
            if not changed:
                break
        return moved

    def apply(self, message: object) -> int:
        self.current = assignments.next_version(self.current)
        return decisions.apply(message, decisions.Draft(self.current))

    def replace(self, vm: str, **changes: object) -> None:
        members = self.current.members
        members[vm] = dataclasses.replace(members[vm], **changes)

    def owners(self) -> dict[int, str]:
        table = self.table
        shards = [*range(table.partitions), *table.key_grants]
        return {shard: table.grant_of(shard).vm for shard in shards}

    def counts(self) -> collections.Counter:
        return collections.Counter(self.owners().values())

    def key_shard(self, key: str) -> int:
        key_hash = assignment.hash_key(assignments.SERVICE, key)
        return key_hash | assignment.KEY_SHARD_BIT


class MembershipTest(BalanceCase):
    """Members that join, leave and are lost."""

    def test_members_own_shards_in_proportion_to_slots(self):
        self.replace(
            "vm-0", offers=(assignment.Offer(assignments.SERVICE, 32, True),)
        )
        self.settle()
        mean = PARTITIONS / (self.members + 1)
        self.assertAlmostEqual(self.counts()["vm-0"], 2 * mean, delta=12)

    def test_joining_member_causes_little_churn(self):
        before = self.owners()
        joined = assignments.member(self.members)
        self.current.members[joined.vm] = joined
        moved = self.settle()
        after = self.owners()
        changed = sum(before[shard] != after[shard] for shard in before)
        self.assertEqual(moved, changed)
        self.assertLessEqual(
            changed / PARTITIONS, MAX_CHURN / (self.members + 1)
        )
        self.assertGreaterEqual(
            self.counts()[joined.vm], 0.85 * PARTITIONS / (self.members + 1)
        )

    def test_lost_member_moves_only_its_own_shards(self):
        before = self.owners()
        self.apply(decisions.LeaseLapsed("vm-3", 1))
        self.settle()
        changed = [s for s, vm in self.owners().items() if before[s] != vm]
        self.assertTrue(all(before[s] == "vm-3" for s in changed))
        self.assertLessEqual(len(changed) / PARTITIONS, MAX_CHURN / 8)

    def test_leaving_member_hands_over_all_shards_in_one_decision(self):
        self.replace("vm-2", state=LEAVING)
        owned = set(self.table.shards_of("vm-2"))
        self.step()
        self.assertEqual(set(self.table.moves), owned)
        self.settle()
        self.assertEqual(self.table.shards_of("vm-2"), [])

    def test_member_without_a_target_hands_over_its_shards(self):
        self.replace("vm-2", offers=())
        self.settle()
        self.assertEqual(self.table.shards_of("vm-2"), [])

    def test_returning_vm_gets_new_generations(self):
        """A lost VM loses its shards even if no other member can own them."""
        generation = self.table.grant_of(0).generation
        owner = self.table.grant_of(0).vm
        self.apply(decisions.LeaseLapsed(owner, 1))
        number = int(owner.removeprefix("vm-"))
        self.current.members = {owner: assignments.member(number, epoch=9)}
        self.step()
        self.assertGreater(self.table.grant_of(0).generation, generation)


class HandOverDecisionTest(BalanceCase):
    """Hand-overs whose owner or receiver changes before they complete."""

    def setUp(self) -> None:
        super().setUp()
        self.replace("vm-2", state=LEAVING)
        self.step()
        self.shard, self.receiver = next(iter(self.table.moves.items()))
        self.generation = self.table.grant_of(self.shard).generation

    def release(self, generation: int) -> int:
        return self.apply(
            member_messages.Release(
                vm="vm-2",
                epoch=1,
                service=assignments.SERVICE,
                shards=(self.shard,),
                generations=(generation,),
            )
        )

    def test_release_grants_the_shard_to_the_receiver(self):
        self.assertEqual(self.release(self.generation), 1)
        self.assertEqual(self.table.grant_of(self.shard).vm, self.receiver)

    def test_receiver_that_leaves_is_replaced(self):
        self.replace(self.receiver, state=LEAVING)
        self.assertEqual(self.release(self.generation), 0)
        self.step()
        new_receiver = self.table.moves[self.shard]
        self.assertNotEqual(new_receiver, self.receiver)

    def test_receiver_that_is_lost_is_replaced(self):
        self.apply(decisions.LeaseLapsed(self.receiver, 1))
        self.step()
        new_receiver = self.table.moves[self.shard]
        self.assertIn(new_receiver, self.current.members)
        self.assertEqual(self.table.grant_of(self.shard).vm, "vm-2")

    def test_owner_lost_during_a_hand_over(self):
        self.apply(decisions.LeaseLapsed("vm-2", 1))
        self.step()
        self.assertFalse(set(self.table.moves) & {self.shard})
        self.assertIn(self.table.grant_of(self.shard).vm, self.current.members)


class LoadTest(BalanceCase):
    """Reported rates move shards; hot keys are split and merged."""

    def report(self, rates: dict[int, float]) -> bool:
        """Makes each owner report the rates of its shards."""
        by_vm: dict[str, dict[int, int]] = {}
        for shard, rate in rates.items():
            containing_shard = shard
            if shard & assignment.KEY_SHARD_BIT:
                containing_shard = self.table.shard_of_hash(
                    shard & ~assignment.KEY_SHARD_BIT
                )
            owner = self.table.grant_of(containing_shard).vm
            by_vm.setdefault(owner, {})[shard] = round(rate)
        return any(
            [
                self.balancer.record_report(
                    member_messages.LoadReport(
                        vm=vm,
                        epoch=1,
                        service=assignments.SERVICE,
                        shards=tuple(rows),
                        rates=tuple(rows.values()),
                    ),
                    self.current,
                )
                for vm, rows in by_vm.items()
            ]
        )

    def imbalance(self, rates: dict[int, float]) -> float:
        loads = collections.Counter()
        for shard, rate in rates.items():
            loads[self.table.grant_of(shard).vm] += rate
        return max(loads.values()) / (sum(loads.values()) / self.members)

    def test_uneven_load_is_rebalanced(self):
        rates = {p: 100 * (1 + p % 8) for p in range(PARTITIONS)}
        self.report(rates)
        self.assertGreater(self.settle(), 0)
        self.assertLessEqual(self.imbalance(rates), MAX_IMBALANCE)

    def test_moved_shards_have_a_cooldown(self):
        before = self.owners()
        rates = {p: 100 * (1 + p % 8) for p in range(PARTITIONS)}
        self.report(rates)
        self.settle()
        moved = {p for p, vm in self.owners().items() if before[p] != vm}
        self.report({p: 900 if p in moved else 100 for p in before})
        self.step()
        self.assertFalse(moved & self.table.moves.keys())

    def test_even_load_moves_nothing(self):
        self.report(dict.fromkeys(range(PARTITIONS), 100))
        self.assertEqual(self.settle(), 0)

    def test_hot_keys_are_split_without_other_keys_of_the_partition(self):
        """Two keys that one member can serve alone but not together."""
        first = self.key_shard("hawser-24mm")
        partition = self.table.parent_partition(first)
        second = first + PARTITIONS
        grant = self.table.grant_of(partition)
        rates = dict.fromkeys(range(PARTITIONS), 100)
        rates[partition] += 3000
        self.assertTrue(self.report({**rates, first: 1500, second: 1500}))
        self.step()
        self.assertEqual(self.table.grant_of(first), grant)
        self.assertEqual(len({first, second} & self.table.moves.keys()), 1)
        assignments.finish_moves(self.current)
        vms = {self.table.grant_of(shard).vm for shard in (first, second)}
        self.assertEqual(len(vms), 2)
        self.assertEqual(self.table.grant_of(partition), grant)

    def test_cooled_key_is_merged_with_a_newer_generation(self):
        shard = self.key_shard("hawser-24mm")
        partition = self.table.parent_partition(shard)
        rates = dict.fromkeys(range(PARTITIONS), 100)
        self.report({**rates, shard: 3000})
        self.settle()
        generation = self.table.grant_of(shard).generation
        self.report({**rates, shard: 10})
        self.settle()
        self.assertIn(shard, self.table.key_grants)
        self.clock.advance(61_000)
        self.settle()
        self.assertNotIn(shard, self.table.key_grants)
        self.assertGreater(
            self.table.grant_of(partition).generation, generation
        )

    def test_no_key_is_split_during_a_hand_over_of_its_partition(self):
        shard = self.key_shard("hawser-24mm")
        partition = self.table.parent_partition(shard)
        owner = self.table.grant_of(partition).vm
        self.replace(owner, state=LEAVING)
        self.step()
        self.report({shard: 9000})
        self.step()
        self.assertNotIn(shard, self.table.key_grants)

    def test_pinned_key_stays_until_unpinned(self):
        key = "booking-7"
        shard = self.key_shard(key)
        vm = next(
            vm
            for vm in self.current.members
            if vm != self.table.grant_of(self.table.shard_of(key)).vm
        )
        pin = operator_messages.Move(assignments.SERVICE, key, vm)
        self.assertEqual(self.apply(pin), 1)
        self.settle()
        self.assertEqual(self.table.grant_of(shard).vm, vm)
        self.clock.advance(61_000)
        self.settle()
        self.clock.advance(61_000)
        self.settle()
        self.assertEqual(self.table.grant_of(shard).vm, vm)
        self.apply(dataclasses.replace(pin, vm=""))
        self.settle()
        self.clock.advance(61_000)
        self.settle()
        self.assertNotIn(shard, self.table.key_grants)


class WitnessChoiceTest(unittest.TestCase):
    """Witnesses are spread over availability zones."""

    def test_three_witnesses_in_other_zones_are_kept(self):
        members = assignments.cluster(12).members
        chooser = witness_choice.WitnessChooser(members)
        member = members["vm-0"]
        chosen = chooser.choose(member, count=3)
        zones = {members[vm].place for vm in chosen}
        self.assertEqual(len(zones - {member.place}), 3)
        del members["vm-11"]
        kept = witness_choice.WitnessChooser(members).choose(
            dataclasses.replace(member, witnesses=chosen), count=3
        )
        self.assertGreaterEqual(len(set(kept) & set(chosen)), 2)

    def test_own_zone_is_used_only_if_other_zones_are_too_few(self):
        members = assignments.cluster(6).members
        members = {v: m for v, m in members.items() if m.place != "place-3"}
        member = members["vm-0"]
        chooser = witness_choice.WitnessChooser(members)
        chosen = chooser.choose(member, count=3)
        self.assertEqual(len({members[vm].place for vm in chosen}), 3)
        unchanged_member = dataclasses.replace(member, witnesses=chosen)
        self.assertEqual(chooser.choose(unchanged_member, count=3), chosen)
