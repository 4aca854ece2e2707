"""Fakes of the clock, store and peers ports."""

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain.membership import lease
from primrosecross.ports import peers as peers_port
from primrosecross.ports import store as store_port


class ManualClock:
    """A clock that moves only by sleep and advance."""

    def __init__(self) -> None:
        self.time_ns = 1_000 * lease.NS_PER_MS

    def now_ns(self) -> int:
        """Returns the set time."""
        return self.time_ns

    def wall_ms(self) -> int:
        """Returns the set time."""
        return self.time_ns // lease.NS_PER_MS

    def sleep(self, duration_ms: float) -> None:
        """Advances the time."""
        self.advance(duration_ms)

    def advance(self, duration_ms: float) -> None:
        """Advances the time."""
        self.time_ns += int(duration_ms * lease.NS_PER_MS)


class MemoryStore:
    """The platform's object store in memory."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], store_port.StoredObject] = {}
        self._version = 0

    def read(self, kind: str, name: str) -> store_port.StoredObject | None:
        """Returns an object, or None."""
        return self.objects.get((kind, name))

    def create(self, kind: str, name: str, spec) -> store_port.StoredObject:
        """Creates an object that must not exist."""
        if (kind, name) in self.objects:
            raise errors.StoreConflictError("it exists", remedy="read it")
        return self._put(kind, name, spec)

    def update(
        self, kind: str, name: str, spec, version: str
    ) -> store_port.StoredObject:
        """Replaces an object that must have the given version."""
        current = self.objects.get((kind, name))
        if current is None or current.version != version:
            raise errors.StoreConflictError("it changed", remedy="read it")
        return self._put(kind, name, spec)

    def _put(self, kind: str, name: str, spec) -> store_port.StoredObject:
        self._version += 1
        stored = store_port.StoredObject(kind, name, str(self._version), spec)
        self.objects[kind, name] = stored
        return stored


class MemoryPeers:
    """Daemons in this process, by VM; calls to others fail."""

    def __init__(self) -> None:
        self.handlers: dict[str, peers_port.Handler] = {}

    def call(
        self,
        vm: str,
        message: messages.Message,
        *,
        timeout_ms: int,
        patience: peers_port.Patience = peers_port.Patience.UNTIL_SILENT,
    ) -> messages.Message:
        """Calls the handler of a VM."""
        del timeout_ms, patience
        if vm not in self.handlers:
            raise errors.MessageNotSentError(
                f"cannot connect to {vm}", remedy="start it"
            )
        return self.handlers[vm](message)

    def set_address(self, vm: str, address: str) -> None:
        """Does nothing."""
