"""Owners of shards: churn, load, hot keys, pins and departures."""

import collections
import dataclasses
import unittest

from primrosecross.domain import assignment
from primrosecross.domain import balance
from primrosecross.domain import decisions
from primrosecross.domain import messages
from primrosecross.domain import witness_choice
from tests import assignments
from tests import fakes

PARTITIONS = 512
LEAVING = assignment.MemberState.LEAVING
MAX_CHURN = 1.2
MAX_IMBALANCE = 1.15


class BalanceCase(unittest.TestCase):
    """A cluster whose hand-overs finish at once."""

    members = 8

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.balancer = balance.Balancer(clock=self.clock)
        self.present = assignments.cluster(self.members)
        self.service = assignments.service(PARTITIONS)
        self.settle()

    @property
    def table(self) -> assignment.OwnerTable:
        return self.present.tables[assignments.SERVICE]

    def step(self) -> int:
        """Makes one decision; returns the number of changes."""
        self.present = assignments.next_version(self.present)
        return self.balancer.assign(self.service, self.present)

    def settle(self, rounds: int = 100) -> int:
        """Decides and finishes moves until nothing changes."""
        moved = 0
        for _ in range(rounds):
            changed = self.step()
            moved += assignments.finish_moves(self.present)
            if not changed:
                break
        return moved

    def apply(self, message: object) -> int:
        self.present = assignments.next_version(self.present)
        return decisions.apply(message, decisions.Draft(self.present))

    def replace(self, vm: str, **changes: object) -> None:
        members = self.present.members
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
    """Members join, leave and are lost."""

    def test_shares_follow_slots(self):
        self.replace(
            "vm-0", offers=(assignment.Offer(assignments.SERVICE, 32, True),)
        )
        self.settle()
        mean = PARTITIONS / (self.members + 1)
        self.assertAlmostEqual(self.counts()["vm-0"], 2 * mean, delta=12)

    def test_joining_moves_little(self):
        before = self.owners()
        joined = assignments.member(self.members)
        self.present.members[joined.vm] = joined
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

    def test_loss_moves_only_what_the_member_had(self):
        before = self.owners()
        self.apply(decisions.Lapsed("vm-3", 1))
        self.settle()
        changed = [s for s, vm in self.owners().items() if before[s] != vm]
        self.assertTrue(all(before[s] == "vm-3" for s in changed))
        self.assertLessEqual(len(changed) / PARTITIONS, MAX_CHURN / 8)

    def test_leaving_member_is_emptied_in_one_decision(self):
        self.replace("vm-2", state=LEAVING)
        owned = set(self.table.shards_of("vm-2"))
        self.step()
        self.assertEqual(set(self.table.moves), owned)
        self.settle()
        self.assertEqual(self.table.shards_of("vm-2"), [])

    def test_member_without_a_target_is_emptied(self):
        self.replace("vm-2", offers=())
        self.settle()
        self.assertEqual(self.table.shards_of("vm-2"), [])

    def test_returning_vm_gets_new_generations(self):
        """The table forgets a lost VM, also when none else could take over."""
        generation = self.table.grant_of(0).generation
        owner = self.table.grant_of(0).vm
        self.apply(decisions.Lapsed(owner, 1))
        number = int(owner.removeprefix("vm-"))
        self.present.members = {owner: assignments.member(number, epoch=9)}
        self.step()
        self.assertGreater(self.table.grant_of(0).generation, generation)


class HandOverDecisionTest(BalanceCase):
    """Moves whose sides change while they are under way."""

    def setUp(self) -> None:
        super().setUp()
        self.replace("vm-2", state=LEAVING)
        self.step()
        self.shard, self.receiver = next(iter(self.table.moves.items()))
        self.generation = self.table.grant_of(self.shard).generation

    def release(self, generation: int) -> int:
        return self.apply(
            messages.Release(
                vm="vm-2",
                epoch=1,
                service=assignments.SERVICE,
                shards=(self.shard,),
                generations=(generation,),
            )
        )

    def test_release_gives_the_shard_to_the_receiver(self):
        self.assertEqual(self.release(self.generation), 1)
        self.assertEqual(self.table.grant_of(self.shard).vm, self.receiver)

    def test_receiver_that_leaves_is_replaced(self):
        self.replace(self.receiver, state=LEAVING)
        self.assertEqual(self.release(self.generation), 0)
        self.step()
        again = self.table.moves[self.shard]
        self.assertNotEqual(again, self.receiver)

    def test_receiver_that_is_lost_is_replaced(self):
        self.apply(decisions.Lapsed(self.receiver, 1))
        self.step()
        again = self.table.moves[self.shard]
        self.assertIn(again, self.present.members)
        self.assertEqual(self.table.grant_of(self.shard).vm, "vm-2")

    def test_owner_lost_while_handing_over(self):
        self.apply(decisions.Lapsed("vm-2", 1))
        self.step()
        self.assertFalse(set(self.table.moves) & {self.shard})
        self.assertIn(self.table.grant_of(self.shard).vm, self.present.members)


class WitnessChoiceTest(unittest.TestCase):
    """Witnesses spread over places."""

    def test_three_in_other_places_and_kept(self):
        members = assignments.cluster(12).members
        chooser = witness_choice.WitnessChooser(members)
        member = members["vm-0"]
        chosen = chooser.choose(member, count=3)
        places = {members[vm].place for vm in chosen}
        self.assertEqual(len(places - {member.place}), 3)
        del members["vm-11"]
        kept = witness_choice.WitnessChooser(members).choose(
            dataclasses.replace(member, witnesses=chosen), count=3
        )
        self.assertGreaterEqual(len(set(kept) & set(chosen)), 2)

    def test_own_place_counts_only_where_others_are_short(self):
        members = assignments.cluster(6).members
        members = {v: m for v, m in members.items() if m.place != "place-3"}
        member = members["vm-0"]
        chooser = witness_choice.WitnessChooser(members)
        chosen = chooser.choose(member, count=3)
        self.assertEqual(len({members[vm].place for vm in chosen}), 3)
        settled = dataclasses.replace(member, witnesses=chosen)
        self.assertEqual(chooser.choose(settled, count=3), chosen)
