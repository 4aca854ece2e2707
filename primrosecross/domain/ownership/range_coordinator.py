"""Coordinates key ranges: collects reports, decides and writes the map."""

import collections
import dataclasses
import logging
import random
import time

import gevent
from gevent import event as gevent_event

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.domain.membership import directory as directory_module
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.membership import follower as follower_module
from primrosecross.domain.ownership import election as election_module
from primrosecross.domain.ownership import fleet_notices
from primrosecross.domain.ownership import key_load
from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.ownership import lease_extension
from primrosecross.domain.ownership import proof as proof_module
from primrosecross.domain.ownership import range_decisions
from primrosecross.ports import clock as clock_port
from primrosecross.ports import fleet_repository
from primrosecross.ports import peers as peers_port

REPORT_WAIT_MS = 1400  # after this all daemons have had time to report
BOOTSTRAP_WAIT_MS = 2500  # before services get their first range table
DECISION_INTERVAL_MS = 100
MAX_CPU_SHARE = 0.1  # of one core, for decisions
MIN_GAP_MS = 20
GAP_MS_PER_VM = 2.5  # large fleets batch changes: each notifies many VMs
MAX_GAP_MS = 500
PROOF_REFRESH_MS = 800
LOST_NOTICE_INTERVAL_MS = 500
MOVE_COOLDOWN_MS = 1500  # between moves of a key, until its new load is known
_NS_PER_MS = proof_module.NS_PER_MS

_logger = logging.getLogger(__name__)


class RangeCoordinator:
    """Assigns keys to targets while its daemon is the coordinator.

    Args:
        vm: This VM's name.
        election: Reports whether this daemon is the coordinator.
        follower: Keeps this daemon's proof up to date.
        state: This daemon's view of the fleet.
        store: The platform's store.
        peers: Other daemons.
        clock: Clock that includes time spent suspended.
    """

    def __init__(
        self,
        *,
        vm: str,
        election: election_module.Election,
        follower: follower_module.Follower,
        state: fleet_state.FleetState,
        store: fleet_repository.FleetRepository,
        peers: peers_port.Peers,
        clock: clock_port.Clock,
    ) -> None:
        self._vm = vm
        self._election = election
        self._follower = follower
        self._state = state
        self._store = store
        self._peers = peers
        self._clock = clock
        self._directory = directory_module.Directory(state=state, clock=clock)
        self._notices = fleet_notices.FleetNotices(
            vm=vm,
            address=follower.address,
            state=state,
            peers=peers,
            reporting_vms=lambda: self._directory.vms,
        )
        self._extensions = lease_extension.LeaseExtensions(vm=vm, clock=clock)
        self._loads: dict[str, key_load.KeyLoad] = {}
        self._revoking_since_ns: dict[tuple[str, int], int] = {}
        self._term = 0
        self._is_extending = False
        self._term_started_ns = 0
        self._store_version = ""
        self._last_error = ""
        self._proof_ns = 0
        self._lost_notified_ns = 0
        # (version, write time in ns) of this term, oldest first. Versions
        # before the first entry are past the move cooldown.
        self._written_versions: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self._first_version = 0
        self._decision_gap_ms: float = MIN_GAP_MS
        self._wake = gevent_event.Event()
        state.subscribe(self._wake.set)

    @property
    def _directory_id(self) -> str:
        return f"{self._vm}/{self._term}"

    def answer_sync(self, sync: fleet_messages.Sync) -> messages.Message:
        """Records a report and returns the updates that its sender lacks."""
        if not self._election.is_coordinator:
            self._note_report(sync)
            return self._follower.answer_sync(
                sync, lease_extension_ms=self._extension_ms()
            )
        self._start_term()
        self._record_report(sync)
        same_directory = sync.directory == self._directory_id
        known_number = sync.directory_number if same_directory else 0
        return self._follower.answer_sync(
            sync,
            office_age_ms=self._election.renewal_age_ms(),
            directory=self._directory_id,
            directory_number=self._directory.number,
            entries=self._directory.entries_since(known_number),
        )

    def _extension_ms(self) -> int:
        """Returns for how long leases may be extended, 0 if not at all."""
        if not self._is_current_term or self._follower.term > self._term:
            return 0
        return self._extensions.extension_ms(
            self._state.key_map, renewed_ns=self._election.renewed_ns
        )

    @property
    def _is_current_term(self) -> bool:
        """Whether the last term read is the one that this process started."""
        return self._term == self._election.term_number

    @property
    def extensions_expired(self) -> bool:
        """Whether lease extensions of earlier coordinators have expired."""
        return self._is_current_term and self._extensions.earlier_expired()

    def _note_report(self, sync: fleet_messages.Sync) -> None:
        if self._is_current_term:
            self._extensions.note_report(
                sync, renewed_ns=self._election.renewed_ns
            )

    def _start_term(self) -> None:
        """Resets the state if a new term of this process has begun."""
        term = self._election.term_number
        if term == self._term:
            return
        self._term = term
        self._term_started_ns = self._clock.now_ns()
        self._extensions.begin_term(term, self._election.predecessor)
        self._directory.clear()
        self._loads = {}
        self._revoking_since_ns = {}
        self._store_version = ""
        self._written_versions.clear()
        self._first_version = self._state.key_map.version
        _logger.info("became coordinator, term %d", term)
        self._notices.notify(list(self._state.entries), term)

    def _record_report(self, sync: fleet_messages.Sync) -> None:
        self._peers.set_address(sync.vm, sync.address)
        self._note_report(sync)
        if self._directory.record_report(sync):
            self._wake.set()
        self._record_counts(sync)
        if (
            sync.plan_revision > self._state.plan_revision
            and sync.vm != self._vm
        ):
            gevent.spawn(self._follower.sync_with, sync.vm)

    def _record_counts(self, sync: fleet_messages.Sync) -> None:
        if not sync.targets or not sync.key_counts:
            return
        load = self._loads.setdefault(
            sync.targets[0].service, key_load.KeyLoad()
        )
        load.add(sync.key_counts, self._clock.now_ns() / 1e9)

    def run(self) -> None:
        """Decides while this daemon is the coordinator, until killed."""
        while True:
            self._wake.wait(timeout=DECISION_INTERVAL_MS / 1000)
            self._clock.sleep(self._decision_gap_ms)
            self._wake.clear()
            if not self._election.is_coordinator:
                self._extend_leases()
                continue
            self._start_term()
            started_s = time.thread_time()
            self._run_cycle()
            self._limit_cpu_share(time.thread_time() - started_s)

    def _extend_leases(self) -> None:
        """Extends leases without the store after losing the term."""
        extension_ms = self._extension_ms()
        self._follower.extend_lease(extension_ms)
        if extension_ms and not self._is_extending:
            _logger.warning(
                "term %d cannot be renewed; extending leases for %d ms without "
                "revocations",
                self._term,
                extension_ms,
            )
        self._is_extending = extension_ms > 0

    def _limit_cpu_share(self, elapsed_s: float) -> None:
        """Sets the gap to the next decision so that CPU use stays limited."""
        needed_ms = elapsed_s * 1000 / MAX_CPU_SHARE
        min_gap_ms = max(MIN_GAP_MS, GAP_MS_PER_VM * len(self._directory.vms))
        self._decision_gap_ms = min(MAX_GAP_MS, max(min_gap_ms, needed_ms))

    def _run_cycle(self) -> None:
        self._follower.update_coordinator(
            self._vm, self._follower.address, self._term
        )
        self._record_report(self._follower.make_report())
        self._notify_lost()
        self._notices.send_plan()
        try:
            self._refresh_proof()
            self._decide()
            self._last_error = ""
        except errors.StoreError as error:
            self._store_version = ""
            if self._last_error != str(error):
                _logger.warning(
                    "cannot read or write the key map; retrying: %s", error
                )
            self._last_error = str(error)
            self._clock.sleep(DECISION_INTERVAL_MS * random.uniform(1, 3))

    def _refresh_proof(self) -> None:
        """Renews the proof that other daemons rely on."""
        now_ns = self._clock.now_ns()
        fresh = now_ns - self._proof_ns < PROOF_REFRESH_MS * _NS_PER_MS
        if fresh and self._store_version:
            return
        self._store_version = self._follower.read_proof()
        self._proof_ns = now_ns
        if not self._store_version:
            known = self._state.key_map
            self._write(dataclasses.replace(known, version=known.version + 1))

    def _notify_lost(self) -> None:
        """Notifies lost daemons, which may still run at their last address."""
        lost_vms = self._directory.mark_lost(except_vm=self._vm)
        now_ns = self._clock.now_ns()
        if (
            now_ns - self._lost_notified_ns
            > LOST_NOTICE_INTERVAL_MS * _NS_PER_MS
        ):
            self._lost_notified_ns = now_ns
            self._notices.notify(lost_vms, self._term)

    def _term_age_ms(self) -> float:
        return (self._clock.now_ns() - self._term_started_ns) / _NS_PER_MS

    def _has_enough_reports(self) -> bool:
        """Returns whether all holders' VMs have reported or had time to."""
        holders = self._state.key_map.holders.values()
        missing_vms = {h.vm for h in holders} - set(self._directory.vms)
        return self._term_age_ms() >= REPORT_WAIT_MS or (
            bool(holders) and not missing_vms
        )

    def _decide(self) -> None:
        plan = self._state.plan
        if plan is None or not self._has_enough_reports():
            return
        inputs = range_decisions.DecisionInputs(
            vm_views=self._directory.vm_views(),
            keyed_services=tuple(
                s.name for s in plan.services.values() if s.keyed
            ),
            loads=self._loads,
            expired_ids=self._expired_ids(),
            may_create_tables=self._term_age_ms() > BOOTSTRAP_WAIT_MS,
            movable_version=self._movable_version(),
        )
        current = self._state.key_map
        draft = range_decisions.decide(current, inputs)
        if draft is None and not self._extensions.map_written:
            # After this write, late writes of earlier terms fail.
            draft = dataclasses.replace(current, version=current.version + 1)
        if draft is not None:
            self._write(draft)

    def _expired_ids(self) -> frozenset[str]:
        """Returns the incarnations whose revocation wait is over.

        The wait starts when this process first sees the intent in the store,
        and also lasts until extensions of all earlier coordinators have
        expired.
        """
        now_ns = self._clock.now_ns()
        wait_ns = proof_module.revocation_wait_ms() * _NS_PER_MS
        revoking = {
            (h.life, h.since)
            for h in self._state.key_map.holders.values()
            if h.state is key_map_module.HolderState.REVOKING
        }
        self._revoking_since_ns = {
            key: self._revoking_since_ns.get(key, now_ns) for key in revoking
        }
        if not self._extensions.earlier_expired():
            return frozenset()
        return frozenset(
            incarnation_id
            for (incarnation_id, _), since_ns in self._revoking_since_ns.items()
            if now_ns - since_ns > wait_ns
        )

    def _movable_version(self) -> int:
        """Returns the newest map version older than MOVE_COOLDOWN_MS."""
        cooldown_start_ns = self._clock.now_ns() - MOVE_COOLDOWN_MS * _NS_PER_MS
        while (
            len(self._written_versions) > 1
            and self._written_versions[1][1] < cooldown_start_ns
        ):
            self._written_versions.popleft()
        if (
            not self._written_versions
            or self._written_versions[0][1] >= cooldown_start_ns
        ):
            return self._first_version
        return self._written_versions[0][0]

    def _write(self, draft: key_map_module.KeyMap) -> None:
        sent_ns = self._clock.now_ns()
        replaced = self._state.key_map
        self._extensions.note_write(draft)
        self._store_version = self._store.write_map(draft, self._store_version)
        self._extensions.note_written(replaced)
        _log_changes(replaced, draft)
        self._state.update_map(draft)
        self._written_versions.append((draft.version, sent_ns))
        self._follower.update_proof(draft.version, sent_ns)
        self._proof_ns = sent_ns
        change = key_map_module.diff(replaced, draft)
        self._notices.notify_of_map(change, self._term)

    def answer_notice(self, notice: fleet_messages.Notice) -> messages.Message:
        """Handles a notice; ignored if this coordinator's term is no older."""
        if self._election.is_coordinator and notice.term <= self._term:
            return stream_messages.Done()
        return self._follower.answer_notice(notice)


def _log_changes(
    before: key_map_module.KeyMap, after: key_map_module.KeyMap
) -> None:
    """Logs each range that a decision changed."""
    for service, table in after.tables.items():
        old = before.tables.get(service)
        old_ranges = frozenset(old.ranges) if old is not None else frozenset()
        for key_range in table.ranges:
            if key_range not in old_ranges:
                _logger.info(
                    "map %d: %s keys %d to %d held by %s, generation %d, "
                    "moving to %s",
                    after.version,
                    service,
                    key_range.first,
                    key_range.last,
                    key_range.holder or "no target",
                    key_range.generation,
                    key_range.receiver or "no target",
                )
