"""Messages between daemons that serve operators' calls.

Messages that expect an answer name it in their docstring.
"""

import dataclasses

from primrosecross.domain import member_messages
from primrosecross.domain import request_messages


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
class ListConfirmed:
    """Asks the coordinator what members confirmed; answered by Confirmed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """What each member last confirmed to the coordinator."""

    coordinator: str
    confirms: tuple[member_messages.Confirm, ...]


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

    notes: tuple[request_messages.CrashNote, ...]
    released: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseQuarantined:
    """Takes the suspicion from a request; answered by Done."""

    fingerprint: str
