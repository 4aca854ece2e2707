"""Client that finds the coordinator and sends it messages."""

import random
from collections.abc import Callable

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.domain.membership import lease as lease_module
from primrosecross.ports import clock as clock_port
from primrosecross.ports import peers as peers_port
from primrosecross.ports import repository as repository_port

TERM_READ_INTERVAL_MS = 400
UNREACHABLE_AFTER_MS = 5000
RECOVERY_HEARTBEATS = 10


class CoordinatorClient:
    """Sends messages to whichever daemon is the coordinator.

    The coordinator is read from the store and cached until a message to it
    fails or its heartbeats stop.

    Args:
        vm: This VM's name.
        repository: Reads the coordinator's term.
        peers: Other daemons.
        clock: Clock for the interval between reads.
    """

    def __init__(
        self,
        *,
        vm: str,
        repository: repository_port.Repository,
        peers: peers_port.Peers,
        clock: clock_port.Clock,
    ) -> None:
        self._vm = vm
        self._repository = repository
        self._peers = peers
        self._clock = clock
        self._term: repository_port.Term | None = None
        self._ignored_term: repository_port.Term | None = None
        self._failing_since_ns: int | None = None
        self._read_ns = -TERM_READ_INTERVAL_MS * lease_module.NS_PER_MS
        self.local_handler: (
            Callable[[messages.Message], messages.Message] | None
        ) = None

    def call_coordinator(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        """Sends a message to the coordinator and returns its reply.

        Raises:
            errors.StoreError: The coordinator could not be read from the store.
            errors.PeerError: The coordinator is unknown or did not reply; the
                next call looks it up again.
        """
        try:
            reply = self._send(self._find_term(), message, timeout_ms)
            if isinstance(reply, stream_messages.Failure):
                raise errors.ReplyLostError(reply.problem, remedy=reply.remedy)
        except (errors.PeerError, errors.StoreError):
            self._term = None
            if self._failing_since_ns is None:
                self._failing_since_ns = self._clock.now_ns()
            raise
        self._failing_since_ns = None
        return reply

    def ignore_term(self, vm: str) -> None:
        """Ignores the current term if its coordinator is this VM.

        The term is used again after RECOVERY_HEARTBEATS further heartbeats.

        Args:
            vm: VM whose heartbeats stopped.
        """
        if self._term is not None and self._term.vm == vm:
            self._ignored_term = self._term
            self._term = None

    def is_unreachable(self) -> bool:
        """Returns whether all calls have failed for UNREACHABLE_AFTER_MS."""
        if self._failing_since_ns is None:
            return False
        failing_ns = self._clock.now_ns() - self._failing_since_ns
        return failing_ns > UNREACHABLE_AFTER_MS * lease_module.NS_PER_MS

    def _send(
        self,
        term: repository_port.Term,
        message: messages.Message,
        timeout_ms: int,
    ) -> messages.Message:
        if term.vm == self._vm and self.local_handler is not None:
            return self.local_handler(message)
        return self._peers.call(term.vm, message, timeout_ms=timeout_ms)

    def _find_term(self) -> repository_port.Term:
        if self._term is None:
            self._read_term()
        if self._term is None or self._is_ignored(self._term):
            self._term = None
            raise errors.MessageNotSentError(
                "no coordinator has been elected",
                remedy="wait; a daemon becomes coordinator within seconds",
            )
        self._peers.set_address(self._term.vm, self._term.peer_address)
        return self._term

    def _read_term(self) -> None:
        """Reads the term; repeated reads are spread by random intervals."""
        age_ms = (self._clock.now_ns() - self._read_ns) / lease_module.NS_PER_MS
        interval_ms = TERM_READ_INTERVAL_MS * random.uniform(0.5, 1.0)
        self._clock.sleep(max(0.0, interval_ms - age_ms))
        self._read_ns = self._clock.now_ns()
        self._term, _ = self._repository.read_term()

    def _is_ignored(self, term: repository_port.Term) -> bool:
        ignored = self._ignored_term
        if ignored is None or (term.vm, term.number) != (
            ignored.vm,
            ignored.number,
        ):
            return False
        if term.beat > ignored.beat + RECOVERY_HEARTBEATS:
            self._ignored_term = None
            return False
        return True
