"""Plan and assignment in force on this daemon; their versions only increase."""

from collections.abc import Callable

from primrosecross.domain.operators import events
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import delta


class ClusterState:
    """Holds the newest plan and assignment that this daemon has received.

    Args:
        vm: Name of this VM.
        timeline: Records changes.
    """

    def __init__(self, *, vm: str, timeline: events.Timeline) -> None:
        self._vm = vm
        self._timeline = timeline
        self._listeners: list[Callable[[], None]] = []
        self.plan = plan.EMPTY
        self.assignment = assignment.Assignment()
        self.deltas = delta.DeltaLog()

    @property
    def vm(self) -> str:
        """Name of this VM."""
        return self._vm

    def is_removed(self, vm: str) -> bool:
        """Returns whether a VM is no member, so that its lease has ended."""
        return vm not in self.assignment.members

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers a function to call after each change; it must not block."""
        self._listeners.append(listener)

    def update_plan(self, candidate: plan.Plan) -> bool:
        """Puts a plan in force if it is newer; returns whether it is."""
        if candidate.version <= self.plan.version:
            return False
        self.plan = candidate
        self._timeline.record(
            events.PlanInForce(candidate.version, candidate.author)
        )
        self._notify()
        return True

    def update_assignment(self, candidate: assignment.Assignment) -> bool:
        """Puts an assignment in force if it is newer; returns whether it is."""
        if candidate.version <= self.assignment.version:
            return False
        services = self._owned_shards(self.assignment, candidate)
        self.deltas.record_change(self.assignment, candidate)
        self.assignment = candidate
        if any(s.gained or s.lost for s in services):
            self._timeline.record(
                events.OwnersChanged(candidate.version, services)
            )
        self._notify()
        return True

    def _owned_shards(
        self, before: assignment.Assignment, after: assignment.Assignment
    ) -> tuple[events.OwnedShards, ...]:
        services = []
        for name in sorted({*before.tables, *after.tables}):
            old = _shards(before.tables.get(name), self._vm)
            new = _shards(after.tables.get(name), self._vm)
            if old or new:
                gained, lost = len(new - old), len(old - new)
                services.append(
                    events.OwnedShards(name, len(new), gained, lost)
                )
        return tuple(services)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def member(self) -> assignment.Member | None:
        """Returns this VM's member record, None if it is not a member."""
        return self.assignment.members.get(self._vm)


def _shards(table: assignment.OwnerTable | None, vm: str) -> set[int]:
    return set() if table is None else set(table.shards_of(vm))
