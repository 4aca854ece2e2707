"""Coordinator election and terms in the simulation of key_model."""

import dataclasses
from collections.abc import Callable

from primrosecross.domain.ownership import lease_extension

RENEWAL_INTERVAL_MS = 300
TERM_MS = 1500
TAKEOVER_AFTER_MS = 1000
_NS_PER_MS = 1_000_000


@dataclasses.dataclass(frozen=True)
class StoredTerm:
    """The term in the store and the time of its last renewal."""

    number: int
    vm: str
    settled: bool
    renewed_ms: int


class SimulatedElection:
    """Election state of one process."""

    def __init__(self, model: object, vm: str) -> None:
        self._model = model
        self._vm = vm
        self.extensions = lease_extension.LeaseExtensions(
            vm=vm, clock=model.clock
        )
        self.term = 0
        self.newest_term = 0
        self.coordinator = ""
        self._renewed_ms: int | None = None
        self._predecessor: lease_extension.PredecessorTerm | None = None
        self._next_campaign_ms = 0

    @property
    def renewed_ns(self) -> int | None:
        """When the term was last renewed, None if it is lost."""
        return (
            None if self._renewed_ms is None else self._renewed_ms * _NS_PER_MS
        )

    def is_coordinator(self) -> bool:
        """Returns whether this process believes that it holds the term."""
        return (
            self._renewed_ms is not None
            and self._model.now_ms < self._renewed_ms + TERM_MS
        )

    def own_extension_ms(self, newest_map: object) -> int:
        """Returns for how long this process extends leases."""
        if self.is_coordinator() or self.newest_term > self.term:
            return 0
        return self.extensions.extension_ms(
            newest_map, renewed_ns=self.renewed_ns
        )

    def update_coordinator(self, term: int, vm: str) -> None:
        """Records a newer term and its coordinator."""
        if term > self.newest_term:
            self.newest_term, self.coordinator = term, vm

    def campaign(self, is_running: Callable[[], bool]) -> None:
        """Renews its term, or takes over a term that was not renewed."""
        now_ms = self._model.now_ms
        if now_ms < self._next_campaign_ms:
            return
        self._next_campaign_ms = now_ms + RENEWAL_INTERVAL_MS
        stored = self._model.term
        self.update_coordinator(stored.number, stored.vm)
        if stored.number != self.term:
            self._renewed_ms = None
        not_renewed = now_ms - stored.renewed_ms > TAKEOVER_AFTER_MS
        if not_renewed or self._renewed_ms is not None:
            self._write(stored, is_running)

    def _write(
        self, stored: StoredTerm, is_running: Callable[[], bool]
    ) -> None:
        sent_ms = self._model.now_ms
        is_own = stored.number == self.term
        number = stored.number + (0 if is_own and self.is_coordinator() else 1)
        settled = stored.number == 0 or (
            is_own and self.extensions.earlier_expired()
        )

        def apply() -> None:
            if self._model.term == stored and is_running():
                self._model.term = StoredTerm(
                    number, self._vm, settled, self._model.now_ms
                )
                self._model.schedule(0, 60, on_written)

        def on_written() -> None:
            if not is_running():
                return
            if number != self.term:
                if stored.number not in (0, self.term):
                    self._predecessor = lease_extension.PredecessorTerm(
                        stored.settled, False, self._model.clock.now_ns()
                    )
                self.extensions.begin_term(number, self._predecessor)
            self.term = number
            self.update_coordinator(number, self._vm)
            self._renewed_ms = sent_ms

        self._model.schedule(0, 60, apply)
