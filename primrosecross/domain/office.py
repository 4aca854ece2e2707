"""Finds the coordinator and speaks to it, wherever it runs."""

from collections.abc import Callable

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.ports import archive as archive_port
from primrosecross.ports import clock as clock_port
from primrosecross.ports import peers as peers_port

RECHECK_MS = 500


class Office:
    """Sends messages to whichever daemon is the coordinator.

    The coordinator's name is read from the store and kept until a message to
    it fails.

    Args:
        vm: This VM's name.
        archive: Where the coordinator's term is kept.
        peers: Other daemons.
        clock: Clock for the pause between reads.
    """

    def __init__(
        self,
        *,
        vm: str,
        archive: archive_port.Archive,
        peers: peers_port.Peers,
        clock: clock_port.Clock,
    ) -> None:
        self._vm = vm
        self._archive = archive
        self._peers = peers
        self._clock = clock
        self._term: archive_port.Term | None = None
        self._read_ns = -RECHECK_MS * 1_000_000
        self.local: Callable[[messages.Message], messages.Message] | None = None

    def tell(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        """Sends a message to the coordinator and returns its answer.

        Raises:
            errors.StoreError: The store did not say who it is.
            errors.PeerError: It did not answer; it is looked up again.
        """
        term = self._find()
        try:
            answer = self._ask(term, message, timeout_ms)
        except errors.PeerError:
            self._term = None
            raise
        if isinstance(answer, messages.Failure):
            self._term = None
            raise errors.PeerLostError(answer.problem, remedy=answer.remedy)
        return answer

    def _ask(
        self,
        term: archive_port.Term,
        message: messages.Message,
        timeout_ms: int,
    ) -> messages.Message:
        if term.vm == self._vm and self.local is not None:
            return self.local(message)
        return self._peers.call(term.vm, message, timeout_ms=timeout_ms)

    def _find(self) -> archive_port.Term:
        if self._term is None:
            age_ns = self._clock.now_ns() - self._read_ns
            self._clock.sleep(max(0, RECHECK_MS - age_ns / 1_000_000))
            self._read_ns = self._clock.now_ns()
            self._term, _ = self._archive.read_term()
        if self._term is None:
            raise errors.PeerUnsentError(
                "no coordinator has been elected",
                remedy="wait; a daemon takes the office within seconds",
            )
        self._peers.learn_address(self._term.vm, self._term.peer_address)
        return self._term
