"""Votes and refusals of a witness for other members' leases.

They are kept in memory only. A restarted witness grants no vote for one lease
duration, and reports no silence that began before its own start.
"""

import dataclasses

from primrosecross.domain.membership import lease
from primrosecross.ports import clock as clock_port


@dataclasses.dataclass(frozen=True, slots=True)
class SilentMember:
    """A member that sends no heartbeats."""

    vm: str
    epoch: int
    silent_ms: int


class WitnessRegister:
    """Votes and refusals of one witness.

    Args:
        clock: Clock that includes time spent suspended.
        timing: Durations shared by the cluster.
    """

    def __init__(
        self, *, clock: clock_port.Clock, timing: lease.LeaseTiming
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._started_ns = clock.now_ns()
        self._votes: dict[str, tuple[int, int]] = {}
        self._last_check_ns = clock.now_ns()
        self._resumed_ns = 0
        self._expected: dict[str, tuple[int, int]] = {}
        self._refused_epochs: dict[str, int] = {}

    def vote(self, vm: str, epoch: int) -> bool:
        """Records a vote for a heartbeat; returns whether it is granted."""
        now_ns = self._clock.now_ns()
        no_votes_ns = self._timing.duration_ms * lease.NS_PER_MS
        if now_ns - self._started_ns < no_votes_ns:
            return False
        if epoch <= self._refused_epochs.get(vm, -1):
            return False
        if epoch < self._votes.get(vm, (0, 0))[0]:
            return False
        self._votes[vm] = (epoch, now_ns)
        self._expected.pop(vm, None)
        return True

    def refuse(self, vm: str, epoch: int) -> int:
        """Stops voting for an epoch and all earlier ones.

        Returns:
            Milliseconds for which no vote for the epoch has been granted.
        """
        self._refused_epochs[vm] = max(epoch, self._refused_epochs.get(vm, -1))
        voted_epoch, voted_ns = self._votes.get(vm, (0, self._started_ns))
        if voted_epoch > epoch:
            voted_ns = self._clock.now_ns()
        silent_ns = self._clock.now_ns() - max(voted_ns, self._started_ns)
        return silent_ns // lease.NS_PER_MS

    def set_expected(self, epoch_by_member: dict[str, int]) -> None:
        """Sets the members from which heartbeats are expected.

        The silence of a member that has sent none yet counts from now, or from
        the end of the time in which this witness grants no votes. So a
        restarted witness suspects a lost member for which it never voted.

        Args:
            epoch_by_member: Epoch of each member that names this witness.
        """
        no_votes_ns = self._timing.duration_ms * lease.NS_PER_MS
        from_ns = max(self._clock.now_ns(), self._started_ns + no_votes_ns)
        self._expected = {
            vm: (epoch, self._expected_since(vm, epoch, from_ns))
            for vm, epoch in epoch_by_member.items()
            if epoch > self._votes.get(vm, (-1, 0))[0]
        }
        for vm in set(self._votes) - set(epoch_by_member):
            self._drop_stale_vote(vm)

    def _expected_since(self, vm: str, epoch: int, from_ns: int) -> int:
        expected_epoch, since_ns = self._expected.get(vm, (epoch, from_ns))
        return since_ns if expected_epoch == epoch else from_ns

    def _drop_stale_vote(self, vm: str) -> None:
        """Drops a vote that is too old to count for a lease."""
        _, voted_ns = self._votes[vm]
        keep_ms = 2 * (self._timing.duration_ms + self._timing.drift_ms)
        if self._clock.now_ns() - voted_ns > keep_ms * lease.NS_PER_MS:
            del self._votes[vm]

    def silent_members(self) -> list[SilentMember]:
        """Returns members whose heartbeats stopped or never started.

        Expects to be called every few hundred milliseconds. A longer pause
        means that this process was frozen; silence then counts from this call.
        """
        now_ns = self._clock.now_ns()
        suspect_ns = self._timing.suspect_ms * lease.NS_PER_MS
        if now_ns - self._last_check_ns > suspect_ns:
            self._resumed_ns = now_ns
        self._last_check_ns = now_ns
        silent = []
        for vm, (epoch, last_heartbeat_ns) in (
            self._votes | self._expected
        ).items():
            since_ns = max(last_heartbeat_ns, self._resumed_ns)
            silent_ms = (now_ns - since_ns) // lease.NS_PER_MS
            if silent_ms >= self._timing.suspect_ms:
                silent.append(SilentMember(vm, epoch, silent_ms))
        return silent
