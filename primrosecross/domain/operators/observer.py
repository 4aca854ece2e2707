"""Records membership changes even if the coordinator's VM is lost.

The coordinator records its decisions, but its timeline is lost with its VM.
A member and its witnesses therefore record the same changes when a new
assignment contains them; readers drop the duplicate events.
"""

from collections.abc import Callable
from typing import Any

from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import events
from primrosecross.domain.ownership import assignment

_ACTIVE = assignment.MemberState.ACTIVE
_LEAVING = assignment.MemberState.LEAVING
_REVOKING = assignment.MemberState.REVOKING

_EVENT_OF_TRANSITION: dict[
    tuple[assignment.MemberState, assignment.MemberState],
    Callable[[str, int], events.Event],
] = {
    (_ACTIVE, _LEAVING): events.MemberDraining,
    (_LEAVING, _ACTIVE): events.MemberUndrained,
    (_ACTIVE, _REVOKING): events.MemberRevoking,
    (_LEAVING, _REVOKING): events.MemberRevoking,
}
_MEMBER_EVENT_KINDS = frozenset(
    event.__name__
    for event in (
        events.MemberJoined,
        events.MemberDraining,
        events.MemberUndrained,
        events.MemberRevoking,
        events.MemberRevoked,
    )
)


class MembershipObserver:
    """Records differences between successive assignments.

    Args:
        state: Holds the assignment in force at this daemon.
        timeline: Records the changes.
    """

    def __init__(
        self, *, state: state_module.ClusterState, timeline: events.Timeline
    ) -> None:
        self._state = state
        self._timeline = timeline
        self._previous = state.assignment
        state.subscribe(self._record_changes)

    def _record_changes(self) -> None:
        previous, current = self._previous, self._state.assignment
        if previous is current:
            return
        self._previous = current
        if not previous.members:
            return
        for vm in {*previous.members, *current.members}:
            old, new = previous.members.get(vm), current.members.get(vm)
            if old != new and self._is_observer_of(vm, old, new):
                self._record_change(vm, old, new, previous)

    def _is_observer_of(
        self,
        vm: str,
        old: assignment.Member | None,
        new: assignment.Member | None,
    ) -> bool:
        observers = {vm}
        for member in (old, new):
            if member is not None:
                observers.update(member.witnesses)
        return self._state.vm in observers

    def _record_change(
        self,
        vm: str,
        old: assignment.Member | None,
        new: assignment.Member | None,
        previous: assignment.Assignment,
    ) -> None:
        same_epoch = (
            old is not None and new is not None and old.epoch == new.epoch
        )
        if same_epoch:
            event = _EVENT_OF_TRANSITION.get((old.state, new.state))
            if event is not None:
                self._timeline.record(event(vm, old.epoch))
            return
        if old is not None:
            shards = sum(len(t.shards_of(vm)) for t in previous.tables.values())
            self._timeline.record(events.MemberRevoked(vm, old.epoch, shards))
        if new is not None:
            self._timeline.record(events.MemberJoined(vm, new.epoch))


class DuplicateFilter:
    """Finds membership events that another daemon has recorded as well.

    Events must be passed in causal order.
    """

    def __init__(self) -> None:
        self._last_kinds: dict[tuple[str, int], str] = {}

    def is_duplicate(self, kind: str, detail: dict[str, Any]) -> bool:
        """Returns whether the member's last event has the same kind."""
        if kind not in _MEMBER_EVENT_KINDS:
            return False
        member = (detail["vm"], detail["epoch"])
        last_kind = self._last_kinds.get(member)
        self._last_kinds[member] = kind
        return last_kind == kind
