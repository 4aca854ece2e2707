"""Typed events and the bounded time line of one process."""

import collections
import dataclasses

from primrosecross.domain import stamp
from primrosecross.ports import clock as clock_port


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGained:
    """This daemon holds its lease."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLost:
    """This daemon's lease lapsed."""

    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberJoined:
    """The coordinator admitted a member."""

    vm: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRevoking:
    """A member is suspected; its witnesses are asked to refuse its lease."""

    vm: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRevoked:
    """A member's lease is proved lapsed and its shards were given away."""

    vm: str
    epoch: int
    shards: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberDraining:
    """An operator had a member leave."""

    vm: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberUndrained:
    """An operator took a leaving member back."""

    vm: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedShards:
    """Shards of one service that this daemon owns.

    Attributes:
        service: Name of the service.
        owned: Shards owned now.
        gained: Shards owned now that were not owned before.
        lost: Shards owned before that are not owned now.
    """

    service: str
    owned: int
    gained: int
    lost: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersChanged:
    """A newer assignment changed what this daemon owns."""

    assignment_version: int
    services: tuple[OwnedShards, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlanApplied:
    """An operator applied a plan through this daemon."""

    plan_version: int
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlanInForce:
    """A newer plan is in force here."""

    plan_version: int
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorElected:
    """This daemon became the coordinator."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutage:
    """The store stopped answering."""

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReturned:
    """The store answers again."""

    outage_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalBurst:
    """Many requests that entered here were refused within a short time.

    Attributes:
        service: Name of the service.
        reason: Why they were refused.
        refused: Requests refused for it since the last such event.
    """

    service: str
    reason: str
    refused: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionGivenUp:
    """A connection to another daemon fell silent and was closed.

    Attributes:
        vm: VM of the other daemon.
        lane: What the connection carried.
        calls_lost: Calls on it that were not answered.
    """

    vm: str
    lane: str
    calls_lost: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainStarted:
    """This daemon was told to stop and takes no new work."""

    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainEnded:
    """This daemon stops.

    Attributes:
        cut: Requests still in flight, which are cut.
        reason: Why it waited no longer.
    """

    cut: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestQuarantined:
    """A request is refused from now on, as targets crashed while running it."""

    fingerprint: str
    service: str
    crashes: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnnounced:
    """A target beside this daemon announced itself for the first time."""

    service: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLost:
    """A target beside this daemon stopped announcing itself."""

    service: str
    address: str


Event = (
    LeaseGained
    | LeaseLost
    | MemberJoined
    | MemberRevoking
    | MemberRevoked
    | MemberDraining
    | MemberUndrained
    | OwnersChanged
    | PlanApplied
    | PlanInForce
    | CoordinatorElected
    | StoreOutage
    | StoreReturned
    | RefusalBurst
    | ConnectionGivenUp
    | DrainStarted
    | DrainEnded
    | TargetAnnounced
    | TargetLost
    | RequestQuarantined
)


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An event with where and when it happened.

    Attributes:
        vm: VM of the process that recorded it.
        sequence: Position in that process's time line.
        stamp: Hybrid logical time; orders events over processes.
        wall_ms: Wall clock of that process.
        event: What happened.
    """

    vm: str
    sequence: int
    stamp: int
    wall_ms: int
    event: Event


class Timeline:
    """The latest events of this process.

    Args:
        vm: This VM's name.
        clock: Source of wall-clock time.
        stamps: Source of logical time, shared with the peer connections.
        capacity: Events kept; older ones are dropped.
    """

    def __init__(
        self,
        *,
        vm: str,
        clock: clock_port.Clock,
        stamps: stamp.StampClock,
        capacity: int = 4096,
    ) -> None:
        self._stamps = stamps
        self._vm = vm
        self._clock = clock
        self._entries: collections.deque[Entry] = collections.deque(
            maxlen=capacity
        )
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Sequence of the latest event."""
        return self._sequence

    def stamp(self) -> int:
        """Returns a stamp for an event whose effects may be seen at once.

        What is written to the store may be read before the writer learns that
        the write succeeded; the stamp is taken before, the event recorded
        after.
        """
        return self._stamps.now()

    def record(self, event: Event, *, stamp: int = 0) -> None:
        """Appends an event, under a stamp taken earlier if one is given."""
        self._sequence += 1
        self._entries.append(
            Entry(
                vm=self._vm,
                sequence=self._sequence,
                stamp=stamp or self._stamps.now(),
                wall_ms=self._clock.wall_ms(),
                event=event,
            )
        )

    def entries(self, *, after: int = 0) -> list[Entry]:
        """Returns events with a sequence above the given one."""
        return [e for e in self._entries if e.sequence > after]
