"""Proof that a member's lease has lapsed, gathered by the coordinator.

The lease is certainly lapsed once a majority of the member's witnesses have
each, as one unrestarted process, given no vote for a whole lease time.
"""

import dataclasses

from primrosecross.domain import lease
from primrosecross.ports import clock as clock_port


@dataclasses.dataclass(slots=True)
class _Refusal:
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
        self, *, witness: str, incarnation: str, silent_ms: int, sent_ns: int
    ) -> None:
        """Counts a witness's refusal.

        Args:
            witness: The witness that answered.
            incarnation: Its process identity.
            silent_ms: Time for which it says it gave no vote.
            sent_ns: Local time when the question was sent; the silence is
                counted back from there, as the answer was formed later.
        """
        refusal = self._refusals.get(witness)
        since_ns = sent_ns - silent_ms * lease.NS_PER_MS
        if refusal is None or refusal.incarnation != incarnation:
            refusal = _Refusal(incarnation, max(0, since_ns), sent_ns)
            self._refusals[witness] = refusal
        refusal.until_ns = max(refusal.until_ns, sent_ns)

    def proven(self) -> bool:
        """Tells whether the lease has certainly lapsed."""
        wait_ms = self._timing.duration_ms + self._timing.drift_ms
        lapsed = {
            witness
            for witness, refusal in self._refusals.items()
            if refusal.until_ns - refusal.since_ns >= wait_ms * lease.NS_PER_MS
        }
        return all(
            len(lapsed.intersection(witnesses)) > len(witnesses) // 2
            for witnesses in self._witness_sets
        )
