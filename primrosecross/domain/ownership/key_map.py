"""Map of key ranges to the targets that hold them, as kept in the store."""

import bisect
import dataclasses
import enum
from collections.abc import Iterable

LAST_KEY = 65_535
NO_HOLDER = ""


class HolderState(enum.StrEnum):
    """State of a holder in the map."""

    ACTIVE = "active"
    REVOKING = "revoking"


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """An incarnation of a target that may hold keys.

    Attributes:
        life: Incarnation ID of the target; a restart gets another one.
        vm: VM on which the target runs.
        service: Service of the target.
        state: Whether its keys are being revoked without its consent.
        since: Version of the map that set the state.
    """

    life: str
    vm: str
    service: str
    state: HolderState = HolderState.ACTIVE
    since: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRange:
    """A range of keys with one holder.

    Attributes:
        first: First key.
        last: Last key, included.
        holder: Incarnation ID of the holder, NO_HOLDER if it is free.
        generation: Fencing token; increases whenever the holder changes.
        token: Hand-over token of the previous holder, empty if there is none.
        receiver: Incarnation ID of the target that gets the range once the
            holder has released it, NO_HOLDER if it does not move.
    """

    first: int
    last: int
    holder: str = NO_HOLDER
    generation: int = 0
    token: str = ""
    receiver: str = NO_HOLDER

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    def clip(self, first: int, last: int) -> "KeyRange":
        """Returns the part of the range within overlapping bounds."""
        return dataclasses.replace(
            self, first=max(first, self.first), last=min(last, self.last)
        )

    def equal_except_bounds(self, other: "KeyRange") -> bool:
        """Returns whether another range is equal apart from its bounds."""
        return (
            self.holder == other.holder
            and self.generation == other.generation
            and self.token == other.token
            and self.receiver == other.receiver
        )

    def overlaps(self, first: int, last: int) -> bool:
        """Returns whether the range contains a key from first to last."""
        return first <= self.last and self.first <= last


class RangeTable:
    """All key ranges of one service, sorted and without gaps.

    Args:
        ranges: Sorted ranges that cover each key once.
    """

    def __init__(self, ranges: Iterable[KeyRange]) -> None:
        self.ranges = tuple(ranges)
        self._firsts = [r.first for r in self.ranges]

    @classmethod
    def unassigned(cls) -> "RangeTable":
        """Returns a table in which no key has a holder."""
        return cls((KeyRange(0, LAST_KEY),))

    def find(self, key: int) -> KeyRange:
        """Returns the range of a key."""
        return self.ranges[bisect.bisect_right(self._firsts, key) - 1]

    def held_by(self, incarnation_id: str) -> list[KeyRange]:
        """Returns the ranges of a holder."""
        return [r for r in self.ranges if r.holder == incarnation_id]

    def neighbor_ids(self, key_range: KeyRange) -> list[str]:
        """Returns who has or gets the keys on both sides of a range."""
        keys = (key_range.first - 1, key_range.last + 1)
        neighbors = [self.find(key) for key in keys if 0 <= key <= LAST_KEY]
        return [n.receiver or n.holder for n in neighbors]

    def with_free_ranges_joined(self) -> "RangeTable":
        """Returns a table whose adjacent free ranges are one each.

        The generation of a free range is replaced once it gets a holder. A
        range with a hand-over token stays apart, as the token is for its keys.
        """
        newest = max(r.generation for r in self.ranges)
        return RangeTable(
            _merged(
                dataclasses.replace(r, generation=newest)
                if r.holder == NO_HOLDER and not r.token
                else r
                for r in self.ranges
            )
        )

    def with_ranges(self, changes: Iterable[KeyRange]) -> "RangeTable":
        """Returns a table with changed ranges in place of what they overlap."""
        parts = list(self.ranges)
        for change in changes:
            parts = [p for old in parts for p in _subtract(old, change)]
            parts.append(change)
        parts.sort(key=lambda r: r.first)
        return RangeTable(_merged(parts))


def _subtract(old: KeyRange, change: KeyRange) -> list[KeyRange]:
    if not old.overlaps(change.first, change.last):
        return [old]
    remaining = []
    if old.first < change.first:
        remaining.append(dataclasses.replace(old, last=change.first - 1))
    if old.last > change.last:
        remaining.append(dataclasses.replace(old, first=change.last + 1))
    return remaining


def _merged(parts: Iterable[KeyRange]) -> list[KeyRange]:
    """Joins adjacent ranges that are equal apart from their bounds."""
    joined: list[KeyRange] = []
    for part in parts:
        previous = joined[-1] if joined else None
        if previous is not None and previous.equal_except_bounds(part):
            joined[-1] = dataclasses.replace(previous, last=part.last)
        else:
            joined.append(part)
    return joined


@dataclasses.dataclass(frozen=True, slots=True)
class KeyMap:
    """One version of holders and ranges; versions only increase.

    Attributes:
        version: Number of this version.
        holders: Holders and receivers in the tables, by incarnation ID.
        tables: Range table by service.
    """

    version: int = 0
    holders: dict[str, Holder] = dataclasses.field(default_factory=dict)
    tables: dict[str, RangeTable] = dataclasses.field(default_factory=dict)

    def find(self, service: str, key: int) -> tuple[KeyRange, Holder | None]:
        """Returns the range of a key, and its holder or None if it is free."""
        table = self.tables.get(service)
        if table is None:
            return KeyRange(0, LAST_KEY), None
        key_range = table.find(key)
        return key_range, self.holders.get(key_range.holder)


@dataclasses.dataclass(frozen=True, slots=True)
class MapChange:
    """Difference between one version of the map and a later one.

    Attributes:
        since: Version that it applies to; 0 if it is complete and applies
            to any.
        version: Version after the change.
        holders: Holders that are new or changed.
        gone: Incarnation IDs of removed holders.
        ranges: Ranges that are new or changed, by service.
    """

    since: int
    version: int
    holders: tuple[Holder, ...]
    gone: tuple[str, ...]
    ranges: dict[str, tuple[KeyRange, ...]]


def diff(old: KeyMap | None, new: KeyMap) -> MapChange:
    """Returns the change from an older map to a newer one."""
    if old is None:
        old = KeyMap()
    return MapChange(
        since=old.version,
        version=new.version,
        holders=tuple(
            h
            for incarnation_id, h in new.holders.items()
            if old.holders.get(incarnation_id) != h
        ),
        gone=tuple(
            incarnation_id
            for incarnation_id in old.holders
            if incarnation_id not in new.holders
        ),
        ranges={
            service: _changed_ranges(old.tables.get(service), table)
            for service, table in new.tables.items()
        },
    )


def _changed_ranges(
    old: RangeTable | None, new: RangeTable
) -> tuple[KeyRange, ...]:
    old_ranges = frozenset(old.ranges) if old is not None else frozenset()
    return tuple(r for r in new.ranges if r not in old_ranges)


def apply_change(current: KeyMap, change: MapChange) -> KeyMap | None:
    """Returns the map after a change, None if it is for another version."""
    if change.since not in (0, current.version):
        return None
    base = current if change.since else KeyMap()
    holders = {
        incarnation_id: h
        for incarnation_id, h in base.holders.items()
        if incarnation_id not in change.gone
    }
    holders.update((h.life, h) for h in change.holders)
    tables = dict(base.tables)
    for service, ranges in change.ranges.items():
        table = tables.get(service) or RangeTable.unassigned()
        tables[service] = table.with_ranges(ranges)
    return KeyMap(change.version, holders, tables)
