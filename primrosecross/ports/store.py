"""Port to the platform store: versioned objects, conditional updates."""

import dataclasses
from typing import Any
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object read from the store.

    Attributes:
        kind: Kind of object, such as "plans".
        name: Name within the kind.
        version: Opaque version of the store, for conditional updates.
        spec: Content, not validated yet.
    """

    kind: str
    name: str
    version: str
    spec: dict[str, Any]


class Store(Protocol):
    """The platform's object service.

    All methods raise errors.StoreUnavailableError if the call had no effect (no
    response, overload, or the limit of calls), and errors.StoreObjectError for
    an unexpected status or a malformed object. Writes raise
    errors.StoreResponseLostError if it is unknown whether they took effect.
    """

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object, None if it does not exist."""

    def create(
        self, kind: str, name: str, spec: dict[str, Any]
    ) -> StoredObject:
        """Creates an object.

        Raises:
            errors.StoreConflictError: The object exists already.
        """

    def update(
        self, kind: str, name: str, spec: dict[str, Any], version: str
    ) -> StoredObject:
        """Replaces an object if its version is still the given one.

        Raises:
            errors.StoreConflictError: The object has another version.
        """

    def wait_for_change(self, kind: str, version: str, timeout_ms: int) -> bool:
        """Waits until an object of a kind has changed since a version.

        Returns:
            True if an object may have changed; False after the timeout.
        """
