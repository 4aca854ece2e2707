"""Divides keys among targets by load and capacity, and rebalances them.

An overloaded target gives up as few keys as carry its excess load, because
a move has a cost and leaves its keys without a holder for up to one heartbeat.
"""

import dataclasses

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

    def divide(self, free_range: _KeyRange) -> list[tuple[_KeyRange, str]]:
        """Divides a range among targets by their headroom."""
        mean = self._mean_utilization(
            self._estimated_load(free_range.first, free_range.last)
        )
        pieces: list[tuple[_KeyRange, str]] = []
        first = free_range.first
        while first <= free_range.last:
            destination = max(
                self.candidates.values(), key=lambda c: c.headroom(mean)
            )
            last = self._split_key(
                first, free_range.last, destination.headroom(mean)
            )
            rest_load = self._estimated_load(last + 1, free_range.last)
            if rest_load < MIN_PIECE_SHARE * mean * destination.capacity:
                last = free_range.last
            pieces.append(
                (free_range.clip(first, last), destination.incarnation_id)
            )
            destination.load += self._estimated_load(first, last)
            destination.range_count += 1
            first = last + 1
        return pieces

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
        max_moves = max(
            MIN_MOVE_LIMIT, round(MOVE_LIMIT_SHARE * len(self.candidates))
        )
        exhausted_ids: set[str] = set()  # Targets without a movable slice.
        self.update_loads(table)
        while moving < max_moves:
            sources = [
                c
                for c in self.candidates.values()
                if c.incarnation_id not in exhausted_ids
            ]
            busiest = max(sources, key=lambda c: c.utilization, default=None)
            if busiest is None or not self._should_move(busiest):
                break
            change = self._next_move(table, busiest, self._load)
            if change is None:
                exhausted_ids.add(busiest.incarnation_id)
                continue
            table = table.with_ranges([change])
            self._record_move(busiest, change)
            moving += 1
        return table

    def _record_move(self, source: Candidate, change: _KeyRange) -> None:
        moved_load = self._estimated_load(change.first, change.last)
        receiver = self.candidates[change.receiver]
        source.load -= moved_load
        receiver.load += moved_load
        receiver.range_count += 1

    def _least_utilized(self) -> Candidate:
        return min(self.candidates.values(), key=lambda c: c.utilization)

    def _should_move(self, busiest: Candidate) -> bool:
        """Returns whether the busiest target should give up keys."""
        idlest = self._least_utilized()
        is_idle = idlest.range_count == 0 and busiest.range_count > 0
        return is_idle or _is_uneven(busiest, idlest, self._mean_utilization())

    def _next_move(
        self, table: _Table, busiest: Candidate, load: key_load.KeyLoad
    ) -> _KeyRange | None:
        """Returns a slice of the busiest target's keys, with its receiver."""
        idlest = self._least_utilized()
        if (
            max(idlest.range_count, busiest.range_count)
            >= MAX_RANGES_PER_TARGET
        ):
            return None
        mean = self._mean_utilization()
        is_idle = idlest.range_count == 0
        headroom = idlest.headroom(mean)
        excess = -busiest.headroom(mean)
        max_rate = min(max(excess, headroom / 2 if is_idle else 0.0), headroom)
        key_slice = self._best_slice(table, busiest, load, max_rate)
        if key_slice is None and is_idle:
            key_slice = self._any_slice(table, busiest, max_rate)
        if key_slice is None:
            return None
        return dataclasses.replace(key_slice, receiver=idlest.incarnation_id)

    def _best_slice(
        self,
        table: _Table,
        busiest: Candidate,
        load: key_load.KeyLoad,
        max_rate: float,
    ) -> _KeyRange | None:
        """Returns the slice that carries most of max_rate in few keys."""
        best: tuple[float, _KeyRange] | None = None
        for key_range in table.held_by(busiest.incarnation_id):
            if (
                key_range.receiver
                or key_range.generation > self._movable_version
            ):
                continue
            densest = load.densest_slice(
                key_range.first, key_range.last, max_rate=max_rate
            )
            if densest is None:
                continue
            first, last, rate = densest
            score = rate / (last - first + SLICE_WIDTH_OFFSET_KEYS)
            enough = rate >= MIN_SLICE_SHARE * max_rate
            if enough and (best is None or score > best[0]):
                best = (score, key_range.clip(first, last))
        return None if best is None else best[1]

    def _any_slice(
        self, table: _Table, busiest: Candidate, max_rate: float
    ) -> _KeyRange | None:
        """Returns keys with little load, for a target that holds no keys."""
        key_ranges = [
            r for r in table.held_by(busiest.incarnation_id) if not r.receiver
        ]
        if not key_ranges:
            return None
        widest = max(key_ranges, key=lambda r: r.size)
        last = self._split_key(widest.first, widest.last, max_rate)
        return widest.clip(widest.first, last)


def _is_uneven(busiest: Candidate, idlest: Candidate, mean: float) -> bool:
    """Returns whether the imbalance is large enough to move keys."""
    return (
        busiest.utilization >= MIN_UTILIZATION
        and busiest.utilization - mean >= IMBALANCE_TOLERANCE * mean
        and busiest.utilization - idlest.utilization
        >= 2 * IMBALANCE_TOLERANCE * mean
    )
