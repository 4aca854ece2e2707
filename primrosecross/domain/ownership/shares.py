"""Share of a service's load on each member while shards are balanced."""

import dataclasses
import heapq
import itertools
from collections.abc import Iterable


@dataclasses.dataclass(slots=True)
class Share:
    """Shards and load of one member.

    Attributes:
        vm: The member.
        capacity: Its slots for the service.
        load: Total weight of its shards, in requests per second.
        shards: Shards that it will own once all planned moves are complete.
    """

    vm: str
    capacity: int
    load: float = 0.0
    shards: set[int] = dataclasses.field(default_factory=set)

    @property
    def load_per_slot(self) -> float:
        """Load per slot, in requests per second."""
        return self.load / self.capacity

    def add(self, shard: int, weight: float) -> None:
        """Adds a shard to the member."""
        self.shards.add(shard)
        self.load += weight

    def remove(self, shard: int, weight: float) -> None:
        """Removes a shard from the member."""
        self.shards.discard(shard)
        self.load -= weight


class _Heap:
    """A heap of shares by load per slot; outdated entries are skipped.

    Args:
        shares: Initial entries.
        sign: 1 to have the least loaded first, -1 the most loaded.
    """

    def __init__(self, shares: Iterable[Share], sign: int) -> None:
        self._sign = sign
        self._sequence = itertools.count()
        self._entries: list[tuple[float, int, Share]] = []
        self._latest: dict[str, int] = {}
        for share in shares:
            self.push(share)

    def push(self, share: Share) -> None:
        sequence = next(self._sequence)
        self._latest[share.vm] = sequence
        heapq.heappush(
            self._entries, (self._sign * share.load_per_slot, sequence, share)
        )

    def invalidate(self, share: Share) -> None:
        self._latest.pop(share.vm, None)

    def peek(self) -> Share | None:
        while self._entries:
            _, sequence, share = self._entries[0]
            if self._latest.get(share.vm) == sequence:
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
        self._least_loaded = _Heap(self.by_vm.values(), 1)
        self._most_loaded = _Heap(self.by_vm.values(), -1)

    @property
    def mean_load_per_slot(self) -> float:
        """Load per slot over all members, in requests per second."""
        capacity = sum(share.capacity for share in self.by_vm.values())
        return sum(share.load for share in self.by_vm.values()) / capacity

    def least_loaded(self) -> Share | None:
        """Returns the member with the lowest load per slot."""
        return self._least_loaded.peek()

    def most_loaded(self) -> Share | None:
        """Returns the member with the highest load per slot not excluded."""
        return self._most_loaded.peek()

    def exclude(self, share: Share) -> None:
        """Excludes a member from most_loaded() until its share changes."""
        self._most_loaded.invalidate(share)

    def add_shard(self, share: Share, shard: int, weight: float) -> None:
        """Adds a shard to a member."""
        share.add(shard, weight)
        self._update_heaps(share)

    def move_shard(
        self, donor: Share, recipient: Share, shard: int, weight: float
    ) -> None:
        """Moves a shard from one member to another."""
        donor.remove(shard, weight)
        recipient.add(shard, weight)
        self._update_heaps(donor)
        self._update_heaps(recipient)

    def _update_heaps(self, share: Share) -> None:
        self._least_loaded.push(share)
        self._most_loaded.push(share)
