"""Deltas of the assignment: composed, bounded, applied to one version only."""

import random
import unittest

from primrosecross.adapters import object_repository
from primrosecross.domain import errors
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import balance
from primrosecross.domain.ownership import delta
from primrosecross.models import delta as delta_model
from tests import assignments
from tests import fakes

PARTITIONS = 256
SEED = 31
ROUNDS = 40


def make_history(rounds: int) -> list[assignment.Assignment]:
    """Returns consecutive versions with all kinds of changes."""
    rng = random.Random(SEED)
    balancer = balance.Balancer(clock=fakes.ManualClock())
    current = assignments.cluster(6)
    balancer.assign(assignments.service(PARTITIONS), current)
    versions = [current]
    for number in range(rounds):
        current = assignments.next_version(current)
        table = current.tables[assignments.SERVICE]
        shard = rng.getrandbits(63) | assignment.KEY_SHARD_BIT
        if number % 4 == 0:
            table.split_key(shard)
            table.pins[shard] = "vm-1"
        elif number % 4 == 1:
            joined = assignments.member(6 + number, epoch=current.version)
            current.members[joined.vm] = joined
            balancer.assign(assignments.service(PARTITIONS), current)
        elif number % 4 == 2:
            assignments.finish_moves(current)
        elif table.key_grants:
            shard = next(iter(table.key_grants))
            owner = table.grant_of(table.parent_partition(shard)).vm
            table.set_owner(shard, owner, current.version)
            table.merge_key(shard, current.version)
            table.pins.pop(shard, None)
            del current.members[next(iter(current.members))]
        versions.append(current)
    return versions


def is_same(
    first: assignment.Assignment, second: assignment.Assignment
) -> bool:
    """Returns whether two assignments are equal."""
    first_table = first.tables[assignments.SERVICE]
    second_table = second.tables[assignments.SERVICE]
    shards = [*range(PARTITIONS), *first_table.key_grants]
    return (
        (first.version, first.members) == (second.version, second.members)
        and first_table.key_grants == second_table.key_grants
        and all(
            first_table.grant_of(s) == second_table.grant_of(s) for s in shards
        )
        and (first_table.moves, first_table.pins)
        == (second_table.moves, second_table.pins)
        and all(
            first_table.shards_of(vm) == second_table.shards_of(vm)
            for vm in first.members
        )
    )


class DeltaTest(unittest.TestCase):
    """Deltas over a seeded sequence of versions."""

    def setUp(self) -> None:
        self.versions = make_history(ROUNDS)
        self.log = delta.DeltaLog()
        for before, after in zip(
            self.versions, self.versions[1:], strict=False
        ):
            self.log.record_change(before, after)

    def test_any_logged_version_can_be_updated_to_the_latest(self):
        codec = object_repository.JsonStateCodec()
        for older_version in self.versions[:-1]:
            change = self.log.since(older_version.version)
            change = codec.decode_delta(codec.encode_delta(change))
            updated = delta.apply(change, older_version)
            self.assertTrue(is_same(updated, self.versions[-1]))

    def test_delta_applies_only_to_its_from_version(self):
        change = self.log.since(self.versions[5].version)
        for other in (self.versions[4], self.versions[6]):
            before = other.copy()
            self.assertIsNone(delta.apply(change, other))
            self.assertTrue(is_same(before, other))

    def test_log_is_bounded_and_returns_none_for_dropped_versions(self):
        log = delta.DeltaLog(max_rows=100)
        for before, after in zip(
            self.versions, self.versions[1:], strict=False
        ):
            log.record_change(before, after)
        self.assertIsNone(log.since(self.versions[0].version))
        self.assertIsNotNone(log.since(self.versions[-2].version))
        self.assertLessEqual(sum(d.rows for d in log._deltas), 100)

    def test_corrupt_deltas_are_rejected(self):
        change = self.log.since(self.versions[0].version)
        valid_spec = delta_model.to_spec(change)
        for corrupt_fields in (
            {"vms": []},
            {"from_version": "x"},
            {"tables": {"s": {"grants": []}}},
        ):
            with self.assertRaises(errors.PeerProtocolError):
                delta_model.from_spec({**valid_spec, **corrupt_fields})
