"""Proof that a member's lease has lapsed, gathered by the coordinator.

The lease is certainly lapsed once a majority of the member's witnesses have
each, as one unrestarted process, given no vote through one common interval as
long as the lease.
"""

import dataclasses

from primrosecross.domain import lease
from primrosecross.ports import clock as clock_port


@dataclasses.dataclass(slots=True)
class _Refusal:
    """A witness process's proved silence, on the coordinator's clock."""

    incarnation: str
    since_ns: int
    until_ns: int


class Revocation:
    """Evidence against one epoch of one member.

    Args:
        vm: The member.
        epoch: The epoch being revoked.
        witness_sets: The member's witness sets; each needs a majority.
        clock: Clock that counts time spent suspended.
        timing: Durations shared by the cluster.
    """

    def __init__(
        self,
        *,
        vm: str,
        epoch: int,
        witness_sets: tuple[tuple[str, ...], ...],
        clock: clock_port.Clock,
        timing: lease.LeaseTiming,
    ) -> None:
        self.vm = vm
        self.epoch = epoch
        self._witness_sets = witness_sets
        self._clock = clock
        self._timing = timing
        self._refusals: dict[str, _Refusal] = {}

    @property
    def witnesses(self) -> tuple[str, ...]:
        """All witnesses to ask."""
        names = dict.fromkeys(w for ws in self._witness_sets for w in ws)
        return tuple(names)

    def record(
        self,
        *,
        witness: str,
        incarnation: str,
        silent_ms: int,
        sent_ns: int,
        received_ns: int,
    ) -> None:
        """Counts a witness's refusal.

        The witness formed its answer between sent_ns and received_ns. Its
        silence is counted from the later end and up to the earlier one, so
        that a slow answer never lengthens it.

        Args:
            witness: The witness that answered.
            incarnation: Its process identity.
            silent_ms: Time for which it says it gave no vote.
            sent_ns: Local time when the question was sent.
            received_ns: Local time when the answer came.
        """
        refusal = self._refusals.get(witness)
        since_ns = received_ns - silent_ms * lease.NS_PER_MS
        if refusal is None or refusal.incarnation != incarnation:
            refusal = _Refusal(incarnation, since_ns, sent_ns)
            self._refusals[witness] = refusal
        refusal.since_ns = min(refusal.since_ns, since_ns)
        refusal.until_ns = max(refusal.until_ns, sent_ns)

    def proven(self) -> bool:
        """Tells whether the lease has certainly lapsed.

        A majority must have been silent through one common interval: a
        witness may restart after its last answer, and its next process may
        vote again as long as the other silences have not lasted long enough.
        """
        wait_ms = self._timing.duration_ms + self._timing.drift_ms
        ends_ns = [refusal.until_ns for refusal in self._refusals.values()]
        return not self.witnesses or any(
            self._lapsed_by(end_ns, wait_ms * lease.NS_PER_MS)
            for end_ns in ends_ns
        )

    def _lapsed_by(self, end_ns: int, wait_ns: int) -> bool:
        silent = {
            witness
            for witness, refusal in self._refusals.items()
            if refusal.since_ns <= end_ns - wait_ns
            and refusal.until_ns >= end_ns
        }
        return all(
            len(silent.intersection(witnesses)) > len(witnesses) // 2
            for witnesses in self._witness_sets
        )
