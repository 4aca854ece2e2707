"""Messages between daemons, independent of their encoding.

Messages that expect an answer name it in their docstring.
"""

import dataclasses
import enum
import functools

from primrosecross.domain import body as body_module


class Lane(enum.StrEnum):
    """What a connection carries; control never waits behind requests."""

    CONTROL = "control"
    REQUESTS = "requests"


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message on each connection, in both directions.

    Attributes:
        lane: What the connection carries; the answering side repeats it.
    """

    protocol: int
    cluster: str
    vm: str
    incarnation: str
    lane: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Answer to a message that could not be handled."""

    problem: str
    remedy: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Answer without content."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks whether the connection still works; answered by Done."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Ends the work on a call whose answer nobody waits for any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPiece:
    """The next bytes of a streamed body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnd:
    """End of a streamed body.

    Attributes:
        length: Bytes sent in all.
        checksum: XXH3-64 of them.
        problem: Why the body is cut short; empty when it is whole.
    """

    length: int
    checksum: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamCredit:
    """Lets the sender of a streamed body send more bytes."""

    bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStop:
    """Tells the sender of a streamed body that nobody reads it any more."""


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
    """Tells the coordinator that shards were let go; answered by Done."""

    vm: str
    epoch: int
    service: str
    shards: tuple[int, ...]


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
class Drain:
    """Asks the coordinator to have a member leave; answered by Done."""

    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListConfirmed:
    """Asks the coordinator what members confirmed; answered by Confirmed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """What each member last confirmed to the coordinator."""

    coordinator: str
    confirms: tuple[Confirm, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchState:
    """Asks for newer plan and assignment; answered by StateSnapshot."""

    assignment_version: int
    plan_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """Encoded plan and assignment; empty where not newer than asked for."""

    plan: bytes
    assignment: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Hands a request to the owner; answered by one of the three outcomes.

    Attributes:
        generation: Grant under which the sender believes the receiver owns
            the key; 0 for services without keys.
        timeout_ms: Time left until the caller's deadline.
    """

    request_id: str
    service: str
    key: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: body_module.Body
    idempotent: bool
    generation: int
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """The target's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: body_module.Body


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardNotRun:
    """The request was refused and did not run."""

    reason: str
    detail: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardUnknown:
    """The request may have run."""

    reason: str
    detail: str


Message = (
    Hello
    | Failure
    | Done
    | Ping
    | Cancel
    | StreamPiece
    | StreamEnd
    | StreamCredit
    | StreamStop
    | Heartbeat
    | HeartbeatAck
    | Refuse
    | RefuseAck
    | Suspect
    | Join
    | Release
    | Confirm
    | Drain
    | ListConfirmed
    | Confirmed
    | FetchState
    | StateSnapshot
    | Forward
    | ForwardAnswered
    | ForwardNotRun
    | ForwardUnknown
)


@functools.singledispatch
def lane_of(message: object) -> Lane:
    """Returns the lane on which a message travels."""
    return Lane.CONTROL


@lane_of.register
def _(_: Forward) -> Lane:
    return Lane.REQUESTS


@functools.singledispatch
def body_of(message: object) -> body_module.Body:
    """Returns the body that a message carries, empty for most."""
    return b""


@body_of.register
def _(message: Forward) -> body_module.Body:
    return message.body


@body_of.register
def _(message: ForwardAnswered) -> body_module.Body:
    return message.body


@functools.singledispatch
def refusal_of(message: object) -> Message:
    """Returns the answer to a message that will not be looked at."""
    return Failure("too many calls at once", "send fewer, or later")


@refusal_of.register
def _(_: Forward) -> Message:
    return ForwardNotRun("overloaded", "too many calls at once", 100)
