"""Wires the parts of one daemon on a platform store."""

import dataclasses
import functools
import logging
from collections.abc import Callable

import gevent

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.domain import tasks
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.membership import follower as follower_module
from primrosecross.domain.membership import membership
from primrosecross.domain.membership import plan_watch
from primrosecross.domain.operators import events
from primrosecross.domain.ownership import election as election_module
from primrosecross.domain.ownership import grant_caller
from primrosecross.domain.ownership import proof as proof_module
from primrosecross.domain.ownership import range_coordinator
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.domain.ownership import target_watch
from primrosecross.domain.requests import body
from primrosecross.domain.requests import body_memory
from primrosecross.domain.requests import dispatcher as dispatcher_module
from primrosecross.domain.requests import forwards
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import quarantine as quarantine_module
from primrosecross.domain.requests import replies
from primrosecross.domain.requests import request
from primrosecross.domain.requests import request_messages
from primrosecross.domain.requests import route_lookup
from primrosecross.domain.requests import routes
from primrosecross.domain.requests import target_gate
from primrosecross.ports import clock as clock_port
from primrosecross.ports import fleet_repository
from primrosecross.ports import key_calls
from primrosecross.ports import peers as peers_port
from primrosecross.ports import target as target_port

TERM_TIMING = election_module.TermTiming(
    renew_ms=500,
    term_ms=1500,
    standby_ms=500,
    takeover_ms=1000,
    spread_ms=300,
)
COORDINATOR_PROCESSOR_SHARE = 0.8  # of a core; VMs with less campaign later
ELECTION_HANDICAP_MS = 1500  # one more term, in which others get elected
TARGET_CHECK_MS = 200

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPorts:
    """Implementations of the ports of one daemon."""

    clock: clock_port.Clock
    store: fleet_repository.FleetRepository
    plans: fleet_repository.PlanSource
    peers: peers_port.Peers
    targets: target_port.Targets
    key_calls: key_calls.KeyCalls


@dataclasses.dataclass(frozen=True, slots=True)
class NodeLimits:
    """Limits of one daemon, which may change while it runs.

    Attributes:
        max_hold_ms: Longest time for which keys are granted.
        drain_ms: Time in which a target that leaves may still get requests.
        plan_in_force_ms: Time within which a confirmed plan takes effect.
        processor_share: Processor time this process may use, 1.0 for a core.
        grant_way: How targets are granted keys unless the plan says otherwise.
    """

    max_hold_ms: int
    drain_ms: int
    plan_in_force_ms: int
    processor_share: float = 1.0
    grant_way: routes.GrantWay = routes.GrantWay.HEARTBEAT


class FleetNode:
    """One daemon and the decisions it makes for one target.

    Args:
        identity: Identity of this daemon.
        ports: Implementations of the ports.
        timeline: Records events.
        limits: Its limits.
        bodies: Memory for bodies; one without a limit of the process if not
            given.
    """

    def __init__(
        self,
        *,
        identity: membership.DaemonIdentity,
        ports: FleetPorts,
        timeline: events.Timeline,
        limits: NodeLimits,
        bodies: body_memory.BodyMemory | None = None,
    ) -> None:
        self.bodies = bodies or body_memory.BodyMemory(clock=ports.clock)
        self._limits = limits
        self._identity = identity
        self._ports = ports
        self._timeline = timeline
        self.stopping = False
        self.state = fleet_state.FleetState()
        self.lease = proof_module.ProofLease(clock=ports.clock)
        self.route_lookup = route_lookup.RouteLookup(
            state=self.state,
            clock=ports.clock,
            in_force_ms=limits.plan_in_force_ms,
        )
        self._make_target_parts()
        self._make_ownership()
        self.dispatcher = dispatcher_module.Dispatcher(
            vm=identity.vm,
            place=identity.place,
            state=self.state,
            gate=self.gate,
            peers=ports.peers,
            clock=ports.clock,
            bodies=self.bodies,
        )
        self._dispatch = self._make_handlers()

    def _make_target_parts(self) -> None:
        clock = self._ports.clock
        self.local_target_watch = target_watch.TargetWatch(
            lease=self.lease,
            key_map=lambda: self.state.key_map,
            max_hold_ms=self._limits.max_hold_ms,
            clock=clock,
            on_change=self._report_now,
            granted_by_call=self._is_granted_by_call,
        )
        self.grant_caller = grant_caller.GrantCaller(
            watch=self.local_target_watch,
            calls=self._ports.key_calls,
            clock=clock,
            on_superseded=self._report_now,
        )
        self.local_target_watch.on_grant_needed = self.grant_caller.wake
        self.state.subscribe(self.grant_caller.wake)
        self.quarantine = quarantine_module.Quarantine(
            vm=self._identity.vm,
            members=lambda: list(self.state.entries),
            peers=self._ports.peers,
            clock=clock,
            timeline=self._timeline,
        )
        self.gate = target_gate.TargetGate(
            watch=self.local_target_watch,
            key_map=lambda: self.state.key_map,
            targets=self._ports.targets,
            quarantine=self.quarantine,
            drain_ms=self._limits.drain_ms,
            clock=clock,
        )
        self.state.subscribe(self.gate.wake_key_waiters)

    def _is_granted_by_call(self, service: str) -> bool:
        plan = self.state.plan
        declared = plan.services.get(service) if plan is not None else None
        way = declared.grant_way if declared is not None else None
        return (way or self._limits.grant_way) is routes.GrantWay.CALL

    def _make_ownership(self) -> None:
        vm = self._identity.vm
        ports = self._ports
        self.follower = follower_module.Follower(
            vm=vm,
            address=self._identity.peer_address,
            state=self.state,
            lease=self.lease,
            store=ports.store,
            plans=ports.plans,
            peers=ports.peers,
            clock=ports.clock,
            report=self.report,
        )
        self.election = election_module.Election(
            vm=vm,
            peer_address=self._identity.peer_address,
            may_campaign=self._is_candidate,
            repository=ports.store,
            clock=ports.clock,
            timeline=self._timeline,
            timing=dataclasses.replace(
                TERM_TIMING, handicap_ms=self._handicap_ms()
            ),
            on_term_read=lambda term: self.follower.update_coordinator(
                term.vm, term.peer_address, term.number
            ),
            extensions_expired=lambda: self.coordinator.extensions_expired,
            known_number=lambda: self.follower.term,
        )
        self.follower.on_term_lost = self.election.mark_term_lost
        self.follower.is_coordinator = lambda: self.election.is_coordinator
        self.coordinator = range_coordinator.RangeCoordinator(
            vm=vm,
            election=self.election,
            follower=self.follower,
            state=self.state,
            store=ports.store,
            peers=ports.peers,
            clock=ports.clock,
        )
        self.plan_watch = plan_watch.PlanWatch(
            vm=vm,
            state=self.state,
            plans=ports.plans,
            clock=ports.clock,
            is_coordinator=lambda: self.election.is_coordinator,
            has_no_source=self._has_no_source,
            on_change=self._report_now,
        )

    def _handicap_ms(self) -> int:
        share = self._limits.processor_share
        is_weak = share < COORDINATOR_PROCESSOR_SHARE
        return ELECTION_HANDICAP_MS if is_weak else 0

    def apply_limits(self, limits: NodeLimits) -> None:
        """Puts changed limits in force; a grant in force is not shortened."""
        self._limits = limits
        self.local_target_watch.max_hold_ms = limits.max_hold_ms
        self.gate.set_drain_ms(limits.drain_ms)
        self.route_lookup.in_force_ms = limits.plan_in_force_ms
        self.election.timing = dataclasses.replace(
            self.election.timing, handicap_ms=self._handicap_ms()
        )

    def _is_candidate(self) -> bool:
        if self.election.is_coordinator:
            return True
        return not self.stopping and self.follower.is_coordinator_silent()

    def _has_no_source(self) -> bool:
        """Returns whether no coordinator confirms that the plan is the newest.

        While leases are extended, the store is down for all daemons.
        """
        is_silent = self.follower.is_coordinator_silent()
        return not self.follower.has_lease_extension() and (
            is_silent or self.route_lookup.lacks_confirmation()
        )

    def _report_now(self) -> None:
        self.follower.wake()

    def _make_handlers(self) -> Callable[[messages.Message], messages.Message]:
        """Returns the handler that dispatches messages by their type."""
        dispatch = functools.singledispatch(_refuse_unknown)
        dispatch.register(fleet_messages.Sync, self.coordinator.answer_sync)
        dispatch.register(fleet_messages.Notice, self.coordinator.answer_notice)
        dispatch.register(
            fleet_messages.PlanUpdate, self.follower.answer_plan_update
        )
        dispatch.register(request_messages.Forward, self._answer_forward)
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
        refusal = self.route_lookup.refuse_moved(forward)
        if refusal is not None:
            body.close(forward.body)
            return replies.reply_of(refusal, forward.request_id)
        req = forwards.from_message(forward, now_ns=self._ports.clock.now_ns())
        result = self._run_forwarded(req)
        if not isinstance(result, outcome.Answered):
            _logger.warning(
                "forwarded request failed: %s",
                result.reason.value,
                extra={
                    "request_id": req.request_id,
                    "service": req.service,
                    "detail": result.detail,
                    "map_version": self.state.key_map.version,
                    "proof_age_ms": round(min(self.lease.age_ms(), 1e9)),
                },
            )
        else:
            content = body.stream_if_large(result.body)
            self._charge_until_done(content)
            result = dataclasses.replace(result, body=content)
        return replies.reply_of(result, req.request_id)

    def _run_forwarded(self, req: request.Request) -> outcome.Outcome:
        """Runs a request if there is room for what is held of its body."""
        held_bytes = body.held_bytes(req.body)
        if not self.bodies.take(
            held_bytes,
            body_bytes=held_bytes,
            kind=body_memory.Kind.REQUEST,
        ):
            body.close(req.body)
            return outcome.NotRun(
                outcome.Reason.OVERLOADED,
                f"no memory for a body of {len(req.body)} bytes",
                self.bodies.retry_after_ms(held_bytes),
            )
        try:
            return self.gate.run(req)
        finally:
            self.bodies.give_back(held_bytes)

    def _charge_until_done(self, content: body.Body) -> None:
        """Counts what is held of an answer until it has been sent."""
        held_bytes = body.held_bytes(content)
        self.bodies.charge(held_bytes)
        body.add_done_callback(
            content, lambda: self.bodies.give_back(held_bytes)
        )

    def report(self) -> fleet_messages.Sync:
        """Returns a report for the coordinator and resets the key counts."""
        return fleet_messages.Sync(
            vm=self._identity.vm,
            place=self._identity.place,
            address=self._identity.peer_address,
            incarnation=self._identity.incarnation,
            stopping=self.stopping,
            term=self.follower.term,
            echo_ns=self.follower.echo_ns,
            map_version=self.state.key_map.version,
            plan_revision=self.state.plan_revision,
            directory=self.follower.directory,
            directory_number=self.follower.directory_number,
            targets=self._target_reports(),
            key_counts=self.gate.drain_key_counts(),
        )

    def _target_reports(self) -> tuple[fleet_messages.TargetReport, ...]:
        local_target = self.local_target_watch.local_target
        if local_target is None:
            return ()
        return (
            fleet_messages.TargetReport(
                life=local_target.last_heartbeat.incarnation_id,
                born_ms=local_target.last_heartbeat.born_ms,
                service=local_target.last_heartbeat.service,
                slots=local_target.last_heartbeat.slots,
                state=local_target.state.value,
                cold=local_target.last_heartbeat.warmup_remaining_ms > 0,
                typical_ms=round(self.gate.target_run_times.average_ms),
                forfeited=local_target.forfeited_version,
                given_back=tuple(
                    fleet_messages.GivenBack(
                        r.first, r.last, r.generation, r.token
                    )
                    for r in local_target.released_ranges
                ),
            ),
        )

    def is_ready(self) -> bool:
        """Returns whether requests of this VM's callers can be served."""
        return not self.stopping and self.state.plan is not None

    def begin_stop(self) -> None:
        """Reports to other daemons that this one is stopping.

        A coordinator resigns at once, so that its successor decides before
        this daemon exits. The stop never waits for the store.
        """
        self.stopping = True
        self._report_now()
        gevent.spawn(self._resign)

    def _resign(self) -> None:
        try:
            self.election.resign()
        except errors.StoreError as error:
            _logger.warning("cannot resign as coordinator: %s", error)

    def start(self) -> None:
        """Starts the daemon's tasks."""
        tasks.start(
            (
                self.election.run,
                self.follower.run,
                self.coordinator.run,
                self.plan_watch.run,
                self.quarantine.run,
                self._watch_target,
                self.grant_caller.run,
            ),
            clock=self._ports.clock,
        )

    def _watch_target(self) -> None:
        while True:
            self.local_target_watch.check_silence()
            local_target = self.local_target_watch.local_target
            if local_target is not None:
                self.gate.queue.set_slots(local_target.last_heartbeat.slots)
                if local_target.state is target_heartbeat.TargetState.GONE:
                    self.gate.wake_key_waiters()
            self._ports.clock.sleep(TARGET_CHECK_MS)


def _refuse_unknown(message: messages.Message) -> messages.Message:
    return stream_messages.Failure(
        f"no handler for {type(message).__name__} messages",
        "check that all daemons of the cluster run the same program",
    )
