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
        lane: What the connection carries; counts as said by who opened it.
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
class Drain:
    """Asks the coordinator to have a member leave; answered by Done."""

    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Undrain:
    """Asks the coordinator to take a drained member back; answered by Done."""

    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks a daemon how it is; answered by ProbeReport."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReport:
    """How a daemon is.

    Attributes:
        lease_held: Whether it holds its lease now.
        plan_version: Version in force there.
        assignment_version: Version in force there.
        in_flight: Requests that run on its targets now.
        owned_per_s: Requests per second of the keys it owns.
        answered: Requests that entered there and were answered.
        not_run: Requests that entered there and were refused.
        unknown: Requests that entered there and may have run.
    """

    lease_held: bool
    plan_version: int
    assignment_version: int
    in_flight: int
    owned_per_s: int
    answered: int
    not_run: int
    unknown: int


@dataclasses.dataclass(frozen=True, slots=True)
class EventCursor:
    """How far a reader has read one process's part of the time line."""

    vm: str
    incarnation: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTimeline:
    """Asks a daemon for its part of the time line; answered by TimelinePart.

    Attributes:
        cursor: What the reader has read before.
        limit: Most events wanted; the latest are given.
    """

    cursor: EventCursor
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class EventInfo:
    """One event of the time line, rendered.

    Attributes:
        vm: VM of the process that recorded it.
        sequence: Position in that process's time line.
        stamp: Hybrid logical time.
        wall_ms: Wall clock of that process.
        kind: Name of the event's class.
        detail_json: The event's fields.
    """

    vm: str
    sequence: int
    stamp: int
    wall_ms: int
    kind: str
    detail_json: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimelinePart:
    """A daemon's part of the time line.

    Attributes:
        cursor: What the reader has read once it has this part.
        events: Events after the reader's cursor.
        dropped: Events after the reader's cursor that are not given.
    """

    cursor: EventCursor
    events: tuple[EventInfo, ...]
    dropped: int


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Asks the coordinator to keep a key at a VM; answered by Done.

    Attributes:
        vm: Where the key goes; empty to let it be balanced again.
    """

    service: str
    key: str
    vm: str


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
    """Encoded plan and assignment; empty where not newer than asked for.

    Attributes:
        delta: Encoded change from the assignment asked with, in place of the
            whole one.
    """

    plan: bytes
    assignment: bytes
    delta: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Hands a request to the owner; answered by one of the three outcomes.

    Attributes:
        idempotent: Whether running it twice is harmless.
        identified: Whether request_id is the caller's own, so that a resend
            bears it again.
        attempt: 1 if the caller or sender vouches that no earlier attempt
            was made, more if one was, 0 if neither is known.
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
    identified: bool
    attempt: int
    generation: int
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """The target's whole answer.

    Attributes:
        request_id: Request that it answers.
    """

    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: body_module.Body


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardNotRun:
    """The request was refused and did not run."""

    request_id: str
    reason: str
    detail: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardUnknown:
    """The request may have run."""

    request_id: str
    reason: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class AskAnswer:
    """Asks an earlier owner what became of a request.

    Answered by one of the three outcomes, or by AnswerAbsent; the receiver
    will not run the request after that.

    Attributes:
        fingerprint: What the request asks for; see identity.fingerprint.
        asked: VMs that need not be asked again.
        timeout_ms: Longest time to wait for an attempt that is running.
    """

    request_id: str
    service: str
    key: str
    fingerprint: str
    asked: tuple[str, ...]
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerAbsent:
    """The request ran neither at the sender nor at the owners before it."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNote:
    """A request that was running on a target when the target vanished.

    Attributes:
        fingerprint: What the request asked for; see identity.fingerprint.
        path: Its path without the query.
        crash: Identity of the target's crash.
        age_ms: Time since then.
    """

    fingerprint: str
    service: str
    key: str
    method: str
    path: str
    crash: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoteCrashes:
    """Tells another daemon of suspected requests; answered by Done."""

    notes: tuple[CrashNote, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListQuarantined:
    """Asks for the suspected requests; answered by Quarantined."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """Requests that are suspected of crashing targets.

    Attributes:
        notes: One for each request and crash.
        released: Crashes that no longer count, as "fingerprint crash".
    """

    notes: tuple[CrashNote, ...]
    released: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseQuarantined:
    """Takes the suspicion from a request; answered by Done."""

    fingerprint: str


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
    | Undrain
    | Probe
    | ProbeReport
    | ReadTimeline
    | TimelinePart
    | Move
    | LoadReport
    | LoadAck
    | ListConfirmed
    | Confirmed
    | FetchState
    | StateSnapshot
    | Forward
    | ForwardAnswered
    | ForwardNotRun
    | ForwardUnknown
    | AskAnswer
    | AnswerAbsent
    | NoteCrashes
    | ListQuarantined
    | Quarantined
    | ReleaseQuarantined
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
def _(message: Forward) -> Message:
    return ForwardNotRun(
        request_id=message.request_id,
        reason="overloaded",
        detail="too many calls at once",
        retry_after_ms=100,
    )
