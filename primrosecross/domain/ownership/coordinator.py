"""The coordinator: decides members and owners and writes them to the store.

Any daemon can be elected coordinator. Two coordinators at once are safe: each
decision is a conditional write of the single assignment object, and no owner
is replaced before its lease is proved lapsed or it has released the shard.
"""

import dataclasses
import functools
import logging
import random
from collections.abc import Callable

import gevent
from gevent import event as gevent_event

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.membership import witness_sets
from primrosecross.domain.operators import events
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import balance
from primrosecross.domain.ownership import decisions
from primrosecross.domain.ownership import election as election_module
from primrosecross.domain.ownership import revocation
from primrosecross.ports import clock as clock_port
from primrosecross.ports import peers as peers_port
from primrosecross.ports import repository as repository_port

REFUSE_TIMEOUT_MS = 400
RETRY_INTERVAL_MS = 100
BATCH_DELAY_MS = 20  # also the poll interval while a join waits
IDLE_CHECK_MS = 500
JOIN_WAIT_MS = 7000

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _InboxEntry:
    """A queued message and the term in which it was received."""

    term_number: int
    message: object


class Coordinator:
    """Makes decisions while its daemon is the coordinator.

    Args:
        vm: Name of this VM.
        election: Reports whether this daemon is the coordinator.
        state: Plan and assignment in force on this daemon.
        repository: Persistent state in the store.
        peers: Calls other daemons.
        refuse_locally: Handles Refuse as this daemon's own witness.
        clock: Clock that includes time spent suspended.
        timing: Lease durations shared by the cluster.
        timeline: Records decisions.

    Attributes:
        last_confirms: Last Confirm in the current term, by VM.
    """

    def __init__(
        self,
        *,
        vm: str,
        election: election_module.Election,
        state: state_module.ClusterState,
        repository: repository_port.Repository,
        peers: peers_port.Peers,
        refuse_locally: Callable[[member_messages.Refuse], messages.Message],
        clock: clock_port.Clock,
        timing: lease_module.LeaseTiming,
        timeline: events.Timeline,
    ) -> None:
        self._vm = vm
        self._election = election
        self._state = state
        self._repository = repository
        self._peers = peers
        self._refuse_locally = refuse_locally
        self._clock = clock
        self._timing = timing
        self._timeline = timeline
        self._balancer = balance.Balancer(clock=clock)
        self._term_number = 0
        self._store_version = ""
        self._last_error = ""
        self._inbox: list[_InboxEntry] = []
        self._pending_joins: dict[tuple[str, str], member_messages.Join] = {}
        # Time of the last report in ns, by (VM, epoch), then by witness.
        self._suspicions: dict[tuple[str, int], dict[str, int]] = {}
        # First version with an unconfirmed change of witnesses, by VM.
        self._witness_change_versions: dict[str, int] = {}
        # Ignored partition counts that were logged, by service.
        self._warned_partition_counts: dict[str, int] = {}
        self._revocation_tasks: dict[str, gevent.Greenlet] = {}
        self._wake = gevent_event.Event()
        self._dispatch = functools.singledispatch(self._reject_unknown)
        self._dispatch.register(member_messages.Join, self._handle_join)
        self._dispatch.register(member_messages.Suspect, self._handle_suspect)
        self._dispatch.register(member_messages.Release, self._enqueue)
        self._dispatch.register(member_messages.Confirm, self._handle_confirm)
        self._dispatch.register(operator_messages.Drain, self._enqueue)
        self._dispatch.register(operator_messages.Undrain, self._enqueue)
        self._dispatch.register(operator_messages.Move, self._enqueue)
        self._dispatch.register(
            member_messages.LoadReport, self._handle_load_report
        )
        self._dispatch.register(
            operator_messages.ListConfirmed, self._handle_list_confirmed
        )
        self.last_confirms: dict[str, member_messages.Confirm] = {}

    def handle(self, message: messages.Message) -> messages.Message:
        """Handles a message sent to the coordinator."""
        if not self._election.is_coordinator:
            return stream_messages.Failure(
                f"{self._vm} is not the coordinator",
                "read the coordinator's term from the store again",
            )
        return self._dispatch(message)

    def _reject_unknown(self, message: messages.Message) -> messages.Message:
        return stream_messages.Failure(
            f"the coordinator does not handle {type(message).__name__}",
            "send it to the member that it concerns",
        )

    def _enqueue(self, message: object) -> messages.Message:
        self._inbox.append(_InboxEntry(self._election.term_number, message))
        self._wake.set()
        return stream_messages.Done()

    def _handle_join(self, join: member_messages.Join) -> messages.Message:
        self._pending_joins[join.vm, join.incarnation] = join
        self._wake.set()
        try:
            return self._wait_for_admission(join)
        finally:
            self._pending_joins.pop((join.vm, join.incarnation), None)

    def _wait_for_admission(
        self, join: member_messages.Join
    ) -> messages.Message:
        until_ns = self._clock.now_ns() + JOIN_WAIT_MS * lease_module.NS_PER_MS
        member = None
        while self._clock.now_ns() < until_ns and self._election.is_coordinator:
            member = self._state.assignment.members.get(join.vm)
            if decisions.is_admitted(join, member):
                return stream_messages.Done()
            self._clock.sleep(BATCH_DELAY_MS)
        if member is not None and member.incarnation != join.incarnation:
            return stream_messages.Failure(
                f"another daemon named {join.vm} is a member",
                "give each VM its own name, or stop the other daemon",
            )
        return stream_messages.Failure(
            "the member was not admitted in time", "send Join again"
        )

    def _handle_suspect(
        self, suspect: member_messages.Suspect
    ) -> messages.Message:
        member = self._state.assignment.members.get(suspect.vm)
        if member is None or member.epoch != suspect.epoch:
            return stream_messages.Done()
        now_ns = self._clock.now_ns()
        oldest_ns = now_ns - self._timing.suspect_ms * lease_module.NS_PER_MS
        reports = self._suspicions.setdefault((suspect.vm, suspect.epoch), {})
        reports[suspect.witness] = now_ns
        recent_witnesses = {
            w for w, reported_ns in reports.items() if reported_ns >= oldest_ns
        }
        if (
            len(recent_witnesses & set(member.witnesses))
            > len(member.witnesses) // 2
        ):
            del self._suspicions[suspect.vm, suspect.epoch]
            self._enqueue(decisions.MemberSuspected(suspect.vm, suspect.epoch))
        return stream_messages.Done()

    def _handle_confirm(
        self, confirm: member_messages.Confirm
    ) -> messages.Message:
        """Records a confirmation.

        It needs a decision only if it may complete a change of witnesses.
        """
        self.last_confirms[confirm.vm] = confirm
        member = self._state.assignment.members.get(confirm.vm)
        if member is None or not member.previous_witnesses:
            return stream_messages.Done()
        return self._enqueue(confirm)

    def _handle_load_report(
        self, report: member_messages.LoadReport
    ) -> messages.Message:
        member = self._state.assignment.members.get(report.vm)
        if member is None or member.epoch != report.epoch:
            return stream_messages.Failure(
                f"{report.vm} is not a member with epoch {report.epoch}",
                "read the assignment again",
            )
        if self._balancer.record_report(report, self._state.assignment):
            self._wake.set()
        coordinator_id = f"{self._vm}/{self._election.term_number}"
        hot_key_rate_per_s = self._balancer.hot_rate(report.service)
        return member_messages.LoadAck(
            coordinator=coordinator_id, hot_rate=round(hot_key_rate_per_s)
        )

    def _handle_list_confirmed(
        self, _: operator_messages.ListConfirmed
    ) -> messages.Message:
        return operator_messages.Confirmed(
            self._vm, tuple(self.last_confirms.values())
        )

    def run(self) -> None:
        """Writes decisions while it is the coordinator, until killed."""
        while True:
            self._wake.wait(timeout=IDLE_CHECK_MS / 1000)
            self._clock.sleep(BATCH_DELAY_MS)
            self._wake.clear()
            if not self._election.is_coordinator:
                continue
            try:
                self._decide()
                self._last_error = ""
            except errors.StoreError as error:
                self._retry_later(error)

    def _retry_later(self, error: errors.StoreError) -> None:
        """Makes the next round read the store again, after a random backoff."""
        if self._last_error != str(error):
            _logger.warning("cannot update the assignment: %s", error)
        self._last_error = str(error)
        self._store_version = ""
        self._clock.sleep(RETRY_INTERVAL_MS * random.uniform(1, 3))
        self._wake.set()

    def _decide(self) -> None:
        if self._term_number != self._election.term_number:
            self._start_term()
        if not self._store_version:
            self._load_or_create_assignment()
        inbox, self._inbox = self._inbox, []
        try:
            self._apply_messages(
                [
                    *self._current_term_messages(inbox),
                    *self._pending_joins.values(),
                ]
            )
        except errors.StoreError:
            self._inbox[:0] = inbox
            raise
        self._start_revocations()

    def _current_term_messages(self, inbox: list[_InboxEntry]) -> list[object]:
        """Returns the messages received in the current term.

        Drops earlier ones, since another daemon may have been the coordinator
        in between.
        """
        return [e.message for e in inbox if e.term_number == self._term_number]

    def _apply_messages(self, inbox: list[object]) -> None:
        before = self._state.assignment
        draft = decisions.Draft(
            before.copy(), dict(self._witness_change_versions)
        )
        draft.assignment.version += 1
        changed = sum(decisions.apply(message, draft) for message in inbox)
        changed += witness_sets.replace_witnesses(draft.assignment)
        if changed or self._balancer.is_due(self._state.plan.version):
            changed += self._assign(draft.assignment)
        changed += decisions.renew_generations_after_cancelled_handovers(
            before, draft.assignment
        )
        if changed:
            self._write(draft)

    def _start_term(self) -> None:
        self._term_number = self._election.term_number
        self._store_version = ""
        self._suspicions = {}
        self._balancer = balance.Balancer(clock=self._clock)
        self.last_confirms = {}

    def _load_or_create_assignment(self) -> None:
        stored, version = self._repository.read_assignment()
        stored_version = stored.version if stored is not None else 0
        in_force = self._state.assignment.version
        if stored_version < in_force:
            raise errors.StoreObjectError(
                f"assignment {stored_version} in the store is older than "
                f"{in_force}, which is already in force",
                remedy="restore the newer assignment in the store; the "
                "coordinator has written nothing",
            )
        if stored is None:
            stored = assignment.Assignment(version=1)
            version = self._repository.write_assignment(stored, "")
        self._state.update_assignment(stored)
        self._store_version = version
        self._witness_change_versions = witness_sets.unconfirmed_since(
            stored, {}
        )

    def _assign(self, draft: assignment.Assignment) -> int:
        return sum(
            self._balancer.assign(
                self._keep_partition_count(service, draft), draft
            )
            for service in self._state.plan.services.values()
            if service.keyed
        )

    def _keep_partition_count(
        self, service: plan.Service, draft: assignment.Assignment
    ) -> plan.Service:
        """Returns the service with the partition count of its owner table.

        Another count would map keys to other partitions while their owners
        still serve them by the old mapping.
        """
        table = draft.tables.get(service.name)
        if table is None or table.partitions == service.partitions:
            return service
        if (
            self._warned_partition_counts.get(service.name)
            != service.partitions
        ):
            self._warned_partition_counts[service.name] = service.partitions
            _logger.warning(
                "%s keeps its %d partitions; the %d of the plan are ignored; "
                "declare a new service to change the number of partitions",
                service.name,
                table.partitions,
                service.partitions,
            )
        return dataclasses.replace(service, partitions=table.partitions)

    def _write(self, draft: decisions.Draft) -> None:
        # Taken before the write: others may read it before this call returns.
        stamp = self._timeline.next_stamp()
        self._store_version = self._repository.write_assignment(
            draft.assignment, self._store_version
        )
        self._state.update_assignment(draft.assignment)
        self._witness_change_versions = witness_sets.unconfirmed_since(
            draft.assignment, draft.witness_change_versions
        )
        for event in draft.pending_events:
            self._timeline.record(event, stamp=stamp)

    def _start_revocations(self) -> None:
        for member in self._state.assignment.members.values():
            task = self._revocation_tasks.get(member.vm)
            if member.state is assignment.MemberState.REVOKING and (
                task is None or task.dead
            ):
                self._revocation_tasks[member.vm] = gevent.spawn(
                    self._revoke, member
                )

    def _revoke(self, member: assignment.Member) -> None:
        """Collects refusals until the member's lease is proved lapsed.

        Stops without a proof when this daemon is no longer the coordinator.
        """
        sets = (member.witnesses, member.previous_witnesses)
        proof = revocation.LapseProof(
            vm=member.vm,
            epoch=member.epoch,
            witness_sets=tuple(s for s in sets if s),
            clock=self._clock,
            timing=self._timing,
        )
        while self._election.is_coordinator:
            requests = [
                gevent.spawn(self._request_refusal, proof, witness)
                for witness in proof.witnesses
            ]
            gevent.joinall(requests)
            if proof.proven():
                self._enqueue(decisions.LeaseLapsed(member.vm, member.epoch))
                return
            self._clock.sleep(RETRY_INTERVAL_MS)

    def _request_refusal(
        self, proof: revocation.LapseProof, witness: str
    ) -> None:
        sent_ns = self._clock.now_ns()
        request = member_messages.Refuse(vm=proof.vm, epoch=proof.epoch)
        try:
            ack = self._call_witness(witness, request)
        except errors.PeerError:
            return
        if isinstance(ack, member_messages.RefuseAck):
            proof.record(
                witness=witness,
                incarnation=ack.incarnation,
                silent_ms=ack.silent_ms,
                sent_ns=sent_ns,
                received_ns=self._clock.now_ns(),
            )

    def _call_witness(
        self, witness: str, request: member_messages.Refuse
    ) -> messages.Message:
        if witness == self._vm:
            return self._refuse_locally(request)
        return self._peers.call(witness, request, timeout_ms=REFUSE_TIMEOUT_MS)
