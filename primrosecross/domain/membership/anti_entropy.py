"""Anti-entropy: fetches plan and assignment around a ring of all members.

Heartbeats spread new versions quickly, but only between a member and its
witnesses, which share a region. The ring connects all members, whatever their
number and regions.
"""

import random

import xxhash

from primrosecross.domain.membership import state as state_module
from primrosecross.domain.membership import state_sync as state_sync_module
from primrosecross.domain.ownership import assignment
from primrosecross.ports import clock as clock_port

FETCH_INTERVAL_MS = 1000
MAX_ATTEMPTS = 3


class AntiEntropy:
    """Periodically fetches newer state from the next member of the ring.

    Args:
        vm: Name of this VM.
        state: Assignment in force on this daemon, which lists the members.
        sync: Fetches newer state.
        clock: Clock for the interval between fetches.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: state_module.ClusterState,
        sync: state_sync_module.StateSync,
        clock: clock_port.Clock,
    ) -> None:
        self._vm = vm
        self._state = state
        self._sync = sync
        self._clock = clock

    def run(self) -> None:
        """Fetches newer state at intervals until killed."""
        while True:
            self._clock.sleep(FETCH_INTERVAL_MS * random.uniform(0.8, 1.0))
            self.fetch_from_successor()

    def fetch_from_successor(self) -> None:
        """Fetches newer state from one of the next MAX_ATTEMPTS successors.

        Stops at the first fetch that succeeds.
        """
        for vm in successors(self._vm, self._state.assignment)[:MAX_ATTEMPTS]:
            if self._sync.fetch_from(vm):
                return


def successors(vm: str, current: assignment.Assignment) -> list[str]:
    """Returns the other members in ring order, starting after a VM."""
    own_position = _ring_position(vm)
    others = [
        (_ring_position(name) < own_position, _ring_position(name), name)
        for name in current.members
        if name != vm
    ]
    return [name for _, _, name in sorted(others)]


def _ring_position(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode())
