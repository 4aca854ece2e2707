"""Wires the parts of one daemon."""

import dataclasses
import functools
import logging
from collections.abc import Callable

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import shutdown
from primrosecross.domain import stream_messages
from primrosecross.domain import tasks
from primrosecross.domain.membership import announcements
from primrosecross.domain.membership import anti_entropy as anti_entropy_module
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import membership as membership_module
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.membership import state_sync as state_sync_module
from primrosecross.domain.membership import witness
from primrosecross.domain.operators import collector as collector_module
from primrosecross.domain.operators import events
from primrosecross.domain.operators import meter as meter_module
from primrosecross.domain.operators import observer as observer_module
from primrosecross.domain.operators import operations as operations_module
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.ownership import (
    assignment_history as assignment_history_module,
)
from primrosecross.domain.ownership import coordinator as coordinator_module
from primrosecross.domain.ownership import (
    coordinator_client as coordinator_client_module,
)
from primrosecross.domain.ownership import election as election_module
from primrosecross.domain.ownership import handover
from primrosecross.domain.ownership import load_reports
from primrosecross.domain.requests import deduplicator as deduplicator_module
from primrosecross.domain.requests import executor as executor_module
from primrosecross.domain.requests import forwards
from primrosecross.domain.requests import outcome_cache as outcome_cache_module
from primrosecross.domain.requests import quarantine as quarantine_module
from primrosecross.domain.requests import replies
from primrosecross.domain.requests import request_messages
from primrosecross.domain.requests import router as router_module
from primrosecross.ports import clock as clock_port
from primrosecross.ports import peers as peers_port
from primrosecross.ports import repository as repository_port
from primrosecross.ports import target as target_port

PLAN_WATCH_TIMEOUT_MS = 4000  # a plan may change unseen by a dead watch
PLAN_RETRY_MS = 1000

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Implementations of the ports of one daemon."""

    clock: clock_port.Clock
    repository: repository_port.Repository
    codec: repository_port.StateCodec
    peers: peers_port.Peers
    targets: target_port.Targets


class Node:
    """One daemon and the decisions it makes.

    Args:
        identity: Identity of this daemon.
        ports: Implementations of the ports.
        timeline: Records events.
        timing: Durations shared by the cluster.
    """

    def __init__(
        self,
        *,
        identity: membership_module.DaemonIdentity,
        ports: Ports,
        timeline: events.Timeline,
        timing: lease_module.LeaseTiming,
    ) -> None:
        self._ports = ports
        self._vm = identity.vm
        self._timeline = timeline
        self._make_state(timing)
        self._make_ownership(identity, timing)
        self._make_requests()
        self._make_operations(identity)
        self._dispatch = self._make_handlers()

    def _make_state(self, timing: lease_module.LeaseTiming) -> None:
        """Makes state, lease, synchronization and the coordinator client."""
        vm = self._vm
        clock = self._ports.clock
        ports = self._ports
        self.state = state_module.ClusterState(vm=vm, timeline=self._timeline)
        self.lease = lease_module.Lease(clock=clock, timing=timing)
        self.sync = state_sync_module.StateSync(
            state=self.state,
            peers=ports.peers,
            repository=ports.repository,
            codec=ports.codec,
        )
        self.anti_entropy = anti_entropy_module.AntiEntropy(
            vm=vm, state=self.state, sync=self.sync, clock=clock
        )
        self.coordinator_client = coordinator_client_module.CoordinatorClient(
            vm=vm, repository=ports.repository, peers=ports.peers, clock=clock
        )

    def _make_ownership(
        self,
        identity: membership_module.DaemonIdentity,
        timing: lease_module.LeaseTiming,
    ) -> None:
        """Makes membership, election and the coordinator."""
        vm = self._vm
        clock = self._ports.clock
        ports = self._ports
        self.membership = membership_module.Membership(
            identity=identity,
            state=self.state,
            sync=self.sync,
            coordinator_client=self.coordinator_client,
            peers=ports.peers,
            lease=self.lease,
            register=witness.WitnessRegister(clock=clock, timing=timing),
            clock=clock,
            timing=timing,
            timeline=self._timeline,
        )
        self.election = election_module.Election(
            vm=vm,
            peer_address=identity.peer_address,
            may_campaign=lambda: election_module.is_candidate(
                vm, self.state.assignment
            ),
            repository=ports.repository,
            clock=clock,
            timeline=self._timeline,
            is_standby=self.coordinator_client.is_unreachable,
        )
        self.coordinator = coordinator_module.Coordinator(
            vm=vm,
            election=self.election,
            state=self.state,
            repository=ports.repository,
            peers=ports.peers,
            refuse_locally=self.membership.answer_refuse,
            clock=clock,
            timing=timing,
            timeline=self._timeline,
        )
        self.coordinator_client.local_handler = self.coordinator.handle

    def _make_requests(self) -> None:
        """Makes the parts that serve requests."""
        vm = self._vm
        clock = self._ports.clock
        ports = self._ports
        self.deduplicator = deduplicator_module.Deduplicator(
            vm=vm,
            state=self.state,
            outcomes=outcome_cache_module.OutcomeCache(clock=clock),
            assignment_history=assignment_history_module.AssignmentHistory(
                vm=vm, state=self.state, clock=clock
            ),
            peers=ports.peers,
            clock=clock,
        )
        self.quarantine = quarantine_module.Quarantine(
            vm=vm,
            members=lambda: self.state.assignment.members,
            peers=ports.peers,
            clock=clock,
            timeline=self._timeline,
        )
        self.hand_over = handover.HandOver(
            vm=vm,
            state=self.state,
            lease=self.lease,
            coordinator_client=self.coordinator_client,
            clock=clock,
        )
        self.load_reporter = load_reports.LoadReporter(
            vm=vm,
            state=self.state,
            coordinator_client=self.coordinator_client,
            clock=clock,
        )
        self.executor = executor_module.Executor(
            vm=vm,
            state=self.state,
            lease=self.lease,
            hand_over=self.hand_over,
            load_reporter=self.load_reporter,
            deduplicator=self.deduplicator,
            quarantine=self.quarantine,
            targets=ports.targets,
            clock=clock,
        )
        self.router = router_module.Router(
            vm=vm,
            state=self.state,
            sync=self.sync,
            executor=self.executor,
            peers=ports.peers,
            clock=clock,
        )
        self._announcements = announcements.Announcements(
            clock=clock,
            timeline=self._timeline,
            on_change=self._set_targets,
            on_drop=ports.targets.close_connections,
        )
        self.record_announcement = self._announcements.handle_announcement

    def _make_operations(
        self, identity: membership_module.DaemonIdentity
    ) -> None:
        """Makes the parts that serve operators."""
        vm = self._vm
        clock = self._ports.clock
        ports = self._ports
        self.meter = meter_module.Meter(timeline=self._timeline)
        self.metered_router = meter_module.MeteredRouter(
            router=self.router, state=self.state, meter=self.meter, clock=clock
        )
        self._observer = observer_module.MembershipObserver(
            state=self.state, timeline=self._timeline
        )
        self.collector = collector_module.TimelineCollector(
            vm=vm,
            incarnation=identity.incarnation,
            state=self.state,
            peers=ports.peers,
            timeline=self._timeline,
        )
        self.operations = operations_module.Operations(
            vm=vm,
            state=self.state,
            repository=ports.repository,
            coordinator_client=self.coordinator_client,
            peers=ports.peers,
            local_probe=self._probe_report,
            timeline=self._timeline,
            quarantine=self.quarantine,
        )

    def _make_handlers(self) -> Callable[[messages.Message], messages.Message]:
        """Returns the handler that dispatches messages by their type."""
        dispatch = functools.singledispatch(self.coordinator.handle)
        dispatch.register(
            member_messages.Heartbeat, self.membership.answer_heartbeat
        )
        dispatch.register(member_messages.Refuse, self.membership.answer_refuse)
        dispatch.register(member_messages.FetchState, self.sync.snapshot)
        dispatch.register(request_messages.Forward, self._answer_forward)
        dispatch.register(
            request_messages.AskAnswer, self.deduplicator.answer_ask
        )
        dispatch.register(operator_messages.Probe, self._probe_report)
        dispatch.register(
            operator_messages.ReadTimeline, self.collector.read_timeline
        )
        self.quarantine.register_handlers(dispatch)
        return dispatch

    def handle(self, message: messages.Message) -> messages.Message:
        """Answers a message from another daemon."""
        try:
            return self._dispatch(message)
        except errors.RouterError as error:
            return stream_messages.Failure(error.problem, error.remedy)

    def _answer_forward(
        self, forward: request_messages.Forward
    ) -> messages.Message:
        req = forwards.from_message(forward, now_ns=self._ports.clock.now_ns())
        return replies.reply_of(self.executor.execute(req), req.request_id)

    def _probe_report(
        self, _: operator_messages.Probe
    ) -> operator_messages.ProbeReport:
        return operator_messages.ProbeReport(
            lease_held=self.lease.held(),
            plan_version=self.state.plan.version,
            assignment_version=self.state.assignment.version,
            in_flight=self.executor.in_flight(),
            owned_per_s=round(self.load_reporter.rate()),
            answered=self.meter.total(meter_module.ANSWERED),
            not_run=self.meter.total(meter_module.NOT_RUN),
            unknown=self.meter.total(meter_module.UNKNOWN),
        )

    def _set_targets(
        self, targets_by_address: dict[str, target_port.Announcement]
    ) -> None:
        """Sets the announced targets of the executor and of the member."""
        self.executor.announced_targets = targets_by_address
        self.membership.offers = tuple(
            member_messages.OfferInfo(a.service, a.slots, a.checks_generation)
            for _, a in sorted(targets_by_address.items())
        )

    def shutdown(self, in_flight: Callable[[], int]) -> shutdown.Shutdown:
        """Returns the planned stop of this daemon."""
        return shutdown.Shutdown(
            vm=self._vm,
            state=self.state,
            coordinator_client=self.coordinator_client,
            in_flight=in_flight,
            clock=self._ports.clock,
            timeline=self._timeline,
        )

    def start(self) -> None:
        """Starts the daemon's tasks."""
        tasks.start(
            (
                self.election.run,
                self.coordinator.run,
                self.membership.run,
                self.membership.watch_members,
                self.hand_over.run,
                self.load_reporter.run,
                self._announcements.run,
                self.anti_entropy.run,
                self.quarantine.run,
                self._watch_plan,
            ),
            clock=self._ports.clock,
        )

    def _watch_plan(self) -> None:
        """Reads plan changes from the store while this is the coordinator."""
        clock = self._ports.clock
        while True:
            clock.sleep(PLAN_RETRY_MS)
            if not self.election.is_coordinator:
                continue
            try:
                stored_plan, version = self._ports.repository.read_plan()
                if stored_plan is not None:
                    self.state.update_plan(stored_plan)
                self._ports.repository.wait_for_plan(
                    version, PLAN_WATCH_TIMEOUT_MS
                )
            except errors.StoreError as error:
                _logger.info("cannot watch the plan: %s", error)
