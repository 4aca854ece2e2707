"""Port to the durable state on a platform store: key map and route plan."""

import dataclasses
from typing import Protocol

from primrosecross.domain.ownership import key_map
from primrosecross.domain.requests import routes
from primrosecross.ports import repository


@dataclasses.dataclass(frozen=True, slots=True)
class PlanDocument:
    """A route plan with its source document.

    Attributes:
        plan: The plan.
        content: The document, encoded for transfer between daemons.
    """

    plan: routes.RoutePlan
    content: bytes


class FleetRepository(repository.TermRepository, Protocol):
    """Typed view of the platform store; methods raise errors.StoreError."""

    def read_map(self) -> tuple[key_map.KeyMap | None, str]:
        """Returns the newest key map and its store version."""

    def write_map(self, value: key_map.KeyMap, version: str) -> str:
        """Writes the key map if its store version is still the given one."""

    def encode_change(self, value: key_map.MapChange) -> bytes:
        """Returns a key map change, encoded for transfer between daemons."""

    def decode_change(self, data: bytes) -> key_map.MapChange:
        """Returns the key map change; raises errors.DocumentError."""


class PlanSource(Protocol):
    """Reads the route plan that operators store.

    Methods raise errors.StoreError, unless noted otherwise.
    """

    def read_plan(self) -> PlanDocument | None:
        """Returns the newest route plan."""

    def wait_for_plan(self, revision: int, timeout_ms: int) -> bool:
        """Waits for a change since a revision; returns False on timeout."""

    def decode_plan(self, revision: int, data: bytes) -> PlanDocument:
        """Returns the route plan; raises errors.DocumentError."""
