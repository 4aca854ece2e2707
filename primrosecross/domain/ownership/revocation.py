"""Proof that a member's lease has lapsed, collected by the coordinator.

The lease has certainly lapsed once a majority of the member's witnesses have
cast no vote during one common interval as long as the lease, each as a single
process that did not restart within the interval.
"""

import dataclasses

from primrosecross.domain.membership import lease
from primrosecross.ports import clock as clock_port


@dataclasses.dataclass(slots=True)
class _Refusal:
    """Interval in which a witness process cast no vote.

    Times are on the coordinator's clock.
    """

    incarnation: str
    since_ns: int
    until_ns: int


class LapseProof:
    """Collects refusals of witnesses for one epoch of one member.

    Args:
        vm: The member.
        epoch: The epoch being revoked.
        witness_sets: Witness sets of the member; each needs a majority.
        clock: Clock that includes time spent suspended.
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
        """All witnesses to call, without duplicates."""
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
        """Records a witness's refusal.

        The witness created its reply between sent_ns and received_ns. Its
        silence counts from silent_ms before received_ns until sent_ns, so
        that a slow reply never makes it longer.

        Args:
            witness: The witness that replied.
            incarnation: Its incarnation ID.
            silent_ms: Time for which it reports to have cast no vote.
            sent_ns: Local time at which the request was sent.
            received_ns: Local time at which the reply was received.
        """
        refusal = self._refusals.get(witness)
        since_ns = received_ns - silent_ms * lease.NS_PER_MS
        if refusal is None or refusal.incarnation != incarnation:
            refusal = _Refusal(incarnation, since_ns, sent_ns)
            self._refusals[witness] = refusal
        refusal.since_ns = min(refusal.since_ns, since_ns)
        refusal.until_ns = max(refusal.until_ns, sent_ns)

    def proven(self) -> bool:
        """Returns whether the lease has certainly lapsed.

        A majority must have been silent during one common interval. Otherwise a
        witness could restart after its last reply, and its next process could
        vote while the others have not been silent for long enough.
        """
        wait_ms = self._timing.duration_ms + self._timing.drift_ms
        ends_ns = [refusal.until_ns for refusal in self._refusals.values()]
        return not self.witnesses or any(
            self._lapsed_by(end_ns, wait_ms * lease.NS_PER_MS)
            for end_ns in ends_ns
        )

    def _lapsed_by(self, end_ns: int, wait_ns: int) -> bool:
        silent_witnesses = {
            witness
            for witness, refusal in self._refusals.items()
            if refusal.since_ns <= end_ns - wait_ns
            and refusal.until_ns >= end_ns
        }
        return all(
            len(silent_witnesses.intersection(witnesses)) > len(witnesses) // 2
            for witnesses in self._witness_sets
        )
