"""What an earlier process of this daemon may have granted to the target.

A new process knows no heartbeat that its predecessor answered. The first one
that it receives may be older than a grant of the predecessor, so a range that
it does not list may be held all the same. A range certainly is not held any
more once one of these is known:

1. Every grant of an earlier process has expired.
2. Its generation is newer than a map that was read after this process started,
   so no earlier process can have granted it.
3. A heartbeat listed it under its present generation, and a later one reports
   it as released. A target releases what an answer leaves out, and a range that
   was left out is never granted again under the same generation. An expired
   hold, which could be renewed, is not reported as released.
"""

from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.ownership import proof as proof_module
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.ports import clock as clock_port

_MAX_HOLD_NS = int(
    proof_module.LEASE_MS
    * (1 + proof_module.DRIFT_SHARE)
    * proof_module.NS_PER_MS
)


class EarlierGrants:
    """Tells which ranges may be held by a grant of an earlier process.

    Args:
        lease: Lease under which this process grants keys.
        clock: Clock that includes time spent suspended.
    """

    def __init__(
        self, *, lease: proof_module.ProofLease, clock: clock_port.Clock
    ) -> None:
        self._lease = lease
        self._clock = clock
        self.expiry_ns = clock.now_ns() + _MAX_HOLD_NS
        self._first_version: int | None = None
        self._incarnation_id = ""
        self._listed: set[target_heartbeat.HeldRange] = set()
        self._reported: set[target_heartbeat.ReleasedRange] = set()
        self._released: list[target_heartbeat.ReleasedRange] = []

    def record(self, heartbeat: target_heartbeat.TargetHeartbeat) -> None:
        """Records a heartbeat that is newer than those recorded before."""
        if self._first_version is None and self._lease.newest is not None:
            self._first_version = self._lease.newest.version
        if self._clock.now_ns() >= self.expiry_ns:
            return
        if heartbeat.incarnation_id != self._incarnation_id:
            self._incarnation_id = heartbeat.incarnation_id
            self._listed, self._reported, self._released = set(), set(), []
        self._released += [
            r
            for r in heartbeat.released
            if r not in self._reported
            and any(
                h.first <= r.last and r.first <= h.last for h in self._listed
            )
        ]
        self._reported.update(heartbeat.released)
        self._listed.update(heartbeat.held)

    def may_hold(self, key_range: key_map_module.KeyRange) -> bool:
        """Returns whether the target may hold a range that it did not list."""
        if self._clock.now_ns() >= self.expiry_ns:
            return False
        if (
            self._first_version is not None
            and key_range.generation > self._first_version
        ):
            return False
        was_listed = any(
            h.generation == key_range.generation
            and key_range.overlaps(h.first, h.last)
            for h in self._listed
        )
        return not was_listed or not _are_released(key_range, self._released)


def _are_released(
    key_range: key_map_module.KeyRange,
    released: list[target_heartbeat.ReleasedRange],
) -> bool:
    """Returns whether released ranges together cover a range."""
    next_key = key_range.first
    for part in sorted(released, key=lambda r: r.first):
        if part.first > next_key:
            break
        next_key = max(next_key, part.last + 1)
    return next_key > key_range.last
