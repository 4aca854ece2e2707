"""Keeps a daemon's key map, plan and proof up to date with the coordinator's.

Each daemon reports to the coordinator every SYNC_MS and receives the updates
that it does not have. While the coordinator is unreachable it asks other
daemons, which relay their proofs. While those are stale too it reads the store.
"""

import logging
import random
from collections.abc import Callable

import gevent
from gevent import event as gevent_event

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.ownership import proof as proof_module
from primrosecross.ports import clock as clock_port
from primrosecross.ports import fleet_repository
from primrosecross.ports import peers as peers_port

SYNC_MS = 400
SYNC_TIMEOUT_MS = 1000  # until the next report; a busy coordinator is slow
LATE_ANSWER_MS = 5000  # an answer may wait behind bodies on a full link
STALE_PROOF_MS = 2200  # outlasts a missed coordinator read and two missed syncs
STARTUP_PROOF_WAIT_MS = 800  # a restarted daemon must grant before holds expire
SILENT_MS = 1000  # without an answer; then it counts as unreachable
STALE_TERM_MS = 1400  # several renewals failed: the store is unreachable
MIN_READ_INTERVAL_MS = 1000
MIN_SYNC_INTERVAL_MS = 20
PEER_SAMPLE_SIZE = 2
MIN_EXTENSION_MS = 1500  # leaves time for two failed reports
_NS_PER_MS = proof_module.NS_PER_MS

_logger = logging.getLogger(__name__)


class Follower:
    """Reports to the coordinator and applies its decisions.

    Args:
        vm: This VM's name.
        address: Address on which this daemon listens for others.
        state: Map, plan and directory at this daemon.
        lease: Proofs of this daemon.
        store: The platform's store.
        plans: Decodes plans that other daemons send.
        peers: Calls other daemons.
        clock: Clock that includes time spent suspended.
        report: Returns a new report of this daemon.
    """

    def __init__(
        self,
        *,
        vm: str,
        address: str,
        state: fleet_state.FleetState,
        lease: proof_module.ProofLease,
        store: fleet_repository.FleetRepository,
        plans: fleet_repository.PlanSource,
        peers: peers_port.Peers,
        clock: clock_port.Clock,
        report: Callable[[], fleet_messages.Sync],
    ) -> None:
        self._vm = vm
        self.address = address
        self._state = state
        self._lease = lease
        self._store = store
        self._plans = plans
        self._peers = peers
        self._clock = clock
        self.make_report = report
        self._wake_event = gevent_event.Event()
        self._coordinator_answer_ns = 0
        self._started_ns = clock.now_ns()
        self._store_read_ns = 0
        self._encoded_changes: dict[tuple[int, int], bytes] = {}
        self.coordinator = ""
        self.coordinator_address = ""
        self.term = 0
        self.echo_ns = 0
        self.directory = ""
        self.directory_number = 0
        self._refused_revision = 0
        self.is_coordinator: Callable[[], bool] = lambda: False
        self.on_term_lost: Callable[[int], None] = lambda term: None

    def wake(self) -> None:
        """Sends the next report without delay."""
        self._wake_event.set()

    def run(self) -> None:
        """Reports until killed."""
        while True:
            if not self.is_coordinator():
                self._sync_or_read()
            self._wake_event.wait(
                timeout=SYNC_MS * random.uniform(0.9, 1.1) / 1000
            )
            self._clock.sleep(MIN_SYNC_INTERVAL_MS)
            self._wake_event.clear()

    def _sync_or_read(self) -> None:
        if self.coordinator and self.coordinator != self._vm:
            # A late answer brings its updates while the next report is sent.
            task = gevent.spawn(self.sync_with, self.coordinator)
            task.join(timeout=SYNC_TIMEOUT_MS / 1000)
        if self._needs_proof():
            self._sync_with_others()
        if self._needs_proof():
            self._read_store()

    def _needs_proof(self) -> bool:
        """Returns whether the proof is stale and the lease has no extension.

        After a start, a coordinator has STARTUP_PROOF_WAIT_MS to send one.
        """
        if self.has_lease_extension():
            return False
        now_ns = self._clock.now_ns()
        wait_until_ns = self._started_ns + STARTUP_PROOF_WAIT_MS * _NS_PER_MS
        return self._lease.age_ms() > STALE_PROOF_MS and now_ns > wait_until_ns

    def has_lease_extension(self) -> bool:
        """Returns whether an extension lasts more than MIN_EXTENSION_MS."""
        return self._lease.extension_ms() > MIN_EXTENSION_MS

    def is_coordinator_silent(self) -> bool:
        """Returns whether no coordinator has answered for SILENT_MS."""
        silent_ns = self._clock.now_ns() - self._coordinator_answer_ns
        return silent_ns > SILENT_MS * _NS_PER_MS

    def sync_with(self, vm: str) -> None:
        """Reports to a daemon and applies the updates in its answer."""
        request_sent_ns = self._clock.now_ns()
        try:
            ack = self._peers.call(
                vm,
                self.make_report(),
                timeout_ms=LATE_ANSWER_MS,
                patience=peers_port.Patience.UNTIL_REMOVED,
            )
        except errors.PeerError as error:
            _logger.info("cannot sync with %s: %s", vm, error)
            return
        if isinstance(ack, fleet_messages.SyncAck):
            self._apply_ack(vm, ack, request_sent_ns)

    def _apply_ack(
        self, vm: str, ack: fleet_messages.SyncAck, request_sent_ns: int
    ) -> None:
        try:
            self._apply_documents(ack)
        except errors.DocumentError as error:
            _logger.error("cannot decode the answer of %s: %s", vm, error)
            return
        if ack.plan_age_ms >= 0:
            plan_age_ns = (ack.plan_age_ms + 1) * _NS_PER_MS
            self._state.confirm_plan(
                ack.plan_revision, request_sent_ns - plan_age_ns
            )
        if ack.proof_age_ms >= 0:
            read_ns = request_sent_ns - (ack.proof_age_ms + 1) * _NS_PER_MS
            self._lease.record_proof(
                proof_module.Proof(ack.proof_version, read_ns),
                map_version=self._state.key_map.version,
            )
        if self._state.key_map.version >= ack.map_version:
            self._lease.extend(request_sent_ns + ack.promised_ms * _NS_PER_MS)
        if not self._is_overtaken(vm, ack):
            self._apply_term(vm, ack, request_sent_ns)

    def _is_overtaken(self, vm: str, ack: fleet_messages.SyncAck) -> bool:
        """Returns whether a later answer of the coordinator came first."""
        if vm != self.coordinator or ack.term > self.term:
            return False
        return ack.term < self.term or ack.sent_ns < self.echo_ns

    def _apply_term(
        self, vm: str, ack: fleet_messages.SyncAck, request_sent_ns: int
    ) -> None:
        """Applies the directory and what the answer says of the coordinator.

        A late answer shows no more than that the coordinator lived
        SYNC_TIMEOUT_MS after the report was sent.
        """
        if vm == self.coordinator and ack.term == self.term:
            self.echo_ns = ack.sent_ns
        if 0 <= ack.office_age_ms < STALE_TERM_MS and vm == self.coordinator:
            in_time_ns = request_sent_ns + SYNC_TIMEOUT_MS * _NS_PER_MS
            self._coordinator_answer_ns = max(
                self._coordinator_answer_ns,
                min(self._clock.now_ns(), in_time_ns),
            )
            self._apply_directory(ack)
        elif vm == self.coordinator and ack.term == self.term:
            self._handle_lost_term(ack)
        elif ack.term > self.term:
            self.update_coordinator(
                ack.coordinator, ack.coordinator_address, ack.term
            )

    def _handle_lost_term(self, ack: fleet_messages.SyncAck) -> None:
        """Handles a coordinator's report that it cannot renew its term."""
        if self._coordinator_answer_ns:
            _logger.warning(
                "coordinator %s could not renew term %d for %d ms",
                ack.coordinator,
                ack.term,
                ack.office_age_ms,
            )
        self._coordinator_answer_ns = 0
        self.on_term_lost(ack.term)

    def _apply_documents(self, ack: fleet_messages.SyncAck) -> None:
        if ack.map_change:
            change = self._store.decode_change(ack.map_change)
            newer_map = key_map_module.apply_change(self._state.key_map, change)
            if newer_map is not None:
                self._state.update_map(newer_map)
        if ack.plan:
            self._apply_plan(ack.plan_revision, ack.plan)

    def _apply_plan(self, revision: int, content: bytes) -> None:
        """Applies the plan; a malformed one does not cost the other updates."""
        if revision <= self._state.plan_revision:
            return
        try:
            document = self._plans.decode_plan(revision, content)
        except errors.DocumentError as error:
            if self._refused_revision != revision:
                self._refused_revision = revision
                _logger.error("the last valid plan stays in force: %s", error)
            return
        self._state.update_plan(document)

    def _apply_directory(self, ack: fleet_messages.SyncAck) -> None:
        is_new_directory = ack.directory != self.directory
        self.directory = ack.directory
        self.directory_number = ack.directory_number
        for entry in ack.entries:
            self._peers.set_address(entry.vm, entry.address)
        self._state.update_entries(ack.entries, replace_all=is_new_directory)

    def update_coordinator(self, vm: str, address: str, term: int) -> None:
        """Updates who is the coordinator, unless the term is older."""
        if term < self.term or not vm:
            return
        if vm != self.coordinator:
            _logger.info("coordinator is %s, term %d", vm, term)
            self._wake_event.set()
        if term != self.term:
            self.echo_ns = 0
        self.term = term
        self.coordinator = vm
        self.coordinator_address = address
        if vm != self._vm:
            self._peers.set_address(vm, address)

    def _sync_with_others(self) -> None:
        others = [
            e.vm
            for e in self._state.entries.values()
            if e.vm not in (self._vm, self.coordinator) and e.state != "lost"
        ]
        sampled = random.sample(others, min(PEER_SAMPLE_SIZE, len(others)))
        gevent.joinall(
            [gevent.spawn(self.sync_with, vm) for vm in sampled],
            timeout=SYNC_TIMEOUT_MS / 1000,
        )

    def _read_store(self) -> None:
        """Reads a proof from the store, at most every MIN_READ_INTERVAL_MS."""
        now_ns = self._clock.now_ns()
        if now_ns - self._store_read_ns < MIN_READ_INTERVAL_MS * _NS_PER_MS:
            return
        self._store_read_ns = now_ns
        try:
            self.read_proof()
        except errors.StoreError as error:
            _logger.info("cannot read a proof from the store: %s", error)

    def read_proof(self) -> str:
        """Reads map and proof from the store; returns the object version.

        Raises:
            errors.StoreError: The store did not answer.
        """
        request_sent_ns = self._clock.now_ns()
        stored_map, version = self._store.read_map()
        if stored_map is not None:
            self._state.update_map(stored_map)
            self._lease.record_proof(
                proof_module.Proof(stored_map.version, request_sent_ns),
                map_version=self._state.key_map.version,
            )
        return version

    def update_proof(self, version: int, read_ns: int) -> None:
        """Records the proof from an accepted write to the store."""
        self._lease.record_proof(
            proof_module.Proof(version, read_ns),
            map_version=self._state.key_map.version,
        )

    def extend_lease(self, extension_ms: int) -> None:
        """Records an extension that this daemon grants as the coordinator."""
        until_ns = self._clock.now_ns() + extension_ms * _NS_PER_MS
        self._lease.extend(until_ns)

    def answer_notice(self, notice: fleet_messages.Notice) -> messages.Message:
        """Handles a notice of a change: reports at once."""
        self.update_coordinator(notice.coordinator, notice.address, notice.term)
        self.wake()
        return stream_messages.Done()

    def answer_plan_update(
        self, update: fleet_messages.PlanUpdate
    ) -> messages.Message:
        """Handles a new plan, and reports at once to learn its age."""
        self._apply_plan(update.plan_revision, update.plan)
        self.wake()
        return stream_messages.Done()

    def _change_since(self, version: int) -> bytes:
        """Returns the encoded change from a map version to the newest."""
        newest = self._state.key_map
        if newest.version <= version:
            return b""
        key = (version, newest.version)
        if key not in self._encoded_changes:
            old = self._state.past_maps.get(version)
            change = key_map_module.diff(old, newest)
            self._encoded_changes = {
                k: v for k, v in self._encoded_changes.items() if k[1] == key[1]
            }
            self._encoded_changes[key] = self._store.encode_change(change)
        return self._encoded_changes[key]

    def _plan_age_ms(self) -> int:
        """Returns how long ago the plan was known to be the newest, or -1."""
        confirmed_ns = self._state.plan_confirmed_ns
        if not confirmed_ns:
            return -1
        return (self._clock.now_ns() - confirmed_ns) // _NS_PER_MS

    def answer_sync(
        self,
        sync: fleet_messages.Sync,
        *,
        office_age_ms: int = -1,
        lease_extension_ms: int = 0,
        directory: str = "",
        directory_number: int = 0,
        entries: tuple[fleet_messages.VmEntry, ...] = (),
    ) -> fleet_messages.SyncAck:
        """Returns the updates that the sender of a report does not have.

        The coordinator adds its directory and its own lease extension.
        """
        key_map = self._state.key_map
        document = self._state.plan_document
        newest = self._lease.newest
        revision = self._state.plan_revision
        return fleet_messages.SyncAck(
            coordinator=self.coordinator,
            coordinator_address=self.coordinator_address,
            term=self.term,
            office_age_ms=office_age_ms,
            map_version=key_map.version,
            map_change=self._change_since(sync.map_version),
            proof_version=0 if newest is None else newest.version,
            proof_age_ms=-1
            if newest is None
            else int(self._lease.age_ms()) + 1,
            sent_ns=self._clock.now_ns(),
            promised_ms=max(lease_extension_ms, self._lease.extension_ms()),
            plan_revision=revision,
            plan=document.content
            if document is not None and revision > sync.plan_revision
            else b"",
            plan_age_ms=self._plan_age_ms(),
            directory=directory,
            directory_number=directory_number,
            entries=entries,
        )
