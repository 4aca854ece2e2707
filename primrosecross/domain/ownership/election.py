"""Elects the coordinator with a term object in the store."""

import dataclasses
import logging
import random
from collections.abc import Callable

from primrosecross.domain import errors
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.operators import events
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import lease_extension
from primrosecross.ports import clock as clock_port
from primrosecross.ports import repository as repository_port

RENEW_MS = 300
TERM_MS = 1500
CANDIDATE_COUNT = 5
STANDBY_MS = 4000
MAX_BACKOFF_DOUBLINGS = 2  # of a candidate's interval while the store fails
NO_HOLDER = ""  # VM name in a term that its coordinator resigned
# Exceeds the number of terms that other daemons may have started unnoticed.
UNKNOWN_TERM_STEP = 1000
UNINFORMED_TAKEOVERS = 4  # daemons that know the last term number go first

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class TermTiming:
    """Durations of a term and of its renewal.

    Attributes:
        renew_ms: Interval of renewals, and of a candidate's store reads.
        term_ms: Time after its last renewal at which a term ends.
        standby_ms: Interval of a standby's store reads.
        takeover_ms: Time without a renewal after which a candidate starts a
            new term. Less than term_ms lets two coordinators overlap, which
            is harmless if all their writes are conditional.
        spread_ms: Time over which daemons spread their first store read.
        handicap_ms: Added delay before this daemon starts a term, so that VMs
            with more processor time win the election.
    """

    renew_ms: int = RENEW_MS
    term_ms: int = TERM_MS
    standby_ms: int = STANDBY_MS
    takeover_ms: int = TERM_MS
    spread_ms: int = 0
    handicap_ms: int = 0


class Election:
    """Starts a term when the last one is no longer renewed; renews its own.

    A coordinator's own term ends timing.term_ms after its last renewal was
    sent. Another daemon starts a new term when the term object has not changed
    for timing.takeover_ms, which may be shorter, by that daemon's own clock. It
    skips this wait if there is no term yet, or if the coordinator has resigned
    or reports that it cannot renew its term. timing.handicap_ms is added in
    each case. A daemon whose own VM the term names does not wait at all.

    Only a few members are candidates, spread over availability zones: few
    daemons read the store, and losing a zone leaves some of them. A member
    that cannot reach the coordinator is a standby, which reads the store less
    often.

    Args:
        vm: This VM's name.
        peer_address: Where this daemon listens for others.
        may_campaign: Returns whether this daemon is a candidate.
        repository: Stores the term.
        clock: Clock that includes time spent suspended.
        timeline: Records elections.
        is_standby: Returns whether this daemon is a standby, because its
            calls to the coordinator have been failing for some time.
        timing: Renewal interval and end of a term.
        on_term_read: Called with the term after each read of the store.
        extensions_expired: Returns whether lease extensions of earlier terms
            have expired.
        known_number: Returns the highest term number learned from others.
    """

    def __init__(
        self,
        *,
        vm: str,
        peer_address: str,
        may_campaign: Callable[[], bool],
        repository: repository_port.TermRepository,
        clock: clock_port.Clock,
        timeline: events.Timeline,
        is_standby: Callable[[], bool] = lambda: False,
        timing: TermTiming | None = None,
        on_term_read: Callable[[repository_port.Term], None] = lambda term: (
            None
        ),
        extensions_expired: Callable[[], bool] = lambda: True,
        known_number: Callable[[], int] = lambda: 0,
    ) -> None:
        self._known_number = known_number
        self._is_standby = is_standby
        self._on_term_read = on_term_read
        self._local_extensions_expired = extensions_expired
        self.timing = timing or TermTiming()
        self._vm = vm
        self._peer_address = peer_address
        self._may_campaign = may_campaign
        self._repository = repository
        self._clock = clock
        self._timeline = timeline
        self._term: repository_port.Term | None = None
        self._version = ""
        self._last_error = ""
        self._failed_attempts = 0
        self._observed_change_ns = clock.now_ns()
        self._term_end_ns = 0
        self._lost_term_number = 0
        self._own_term_number = 0
        self._predecessor: lease_extension.PredecessorTerm | None = None
        self._is_term_unknown = False

    @property
    def is_coordinator(self) -> bool:
        """Whether this daemon is the coordinator now."""
        return self._clock.now_ns() < self._term_end_ns

    def renewal_age_ms(self) -> int:
        """Returns the time since the last accepted renewal was sent."""
        last_renewal_ns = self.renewed_ns or 0
        return (
            self._clock.now_ns() - last_renewal_ns
        ) // lease_module.NS_PER_MS

    @property
    def term_number(self) -> int:
        """Number of the term last read or written."""
        return self._term.number if self._term else 0

    @property
    def renewed_ns(self) -> int | None:
        """When the last accepted renewal of this process's term was sent.

        The term may have ended since. None if this process never was the
        coordinator, resigned, or was replaced.
        """
        if not self._term_end_ns:
            return None
        return self._term_end_ns - (
            self.timing.term_ms * lease_module.NS_PER_MS
        )

    @property
    def predecessor(self) -> lease_extension.PredecessorTerm | None:
        """The last term of another process that this one succeeded."""
        return self._predecessor

    def run(self) -> None:
        """Campaigns until killed.

        The first read of the store is delayed randomly. Of many daemons that
        start at once, most then find a coordinator instead of racing for
        the term.
        """
        self._clock.sleep(self.timing.spread_ms * random.uniform(0.0, 1.0))
        while True:
            candidate = self._may_campaign()
            if candidate or self._is_standby():
                self._try_campaign()
            self._clock.sleep(
                self._interval_ms(candidate) * random.uniform(0.8, 1.0)
            )

    def _interval_ms(self, candidate: bool) -> int:
        """Returns the time until the next read or renewal of the term.

        While the store fails for all candidates, only the last coordinator
        keeps its interval; the others back off exponentially.
        """
        if self.renewed_ns is not None:
            return self.timing.renew_ms
        if not candidate:
            return self.timing.standby_ms
        doublings = min(self._failed_attempts, MAX_BACKOFF_DOUBLINGS)
        return self.timing.renew_ms << doublings

    def _try_campaign(self) -> None:
        try:
            self.campaign()
            self._last_error = ""
            self._failed_attempts = 0
        except errors.StoreError as error:
            if not isinstance(error, errors.StoreConflictError):
                self._failed_attempts += 1
            if self._last_error != str(error):
                _logger.warning("cannot read or write the term: %s", error)
            self._last_error = str(error)
            self._version = ""

    def campaign(self) -> None:
        """Renews the term, or starts a new one if it has ended.

        Raises:
            errors.StoreError: The term could not be read or written.
        """
        sent_ns = self._clock.now_ns()
        if not self._version or not self.is_coordinator:
            self._read_term(sent_ns)
        if not self._may_write_term(sent_ns):
            return
        renewing = self.is_coordinator
        term = repository_port.Term(
            vm=self._vm,
            peer_address=self._peer_address,
            number=self.term_number + (0 if renewing else 1),
            beat=self._term.beat + 1 if self._term else 1,
            settled=self._extensions_expired(),
        )
        self._version = self._repository.write_term(term, self._version)
        if (
            self._term is not None
            and self._term.number != self._own_term_number
        ):
            self._predecessor = lease_extension.PredecessorTerm(
                settled=self._term.settled,
                resigned=self._term.vm == NO_HOLDER,
                replaced_ns=self._clock.now_ns(),
            )
        self._own_term_number = term.number
        self._term = term
        self._is_term_unknown = False
        self._observed_change_ns = sent_ns
        self._term_end_ns = (
            sent_ns + self.timing.term_ms * lease_module.NS_PER_MS
        )
        if not renewing:
            self._timeline.record(events.CoordinatorElected(term.number))

    def _extensions_expired(self) -> bool:
        """Returns whether lease extensions of earlier terms have expired."""
        if self._term is None:
            return True
        if self._term.number == self._own_term_number:
            return self._local_extensions_expired()
        return self._term.vm == NO_HOLDER and self._term.settled

    def mark_term_lost(self, number: int) -> None:
        """Marks a term that its coordinator reports it cannot renew."""
        self._lost_term_number = number

    def resign(self) -> None:
        """Ends this daemon's term, if it is the coordinator.

        Raises:
            errors.StoreError: The term could not be written.
        """
        if not self.is_coordinator or self._term is None:
            return
        self._term_end_ns = 0
        resigned_term = repository_port.Term(
            vm=NO_HOLDER,
            peer_address="",
            number=self._term.number,
            beat=self._term.beat + 1,
            settled=self._extensions_expired(),
        )
        self._version = self._repository.write_term(
            resigned_term, self._version
        )
        self._term = resigned_term

    def _read_term(self, sent_ns: int) -> None:
        term, version = self._read_or_replace_term()
        if version != self._version or term != self._term:
            self._observed_change_ns = sent_ns
        self._term, self._version = term, version
        if self.term_number != self._own_term_number:
            self._term_end_ns = 0
        if term is not None and not self._is_term_unknown:
            self._on_term_read(term)

    def _read_or_replace_term(
        self,
    ) -> tuple[repository_port.Term | None, str]:
        """Returns the stored term, or a stand-in if it is lost.

        The term is lost if another program deleted the object or made it
        malformed. The stand-in has a higher number than any term before, and
        all lease extensions may still run.
        """
        try:
            term, version = self._repository.read_term()
        except errors.StoreObjectError as error:
            if not error.version:
                raise
            if error.version != self._version:
                _logger.warning("the term will be replaced: %s", error)
            term, version = None, error.version
        was_unknown = self._is_term_unknown
        known_number = max(self.term_number, self._known_number())
        self._is_term_unknown = term is None and bool(version or known_number)
        if not self._is_term_unknown:
            return term, version
        if was_unknown:
            return self._term, version
        stand_in = repository_port.Term(
            vm=NO_HOLDER,
            peer_address="",
            number=known_number + UNKNOWN_TERM_STEP,
            beat=0,
            settled=False,
        )
        return stand_in, version

    def _may_write_term(self, sent_ns: int) -> bool:
        if self._term is not None and self._term.vm == self._vm:
            return True
        is_vacant = (
            self._term is None
            or self._term.vm == NO_HOLDER
            or self._term.number == self._lost_term_number
        )
        wait_ms = 0 if is_vacant else self.timing.takeover_ms
        if self._is_term_unknown:
            informed = self._term.number > UNKNOWN_TERM_STEP
            takeovers = 1 if informed else UNINFORMED_TAKEOVERS
            wait_ms = takeovers * self.timing.takeover_ms
        wait_ms += self.timing.handicap_ms
        unchanged_ns = sent_ns - self._observed_change_ns
        return unchanged_ns >= wait_ms * lease_module.NS_PER_MS


def is_candidate(vm: str, current: assignment.Assignment) -> bool:
    """Returns whether a VM is a candidate.

    The candidates are CANDIDATE_COUNT active members, taken from each
    availability zone in turn. With fewer active members, every VM is one.
    """
    by_place: dict[str, list[str]] = {}
    for member in sorted(current.members.values(), key=lambda m: m.vm):
        if member.state is assignment.MemberState.ACTIVE:
            by_place.setdefault(member.place, []).append(member.vm)
    ranked = sorted(
        (rank, place, vm)
        for place, vms in by_place.items()
        for rank, vm in enumerate(vms)
    )
    return len(ranked) < CANDIDATE_COUNT or vm in {
        name for _, _, name in ranked[:CANDIDATE_COUNT]
    }
