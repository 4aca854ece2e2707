"""gRPC server for operators, as defined in rpc/operator.proto."""

import functools
from collections.abc import Callable
from concurrent import futures
from typing import Any

import grpc

from primrosecross.adapters import operator_access
from primrosecross.adapters.peers import peer_writer
from primrosecross.domain import errors
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import collector as collector_module
from primrosecross.domain.operators import operations as operations_module
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.operators import status as status_module
from primrosecross.domain.ownership import assignment
from primrosecross.models import plan as plan_model
from primrosecross.rpc import operator_pb2
from primrosecross.rpc import operator_pb2_grpc

MAX_WORKERS = 8

_STATUS_CODES = {
    errors.PlanError: grpc.StatusCode.INVALID_ARGUMENT,
    errors.PlanConflictError: grpc.StatusCode.ABORTED,
    errors.NotFoundError: grpc.StatusCode.NOT_FOUND,
    errors.NotAllowedError: grpc.StatusCode.PERMISSION_DENIED,
    errors.StoreUnavailableError: grpc.StatusCode.UNAVAILABLE,
    errors.StoreResponseLostError: grpc.StatusCode.UNKNOWN,
    errors.StoreConflictError: grpc.StatusCode.ABORTED,
    errors.MessageNotSentError: grpc.StatusCode.UNAVAILABLE,
    errors.ReplyLostError: grpc.StatusCode.UNAVAILABLE,
}


def _translates_errors(method: Callable) -> Callable:
    """Maps domain errors to gRPC status codes."""

    @functools.wraps(method)
    def wrapper(
        self: "OperatorServicer", request: Any, context: grpc.ServicerContext
    ) -> Any:
        try:
            return method(self, request)
        except errors.RouterError as error:
            code = _STATUS_CODES.get(type(error), grpc.StatusCode.INTERNAL)
            context.abort(code, str(error))

    return wrapper


class OperatorServicer(operator_pb2_grpc.OperatorServicer):
    """Maps operators' gRPC calls to domain operations.

    Args:
        vm: Name of this VM.
        operations: Operations that operators can request.
        collector: Reads the timeline.
        state: Plan and assignment in force on this VM.
        lease: This daemon's lease.
        store_calls: Returns the number of calls made to the store.
        traffic: Bytes over connections to other daemons.
        metrics: Returns this daemon's metrics in the Prometheus text format.
    """

    def __init__(
        self,
        *,
        vm: str,
        operations: operations_module.Operations,
        collector: collector_module.TimelineCollector,
        state: state_module.ClusterState,
        lease: lease_module.Lease,
        store_calls: Callable[[], int],
        traffic: peer_writer.Traffic,
        metrics: Callable[[], bytes],
    ) -> None:
        self._vm = vm
        self._operations = operations
        self._collector = collector
        self._state = state
        self._lease = lease
        self._store_calls = store_calls
        self._traffic = traffic
        self._metrics = metrics

    @_translates_errors
    def ApplyPlan(self, request):  # noqa: N802
        """Validates and stores a plan."""
        candidate = plan_model.parse(
            request.plan_json,
            version=request.expected_version + 1,
            author=request.author,
        )
        if request.dry_run:
            changes = self._operations.preview_plan(candidate)
        else:
            changes = self._operations.apply_plan(candidate)
        return operator_pb2.ApplyPlanReply(
            version=candidate.version, changes=changes
        )

    @_translates_errors
    def GetPlan(self, request):  # noqa: N802
        """Returns the current plan or a past one that is still stored."""
        stored_plan = self._operations.get_plan(request.version)
        return operator_pb2.GetPlanReply(
            version=stored_plan.version,
            author=stored_plan.author,
            plan_json=plan_model.render(stored_plan),
        )

    @_translates_errors
    def ListPlans(self, request):  # noqa: N802
        """Returns the stored versions of the plan."""
        del request
        return operator_pb2.ListPlansReply(
            plans=[
                operator_pb2.PlanSummary(
                    version=p.version, author=p.author, changes=p.changes
                )
                for p in self._operations.list_plans()
            ]
        )

    @_translates_errors
    def Where(self, request):  # noqa: N802
        """Returns the owner of a key."""
        location = self._operations.locate(request.service, request.key)
        return operator_pb2.WhereReply(
            vm=location.grant.vm,
            generation=location.grant.generation,
            shard=location.shard,
            moving_to=location.moving_to,
            reason=location.reason,
        )

    @_translates_errors
    def Drain(self, request):  # noqa: N802
        """Starts draining a VM."""
        self._operations.drain(request.vm)
        return operator_pb2.DrainReply()

    @_translates_errors
    def Undrain(self, request):  # noqa: N802
        """Cancels the draining of a VM."""
        self._operations.undrain(request.vm)
        return operator_pb2.UndrainReply()

    @_translates_errors
    def Move(self, request):  # noqa: N802
        """Pins a key to a VM, or unpins it if the VM is empty."""
        self._operations.move(request.service, request.key, request.vm)
        return operator_pb2.MoveReply()

    @_translates_errors
    def GetStatus(self, request):  # noqa: N802
        """Returns the members and the state in force on each."""
        view = self._operations.status(
            probe=request.probe, late_for_plan=request.late_for_plan
        )
        return operator_pb2.GetStatusReply(
            vm=self._vm,
            plan_version=self._state.plan.version,
            assignment_version=self._state.assignment.version,
            lease_held=self._lease.held(),
            coordinator=view.coordinator,
            members=[_member_status(m) for m in view.members],
            services=[_service_status(s) for s in view.services],
            store_calls=self._store_calls(),
            sent_bytes=self._traffic.sent_bytes,
            received_bytes=self._traffic.received_bytes,
        )

    @_translates_errors
    def ListQuarantined(self, request):  # noqa: N802
        """Returns the quarantined requests, without their content."""
        del request
        return operator_pb2.ListQuarantinedReply(
            requests=[
                operator_pb2.QuarantinedRequest(
                    fingerprint=s.fingerprint,
                    service=s.service,
                    key_hash=f"{assignment.hash_key(s.service, s.key):016x}",
                    method=s.method,
                    crashes=s.crashes,
                    refused=s.refused,
                    expires_ms=s.expires_ms,
                )
                for s in self._operations.list_quarantined()
            ]
        )

    @_translates_errors
    def ReleaseQuarantined(self, request):  # noqa: N802
        """Releases a request from quarantine."""
        self._operations.release_quarantined(request.fingerprint)
        return operator_pb2.ReleaseQuarantinedReply()

    @_translates_errors
    def ListEvents(self, request):  # noqa: N802
        """Returns events of the timeline."""
        collected = self._collector.collect(
            cursors=tuple(
                operator_messages.EventCursor(c.vm, c.incarnation, c.sequence)
                for c in request.cursors
            ),
            limit=request.limit,
            local=request.local,
        )
        return operator_pb2.ListEventsReply(
            events=[_event_entry(e) for e in collected.events],
            cursors=[
                operator_pb2.EventCursor(
                    vm=c.vm, incarnation=c.incarnation, sequence=c.sequence
                )
                for c in collected.cursors
            ],
            missing=[
                operator_pb2.MissingMember(vm=m.vm, problem=m.problem)
                for m in collected.missing
            ],
            dropped=collected.dropped,
        )

    @_translates_errors
    def GetMetrics(self, request):  # noqa: N802
        """Returns this daemon's metrics."""
        del request
        return operator_pb2.GetMetricsReply(text=self._metrics().decode())


def _event_entry(event: operator_messages.EventInfo) -> operator_pb2.EventEntry:
    return operator_pb2.EventEntry(
        vm=event.vm,
        sequence=event.sequence,
        stamp=event.stamp,
        wall_ms=event.wall_ms,
        kind=event.kind,
        detail_json=event.detail_json,
    )


def _service_status(
    view: status_module.ServiceView,
) -> operator_pb2.ServiceStatus:
    return operator_pb2.ServiceStatus(
        name=view.name,
        shards=view.shards,
        without_owner=view.without_owner,
        moving=view.moving,
        members=view.members,
        imbalance=view.imbalance,
    )


def _member_status(view: status_module.MemberView) -> operator_pb2.MemberStatus:
    status = operator_pb2.MemberStatus(
        vm=view.member.vm,
        place=view.member.place,
        state=view.member.state.value,
        epoch=view.member.epoch,
        plan_version=view.plan_version,
        assignment_version=view.assignment_version,
        shards=view.shards,
        confirmed=view.last_confirm is not None,
        witnesses=view.member.witnesses,
        targets=[_target_status(target) for target in view.targets],
        asked=view.probe_report is not None or bool(view.problem),
        answers=view.probe_report is not None,
        problem=view.problem,
    )
    if view.probe_report is not None:
        status.lease_held = view.probe_report.lease_held
        status.in_flight = view.probe_report.in_flight
        status.owned_per_s = view.probe_report.owned_per_s
        status.answered = view.probe_report.answered
        status.not_run = view.probe_report.not_run
        status.unknown = view.probe_report.unknown
    return status


def _target_status(view: status_module.TargetView) -> operator_pb2.TargetStatus:
    return operator_pb2.TargetStatus(
        service=view.offer.service,
        slots=view.offer.slots,
        checks_generation=view.offer.checks_generation,
        shards=view.shards,
    )


class OperatorServer:
    """gRPC server for operators.

    Args:
        address: "ip:port" to listen on.
        servicer: Handles the calls.
        access: Tokens and certificate.
    """

    def __init__(
        self,
        *,
        address: str,
        servicer: OperatorServicer,
        access: operator_access.Access,
    ) -> None:
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=MAX_WORKERS),
            interceptors=[operator_access.TokenInterceptor(access=access)],
            options=[("grpc.so_reuseport", 0)],
        )
        operator_pb2_grpc.add_OperatorServicer_to_server(servicer, self._server)
        self._address = address
        self._access = access

    def start(self) -> None:
        """Starts listening; raises OSError if the port is in use."""
        credentials = self._access.credentials()
        try:
            if credentials is None:
                self._server.add_insecure_port(self._address)
            else:
                self._server.add_secure_port(self._address, credentials)
        except RuntimeError as error:
            raise OSError(
                f"operator address {self._address} is unavailable"
            ) from error
        self._server.start()

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop(grace=0.5)
