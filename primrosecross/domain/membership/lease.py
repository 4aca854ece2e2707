"""A member's lease, held by the votes of a majority of its witnesses.

The holder counts a vote from the time at which it sent the heartbeat, so the
lease expires on the holder's clock no later than on any witness's clock. A
vote counts only if it comes from the same witness process as the votes before.
A restarted witness has lost its record of refused epochs, so its votes are
accepted only while the lease is held or within one lease duration after a
store read that showed the epoch to be current (see Lease.start).
docs/design.md explains why two members never hold the shards of one epoch at
the same time.
"""

import dataclasses

from primrosecross.ports import clock as clock_port

NS_PER_MS = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations that all daemons of a cluster share.

    Attributes:
        duration_ms: Time for which the votes of a majority hold the lease.
        heartbeat_ms: Interval between heartbeats to each witness.
        suspect_ms: Silence after which a witness suspects a member.
        drift_ms: Allowance for clocks that run at different rates.
    """

    duration_ms: int = 2000
    heartbeat_ms: int = 400
    suspect_ms: int = 1200
    drift_ms: int = 50


@dataclasses.dataclass(slots=True)
class _Vote:
    incarnation: str
    sent_ns: int


class Lease:
    """The holder's side of the lease.

    Args:
        clock: Clock that includes time spent suspended.
        timing: Durations shared by the cluster.
    """

    def __init__(self, *, clock: clock_port.Clock, timing: LeaseTiming) -> None:
        self._clock = clock
        self._timing = timing
        self._votes: dict[str, _Vote] = {}
        self._accept_new_until_ns = 0
        self.epoch = 0
        self.witnesses: tuple[str, ...] = ()

    def start(
        self, *, epoch: int, witnesses: tuple[str, ...], read_sent_ns: int
    ) -> None:
        """Starts to collect votes for an epoch.

        Args:
            epoch: Epoch of this member in the store.
            witnesses: Witnesses of this member in the store.
            read_sent_ns: Local time at which the store read that showed the
                epoch was sent; at that time the epoch was certainly not being
                revoked.
        """
        if epoch != self.epoch:
            self._votes.clear()
        self.epoch = epoch
        self.witnesses = witnesses
        window_ns = self._timing.duration_ms * NS_PER_MS
        self._accept_new_until_ns = max(
            self._accept_new_until_ns, read_sent_ns + window_ns
        )

    def change_witnesses(self, witnesses: tuple[str, ...]) -> bool:
        """Switches to other witnesses of the same epoch.

        Returns:
            Whether it switched. It switches only after a majority of the new
            witnesses has voted, so that a switch never makes the lease lapse.
        """
        if self._majority_sent_ns(witnesses) + self._duration_ns <= (
            self._clock.now_ns()
        ):
            return False
        self.witnesses = witnesses
        self._votes = {w: v for w, v in self._votes.items() if w in witnesses}
        return True

    def record_vote(
        self, *, witness: str, incarnation: str, epoch: int, sent_ns: int
    ) -> bool:
        """Records a witness's vote; returns whether it was accepted."""
        if epoch != self.epoch:
            return False
        vote = self._votes.get(witness)
        same_process = vote is not None and vote.incarnation == incarnation
        if not same_process and not self._accepts_new_voter():
            return False
        if same_process and vote.sent_ns >= sent_ns:
            return True
        self._votes[witness] = _Vote(incarnation, sent_ns)
        return True

    def _accepts_new_voter(self) -> bool:
        return self._clock.now_ns() < self._accept_new_until_ns or self.held()

    @property
    def _duration_ns(self) -> int:
        lease_ms = self._timing.duration_ms - self._timing.drift_ms
        return lease_ms * NS_PER_MS

    def _majority_sent_ns(self, witnesses: tuple[str, ...]) -> int:
        votes_sent_ns = [
            self._votes[w].sent_ns for w in witnesses if w in self._votes
        ]
        majority = len(witnesses) // 2 + 1
        if not witnesses or len(votes_sent_ns) < majority:
            return -self._duration_ns
        return sorted(votes_sent_ns, reverse=True)[majority - 1]

    def expires_ns(self) -> int:
        """Returns the local time at which it expires, 0 without a majority."""
        return self._majority_sent_ns(self.witnesses) + self._duration_ns

    def held(self) -> bool:
        """Returns whether the lease is held now."""
        return self._clock.now_ns() < self.expires_ns()

    def needs_store_read(self) -> bool:
        """Returns whether it can be held again only after a new store read."""
        return (
            not self.held()
            and self._clock.now_ns() >= self._accept_new_until_ns
        )

    def drop(self) -> None:
        """Gives up the lease immediately."""
        self._votes.clear()
        self._accept_new_until_ns = 0
