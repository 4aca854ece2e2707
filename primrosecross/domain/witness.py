"""A witness's memory: who it voted for, when, and whom it refuses.

Nothing here is stored. A witness that restarts votes for nobody for one
lease time, and reports its silence no further back than its own start.
"""

import dataclasses

from primrosecross.domain import lease
from primrosecross.ports import clock as clock_port


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """A member whose heartbeats stopped."""

    vm: str
    epoch: int
    silent_ms: int


class WitnessRegister:
    """Votes and refusals of one witness.

    Args:
        clock: Clock that counts time spent suspended.
        timing: Durations shared by the cluster.
    """

    def __init__(
        self, *, clock: clock_port.Clock, timing: lease.LeaseTiming
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._started_ns = clock.now_ns()
        self._voted: dict[str, tuple[int, int]] = {}
        self._refused: dict[str, int] = {}

    def vote(self, vm: str, epoch: int) -> bool:
        """Decides on a heartbeat; returns whether the vote is given."""
        now_ns = self._clock.now_ns()
        quiet_ns = self._timing.duration_ms * lease.NS_PER_MS
        if now_ns - self._started_ns < quiet_ns:
            return False
        if epoch <= self._refused.get(vm, -1):
            return False
        if epoch < self._voted.get(vm, (0, 0))[0]:
            return False
        self._voted[vm] = (epoch, now_ns)
        return True

    def refuse(self, vm: str, epoch: int) -> int:
        """Stops voting for an epoch and all before it.

        Returns:
            Milliseconds for which no vote for the epoch has been given.
        """
        self._refused[vm] = max(epoch, self._refused.get(vm, -1))
        voted_epoch, voted_ns = self._voted.get(vm, (0, self._started_ns))
        if voted_epoch > epoch:
            voted_ns = self._clock.now_ns()
        silent_ns = self._clock.now_ns() - max(voted_ns, self._started_ns)
        return silent_ns // lease.NS_PER_MS

    def silences(self) -> list[Silence]:
        """Returns members voted for before that have fallen silent."""
        now_ns = self._clock.now_ns()
        found = []
        for vm, (epoch, voted_ns) in self._voted.items():
            silent_ms = (now_ns - voted_ns) // lease.NS_PER_MS
            if silent_ms >= self._timing.suspect_ms:
                found.append(Silence(vm, epoch, silent_ms))
        return found

    def forget(self, vm: str) -> None:
        """Forgets votes for a member this witness no longer serves."""
        self._voted.pop(vm, None)
