"""Port to the durable state: plan, assignment and coordinator's term."""

import dataclasses
from typing import Protocol

from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import delta


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """Term of a coordinator.

    Attributes:
        vm: VM of the coordinator.
        peer_address: "ip:port" of its daemon.
        number: Term number; increases with each change of coordinator.
        beat: Heartbeat counter; increases with each renewal.
        settled: Whether the lease extensions of all earlier terms expired.
    """

    vm: str
    peer_address: str
    number: int
    beat: int
    settled: bool = True


class TermRepository(Protocol):
    """Stores the coordinator's term; see Repository."""

    def read_term(self) -> tuple[Term | None, str]:
        """Returns the coordinator's term and its store version."""

    def write_term(self, value: Term, version: str) -> str:
        """Writes the coordinator's term; returns the store's new version."""


class Repository(TermRepository, Protocol):
    """Typed view of the platform store.

    Reads return an object and its store version, or None and an empty version
    if the object does not exist. Writes are conditional on the store version;
    an empty version creates the object. All methods raise errors.StoreError.
    """

    def read_plan(self) -> tuple[plan.Plan | None, str]:
        """Returns the plan and its store version."""

    def write_plan(self, value: plan.Plan, version: str) -> str:
        """Writes the plan; returns the store's new version."""

    def read_past_plan(self, version: int) -> plan.Plan | None:
        """Returns a replaced plan by version, None if it is not retained."""

    def save_past_plan(self, value: plan.Plan) -> None:
        """Saves a plan that is about to be replaced; idempotent."""

    def read_assignment(self) -> tuple[assignment.Assignment | None, str]:
        """Returns the assignment and its store version."""

    def write_assignment(
        self, value: assignment.Assignment, version: str
    ) -> str:
        """Writes the assignment; returns the store's new version."""

    def wait_for_plan(self, version: str, timeout_ms: int) -> bool:
        """Waits for a change since a version; returns False on timeout."""


class StateCodec(Protocol):
    """Encodes plan and assignment for transfer between daemons."""

    def encode_plan(self, value: plan.Plan) -> bytes:
        """Returns the encoded plan."""

    def decode_plan(self, data: bytes) -> plan.Plan:
        """Returns the plan; raises errors.PeerProtocolError."""

    def encode_assignment(self, value: assignment.Assignment) -> bytes:
        """Returns the encoded assignment."""

    def decode_assignment(self, data: bytes) -> assignment.Assignment:
        """Returns the assignment; raises errors.PeerProtocolError."""

    def encode_delta(self, value: delta.Delta) -> bytes:
        """Returns the encoded assignment delta."""

    def decode_delta(self, data: bytes) -> delta.Delta:
        """Returns the assignment delta; raises errors.PeerProtocolError."""
