"""How much of a service each member carries while owners are chosen."""

import dataclasses
import heapq
import itertools
from collections.abc import Iterable


@dataclasses.dataclass(slots=True)
class Share:
    """What one member carries.

    Attributes:
        vm: The member.
        capacity: Its slots for the service.
        load: Weight of its shards, in requests per second.
        shards: Shards it will own once planned moves are done.
    """

    vm: str
    capacity: int
    load: float = 0.0
    shards: set[int] = dataclasses.field(default_factory=set)

    @property
    def fill(self) -> float:
        """Load for each slot."""
        return self.load / self.capacity

    def add(self, shard: int, weight: float) -> None:
        """Gives it a shard."""
        self.shards.add(shard)
        self.load += weight

    def remove(self, shard: int, weight: float) -> None:
        """Takes a shard from it."""
        self.shards.discard(shard)
        self.load -= weight


class _Heap:
    """A heap of shares whose outdated entries are skipped."""

    def __init__(self, shares: Iterable[Share], sign: int) -> None:
        self._sign = sign
        self._order = itertools.count()
        self._entries: list[tuple[float, int, Share]] = []
        self._current: dict[str, int] = {}
        for share in shares:
            self.push(share)

    def push(self, share: Share) -> None:
        number = next(self._order)
        self._current[share.vm] = number
        heapq.heappush(self._entries, (self._sign * share.fill, number, share))

    def drop(self, share: Share) -> None:
        self._current.pop(share.vm, None)

    def first(self) -> Share | None:
        while self._entries:
            _, number, share = self._entries[0]
            if self._current.get(share.vm) == number:
                return share
            heapq.heappop(self._entries)
        return None


class Shares:
    """The shares of all members that can own a service's shards.

    Args:
        shares: One for each member.
    """

    def __init__(self, shares: Iterable[Share]) -> None:
        self.by_vm = {share.vm: share for share in shares}
        self._emptiest = _Heap(self.by_vm.values(), 1)
        self._fullest = _Heap(self.by_vm.values(), -1)

    @property
    def mean_fill(self) -> float:
        """Load for each slot, over all members."""
        capacity = sum(share.capacity for share in self.by_vm.values())
        return sum(share.load for share in self.by_vm.values()) / capacity

    def emptiest(self) -> Share | None:
        """Returns the member with the least load for each slot."""
        return self._emptiest.first()

    def fullest(self) -> Share | None:
        """Returns the member with the most load that was not set aside."""
        return self._fullest.first()

    def set_aside(self, share: Share) -> None:
        """Leaves a member out of those that fullest() returns."""
        self._fullest.drop(share)

    def give(self, share: Share, shard: int, weight: float) -> None:
        """Adds a shard to a member's share."""
        share.add(shard, weight)
        self._changed(share)

    def shift(
        self, full: Share, free: Share, shard: int, weight: float
    ) -> None:
        """Moves a shard from one member's share to another's."""
        full.remove(shard, weight)
        free.add(shard, weight)
        self._changed(full)
        self._changed(free)

    def _changed(self, share: Share) -> None:
        self._emptiest.push(share)
        self._fullest.push(share)
