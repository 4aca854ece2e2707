"""Typed events and the bounded timeline of one process."""

import collections
import dataclasses

from primrosecross.domain import stamp
from primrosecross.ports import clock as clock_port


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGained:
    """This daemon gained its lease."""

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
    """A member is suspected; its witnesses are asked to stop voting for it."""

    vm: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRevoked:
    """A member's lease is proved lapsed and its shards are reassigned.

    Attributes:
        vm: VM of the member.
        epoch: Its revoked epoch.
        shards: Number of shards reassigned.
    """

    vm: str
    epoch: int
    shards: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberDraining:
    """An operator started to drain a member."""

    vm: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberUndrained:
    """An operator cancelled the drain of a member."""

    vm: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedShards:
    """Shards of one service that this daemon owns.

    Attributes:
        service: Name of the service.
        owned: Number of shards owned now.
        gained: Number of shards owned now and not before.
        lost: Number of shards owned before and not now.
    """

    service: str
    owned: int
    gained: int
    lost: int


@dataclasses.dataclass(frozen=True, slots=True)
class OwnersChanged:
    """A newer assignment changed the shards that this daemon owns."""

    assignment_version: int
    services: tuple[OwnedShards, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlanApplied:
    """An operator applied a plan through this daemon."""

    plan_version: int
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlanInForce:
    """A newer plan is in force at this daemon."""

    plan_version: int
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorElected:
    """This daemon became the coordinator."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutage:
    """The store stopped responding."""

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReturned:
    """The store responds again."""

    outage_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalBurst:
    """Many requests received from callers were refused in a short time.

    Attributes:
        service: Name of the service.
        reason: Why they were refused.
        refused: Number of requests refused for it since the last such event.
    """

    service: str
    reason: str
    refused: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionGivenUp:
    """An unresponsive connection to another daemon was closed.

    Attributes:
        vm: VM of the other daemon.
        lane: Lane that the connection carried.
        calls_lost: Number of calls on it without a reply.
    """

    vm: str
    lane: str
    calls_lost: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainStarted:
    """This daemon is stopping and accepts no new requests."""

    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainEnded:
    """This daemon ended its drain and exits.

    Attributes:
        cut: Number of requests still in flight, which are aborted.
        reason: Why the drain ended.
    """

    cut: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestQuarantined:
    """A request is quarantined because targets crashed while running it."""

    fingerprint: str
    service: str
    crashes: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnnounced:
    """A target on this VM announced itself for the first time."""

    service: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLost:
    """A target on this VM stopped announcing itself."""

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
    """A recorded event with its origin and time.

    Attributes:
        vm: VM of the process that recorded it.
        sequence: Position in that process's timeline.
        stamp: Hybrid logical clock timestamp; orders events across processes.
        wall_ms: Wall clock time of that process.
        event: The event.
    """

    vm: str
    sequence: int
    stamp: int
    wall_ms: int
    event: Event


class Timeline:
    """Ring buffer of the latest events of this process.

    Args:
        vm: This VM's name.
        clock: Source of wall clock time.
        stamps: Hybrid logical clock, shared with the peer connections.
        capacity: Maximum number of events; the oldest are dropped.
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
        """Sequence number of the latest event."""
        return self._sequence

    def next_stamp(self) -> int:
        """Returns a timestamp for an event with an immediately visible effect.

        Others may read a store write before the writer learns that it
        succeeded. The writer takes the timestamp before the write and records
        the event after it.
        """
        return self._stamps.now()

    def record(self, event: Event, *, stamp: int = 0) -> None:
        """Appends an event, with the given timestamp if stamp is set."""
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
        """Returns the events with a sequence number above after."""
        return [e for e in self._entries if e.sequence > after]
