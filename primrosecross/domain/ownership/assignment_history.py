"""Past assignments, which name the earlier owners of a request's key."""

import collections
import dataclasses
import enum

import gevent
import xxhash

from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment
from primrosecross.domain.requests import (
    request_identity as request_identity_module,
)
from primrosecross.ports import clock as clock_port

MAX_VERSIONS = 64


class HolderStatus(enum.Enum):
    """Whether a holder can still report which requests it ran."""

    REACHABLE = "reachable"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """Owner of a request's key under one membership epoch."""

    vm: str
    epoch: int


UNKNOWN_HOLDER = Holder("", 0)


def holder_of(
    snapshot: assignment.Assignment,
    service: plan.Service,
    identity: request_identity_module.RequestIdentity,
) -> Holder | None:
    """Returns the member that must run a request, None if there is none.

    For keyed services this is the owner of the key in the assignment. For
    others it is chosen by rendezvous hashing of the request ID over the active
    members, so that resends through any daemon reach the same member.
    """
    if service.keyed:
        _, grant = snapshot.grant_for(service.name, identity.key)
        vm = grant.vm
    else:
        vm = _choose_vm(snapshot, service.name, identity.request_id)
    if not vm:
        return None
    member = snapshot.members.get(vm)
    return Holder(vm, member.epoch if member else 0)


def _choose_vm(
    snapshot: assignment.Assignment, service: str, request_id: str
) -> str:
    vms = (
        m.vm
        for m in snapshot.members.values()
        if m.state is assignment.MemberState.ACTIVE
        and m.offers_service(service)
    )
    return max(
        vms,
        key=lambda vm: xxhash.xxh3_64_intdigest(f"{vm}/{request_id}".encode()),
        default="",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _ReplacedAssignment:
    assignment: assignment.Assignment
    replaced_ns: int


class AssignmentHistory:
    """Assignments that were in force here within the resend windows.

    Args:
        vm: This VM's name.
        state: Holds the current assignment.
        clock: Clock that measures the resend windows.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: state_module.ClusterState,
        clock: clock_port.Clock,
    ) -> None:
        self._vm = vm
        self._state = state
        self._clock = clock
        self._current = state.assignment
        self._replaced: collections.deque[_ReplacedAssignment] = (
            collections.deque(maxlen=MAX_VERSIONS)
        )
        self._evicted_ns: int | None = None
        state.subscribe(self._on_change)

    def _on_change(self) -> None:
        if self._state.assignment is self._current:
            return
        self.prune()
        if len(self._replaced) == MAX_VERSIONS:
            self._evicted_ns = self._replaced[0].replaced_ns
        for table in self._current.tables.values():
            table.drop_index()
        self._replaced.append(
            _ReplacedAssignment(self._current, self._clock.now_ns())
        )
        self._current = self._state.assignment
        gevent.spawn_later(self._longest_window_ms() / 1000, self.prune)

    def _longest_window_ms(self) -> int:
        services = self._state.plan.services.values()
        return max((s.resend_window_ms for s in services), default=0)

    def prune(self) -> None:
        """Drops assignments replaced before all resend windows."""
        window_ns = self._longest_window_ms() * lease_module.NS_PER_MS
        oldest_ns = self._clock.now_ns() - window_ns
        while self._replaced and self._replaced[0].replaced_ns < oldest_ns:
            self._replaced.popleft()

    def earlier_holders(
        self,
        service: plan.Service,
        identity: request_identity_module.RequestIdentity,
    ) -> dict[Holder, HolderStatus]:
        """Returns the earlier holders within the resend window.

        A holder is lost once its epoch has ended: its VM was revoked, or its
        daemon restarted.
        """
        oldest_ns = (
            self._clock.now_ns()
            - service.resend_window_ms * lease_module.NS_PER_MS
        )
        current = self._state.assignment
        current_holder = holder_of(current, service, identity)
        statuses: dict[Holder, HolderStatus] = {}
        if self._evicted_ns is not None and self._evicted_ns >= oldest_ns:
            statuses[UNKNOWN_HOLDER] = HolderStatus.LOST
        for replaced in self._replaced:
            if replaced.replaced_ns < oldest_ns:
                continue
            holder = holder_of(replaced.assignment, service, identity)
            if holder is not None and holder != current_holder:
                statuses[holder] = self._status_of(holder)
        return statuses

    def _status_of(self, holder: Holder) -> HolderStatus:
        member = self._state.assignment.members.get(holder.vm)
        if member is None or member.epoch != holder.epoch:
            return HolderStatus.LOST
        return HolderStatus.REACHABLE
