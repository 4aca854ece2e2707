"""Messages that any connection between daemons carries."""

import dataclasses
import enum


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
