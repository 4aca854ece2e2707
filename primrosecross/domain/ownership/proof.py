"""The lease under which a daemon grants keys: proof that its map was current.

A read of the store that began at a time t and returned a version proves that
no newer version was accepted before t. To revoke keys from a holder that does
not release them, a coordinator first writes the intent to the store and then
waits for LEASE_MS plus clock drift: every proof that does not show the intent
began before the write, so every grant based on one has expired by then. Daemons
forward proofs with their age. So few daemons read the store, and a daemon that
reaches its peers but not the store keeps working.

A daemon that adopts a newer map keeps its proofs. They stay valid for the
versions that they name, and the daemon no longer grants what the newer map
revoked.

During a store outage longer than a proof lasts, the coordinator grants lease
extensions: it guarantees that no revocation completes for a while, and daemons
extend their leases by that time (see lease_extension). A daemon needs a proof
of its own for an extension, because keys that an earlier process of its VM
released are not revoked.
"""

import dataclasses

from primrosecross.ports import clock as clock_port

NS_PER_MS = 1_000_000
LEASE_MS = 6000  # outlasts a daemon restart and short store outages
DRIFT_SHARE = 0.02  # maximum by which a target's clock may run slow
PROOF_MARGIN_MS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Result of a read of the store.

    Attributes:
        version: Version of the map that was read.
        read_ns: When the read began, by this VM's clock.
    """

    version: int
    read_ns: int


def revocation_wait_ms() -> int:
    """Returns how long to wait after writing the intent to revoke."""
    return int(LEASE_MS * (1 + DRIFT_SHARE)) + PROOF_MARGIN_MS


class ProofLease:
    """Lease on keys, based on this daemon's newest proof.

    Args:
        clock: Clock that includes time spent suspended.
        lease_ms: How long keys may be granted under a proof.
    """

    def __init__(
        self, *, clock: clock_port.Clock, lease_ms: int = LEASE_MS
    ) -> None:
        self._clock = clock
        self._lease_ms = lease_ms
        self._started_ns = clock.now_ns()
        self._newest: Proof | None = None
        self._extended_until_ns = 0

    def record_proof(self, proof: Proof, *, map_version: int) -> bool:
        """Records a proof if it is newer; returns False if it is rejected.

        A proof of a newer map than map_version is rejected. So is a proof from
        before this process began: keys that an earlier process of this VM has
        released since would be granted again.
        """
        if proof.version > map_version or proof.read_ns < self._started_ns:
            return False
        if self._newest is None or proof.read_ns > self._newest.read_ns:
            self._newest = proof
        return True

    def extend(self, until_ns: int) -> None:
        """Extends the lease to a time before which no revocation completes.

        This daemon's map must be as new as that of the coordinator that
        granted the extension.
        """
        self._extended_until_ns = max(self._extended_until_ns, until_ns)

    def extension_ms(self) -> int:
        """Returns how long the lease extension still lasts."""
        return max(
            0, (self._extended_until_ns - self._clock.now_ns()) // NS_PER_MS
        )

    @property
    def newest(self) -> Proof | None:
        """The newest proof, None if there is none."""
        return self._newest

    def age_ms(self) -> float:
        """Returns the age of the proof, infinite if there is none."""
        if self._newest is None:
            return float("inf")
        return (self._clock.now_ns() - self._newest.read_ns) / NS_PER_MS

    def remaining_ms(self) -> int:
        """Returns how much longer keys may be granted, 0 if not at all.

        Allows for a target whose clock runs slow by DRIFT_SHARE.
        """
        if self._newest is None:
            return 0
        valid_ms = max(self._lease_ms - self.age_ms(), self.extension_ms())
        return max(0, int(valid_ms * (1 - DRIFT_SHARE)))
