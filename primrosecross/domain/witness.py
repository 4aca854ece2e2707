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
        self._watched_ns = clock.now_ns()
        self._resumed_ns = 0
        self._expected: dict[str, tuple[int, int]] = {}
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
        self._expected.pop(vm, None)
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

    def follow(self, named_by: dict[str, int]) -> None:
        """Takes in which members name this witness.

        The silence of one it has not heard counts from now on, or from the
        end of this witness's own quiet time, so that a witness that restarted
        suspects a lost member for which it never voted.

        Args:
            named_by: Epoch of each member that names this witness.
        """
        quiet_ns = self._timing.duration_ms * lease.NS_PER_MS
        from_ns = max(self._clock.now_ns(), self._started_ns + quiet_ns)
        self._expected = {
            vm: (epoch, self._expected_since(vm, epoch, from_ns))
            for vm, epoch in named_by.items()
            if epoch > self._voted.get(vm, (-1, 0))[0]
        }
        for vm in set(self._voted) - set(named_by):
            self._forget(vm)

    def _expected_since(self, vm: str, epoch: int, from_ns: int) -> int:
        known_epoch, since_ns = self._expected.get(vm, (epoch, from_ns))
        return since_ns if known_epoch == epoch else from_ns

    def _forget(self, vm: str) -> None:
        """Forgets votes too old to keep a lease; younger ones still count."""
        _, voted_ns = self._voted[vm]
        keep_ms = 2 * (self._timing.duration_ms + self._timing.drift_ms)
        if self._clock.now_ns() - voted_ns > keep_ms * lease.NS_PER_MS:
            del self._voted[vm]

    def silences(self) -> list[Silence]:
        """Returns members that have fallen silent, or never were heard.

        It is called every few hundred milliseconds. A longer pause means that
        this process was frozen; silences then count from its return.
        """
        now_ns = self._clock.now_ns()
        suspect_ns = self._timing.suspect_ms * lease.NS_PER_MS
        if now_ns - self._watched_ns > suspect_ns:
            self._resumed_ns = now_ns
        self._watched_ns = now_ns
        found = []
        for vm, (epoch, heard_ns) in (self._voted | self._expected).items():
            since_ns = max(heard_ns, self._resumed_ns)
            silent_ms = (now_ns - since_ns) // lease.NS_PER_MS
            if silent_ms >= self._timing.suspect_ms:
                found.append(Silence(vm, epoch, silent_ms))
        return found
