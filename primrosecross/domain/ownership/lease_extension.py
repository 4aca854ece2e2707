"""Lease extensions that a coordinator grants while it has lost the store.

A lease extension guarantees that no revocation completes for a while. A
coordinator that cannot renew its term may still be the last that reached the
store, or may already have been replaced. It therefore extends leases only while
more than half of the VMs that hold keys still report to it, and only for a
limited time after its last renewal. A process that has reported to a newer
coordinator never counts for an older one again. So once at least half of these
VMs have reported to the newer coordinator, the older one's extensions expire
within majority_wait_ms. Otherwise they expire within takeover_wait_ms. No
revocation completes before.

More than half and at least half of the same VMs always intersect. Four rules
make this hold for the two sets:

- Both are counted among the VMs that the map names. The older coordinator needs
  more than half in each version that may be in the store; the newer one needs
  at least half in the version that its first write replaced.
- A coordinator grants no extension before it has written the map in its own
  term, which makes late writes of earlier terms fail.
- A report counts by the coordinator's own clock, which it echoes, and not by
  when it is read.
- A VM counts only as the process that reported while no successor could exist
  yet, because a restarted process may have forgotten a newer coordinator.
"""

import dataclasses

from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.ownership import proof
from primrosecross.ports import clock as clock_port

# Spans several reports. The sum with MAX_REPORT_AGE_MS is below LEASE_MS.
EXTENSION_MS = 3500
MAX_REPORT_AGE_MS = 2000  # covers a report, its answer and the next report
MAX_OUTAGE_MS = 12_000  # a higher limit delays revocations if most VMs are lost
# Time after a renewal in which no successor can exist: a takeover needs at
# least one second without a renewal.
UNCONTESTED_MS = 900
_NS_PER_MS = proof.NS_PER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class PredecessorTerm:
    """The term of the coordinator that this process replaced.

    Attributes:
        settled: Whether lease extensions of terms before it had expired.
        resigned: Whether its coordinator resigned.
        replaced_ns: When the successor's term was written.
    """

    settled: bool
    resigned: bool
    replaced_ns: int


def majority_wait_ms() -> int:
    """Returns how long extensions last once VMs report to a successor.

    At least half of the VMs that hold keys must have reported to it.
    """
    max_remaining_ms = (MAX_REPORT_AGE_MS + EXTENSION_MS) * (
        1 + proof.DRIFT_SHARE
    )
    return int(max_remaining_ms) + proof.PROOF_MARGIN_MS


def takeover_wait_ms() -> int:
    """Returns how long extensions last after their coordinator is replaced."""
    return int(MAX_OUTAGE_MS * (1 + proof.DRIFT_SHARE)) + proof.PROOF_MARGIN_MS


class LeaseExtensions:
    """Extensions that this process grants, and the expiry of earlier ones.

    Args:
        vm: This VM's name.
        clock: Clock that includes time spent suspended.
    """

    def __init__(self, *, vm: str, clock: clock_port.Clock) -> None:
        self._vm = vm
        self._clock = clock
        self._term = 0
        self._map_written = False
        self._incarnations: dict[str, str] = {}
        self._last_echo_ns: dict[str, int] = {}
        self._unconfirmed_voters: list[frozenset[str]] = []
        self._predecessor: PredecessorTerm | None = None
        self._successor_reporters: set[str] = set()
        self._predecessor_voters: frozenset[str] | None = None
        self._majority_reported_ns: int | None = None

    def begin_term(
        self, term: int, predecessor: PredecessorTerm | None
    ) -> None:
        """Resets the state at the start of a term of this process.

        Args:
            term: Number of the term.
            predecessor: Last term of another process that this one replaced.
        """
        self._term = term
        self._map_written = False
        self._incarnations = {}
        self._last_echo_ns = {}
        self._unconfirmed_voters = []
        if predecessor != self._predecessor:
            self._predecessor = predecessor
            self._successor_reporters = set()
            self._predecessor_voters = None
            self._majority_reported_ns = None

    @property
    def map_written(self) -> bool:
        """Whether the map was written in this term."""
        return self._map_written

    def note_write(self, draft: key_map_module.KeyMap) -> None:
        """Records that a write of a map is about to start."""
        self._unconfirmed_voters.append(_voters(draft))

    def note_written(self, before: key_map_module.KeyMap) -> None:
        """Records that the last write succeeded.

        Args:
            before: The map that it replaced.
        """
        self._unconfirmed_voters = []
        self._map_written = True
        if self._predecessor_voters is None:
            self._predecessor_voters = _voters(before)

    def note_report(
        self, sync: fleet_messages.Sync, *, renewed_ns: int | None
    ) -> None:
        """Records a report.

        Args:
            sync: The report.
            renewed_ns: When the term was last renewed, None if it is lost.
        """
        if sync.term != self._term or renewed_ns is None:
            return
        now_ns = self._clock.now_ns()
        if now_ns - renewed_ns < UNCONTESTED_MS * _NS_PER_MS:
            self._incarnations[sync.vm] = sync.incarnation
        same_process = self._incarnations.get(sync.vm) == sync.incarnation
        if same_process and sync.echo_ns:
            self._last_echo_ns[sync.vm] = sync.echo_ns
        self._successor_reporters.add(sync.vm)
        voters = self._predecessor_voters
        if voters is None or self._majority_reported_ns is not None:
            return
        if 2 * len(self._successor_reporters & voters) >= len(voters):
            self._majority_reported_ns = now_ns

    def extension_ms(
        self, newest_map: key_map_module.KeyMap, *, renewed_ns: int | None
    ) -> int:
        """Returns for how long leases may be extended, 0 if not at all.

        Args:
            newest_map: The newest known map.
            renewed_ns: When the term was last renewed, None if it is lost.
        """
        if renewed_ns is None or not self._map_written:
            return 0
        now_ns = self._clock.now_ns()
        oldest_ns = now_ns - MAX_REPORT_AGE_MS * _NS_PER_MS
        reporting_vms = {
            vm for vm, ns in self._last_echo_ns.items() if ns > oldest_ns
        }
        reporting_vms.add(self._vm)
        for map_voters in (_voters(newest_map), *self._unconfirmed_voters):
            if 2 * len(reporting_vms & map_voters) <= len(map_voters):
                return 0
        outage_left_ms = MAX_OUTAGE_MS - (now_ns - renewed_ns) // _NS_PER_MS
        return max(0, min(outage_left_ms, EXTENSION_MS))

    def earlier_expired(self) -> bool:
        """Returns whether extensions of all earlier coordinators have expired.

        Extensions of a coordinator that resigned need no wait of their own:
        they expire before its successor can complete any revocation.
        """
        predecessor = self._predecessor
        if predecessor is None:
            return True
        now_ns = self._clock.now_ns()
        if now_ns > predecessor.replaced_ns + takeover_wait_ms() * _NS_PER_MS:
            return True
        if not predecessor.settled or predecessor.resigned:
            return predecessor.settled
        if self._majority_reported_ns is None:
            return False
        return (
            now_ns
            > self._majority_reported_ns + majority_wait_ms() * _NS_PER_MS
        )


def _voters(newest_map: key_map_module.KeyMap) -> frozenset[str]:
    """Returns the VMs of the holders that a map names."""
    return frozenset(holder.vm for holder in newest_map.holders.values())
