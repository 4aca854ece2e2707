"""Decisions must ignore messages that refer to an earlier state."""

import dataclasses
import unittest

from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import witness_sets
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import decisions

SERVICE = "rezervace"


def member(vm: str, **changes: object) -> assignment.Member:
    """Returns a member with epoch 2."""
    default_member = assignment.Member(
        vm=vm,
        place=f"place-{vm}",
        region="r",
        peer_address="127.0.0.1:1",
        incarnation=f"{vm}-1",
        epoch=2,
        witnesses=("x", "y", "z"),
    )
    return dataclasses.replace(default_member, **changes)


class DecisionsTest(unittest.TestCase):
    """Decisions on an assignment of two members and two shards."""

    def setUp(self) -> None:
        table = assignment.OwnerTable.empty(SERVICE, 2)
        table.set_owner(0, "a", 3)
        table.set_owner(1, "b", 3)
        self.stored = assignment.Assignment(
            version=5,
            members={"a": member("a"), "b": member("b")},
            tables={SERVICE: table},
        )

    def _draft(self) -> decisions.Draft:
        since = witness_sets.unconfirmed_since(self.stored, {})
        draft = decisions.Draft(self.stored.copy(), since)
        draft.assignment.version += 1
        return draft

    def _release(self, generation: int) -> member_messages.Release:
        return member_messages.Release("a", 2, SERVICE, (0,), (generation,))

    def _table(self, draft: decisions.Draft) -> assignment.OwnerTable:
        return draft.assignment.tables[SERVICE]

    def test_release_of_a_cancelled_hand_over_is_ignored(self):
        self.stored.tables[SERVICE].moves[0] = "b"
        draft = self._draft()
        del self._table(draft).moves[0]
        decisions.renew_generations_after_cancelled_handovers(
            self.stored, draft.assignment
        )
        self._table(draft).moves[0] = "b"
        self.assertEqual(decisions.apply(self._release(3), draft), 0)
        self.assertEqual(decisions.apply(self._release(6), draft), 1)
        self.assertEqual(self._table(draft).grant_of(0).vm, "b")

    def test_confirm_from_before_the_change_is_ignored(self):
        changed = member("a", previous_witnesses=("u", "v", "w"))
        self.stored.members["a"] = changed
        draft = self._draft()
        early = member_messages.Confirm("a", 2, 4, 1, ("x", "y", "z"))
        self.assertEqual(decisions.apply(early, draft), 0)
        late = dataclasses.replace(early, assignment_version=5)
        self.assertEqual(decisions.apply(late, draft), 1)
        self.assertEqual(draft.assignment.members["a"].previous_witnesses, ())

    def test_second_daemon_with_the_same_vm_name_is_not_admitted(self):
        draft = self._draft()
        join = member_messages.Join(
            "a", "place-a", "r", "127.0.0.1:2", "a-2", ()
        )
        self.assertEqual(decisions.apply(join, draft), 0)
        self.assertEqual(draft.assignment.members["a"], member("a"))

    def test_rejoining_vm_gets_its_shards_under_a_new_generation(self):
        draft = self._draft()
        decisions.apply(decisions.LeaseLapsed("a", 2), draft)
        join = member_messages.Join(
            "a", "place-a", "r", "127.0.0.1:2", "a-2", ()
        )
        decisions.apply(join, draft)
        self.assertEqual(draft.assignment.members["a"].epoch, 6)
        self.assertEqual(
            self._table(draft).grant_of(0), assignment.Grant("", 6)
        )

    def test_only_lost_or_badly_spread_witnesses_are_replaced(self):
        members = {
            vm: member(vm, place=place, witnesses=())
            for vm, place in zip("abcdefgh", "pqrspqrs", strict=True)
        }
        current = assignment.Assignment(version=1, members=members)
        self.assertEqual(witness_sets.replace_witnesses(current), 8)
        self.assertEqual(witness_sets.replace_witnesses(current), 0)
        lost = current.members["a"].witnesses[0]
        del current.members[lost]
        witness_sets.replace_witnesses(current)
        replaced = current.members["a"]
        self.assertNotIn(lost, replaced.witnesses)
        self.assertIn(lost, replaced.previous_witnesses)
