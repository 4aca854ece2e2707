"""Port for granting keys to the local target by calls."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class GrantCall:
    """Order to hold keys; sending it again renews the hold.

    Attributes:
        first: First key.
        last: Last key, included.
        generation: Fencing token.
        hold_ms: Duration of the hold, from the arrival of the call.
        token: Hand-over token of the previous holder, empty if there is none.
    """

    first: int
    last: int
    generation: int
    hold_ms: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseCall:
    """Order to release keys, answered when no request runs on them."""

    first: int
    last: int
    generation: int


KeyCall = GrantCall | ReleaseCall


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The target carried out the order.

    Attributes:
        token: Hand-over token of released keys, empty if there is none.
        connection: Number of the connection, counted up with each new one.
    """

    token: str = ""
    connection: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NotApplied:
    """The target did not and will not carry out the order.

    Attributes:
        problem: What happened.
        superseded: Whether the target has seen a higher generation.
    """

    problem: str
    superseded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotListening:
    """Nothing listens at the target's address."""

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class InDoubt:
    """The target may have carried out the order, or may do so later.

    Attributes:
        problem: What happened.
    """

    problem: str


CallResult = Done | NotApplied | NotListening | InDoubt


class KeyCalls(Protocol):
    """Calls to the local target."""

    def call(
        self, instance: str, order: KeyCall, *, timeout_ms: int
    ) -> CallResult:
        """Sends an order to an instance of the target."""
