"""Operators' calls over gRPC, as defined in rpc/operator.proto."""

import dataclasses
import json
from collections.abc import Callable
from concurrent import futures

import grpc

from primrosecross.adapters import peer_connection
from primrosecross.domain import errors
from primrosecross.domain import events
from primrosecross.domain import lease as lease_module
from primrosecross.domain import messages
from primrosecross.domain import operations as operations_module
from primrosecross.domain import state as state_module
from primrosecross.models import plan as plan_model
from primrosecross.rpc import operator_pb2
from primrosecross.rpc import operator_pb2_grpc

WORKERS = 8

_CODES = {
    errors.PlanError: grpc.StatusCode.INVALID_ARGUMENT,
    errors.PlanConflictError: grpc.StatusCode.ABORTED,
    errors.NotFoundError: grpc.StatusCode.NOT_FOUND,
    errors.NotAllowedError: grpc.StatusCode.PERMISSION_DENIED,
    errors.StoreUnavailableError: grpc.StatusCode.UNAVAILABLE,
    errors.StoreAnswerLostError: grpc.StatusCode.UNKNOWN,
    errors.StoreConflictError: grpc.StatusCode.ABORTED,
    errors.PeerUnsentError: grpc.StatusCode.UNAVAILABLE,
    errors.PeerLostError: grpc.StatusCode.UNAVAILABLE,
}


class OperatorServicer(operator_pb2_grpc.OperatorServicer):
    """Translates operators' calls.

    Args:
        vm: This VM's name.
        operations: What operators can ask for.
        state: Plan and assignment in force here.
        lease: This daemon's lease.
        timeline: This daemon's events.
        store_calls: Returns the number of calls made to the store.
        traffic: Bytes over connections to other daemons.
    """

    def __init__(
        self,
        *,
        vm: str,
        operations: operations_module.Operations,
        state: state_module.State,
        lease: lease_module.Lease,
        timeline: events.Timeline,
        store_calls: Callable[[], int],
        traffic: peer_connection.Traffic,
    ) -> None:
        self._vm = vm
        self._operations = operations
        self._state = state
        self._lease = lease
        self._timeline = timeline
        self._store_calls = store_calls
        self._traffic = traffic

    def ApplyPlan(self, request, context):  # noqa: N802
        """Validates and stores a plan."""
        try:
            candidate = plan_model.parse(
                request.plan_json,
                version=request.expected_version + 1,
                author=request.author,
            )
            present = self._operations.plan_in_store()
            changes = plan_model.differences(present, candidate)
            if request.dry_run:
                if present.version != request.expected_version:
                    raise operations_module.conflict(present, candidate)
            else:
                self._operations.apply_plan(candidate)
        except errors.RouterError as error:
            _abort(context, error)
        return operator_pb2.ApplyPlanReply(
            version=candidate.version, changes=changes
        )

    def GetPlan(self, request, context):  # noqa: N802
        """Returns the stored plan."""
        del request
        try:
            present = self._operations.plan_in_store()
        except errors.RouterError as error:
            _abort(context, error)
        return operator_pb2.GetPlanReply(
            version=present.version,
            author=present.author,
            plan_json=plan_model.render(present),
        )

    def Where(self, request, context):  # noqa: N802
        """Tells who owns a key."""
        try:
            found = self._operations.where(request.service, request.key)
        except errors.RouterError as error:
            _abort(context, error)
        return operator_pb2.WhereReply(
            vm=found.grant.vm,
            generation=found.grant.generation,
            shard=found.shard,
            moving_to=found.moving_to,
            reason=found.reason,
        )

    def Drain(self, request, context):  # noqa: N802
        """Has a VM leave."""
        try:
            self._operations.drain(request.vm)
        except errors.RouterError as error:
            _abort(context, error)
        return operator_pb2.DrainReply()

    def GetStatus(self, request, context):  # noqa: N802
        """Returns members and what they confirmed."""
        del request, context
        confirmed = self._operations.confirmed()
        by_vm = {c.vm: c for c in confirmed.confirms}
        return operator_pb2.GetStatusReply(
            vm=self._vm,
            plan_version=self._state.plan.version,
            assignment_version=self._state.assignment.version,
            lease_held=self._lease.held(),
            coordinator=confirmed.coordinator,
            members=[
                self._member_status(vm, by_vm.get(vm))
                for vm in sorted(self._state.assignment.members)
            ],
            store_calls=self._store_calls(),
            sent_bytes=self._traffic.sent_bytes,
            received_bytes=self._traffic.received_bytes,
        )

    def _member_status(
        self, vm: str, confirm: messages.Confirm | None
    ) -> operator_pb2.MemberStatus:
        member = self._state.assignment.members[vm]
        tables = self._state.assignment.tables.values()
        return operator_pb2.MemberStatus(
            vm=vm,
            place=member.place,
            state=member.state.value,
            epoch=member.epoch,
            plan_version=confirm.plan_version if confirm else 0,
            assignment_version=confirm.assignment_version if confirm else 0,
            shards=sum(len(table.shards_of(vm)) for table in tables),
            confirmed=confirm is not None and confirm.epoch == member.epoch,
            witnesses=member.witnesses,
        )

    def ListEvents(self, request, context):  # noqa: N802
        """Returns this daemon's part of the time line."""
        del context
        return operator_pb2.ListEventsReply(
            events=[
                operator_pb2.EventEntry(
                    vm=entry.vm,
                    sequence=entry.sequence,
                    stamp=entry.stamp,
                    wall_ms=entry.wall_ms,
                    kind=type(entry.event).__name__,
                    detail_json=json.dumps(dataclasses.asdict(entry.event)),
                )
                for entry in self._timeline.entries(after=request.after)
            ]
        )


def _abort(context: grpc.ServicerContext, error: errors.RouterError) -> None:
    code = _CODES.get(type(error), grpc.StatusCode.INTERNAL)
    context.abort(code, str(error))


class OperatorServer:
    """gRPC server for operators.

    Args:
        address: "ip:port" to listen on.
        servicer: Answers the calls.
    """

    def __init__(self, *, address: str, servicer: OperatorServicer) -> None:
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=WORKERS),
            options=[("grpc.so_reuseport", 0)],
        )
        operator_pb2_grpc.add_OperatorServicer_to_server(servicer, self._server)
        self._address = address

    def start(self) -> None:
        """Begins to listen; raises OSError when the port is taken."""
        try:
            self._server.add_insecure_port(self._address)
        except RuntimeError as error:
            raise OSError(f"cannot listen on {self._address}") from error
        self._server.start()

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop(grace=0.5)
