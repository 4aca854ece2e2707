"""Messages for leases, ownership and replicated state.

The docstring of a message that expects a reply names the reply.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Requests a vote for the sender's lease; the reply is HeartbeatAck."""

    vm: str
    incarnation: str
    epoch: int
    assignment_version: int
    plan_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """A witness's vote.

    Attributes:
        incarnation: Incarnation ID of the witness's process.
        granted: Whether the witness votes for the lease.
        assignment_version: Assignment version in force at the witness.
        plan_version: Plan version in force at the witness.
    """

    incarnation: str
    granted: bool
    assignment_version: int
    plan_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Asks a witness to stop voting for an epoch; the reply is RefuseAck."""

    vm: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseAck:
    """A witness's guarantee not to vote for the epoch again.

    Attributes:
        incarnation: Incarnation ID of the witness's process.
        silent_ms: Lower bound of the time since its last vote.
    """

    incarnation: str
    silent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """Reports to the coordinator that a member's heartbeats stopped.

    Attributes:
        vm: VM of the member.
        epoch: Its epoch.
        witness: VM of the witness that reports.
        silent_ms: Time without a heartbeat.
    """

    vm: str
    epoch: int
    witness: str
    silent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OfferInfo:
    """A target on the sender's VM."""

    service: str
    slots: int
    checks_generation: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Asks the coordinator to admit the sender; the reply is Done."""

    vm: str
    place: str
    region: str
    peer_address: str
    incarnation: str
    offers: tuple[OfferInfo, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Reports released shards to the coordinator; the reply is Done.

    Attributes:
        generations: Generation under which each shard was owned.
        busy_keys: Key shards of released partitions with requests still
            running; the sender owns these until the requests end.
    """

    vm: str
    epoch: int
    service: str
    shards: tuple[int, ...]
    generations: tuple[int, ...]
    busy_keys: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Confirm:
    """Confirms the versions in force at the sender; the reply is Done.

    Attributes:
        witnesses: Witnesses of the sender's lease.
    """

    vm: str
    epoch: int
    assignment_version: int
    plan_version: int
    witnesses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Reports an owner's load to the coordinator; the reply is LoadAck.

    Attributes:
        shards: Shards whose rate changed, and hot keys not yet split.
        rates: Requests per second of each shard.
    """

    vm: str
    epoch: int
    service: str
    shards: tuple[int, ...]
    rates: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAck:
    """Reply to a load report.

    Attributes:
        coordinator: The coordinator and its term; a new one needs a full
            report.
        hot_rate: Requests per second from which a key is reported.
    """

    coordinator: str
    hot_rate: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchState:
    """Asks for a newer plan and assignment; the reply is StateSnapshot."""

    assignment_version: int
    plan_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """Encoded plan and assignment; each empty if the receiver is up to date.

    Attributes:
        plan: Encoded plan.
        assignment: Encoded assignment.
        delta: Encoded change from the receiver's assignment, in place of the
            complete one.
    """

    plan: bytes
    assignment: bytes
    delta: bytes = b""
