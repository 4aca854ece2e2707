"""Messages between daemons for operator calls.

The docstring of a message that expects a reply names the reply.
"""

import dataclasses

from primrosecross.domain.membership import member_messages
from primrosecross.domain.requests import request_messages


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Asks the coordinator to drain a member; the reply is Done."""

    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Undrain:
    """Asks the coordinator to cancel a drain; the reply is Done."""

    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks a daemon for its state; the reply is ProbeReport."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReport:
    """State of a daemon.

    The last three are counts of requests that callers sent to this daemon.

    Attributes:
        lease_held: Whether it holds its lease now.
        plan_version: Plan version in force at it.
        assignment_version: Assignment version in force at it.
        in_flight: Number of requests running on its targets.
        owned_per_s: Requests per second for the keys that it owns.
        answered: Requests that the target answered.
        not_run: Requests that were refused and did not run.
        unknown: Requests that may have run.
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
    """Read position in one process's timeline."""

    vm: str
    incarnation: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTimeline:
    """Asks a daemon for its timeline; the reply is TimelinePart.

    Attributes:
        cursor: Read position of the reader.
        limit: Maximum number of events; the reply holds the newest.
    """

    cursor: EventCursor
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class EventInfo:
    """One event of a timeline, rendered.

    Attributes:
        vm: VM of the process that recorded it.
        sequence: Position in that process's timeline.
        stamp: Hybrid logical clock timestamp.
        wall_ms: Wall clock time of that process.
        kind: Class name of the event.
        detail_json: Fields of the event as a JSON object.
    """

    vm: str
    sequence: int
    stamp: int
    wall_ms: int
    kind: str
    detail_json: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimelinePart:
    """Events of one daemon's timeline.

    Attributes:
        cursor: Read position after these events.
        events: Events after the reader's cursor.
        dropped: Number of events after the reader's cursor that are omitted.
    """

    cursor: EventCursor
    events: tuple[EventInfo, ...]
    dropped: int


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Asks the coordinator to pin a key to a VM; the reply is Done.

    Attributes:
        service: Service of the key.
        key: The key.
        vm: VM to pin it to; empty to return it to the balancer.
    """

    service: str
    key: str
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListConfirmed:
    """Asks the coordinator for the confirmations; the reply is Confirmed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed:
    """Last confirmation of each member to the coordinator."""

    coordinator: str
    confirms: tuple[member_messages.Confirm, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListQuarantined:
    """Asks for the suspected requests; the reply is Quarantined."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """Requests suspected of crashing targets.

    Attributes:
        notes: One note for each request and crash.
        released: Released crashes, each as "fingerprint crash".
    """

    notes: tuple[request_messages.CrashNote, ...]
    released: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseQuarantined:
    """Releases a suspected request; the reply is Done."""

    fingerprint: str
