"""Messages of every connection between daemons."""

import dataclasses
import enum


class Lane(enum.StrEnum):
    """Traffic class of a connection; control never queues behind requests."""

    CONTROL = "control"
    REQUESTS = "requests"


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message on each connection, in both directions.

    Attributes:
        lane: Lane of the connection; the value of the dialing side is used.
        number: Number of the connection among those that the dialing side
            opened; 0 in the greeting of the accepting side.
    """

    protocol: int
    cluster: str
    vm: str
    incarnation: str
    lane: str
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Reply to a message that could not be handled."""

    problem: str
    remedy: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Reply without content."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Checks that the connection is alive; the reply is Done."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a call whose caller no longer waits for the reply."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reclaim:
    """Asks on another connection for the reply to a call.

    The receiver handles nothing more of the earlier connection. The reply is
    that of the call, NotReceived, or Failure if there is none to give.

    Attributes:
        connection: Number of the connection on which the call was sent.
        call: ID of the call there.
    """

    connection: int
    call: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotReceived:
    """The reclaimed call was not received and will never be handled."""


@dataclasses.dataclass(frozen=True, slots=True)
class GoAway:
    """Announces that the sender stops and handles no further calls.

    Attributes:
        last_call: ID of the last call on this connection that it handles.
    """

    last_call: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPiece:
    """Next bytes of a streamed body."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnd:
    """End of a streamed body.

    Attributes:
        length: Total number of bytes sent.
        checksum: XXH3-64 of these bytes.
        problem: Why the body is truncated; empty if it is complete.
    """

    length: int
    checksum: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamCredit:
    """Permits the sender of a streamed body to send more bytes."""

    bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamStop:
    """Notifies the sender of a streamed body that its reader has stopped."""
