"""Merges the timelines of all daemons in causal order.

Each event carries a hybrid logical clock timestamp, propagated with messages
and through the store. Sorting by it never puts an effect before its cause,
however far the processes' wall clocks differ.
"""

import collections
import dataclasses
import json

from primrosecross.domain import errors
from primrosecross.domain import fanout
from primrosecross.domain import messages
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import events
from primrosecross.domain.operators import observer
from primrosecross.domain.operators import operator_messages
from primrosecross.ports import peers as peers_port

PEER_TIMEOUT_MS = 1000
TOTAL_TIMEOUT_MS = 3000
MAX_EVENTS = 20_000
MIN_PEER_EVENTS = 16
MAX_DEPARTED_VMS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class MissingMember:
    """A daemon whose events are missing, and why."""

    vm: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class CollectedEvents:
    """Events of several daemons.

    Attributes:
        events: Events in causal order.
        cursors: Read positions after these events.
        missing: Daemons whose events are missing.
        dropped: Number of events omitted because of the limits.
    """

    events: tuple[operator_messages.EventInfo, ...]
    cursors: tuple[operator_messages.EventCursor, ...]
    missing: tuple[MissingMember, ...]
    dropped: int


class TimelineCollector:
    """Serves this daemon's timeline and reads those of the other daemons.

    Args:
        vm: This VM's name.
        incarnation: Incarnation ID of this process.
        state: Holds the assignment, which lists the members.
        peers: Other daemons.
        timeline: Timeline of this daemon.
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: str,
        state: state_module.ClusterState,
        peers: peers_port.Peers,
        timeline: events.Timeline,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._state = state
        self._peers = peers
        self._timeline = timeline
        self._last_members: set[str] = set()
        self._departed_vms: collections.deque[str] = collections.deque(
            maxlen=MAX_DEPARTED_VMS
        )
        state.subscribe(self._record_departures)

    def _record_departures(self) -> None:
        current = set(self._state.assignment.members)
        for vm in sorted(self._last_members - current):
            if vm not in self._departed_vms:
                self._departed_vms.append(vm)
        self._last_members = current

    def read_timeline(
        self, request: operator_messages.ReadTimeline
    ) -> operator_messages.TimelinePart:
        """Returns this daemon's events after a read position."""
        cursor = request.cursor
        same_incarnation = cursor.incarnation == self._incarnation
        after = cursor.sequence if same_incarnation else 0
        entries = self._timeline.entries(after=after)
        newest = entries[-max(1, request.limit) :]
        return operator_messages.TimelinePart(
            cursor=operator_messages.EventCursor(
                self._vm, self._incarnation, self._timeline.sequence
            ),
            events=tuple(_to_event_info(entry) for entry in newest),
            dropped=self._timeline.sequence - after - len(newest),
        )

    def collect(
        self,
        *,
        cursors: tuple[operator_messages.EventCursor, ...] = (),
        limit: int = 0,
        local: bool = False,
    ) -> CollectedEvents:
        """Returns the events of all daemons after the read positions.

        Args:
            cursors: Read positions, one for each daemon read before.
            limit: Maximum number of events, at most MAX_EVENTS; 0 selects that.
            local: Whether to read only this daemon's events.
        """
        limit = min(limit or MAX_EVENTS, MAX_EVENTS)
        other_vms = [] if local else self._other_vms()
        daemon_limit = max(MIN_PEER_EVENTS, limit // (len(other_vms) + 1))
        cursor_by_vm = {cursor.vm: cursor for cursor in cursors}
        requests: dict[str, messages.Message] = {
            vm: operator_messages.ReadTimeline(
                cursor_by_vm.get(vm)
                or operator_messages.EventCursor(vm, "", 0),
                daemon_limit,
            )
            for vm in [self._vm, *other_vms]
        }
        parts: dict[str, fanout.Reply] = {
            self._vm: self.read_timeline(requests.pop(self._vm))
        }
        parts |= fanout.call_all(
            self._peers,
            requests,
            timeout_ms=PEER_TIMEOUT_MS,
            total_timeout_ms=TOTAL_TIMEOUT_MS,
        )
        return self._merge(parts, cursor_by_vm, limit)

    def _other_vms(self) -> list[str]:
        members = self._state.assignment.members
        departed_vms = [vm for vm in self._departed_vms if vm not in members]
        return [vm for vm in [*members, *departed_vms] if vm != self._vm]

    def _merge(
        self,
        parts: dict[str, fanout.Reply],
        cursor_by_vm: dict[str, operator_messages.EventCursor],
        limit: int,
    ) -> CollectedEvents:
        merged: list[operator_messages.EventInfo] = []
        missing = []
        dropped = 0
        for vm, part in parts.items():
            if isinstance(part, operator_messages.TimelinePart):
                merged += part.events
                dropped += part.dropped
                cursor_by_vm[vm] = part.cursor
            else:
                missing.append(
                    MissingMember(vm, self._describe_problem(vm, part))
                )
        merged.sort(key=lambda e: (e.stamp, e.vm, e.sequence))
        duplicates = observer.DuplicateFilter()
        merged = [
            e
            for e in merged
            if not duplicates.is_duplicate(e.kind, json.loads(e.detail_json))
        ]
        dropped += max(0, len(merged) - limit)
        return CollectedEvents(
            events=tuple(merged[-limit:]),
            cursors=tuple(cursor_by_vm.values()),
            missing=tuple(missing),
            dropped=dropped,
        )

    def _describe_problem(self, vm: str, reply: fanout.Reply) -> str:
        if vm not in self._state.assignment.members:
            return "no longer a member; its events are unavailable"
        if isinstance(reply, errors.PeerError):
            return reply.problem
        return f"unexpected reply {type(reply).__name__}"


def _to_event_info(entry: events.Entry) -> operator_messages.EventInfo:
    return operator_messages.EventInfo(
        vm=entry.vm,
        sequence=entry.sequence,
        stamp=entry.stamp,
        wall_ms=entry.wall_ms,
        kind=type(entry.event).__name__,
        detail_json=json.dumps(dataclasses.asdict(entry.event)),
    )
