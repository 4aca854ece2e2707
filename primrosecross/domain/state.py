"""The plan and the assignment in force at this daemon; neither reverts."""

from collections.abc import Callable

from primrosecross.domain import assignment
from primrosecross.domain import events
from primrosecross.domain import plan


class State:
    """Holds the newest plan and assignment this daemon has seen.

    Args:
        vm: This VM's name.
        timeline: Where changes are recorded.
    """

    def __init__(self, *, vm: str, timeline: events.Timeline) -> None:
        self._vm = vm
        self._timeline = timeline
        self._listeners: list[Callable[[], None]] = []
        self.plan = plan.EMPTY
        self.assignment = assignment.Assignment()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls a function after each change; it must not block."""
        self._listeners.append(listener)

    def offer_plan(self, candidate: plan.Plan) -> bool:
        """Puts a plan in force if it is newer; returns whether it was."""
        if candidate.version <= self.plan.version:
            return False
        self.plan = candidate
        self._timeline.record(
            events.PlanInForce(candidate.version, candidate.author)
        )
        self._notify()
        return True

    def offer_assignment(self, candidate: assignment.Assignment) -> bool:
        """Puts an assignment in force if newer; returns whether it was."""
        if candidate.version <= self.assignment.version:
            return False
        self.assignment = candidate
        owned = sum(
            len(t.shards_of(self._vm)) for t in candidate.tables.values()
        )
        self._timeline.record(events.OwnersChanged(candidate.version, owned))
        self._notify()
        return True

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def member(self) -> assignment.Member | None:
        """Returns this VM's member record, if it has been admitted."""
        return self.assignment.members.get(self._vm)
