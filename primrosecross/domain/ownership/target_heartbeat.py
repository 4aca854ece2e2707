"""Heartbeat of a target to its local daemon, and the answer."""

import dataclasses
import enum


class TargetState(enum.StrEnum):
    """State of a target."""

    READY = "ready"
    DRAINING = "draining"
    SILENT = "silent"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRange:
    """Keys that the target holds or still runs requests for."""

    first: int
    last: int
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedRange:
    """Keys that the target has released.

    Attributes:
        token: Hand-over token; lets the next holder skip the warm-up.
    """

    first: int
    last: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHeartbeat:
    """One heartbeat of a target.

    Attributes:
        instance: The target's ID.
        born_ms: Unix time of its start; tells incarnations of an instance
            apart.
        sequence: Increases with each heartbeat of an incarnation.
        service: Its service.
        address: "ip:port" where it accepts requests.
        slots: Requests it runs concurrently.
        state: READY or DRAINING.
        warmup_remaining_ms: Time until it has warmed up after its start.
        held: Key ranges that it holds.
        released: Key ranges released since its last answered heartbeat.
    """

    instance: str
    born_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    state: TargetState
    warmup_remaining_ms: int = 0
    held: tuple[HeldRange, ...] = ()
    released: tuple[ReleasedRange, ...] = ()

    @property
    def incarnation_id(self) -> str:
        """ID of this incarnation; a restarted target gets another one."""
        return f"{self.instance}@{self.born_ms}"


@dataclasses.dataclass(frozen=True, slots=True)
class GrantedRange:
    """Keys that the target may hold."""

    first: int
    last: int
    generation: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """Answer to a heartbeat.

    Attributes:
        grants: All ranges that the target may hold; None if no grant is
            renewed.
        hold_ms: Lease duration, from when the heartbeat was sent.
    """

    grants: tuple[GrantedRange, ...] | None = None
    hold_ms: int = 0
