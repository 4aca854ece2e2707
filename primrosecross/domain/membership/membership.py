"""Joins the cluster, renews this daemon's lease and votes on others'."""

import dataclasses
import logging
import random

import gevent
from gevent import event as gevent_event

from primrosecross.domain import errors
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.membership import state_sync as state_sync_module
from primrosecross.domain.membership import witness
from primrosecross.domain.operators import events
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import (
    coordinator_client as coordinator_client_module,
)
from primrosecross.ports import clock as clock_port
from primrosecross.ports import peers as peers_port

CHECK_MS = 100
SETTLED_CHECK_MS = 400
CONFIRM_TIMEOUT_MS = 2000
SUSPECT_TIMEOUT_MS = 500
MIN_HEARTBEAT_GAP_MS = 50
CONFIRM_REPEAT_MS = 10_000
WITNESS_CHANGE_CONFIRM_MS = 1000
JOIN_TIMEOUT_MS = 8000
MAX_BACKOFF_MS = 4000

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonIdentity:
    """Name, availability zone, address and process of this daemon."""

    vm: str
    place: str
    region: str
    peer_address: str
    incarnation: str


class Membership:
    """Joins the cluster and renews the lease with each witness.

    Args:
        identity: Identity of this daemon.
        state: Plan and assignment in force on this daemon.
        sync: Fetches newer state.
        coordinator_client: Calls the coordinator.
        peers: Calls other daemons.
        lease: This daemon's lease.
        register: Votes and refusals of this daemon as a witness.
        clock: Clock that includes time spent suspended.
        timing: Durations shared by the cluster.
        timeline: Records gains and losses of the lease.
    """

    def __init__(
        self,
        *,
        identity: DaemonIdentity,
        state: state_module.ClusterState,
        sync: state_sync_module.StateSync,
        coordinator_client: coordinator_client_module.CoordinatorClient,
        peers: peers_port.Peers,
        lease: lease_module.Lease,
        register: witness.WitnessRegister,
        clock: clock_port.Clock,
        timing: lease_module.LeaseTiming,
        timeline: events.Timeline,
    ) -> None:
        self._identity = identity
        self._state = state
        self._sync = sync
        self._coordinator_client = coordinator_client
        self._peers = peers
        self._lease = lease
        self._register = register
        self._clock = clock
        self._timing = timing
        self._timeline = timeline
        self._renewals: dict[str, gevent.Greenlet] = {}
        self._last_confirm: member_messages.Confirm | None = None
        self._last_confirm_ns = 0
        self._was_held = False
        self._change_event = gevent_event.Event()
        state.subscribe(self._notify_change)
        self._witnessed_assignment: assignment.Assignment | None = None
        self._epoch_by_member: dict[str, int] = {}
        self.offers: tuple[member_messages.OfferInfo, ...] = ()

    def _notify_change(self) -> None:
        self._change_event.set()
        self._change_event.clear()

    def run(self) -> None:
        """Maintains membership and lease until killed."""
        backoff_ms = CHECK_MS
        while True:
            try:
                self._check()
                backoff_ms = CHECK_MS
            except (errors.StoreError, errors.PeerError) as error:
                backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
                _logger.warning("membership check failed: %s", error)
            if self._is_settled():
                self._change_event.wait(timeout=SETTLED_CHECK_MS / 1000)
            else:
                self._clock.sleep(backoff_ms * random.uniform(0.5, 1.0))

    def _is_settled(self) -> bool:
        """Returns whether nothing is left to do until a change or a lapse."""
        member = self._state.member()
        return (
            member is not None
            and self._is_current(member)
            and self._lease.held()
            and self._lease.witnesses == member.witnesses
            and not member.previous_witnesses
        )

    def _check(self) -> None:
        self._record_lease_change()
        member = self._state.member()
        if not self.offers and not self._is_admitted(member):
            return
        if member is None or not self._is_current(member):
            self._join()
            return
        self._ensure_renewals(member)
        if self._lease.epoch != member.epoch or self._lease.needs_store_read():
            self._start_lease()
        elif self._lease.witnesses != member.witnesses:
            self._lease.change_witnesses(member.witnesses)
        self._confirm(member)

    def _is_admitted(self, member: assignment.Member | None) -> bool:
        return (
            member is not None
            and member.incarnation == self._identity.incarnation
        )

    def _is_current(self, member: assignment.Member) -> bool:
        announced = tuple(
            assignment.Offer(o.service, o.slots, o.checks_generation)
            for o in self.offers
        )
        return (
            member.incarnation == self._identity.incarnation
            and member.offers == announced
        )

    def _join(self) -> None:
        join = member_messages.Join(
            vm=self._identity.vm,
            place=self._identity.place,
            region=self._identity.region,
            peer_address=self._identity.peer_address,
            incarnation=self._identity.incarnation,
            offers=self.offers,
        )
        self._coordinator_client.call_coordinator(
            join, timeout_ms=JOIN_TIMEOUT_MS
        )
        self._sync.read_store()

    def _start_lease(self) -> None:
        proof_sent_ns = self._clock.now_ns()
        self._sync.read_assignment()
        member = self._state.member()
        if member is None or not self._is_current(member):
            return
        if member.state is assignment.MemberState.REVOKING:
            return
        self._lease.start(
            epoch=member.epoch,
            witnesses=member.witnesses,
            read_sent_ns=proof_sent_ns,
        )

    def _ensure_renewals(self, member: assignment.Member) -> None:
        for witness_vm in {*member.witnesses, *self._lease.witnesses}:
            task = self._renewals.get(witness_vm)
            if task is None or task.dead:
                self._renewals[witness_vm] = gevent.spawn(
                    self._renew_lease_with, witness_vm
                )

    def _renew_lease_with(self, witness_vm: str) -> None:
        """Sends heartbeats to a witness, and at once when a version changes.

        One task runs for each witness.
        """
        interval_ms = self._timing.heartbeat_ms
        while True:
            member = self._state.member()
            if member is None:
                return
            if witness_vm not in {*member.witnesses, *self._lease.witnesses}:
                return
            started_ns = self._clock.now_ns()
            versions = self._known_versions()
            self._send_heartbeat(witness_vm, member.epoch)
            elapsed_ns = self._clock.now_ns() - started_ns
            wait_ms = interval_ms * random.uniform(0.9, 1.0)
            wait_ms -= elapsed_ns / lease_module.NS_PER_MS
            unchanged = versions == self._known_versions()
            if wait_ms > 0 and unchanged:
                unchanged = not self._change_event.wait(timeout=wait_ms / 1000)
            if not unchanged:
                self._clock.sleep(MIN_HEARTBEAT_GAP_MS)

    def _known_versions(self) -> tuple[int, int]:
        return self._state.assignment.version, self._state.plan.version

    def _send_heartbeat(self, witness_vm: str, epoch: int) -> None:
        heartbeat = member_messages.Heartbeat(
            vm=self._identity.vm,
            incarnation=self._identity.incarnation,
            epoch=epoch,
            assignment_version=self._state.assignment.version,
            plan_version=self._state.plan.version,
        )
        sent_ns = self._clock.now_ns()
        try:
            ack = self._peers.call(
                witness_vm, heartbeat, timeout_ms=self._timing.heartbeat_ms
            )
        except errors.PeerError:
            return
        if not isinstance(ack, member_messages.HeartbeatAck):
            return
        if ack.granted:
            self._lease.record_vote(
                witness=witness_vm,
                incarnation=ack.incarnation,
                epoch=epoch,
                sent_ns=sent_ns,
            )
        self._fetch_if_newer(witness_vm, ack)

    def answer_heartbeat(
        self, request: member_messages.Heartbeat
    ) -> member_messages.HeartbeatAck:
        """Returns this witness's vote on a member's heartbeat."""
        ack = member_messages.HeartbeatAck(
            incarnation=self._identity.incarnation,
            granted=self._register.vote(request.vm, request.epoch),
            assignment_version=self._state.assignment.version,
            plan_version=self._state.plan.version,
        )
        self._fetch_if_newer(request.vm, request)
        return ack

    def _fetch_if_newer(
        self,
        peer_vm: str,
        message: member_messages.Heartbeat | member_messages.HeartbeatAck,
    ) -> None:
        """Fetches state from a peer that reports newer versions."""
        if self._sync.is_newer(
            assignment_version=message.assignment_version,
            plan_version=message.plan_version,
        ):
            gevent.spawn(self._sync.fetch_once, peer_vm)

    def answer_refuse(
        self, refuse: member_messages.Refuse
    ) -> member_messages.RefuseAck:
        """Stops voting for another member's epoch, as its witness."""
        return member_messages.RefuseAck(
            incarnation=self._identity.incarnation,
            silent_ms=self._register.refuse(refuse.vm, refuse.epoch),
        )

    def watch_members(self) -> None:
        """Reports silent members that name this daemon as a witness."""
        while True:
            self._clock.sleep(self._timing.heartbeat_ms / 2)
            self._update_expected_members()
            for silent_member in self._register.silent_members():
                self._report_silent(silent_member)

    def _update_expected_members(self) -> None:
        """Updates the members that name this daemon as a witness."""
        current = self._state.assignment
        if current is not self._witnessed_assignment:
            own_vm = self._identity.vm
            self._witnessed_assignment = current
            self._epoch_by_member = {
                member.vm: member.epoch
                for member in current.members.values()
                if own_vm in member.witnesses
                or own_vm in member.previous_witnesses
            }
        self._register.set_expected(self._epoch_by_member)

    def _report_silent(self, silent_member: witness.SilentMember) -> None:
        member = self._state.assignment.members.get(silent_member.vm)
        if member is None or member.epoch != silent_member.epoch:
            return
        if member.state is assignment.MemberState.REVOKING:
            return
        self._coordinator_client.ignore_term(silent_member.vm)
        suspect = member_messages.Suspect(
            vm=silent_member.vm,
            epoch=silent_member.epoch,
            witness=self._identity.vm,
            silent_ms=silent_member.silent_ms,
        )
        try:
            self._coordinator_client.call_coordinator(
                suspect, timeout_ms=SUSPECT_TIMEOUT_MS
            )
        except (errors.StoreError, errors.PeerError) as error:
            _logger.warning(
                "cannot report silent member %s to the coordinator: %s",
                silent_member.vm,
                error,
            )

    def _confirm(self, member: assignment.Member) -> None:
        confirm = member_messages.Confirm(
            vm=self._identity.vm,
            epoch=member.epoch,
            assignment_version=self._state.assignment.version,
            plan_version=self._state.plan.version,
            witnesses=self._lease.witnesses,
        )
        now_ns = self._clock.now_ns()
        repeat_after_ms = CONFIRM_REPEAT_MS
        if member.previous_witnesses:
            repeat_after_ms = WITNESS_CHANGE_CONFIRM_MS
        age_ms = (now_ns - self._last_confirm_ns) / lease_module.NS_PER_MS
        if confirm == self._last_confirm and age_ms < repeat_after_ms:
            return
        self._coordinator_client.call_coordinator(
            confirm, timeout_ms=CONFIRM_TIMEOUT_MS
        )
        self._last_confirm = confirm
        self._last_confirm_ns = now_ns

    def _record_lease_change(self) -> None:
        held = self._lease.held()
        if held == self._was_held:
            return
        self._was_held = held
        epoch = self._lease.epoch
        self._timeline.record(
            events.LeaseGained(epoch) if held else events.LeaseLost(epoch)
        )
