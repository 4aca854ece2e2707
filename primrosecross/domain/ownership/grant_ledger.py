"""What the local target holds or may hold, if keys are granted by calls."""

import dataclasses

from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import proof
from primrosecross.ports import key_calls

DOUBT_MARGIN_MS = 50  # for timers that fire late
_NS_PER_MS = proof.NS_PER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class _Hold:
    """Keys that the target holds.

    Attributes:
        first: First key.
        last: Last key, included.
        generation: Generation under which they were granted.
        renewed_ns: When the newest answered grant was sent.
        held_until_ns: The target holds the keys at least until then.
        expiry_ns: It holds them no longer than until then.
    """

    first: int
    last: int
    generation: int
    renewed_ns: int
    held_until_ns: int
    expiry_ns: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Doubt:
    """Keys that the target may hold until a time, whatever it answers."""

    first: int
    last: int
    expiry_ns: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Release:
    """Keys of which the target released a generation."""

    first: int
    last: int
    generation: int


class GrantLedger:
    """Results of the calls to one incarnation of the local target."""

    def __init__(self) -> None:
        self._holds: list[_Hold] = []
        self._doubts: list[_Doubt] = []
        self._releases: list[_Release] = []

    def record_grant(
        self, grant: key_calls.GrantCall, *, sent_ns: int, answered_ns: int
    ) -> None:
        """Records an answered grant."""
        self.record_loss(grant.first, grant.last)
        self._holds.append(
            _Hold(
                grant.first,
                grant.last,
                grant.generation,
                renewed_ns=sent_ns,
                held_until_ns=sent_ns + grant.hold_ms * _NS_PER_MS,
                expiry_ns=answered_ns + longest_ns(grant.hold_ms),
            )
        )

    def record_doubt(
        self, grant: key_calls.GrantCall, *, closed_ns: int
    ) -> None:
        """Records a grant whose answer was lost.

        Args:
            grant: The call.
            closed_ns: When its connection was closed; it cannot have arrived
                later.
        """
        self._doubts = [d for d in self._doubts if d.expiry_ns > closed_ns]
        expiry_ns = closed_ns + longest_ns(grant.hold_ms)
        self._doubts.append(_Doubt(grant.first, grant.last, expiry_ns))

    def record_release(self, first: int, last: int, generation: int) -> None:
        """Records an answered release."""
        self.record_loss(first, last)
        self._releases.append(_Release(first, last, generation))

    def record_loss(self, first: int, last: int) -> None:
        """Records that the target does not hold keys."""
        self._holds = [
            part for hold in self._holds for part in _without(hold, first, last)
        ]

    def stop_use(self, first: int, last: int) -> None:
        """Counts keys as not held, though the target may still hold them."""
        self._holds = [
            dataclasses.replace(h, renewed_ns=0, held_until_ns=0)
            if h.first <= last and first <= h.last
            else h
            for h in self._holds
        ]

    def suspects(self, *, since_ns: int) -> "GrantLedger":
        """Returns the ledger of an incarnation that followed this one.

        It may have got any call sent after its predecessor's last sign of life.
        """
        ledger = GrantLedger()
        ledger._doubts = list(self._doubts)
        ledger._holds = [
            dataclasses.replace(h, renewed_ns=0, held_until_ns=0)
            for h in self._holds
            if h.renewed_ns > since_ns
        ]
        return ledger

    def drop_releases(self, moving: list[key_map.KeyRange]) -> None:
        """Forgets releases of keys that are not moving any more."""
        self._releases = [
            r
            for r in self._releases
            if any(
                m.overlaps(r.first, r.last) and m.generation == r.generation
                for m in moving
            )
        ]

    def holds(self, key: int, now_ns: int) -> bool:
        """Returns whether the target holds a key for certain."""
        return any(
            h.first <= key <= h.last and now_ns < h.held_until_ns
            for h in self._holds
        )

    def renewed_ns(self, key_range: key_map.KeyRange, now_ns: int) -> int:
        """Returns when the grant of a range was last renewed, 0 if not held."""
        for hold in self._holds:
            covers = (
                hold.first <= key_range.first and key_range.last <= hold.last
            )
            if covers and hold.generation == key_range.generation:
                return hold.renewed_ns if now_ns < hold.held_until_ns else 0
        return 0

    def is_released(self, key_range: key_map.KeyRange) -> bool:
        """Returns whether a release of this generation was answered."""
        return any(
            r.generation == key_range.generation
            and r.first <= key_range.first
            and key_range.last <= r.last
            for r in self._releases
        )

    def is_in_doubt(self, first: int, last: int, now_ns: int) -> bool:
        """Returns whether a grant without an answer may still have effect."""
        return any(
            d.first <= last and first <= d.last and now_ns < d.expiry_ns
            for d in self._doubts
        )

    def generation(self) -> int:
        """Returns the highest generation that the target may hold."""
        return max((h.generation for h in self._holds), default=0)

    def expiry_ns(self) -> int:
        """Returns when all holds have ended at the latest."""
        return max(
            (entry.expiry_ns for entry in (*self._holds, *self._doubts)),
            default=0,
        )


def longest_ns(hold_ms: int) -> int:
    """Returns the longest duration of a hold by a clock that runs slow."""
    longest_ms = hold_ms * (1 + proof.DRIFT_SHARE) + DOUBT_MARGIN_MS
    return int(longest_ms * _NS_PER_MS)


def _without(hold: _Hold, first: int, last: int) -> list[_Hold]:
    """Returns the parts of a hold outside of a range."""
    if hold.last < first or last < hold.first:
        return [hold]
    parts = []
    if hold.first < first:
        parts.append(dataclasses.replace(hold, last=first - 1))
    if hold.last > last:
        parts.append(dataclasses.replace(hold, first=last + 1))
    return parts
