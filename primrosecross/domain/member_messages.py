"""Messages by which members keep leases, owners and state.

Messages that expect an answer name it in their docstring.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Asks a witness to keep the sender's lease; answered by HeartbeatAck."""

    vm: str
    incarnation: str
    epoch: int
    assignment_version: int
    plan_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """A witness's vote.

    Attributes:
        incarnation: The witness's own process identity.
        granted: Whether the witness votes for the lease.
        assignment_version: Version in force at the witness.
        plan_version: Version in force at the witness.
    """

    incarnation: str
    granted: bool
    assignment_version: int
    plan_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Asks a witness to stop voting for an epoch; answered by RefuseAck."""

    vm: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseAck:
    """A witness's promise to vote no more for the epoch.

    Attributes:
        incarnation: The witness's own process identity.
        silent_ms: Time for which it has certainly given no vote.
    """

    incarnation: str
    silent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """Tells the coordinator that a member's heartbeats stopped."""

    vm: str
    epoch: int
    witness: str
    silent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OfferInfo:
    """A target beside the sender."""

    service: str
    slots: int
    checks_generation: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Asks the coordinator to admit the sender; answered by Done."""

    vm: str
    place: str
    region: str
    peer_address: str
    incarnation: str
    offers: tuple[OfferInfo, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Tells the coordinator that shards were let go; answered by Done.

    Attributes:
        generations: Generation under which each shard was owned.
        busy_keys: Key shards whose requests still run in released partitions;
            the sender keeps these until they are done.
    """

    vm: str
    epoch: int
    service: str
    shards: tuple[int, ...]
    generations: tuple[int, ...]
    busy_keys: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Confirm:
    """Tells the coordinator what is in force at the sender; answered by Done.

    Attributes:
        witnesses: Witnesses the sender's lease rests on.
    """

    vm: str
    epoch: int
    assignment_version: int
    plan_version: int
    witnesses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Tells the coordinator of an owner's load; answered by LoadAck.

    Attributes:
        shards: Shards whose rate changed, and hot keys not set apart yet.
        rates: Requests per second of each.
    """

    vm: str
    epoch: int
    service: str
    shards: tuple[int, ...]
    rates: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAck:
    """Answer to a load report.

    Attributes:
        coordinator: Who holds the office, and its term; another one has to
            be told everything again.
        hot_rate: Requests per second from which on a key is to be reported.
    """

    coordinator: str
    hot_rate: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchState:
    """Asks for newer plan and assignment; answered by StateSnapshot."""

    assignment_version: int
    plan_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """Encoded plan and assignment; empty where not newer than asked for.

    Attributes:
        delta: Encoded change from the assignment asked with, in place of the
            whole one.
    """

    plan: bytes
    assignment: bytes
    delta: bytes = b""
