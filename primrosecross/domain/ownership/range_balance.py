"""Divides keys among targets by load and capacity, and rebalances them.

An overloaded target gives up as few keys as carry its excess load, because
a move has a cost and leaves its keys without a holder for up to one heartbeat.
A target with many ranges is not cut further: it gives whole ranges away.
"""

import dataclasses
from collections.abc import Iterable

from primrosecross.domain.ownership import key_load
from primrosecross.domain.ownership import key_map as key_map_module

IMBALANCE_TOLERANCE = 0.3  # excess over mean utilization, as a share of it
MIN_UTILIZATION = 0.7  # a target below this refuses no requests
MIN_MOVE_LIMIT = 4  # concurrent moves per service, also with few targets
MOVE_LIMIT_SHARE = 0.5  # concurrent moves per target of the service
MAX_RANGES_PER_TARGET = 48  # keeps heartbeat answers small
UNIFORM_LOAD_SHARE = 0.15  # of the total load, added evenly over all keys
MIN_PIECE_SHARE = 0.1  # of a mean target's load
MIN_SLICE_SHARE = 0.2  # of the load to be moved
SLICE_WIDTH_OFFSET_KEYS = 64  # keeps single keys from always scoring best
_KeyRange = key_map_module.KeyRange
_Table = key_map_module.RangeTable


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that may get keys.

    Attributes:
        capacity: Requests per second that it can run.
        load: Requests per second of its keys.
        range_count: Ranges that it holds or is about to receive.
    """

    incarnation_id: str
    vm: str
    capacity: float
    load: float = 0.0
    range_count: int = 0

    @property
    def utilization(self) -> float:
        """Load divided by capacity."""
        return self.load / self.capacity

    def headroom(self, mean_utilization: float) -> float:
        """Returns the load to add to reach a utilization; may be negative."""
        return mean_utilization * self.capacity - self.load


class Balance:
    """Targets of one service and the load of its keys.

    Args:
        candidates: Targets that may get keys.
        load: Request rates by key, None before the first request.
        movable_version: Ranges up to this generation have been with their
            holders long enough to be moved.
    """

    def __init__(
        self,
        *,
        candidates: list[Candidate],
        load: key_load.KeyLoad | None,
        movable_version: int,
    ) -> None:
        self._load = load
        self._movable_version = movable_version
        self.candidates = {
            candidate.incarnation_id: candidate for candidate in candidates
        }

    def update_loads(self, table: _Table) -> None:
        """Recomputes the load of each target's held and incoming ranges."""
        for candidate in self.candidates.values():
            candidate.load = 0.0
            candidate.range_count = 0
        for key_range in table.ranges:
            owner = self.candidates.get(key_range.receiver or key_range.holder)
            if owner is not None:
                owner.load += self._estimated_load(
                    key_range.first, key_range.last
                )
                owner.range_count += 1

    def _estimated_load(self, first: int, last: int) -> float:
        """Returns the load of a range, plus its part of the uniform load."""
        width = (last - first + 1) / (key_map_module.LAST_KEY + 1)
        if self._load is None:
            return width
        uniform_load = max(self._load.total_rate(), 1.0) * UNIFORM_LOAD_SHARE
        return self._load.range_rate(first, last) + uniform_load * width

    def _mean_utilization(self, added_load: float = 0.0) -> float:
        load = sum(c.load for c in self.candidates.values()) + added_load
        return load / sum(c.capacity for c in self.candidates.values())

    def divide(
        self, free_range: _KeyRange, neighbor_ids: Iterable[str] = ()
    ) -> list[tuple[_KeyRange, str]]:
        """Divides a range among targets by their headroom and free ranges.

        Args:
            free_range: The range.
            neighbor_ids: Incarnations that have the ranges beside it, or none.

        Returns:
            Parts of the range, each with the incarnation that gets it.
        """
        load = self._estimated_load(free_range.first, free_range.last)
        mean = self._mean_utilization(load)
        neighbors = [
            self.candidates[i] for i in neighbor_ids if i in self.candidates
        ]
        fitting = [c for c in neighbors if c.headroom(mean) >= load]
        if fitting or not self._with_room():
            destination = max(
                fitting or neighbors or self.candidates.values(),
                key=lambda c: c.headroom(mean),
            )
            return [self._assigned(free_range, destination)]
        pieces: list[tuple[_KeyRange, str]] = []
        first = free_range.first
        while first <= free_range.last:
            destination = max(self._with_room(), key=lambda c: c.headroom(mean))
            last = self._split_key(
                first, free_range.last, destination.headroom(mean)
            )
            rest_load = self._estimated_load(last + 1, free_range.last)
            rest_is_small = (
                rest_load < MIN_PIECE_SHARE * mean * destination.capacity
            )
            destination.range_count += 1
            if rest_is_small or not self._with_room():
                last = free_range.last
            destination.range_count -= 1
            pieces.append(
                self._assigned(free_range.clip(first, last), destination)
            )
            first = last + 1
        return pieces

    def _assigned(
        self, piece: _KeyRange, destination: Candidate
    ) -> tuple[_KeyRange, str]:
        destination.load += self._estimated_load(piece.first, piece.last)
        destination.range_count += 1
        return piece, destination.incarnation_id

    def _with_room(self) -> list[Candidate]:
        """Returns the targets that may get another range."""
        return [
            c
            for c in self.candidates.values()
            if c.range_count < MAX_RANGES_PER_TARGET
        ]

    def _split_key(self, first: int, last: int, headroom: float) -> int:
        """Returns the last key up to which a range fits into the headroom."""
        low, high = first, last
        while low < high:
            middle = (low + high + 1) // 2
            if self._estimated_load(first, middle) <= headroom:
                low = middle
            else:
                high = middle - 1
        return low

    def rebalance(self, table: _Table) -> _Table:
        """Starts moves of busy keys from the busiest targets to the idlest."""
        if self._load is None or len(self.candidates) < 2:
            return table
        moving = sum(r.receiver != "" for r in table.ranges)
        exhausted_ids: set[str] = set()  # Targets without a movable slice.
        self.update_loads(table)
        while moving < self.max_moves:
            sources = [
                c
                for c in self.candidates.values()
                if c.incarnation_id not in exhausted_ids
            ]
            busiest = max(sources, key=lambda c: c.utilization, default=None)
            if busiest is None:
                break
            receiver = self._least_utilized(busiest)
            if receiver is None or not self._should_move(busiest, receiver):
                break
            change = self._next_move(table, busiest, receiver, self._load)
            if change is None:
                exhausted_ids.add(busiest.incarnation_id)
                continue
            self.record_move(table, busiest, change)
            table = table.with_ranges([change])
            moving += 1
        return table

    @property
    def max_moves(self) -> int:
        """Number of ranges that may move at a time."""
        return max(
            MIN_MOVE_LIMIT, round(MOVE_LIMIT_SHARE * len(self.candidates))
        )

    def is_movable(self, key_range: _KeyRange) -> bool:
        """Returns whether a range has been with its holder long enough."""
        return key_range.generation <= self._movable_version

    def stays_even(self, receiver: Candidate, added_load: float) -> bool:
        """Returns whether a target with more load would give up no keys."""
        utilization = (receiver.load + added_load) / receiver.capacity
        return utilization <= max(MIN_UTILIZATION, self._mean_utilization())

    def record_move(
        self, table: _Table, source: Candidate, change: _KeyRange
    ) -> None:
        """Counts a move that is about to start in a table."""
        moved_load = self._estimated_load(change.first, change.last)
        receiver = self.candidates[change.receiver]
        source.load -= moved_load
        source.range_count += _added_ranges(table, change)
        receiver.load += moved_load
        receiver.range_count += 1

    def _least_utilized(self, source: Candidate) -> Candidate | None:
        """Returns the target to give keys to, None if all others are full."""
        return min(
            (c for c in self._with_room() if c is not source),
            key=lambda c: c.utilization,
            default=None,
        )

    def _should_move(self, busiest: Candidate, receiver: Candidate) -> bool:
        """Returns whether the busiest target should give up keys."""
        is_idle = receiver.range_count == 0 and busiest.range_count > 0
        return is_idle or _is_uneven(
            busiest, receiver, self._mean_utilization()
        )

    def _next_move(
        self,
        table: _Table,
        source: Candidate,
        receiver: Candidate,
        load: key_load.KeyLoad,
    ) -> _KeyRange | None:
        """Returns keys of the source that go to the receiver, None if none fit.

        A slice that carries as much as the source has too much is best. If
        single keys or small ranges carry the load, the receiver gets what
        leaves it clearly less busy than the source is.
        """
        mean = self._mean_utilization()
        is_idle = receiver.range_count == 0
        headroom = receiver.headroom(mean)
        excess = -source.headroom(mean)
        max_rate = min(max(excess, headroom / 2 if is_idle else 0.0), headroom)
        max_load = max(
            headroom,
            receiver.headroom(source.utilization - IMBALANCE_TOLERANCE * mean),
        )
        key_slice = self._best_slice(table, source, load, max_rate, max_load)
        if key_slice is None and is_idle:
            key_slice = self._any_slice(
                table, source, min(max_rate, source.load / 2)
            )
        if key_slice is None:
            key_slice = self._best_slice(
                table, source, load, max_load, max_load
            ) or self._best_range(table, source, max_rate, max_load)
        if key_slice is None:
            return None
        return dataclasses.replace(key_slice, receiver=receiver.incarnation_id)

    def _movable_ranges(
        self, table: _Table, source: Candidate
    ) -> list[_KeyRange]:
        return [
            r
            for r in table.held_by(source.incarnation_id)
            if not r.receiver and self.is_movable(r)
        ]

    def _may_give(
        self, table: _Table, source: Candidate, key_slice: _KeyRange
    ) -> bool:
        """Returns whether the source keeps keys, in not too many ranges."""
        remaining = source.range_count + _added_ranges(table, key_slice)
        return 0 < remaining <= max(MAX_RANGES_PER_TARGET, source.range_count)

    def _best_slice(
        self,
        table: _Table,
        source: Candidate,
        load: key_load.KeyLoad,
        max_rate: float,
        max_load: float,
    ) -> _KeyRange | None:
        """Returns the slice that carries most of max_rate in few keys.

        Args:
            table: All ranges.
            source: The target that gives it.
            load: Request rates by key.
            max_rate: Most requests per second that it may have.
            max_load: Most load that it may have; unlike a rate, it includes
                the slice's part of the uniform load.
        """
        best: tuple[float, _KeyRange] | None = None
        for key_range in self._movable_ranges(table, source):
            densest = load.densest_slice(
                key_range.first, key_range.last, max_rate=max_rate
            )
            if densest is None:
                continue
            first, last, rate = densest
            key_slice = key_range.clip(first, last)
            score = rate / (last - first + SLICE_WIDTH_OFFSET_KEYS)
            enough = rate >= MIN_SLICE_SHARE * max_rate
            if (
                enough
                and (best is None or score > best[0])
                and self.load_of(key_slice) <= max_load
                and self._may_give(table, source, key_slice)
            ):
                best = (score, key_slice)
        return None if best is None else best[1]

    def _best_range(
        self, table: _Table, source: Candidate, wanted: float, max_load: float
    ) -> _KeyRange | None:
        """Returns the whole range whose load is closest to the wanted one."""
        loads = [
            (abs(load - wanted), key_range)
            for key_range in self._movable_ranges(table, source)
            if 0 < (load := self.load_of(key_range)) <= max_load
        ]
        if source.range_count < 2 or not loads:
            return None
        return min(loads, key=lambda entry: entry[0])[1]

    def load_of(self, key_range: _KeyRange) -> float:
        """Returns the estimated load of a range."""
        return self._estimated_load(key_range.first, key_range.last)

    def _any_slice(
        self, table: _Table, source: Candidate, max_rate: float
    ) -> _KeyRange | None:
        """Returns keys with little load, for a target that holds no keys."""
        key_ranges = [
            r for r in table.held_by(source.incarnation_id) if not r.receiver
        ]
        if not key_ranges:
            return None
        widest = max(key_ranges, key=lambda r: r.size)
        last = self._split_key(widest.first, widest.last, max_rate)
        key_slice = widest.clip(widest.first, last)
        return key_slice if self._may_give(table, source, key_slice) else None


def _added_ranges(table: _Table, key_slice: _KeyRange) -> int:
    """Returns how many more ranges a holder has once it has given a slice."""
    key_range = table.find(key_slice.first)
    return (
        (key_range.first < key_slice.first)
        + (key_slice.last < key_range.last)
        - 1
    )


def _is_uneven(busiest: Candidate, receiver: Candidate, mean: float) -> bool:
    """Returns whether the imbalance is large enough to move keys."""
    return (
        busiest.utilization >= MIN_UTILIZATION
        and busiest.utilization - mean >= IMBALANCE_TOLERANCE * mean
        and busiest.utilization - receiver.utilization
        >= 2 * IMBALANCE_TOLERANCE * mean
    )
