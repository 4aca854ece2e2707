"""Differences between two versions of the assignment."""

import collections
import dataclasses

from primrosecross.domain.ownership import assignment

CHUNK_PARTITIONS = 64  # partitions compared at once
MAX_LOG_ROWS = 20_000


@dataclasses.dataclass(slots=True)
class TableDelta:
    """Changed rows of one service's owner table.

    Attributes:
        partitions: Number of hash partitions of the table.
        grants: New grants by shard; None for a key shard that was merged.
        moves: Receiving VMs by shard; empty if the hand-over ended.
        pins: VMs by key shard; empty if the pin was removed.
    """

    partitions: int
    grants: dict[int, assignment.Grant | None]
    moves: dict[int, str]
    pins: dict[int, str]

    @property
    def rows(self) -> int:
        """Number of changed rows."""
        return len(self.grants) + len(self.moves) + len(self.pins)


@dataclasses.dataclass(slots=True)
class Delta:
    """Difference between one version of the assignment and a later one.

    Attributes:
        from_version: The only version that the delta applies to.
        to_version: The version that results.
        members: Changed members by VM; None for a removed member.
        tables: Changed tables by service.
    """

    from_version: int
    to_version: int
    members: dict[str, assignment.Member | None]
    tables: dict[str, TableDelta]

    @property
    def rows(self) -> int:
        """Number of changed rows."""
        tables = sum(table.rows for table in self.tables.values())
        return len(self.members) + tables


def diff(
    before: assignment.Assignment, after: assignment.Assignment
) -> Delta | None:
    """Returns the delta, None where the full assignment must be sent.

    Each change of a partition's owner also changes its generation, so only
    generations are compared.
    """
    if before.tables.keys() - after.tables.keys():
        return None
    tables = {}
    for service, table in after.tables.items():
        earlier = before.tables.get(service)
        if earlier is None or earlier.partitions != table.partitions:
            return None
        changed = _table_delta(earlier, table)
        if changed.rows:
            tables[service] = changed
    return Delta(
        from_version=before.version,
        to_version=after.version,
        members=_diff_map(before.members, after.members, None),
        tables=tables,
    )


def _table_delta(
    before: assignment.OwnerTable, after: assignment.OwnerTable
) -> TableDelta:
    grants = _diff_map(before.key_grants, after.key_grants, None)
    old, new = before.generations, after.generations
    for first in range(0, len(new), CHUNK_PARTITIONS):
        if (
            old[first : first + CHUNK_PARTITIONS]
            == new[first : first + CHUNK_PARTITIONS]
        ):
            continue
        for partition in range(first, min(first + CHUNK_PARTITIONS, len(new))):
            if old[partition] != new[partition]:
                grants[partition] = after.grant_of(partition)
    return TableDelta(
        partitions=after.partitions,
        grants=grants,
        moves=_diff_map(before.moves, after.moves, ""),
        pins=_diff_map(before.pins, after.pins, ""),
    )


def _diff_map(before: dict, after: dict, removed_value: object) -> dict:
    changed = {k: v for k, v in after.items() if before.get(k) != v}
    return changed | dict.fromkeys(before.keys() - after.keys(), removed_value)


def apply(
    change: Delta, before: assignment.Assignment
) -> assignment.Assignment | None:
    """Returns the later assignment, None if the delta is for another version.

    The earlier assignment is not modified.
    """
    if change.from_version != before.version:
        return None
    after = before.copy()
    after.version = change.to_version
    _apply_map(after.members, change.members, None)
    for service, table_delta in change.tables.items():
        table = after.tables.get(service)
        if table is None or table.partitions != table_delta.partitions:
            return None
        _apply_rows(table, table_delta)
    return after


def _apply_rows(table: assignment.OwnerTable, table_delta: TableDelta) -> None:
    moves = dict(table.moves)
    for shard, grant in table_delta.grants.items():
        if grant is None:
            table.remove_key_shard(shard)
        else:
            table.set_owner(shard, grant.vm, grant.generation)
    # set_owner ends the hand-over of a shard, but a delta may hold a new grant
    # for a shard whose hand-over continues.
    table.moves = moves
    _apply_map(table.moves, table_delta.moves, "")
    _apply_map(table.pins, table_delta.pins, "")


def _apply_map(mapping: dict, changes: dict, removed_value: object) -> None:
    for key, value in changes.items():
        if value == removed_value:
            mapping.pop(key, None)
        else:
            mapping[key] = value


def compose(first: Delta, second: Delta) -> Delta:
    """Returns the composition of two consecutive deltas."""
    tables = dict(first.tables)
    for service, table_delta in second.tables.items():
        earlier = tables.get(service)
        tables[service] = (
            table_delta
            if earlier is None
            else _compose_tables(earlier, table_delta)
        )
    return Delta(
        from_version=first.from_version,
        to_version=second.to_version,
        members=first.members | second.members,
        tables=tables,
    )


def _compose_tables(first: TableDelta, second: TableDelta) -> TableDelta:
    return TableDelta(
        partitions=second.partitions,
        grants=first.grants | second.grants,
        moves=first.moves | second.moves,
        pins=first.pins | second.pins,
    )


class DeltaLog:
    """The latest deltas, bounded by their total number of rows.

    Args:
        max_rows: Maximum number of rows kept; each delta counts as one more.
    """

    def __init__(self, *, max_rows: int = MAX_LOG_ROWS) -> None:
        self._max_rows = max_rows
        self._rows = 0
        self._deltas: collections.deque[Delta] = collections.deque()

    def record_change(
        self, before: assignment.Assignment, after: assignment.Assignment
    ) -> None:
        """Records that one version replaced another."""
        change = diff(before, after)
        if change is None:
            self._deltas.clear()
            self._rows = 0
            return
        self._deltas.append(change)
        self._rows += change.rows + 1
        while self._rows > self._max_rows:
            self._rows -= self._deltas.popleft().rows + 1

    def since(self, version: int) -> Delta | None:
        """Returns the delta since a version, None if the log lacks it."""
        composed = None
        for change in self._deltas:
            if change.from_version == version:
                composed = change
            elif composed is not None:
                composed = compose(composed, change)
        return composed
