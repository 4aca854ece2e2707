"""Fakes for daemons on a platform store, and defaults for their data."""

import dataclasses

import gevent

from primrosecross.adapters import fleet_repository
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import range_decisions
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.domain.requests import routes
from primrosecross.ports import fleet_repository as fleet_repository_port
from primrosecross.ports import peers as peers_port
from primrosecross.ports import store as store_port
from tests import fakes


class MemoryStore:
    """A store of objects by kind and name whose calls can fail."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], store_port.StoredObject] = {}
        self.revision = 0
        self.down = False
        self.lose_answers = False
        self.calls = 0

    def _count_call(self) -> None:
        self.calls += 1
        if self.down:
            raise errors.StoreUnavailableError("down", remedy="wait")

    def read(self, kind: str, name: str) -> store_port.StoredObject | None:
        """Returns an object."""
        self._count_call()
        return self.objects.get((kind, name))

    def create(self, kind: str, name: str, spec: dict) -> object:
        """Creates an object."""
        self._count_call()
        if (kind, name) in self.objects:
            raise errors.StoreConflictError("exists", remedy="read it")
        return self._put(kind, name, spec)

    def update(self, kind: str, name: str, spec: dict, version: str) -> object:
        """Replaces an object if it has the given version."""
        self._count_call()
        current = self.objects.get((kind, name))
        if current is None or current.version != version:
            raise errors.StoreConflictError("changed", remedy="read it")
        return self._put(kind, name, spec)

    def _put(self, kind: str, name: str, spec: dict) -> object:
        self.revision += 1
        self.objects[kind, name] = store_port.StoredObject(
            kind, name, str(self.revision), spec
        )
        if self.lose_answers:
            raise errors.StoreResponseLostError("lost", remedy="read it")
        return self.objects[kind, name]

    def wait_for_change(self, kind: str, version: str, timeout_ms: int) -> bool:
        """Reports no change."""
        self._count_call()
        return False


def repository(store: MemoryStore) -> fleet_repository.ObjectFleetRepository:
    """Returns the repository of a store."""
    return fleet_repository.ObjectFleetRepository(store=store)


class NoPlans:
    """A source without a plan."""

    def read_plan(self) -> fleet_repository_port.PlanDocument | None:
        """Returns nothing."""
        return None

    def wait_for_plan(self, revision: int, timeout_ms: int) -> bool:
        """Reports no change."""
        return False

    def decode_plan(self, revision: int, data: bytes) -> object:
        """Fails to decode."""
        raise errors.DocumentError("no plan", remedy="send none")


class Peers:
    """Peers with one handler for each VM."""

    def __init__(self) -> None:
        self.handlers: dict[str, object] = {}
        self.addresses: dict[str, str] = {}
        self.sent: list[tuple[str, messages.Message]] = []
        self.patience: list[peers_port.Patience] = []

    def set_address(self, vm: str, address: str) -> None:
        """Records an address."""
        self.addresses[vm] = address

    def call(
        self,
        vm: str,
        message: messages.Message,
        *,
        timeout_ms: int,
        patience: peers_port.Patience = peers_port.Patience.UNTIL_SILENT,
    ) -> messages.Message:
        """Calls the handler of a VM."""
        self.sent.append((vm, message))
        self.patience.append(patience)
        if vm not in self.handlers:
            raise errors.MessageNotSentError(f"{vm} is down", remedy="wait")
        return self.handlers[vm](message)


class Targets:
    """A target whose outcomes a replaceable function returns."""

    def __init__(self) -> None:
        self.answer = lambda req: outcome.Answered(200, (), b"ok")
        self.alive = True
        self.ran: list[request.Request] = []

    def run(self, announcement: object, req: request.Request, fence: object):
        """Runs a request."""
        self.ran.append(req)
        return self.answer(req)

    def is_listening(self, announcement: object) -> bool:
        """Returns whether the target listens."""
        return self.alive

    def close_connections(self, announcement: object) -> None:
        """Does nothing."""


def heartbeat(
    sequence: int = 1,
    *,
    instance: str = "i-1",
    born_ms: int = 1000,
    held: tuple[tuple[int, int, int], ...] = (),
    released: tuple[tuple[int, int, str], ...] = (),
    state: target_heartbeat.TargetState = target_heartbeat.TargetState.READY,
    service: str = "desk",
) -> target_heartbeat.TargetHeartbeat:
    """Returns a heartbeat of a target."""
    return target_heartbeat.TargetHeartbeat(
        instance=instance,
        born_ms=born_ms,
        sequence=sequence,
        service=service,
        address="127.0.0.1:1",
        slots=2,
        state=state,
        held=tuple(target_heartbeat.HeldRange(*h) for h in held),
        released=tuple(target_heartbeat.ReleasedRange(*r) for r in released),
    )


def target(
    life: str = "i-1@1000",
    *,
    state: str = "ready",
    forfeited: int = 0,
    given_back: tuple[fleet_messages.GivenBack, ...] = (),
    service: str = "desk",
    typical_ms: int = 100,
) -> fleet_messages.TargetReport:
    """Returns the report of a target."""
    return fleet_messages.TargetReport(
        life=life,
        born_ms=int(life.partition("@")[2]),
        service=service,
        slots=10,
        state=state,
        cold=False,
        typical_ms=typical_ms,
        forfeited=forfeited,
        given_back=given_back,
    )


def sync(vm: str, *targets: fleet_messages.TargetReport, **changed: object):
    """Returns a report of a daemon."""
    default = fleet_messages.Sync(
        vm=vm,
        place="a",
        address=f"{vm}:1",
        incarnation="p1",
        stopping=False,
        term=0,
        echo_ns=0,
        map_version=0,
        plan_revision=0,
        directory="",
        directory_number=0,
        targets=targets,
        key_counts=(),
    )
    return dataclasses.replace(default, **changed)


def vm_view(
    vm: str,
    *targets: fleet_messages.TargetReport,
    lost: bool = False,
    warmed_up: bool = True,
    stopping: bool = False,
) -> range_decisions.VmView:
    """Returns the coordinator's view of a VM."""
    report = sync(vm, *targets, stopping=stopping)
    return range_decisions.VmView(report=report, lost=lost, warmed_up=warmed_up)


def decision_inputs(*all_views: range_decisions.VmView, **changed: object):
    """Returns decision inputs with one keyed service, "desk"."""
    default = range_decisions.DecisionInputs(
        vm_views={view.report.vm: view for view in all_views},
        keyed_services=("desk",),
        loads={},
        expired_ids=frozenset(),
        may_create_tables=True,
        movable_version=1000,
    )
    return dataclasses.replace(default, **changed)


def make_map(
    *ranges: key_map.KeyRange, version: int = 5, vms: dict[str, str]
) -> key_map.KeyMap:
    """Returns a key map of "desk"; vms holds VMs by incarnation ID."""
    return key_map.KeyMap(
        version=version,
        holders={
            life: key_map.Holder(life, vm, "desk") for life, vm in vms.items()
        },
        tables={"desk": key_map.RangeTable(ranges)},
    )


def make_request(**changed: object) -> request.Request:
    """Returns an idempotent request."""
    default = request.Request(
        request_id="r-1",
        service="desk",
        key="",
        method="GET",
        path="/a/b",
        headers=(),
        body=b"",
        idempotent=True,
        deadline_ns=fakes.ManualClock().now_ns() + 2_000_000_000,
        objective_ms=300,
    )
    return dataclasses.replace(default, **changed)


def plan_document(revision: int = 1) -> fleet_repository_port.PlanDocument:
    """Returns a plan with one keyed service, "desk", and no routes."""
    plan = routes.RoutePlan(
        revision=revision,
        version=1,
        routes={},
        services={"desk": routes.RoutedService("desk", True)},
        limits=routes.CallerLimits(1, 1, 1, 1),
    )
    return fleet_repository_port.PlanDocument(plan, b"{}")


def route(**changed: object) -> routes.Route:
    """Returns a route of "desk"."""
    default = routes.Route(
        name="r",
        host="h.example",
        prefix="/a/",
        kind=routes.RequestKind.SAFE,
        shares=(routes.Share("desk", 1),),
        timeout_ms=1000,
        max_attempts=2,
        objective_ms=300,
        priority=1,
    )
    return dataclasses.replace(default, **changed)


class GeventClock(fakes.ManualClock):
    """A manual clock whose sleep lets other tasks run."""

    def sleep(self, duration_ms: float) -> None:
        """Advances the time and lets other tasks run."""
        self.advance(duration_ms)
        gevent.sleep(0)


class NoTimeline:
    """A timeline that discards events."""

    def record(self, event: object) -> None:
        """Discards an event."""
