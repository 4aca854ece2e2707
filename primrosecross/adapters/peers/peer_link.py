"""Connections to one peer on one lane: opens, replaces and retires them.

A silent connection may be slow or dead, and its peer may be slow, cut off or
gone. So a new connection is opened beside it, which tells them apart: if the
peer's process answers there while the first stays silent, the first is dead,
and the replies to its calls are reclaimed on the new one. That also holds if
only one direction of the first is dead, or if it is just very late. If the peer
answers on neither, calls in flight wait, since the peer may be handling them.
"""

import logging
import math
import random
import time
from collections.abc import Callable

import gevent

from primrosecross.adapters.peers import peer_call
from primrosecross.adapters.peers import peer_connection
from primrosecross.adapters.peers import peer_loss
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.ports import peers as peers_port

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
PROOF_TIMEOUT_MS = 1000
MAX_SILENT_CONNECTIONS = 2  # beside which another one is opened
_Patience = peers_port.Patience
# Calls to a silent peer that end, by whether it was removed from the fleet.
_ENDING_PATIENCE = {
    False: frozenset({_Patience.UNTIL_SILENT}),
    True: frozenset(_Patience),
}

_logger = logging.getLogger(__name__)


class Link:
    """Connections to one peer on one lane.

    Args:
        vm: VM of the peer.
        open_connection: Opens a connection and completes its handshake.
        is_removed: Returns whether a VM was removed from the fleet.

    Attributes:
        connection: The connection for new calls, if any.
    """

    def __init__(
        self,
        *,
        vm: str,
        open_connection: Callable[[], peer_connection.Connection],
        is_removed: Callable[[str], bool],
    ) -> None:
        self._vm = vm
        self._open_connection = open_connection
        self._is_removed = is_removed
        self.connection: peer_connection.Connection | None = None
        # Replaced connections, kept for their calls in flight.
        self._earlier: list[peer_connection.Connection] = []
        self._dialing: gevent.Greenlet | None = None
        self._retry_at_s = 0.0
        self._backoff_s = 0.0  # after the last failure; 0 after a success
        self._closed = False

    def connections(self) -> list[peer_connection.Connection]:
        """Returns the open connections."""
        connections = [*self._earlier, self.connection]
        return [c for c in connections if c is not None and not c.closed]

    def call(
        self,
        message: messages.Message,
        *,
        timeout_ms: int,
        patience: peers_port.Patience,
    ) -> messages.Message:
        """Sends a message and waits for the reply, on another connection too.

        Raises:
            errors.MessageNotSentError: The peer did not and will not receive
                the message.
            errors.ReplyLostError: The reply was lost or timed out.
        """
        deadline_s = time.monotonic() + timeout_ms / 1000
        connection = self._connect(timeout_ms)
        if connection.unresponsive:
            raise errors.MessageNotSentError(
                f"{self._vm} does not respond to pings",
                remedy="wait until it responds or is declared lost",
            )
        try:
            return connection.call(
                message, timeout_ms=_remaining_ms(deadline_s), patience=patience
            )
        except peer_call.MovedError as moved:
            return self._reclaim(
                moved.reclaim, moved.connection, deadline_s, patience
            )

    def _reclaim(
        self,
        reclaim: stream_messages.Reclaim,
        connection: peer_connection.Connection,
        deadline_s: float,
        patience: peers_port.Patience,
    ) -> messages.Message:
        """Returns the reply to a call that was sent on a dead connection.

        Args:
            reclaim: Asks for the reply.
            connection: Connection on which to ask.
            deadline_s: Monotonic time at which the call times out.
            patience: How long the call waits for a silent peer.
        """
        try:
            reply = connection.call(
                reclaim, timeout_ms=_remaining_ms(deadline_s), patience=patience
            )
        except peer_call.MovedError as moved:
            # Its own reclaim would ask for the reply to this question only.
            return self._reclaim(
                reclaim, moved.connection, deadline_s, patience
            )
        except errors.MessageNotSentError as error:
            raise errors.ReplyLostError(
                f"the reply was not reclaimed: {error.problem}",
                remedy=error.remedy,
            ) from error
        if isinstance(reply, stream_messages.NotReceived):
            raise errors.MessageNotSentError(
                f"{self._vm} did not receive the message",
                remedy="retry on another connection",
            )
        return reply

    def _connect(self, timeout_ms: int) -> peer_connection.Connection:
        """Returns the connection for a new call, opened if need be."""
        if (connection := self._usable_connection()) is not None:
            return connection
        self._start_dialing()
        if self._dialing is not None and not self._backoff_s:
            self._dialing.join(timeout=timeout_ms / 1000)
        if (connection := self._usable_connection()) is not None:
            return connection
        raise errors.MessageNotSentError(
            f"not connected to {self._vm}",
            remedy="check that its daemon runs and is reachable",
        )

    def _usable_connection(self) -> peer_connection.Connection | None:
        connection = self.connection
        if connection is None or connection.closed:
            return None
        if connection.going_away:  # Its calls in flight are still answered.
            self.connection = None
            self._earlier.append(connection)
            return None
        return connection

    def _start_dialing(self) -> None:
        if self._dialing is None and time.monotonic() >= self._retry_at_s:
            self._dialing = gevent.spawn(self._dial)

    def _dial(self) -> None:
        """Opens a connection, which replaces one that is silent."""
        try:
            connection = self._open_connection()
            if self.connections():
                _prove(connection)
        except ConnectionRefusedError as error:
            self._schedule_retry(error)
            for silent in self.connections():
                silent.close(peer_loss.Cause.PEER_GONE, str(error))
            return
        except (OSError, errors.PeerError) as error:
            self._schedule_retry(error)
            return
        finally:
            self._dialing = None
        self._backoff_s = 0.0
        self._earlier = self.connections()
        for earlier in self._earlier:
            if not _is_same_process(earlier, connection):
                earlier.close(peer_loss.Cause.PEER_RESTARTED)
        self.connection = connection
        if self._closed:
            connection.close(peer_loss.Cause.ADDRESS_CHANGED)

    def _schedule_retry(self, error: Exception) -> None:
        _logger.debug("cannot connect to %s: %s", self._vm, error)
        self._backoff_s = min(
            MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * self._backoff_s)
        )
        delay_s = self._backoff_s * random.uniform(0.5, 1.0)
        self._retry_at_s = time.monotonic() + delay_s

    def check(self, *, idle_check_due: bool) -> None:
        """Checks all connections; opens another one beside a silent one.

        Called every peer_connection.PING_INTERVAL_S.
        """
        for connection in self.connections():
            connection.check(idle_check_due=idle_check_due)
            if connection.silent:
                self._handle_silence(connection)
        self._close_unused()
        if self._needs_replacement():
            self._start_dialing()

    def _needs_replacement(self) -> bool:
        """Returns whether a connection is silent and no other one works."""
        connection = self._usable_connection()
        if connection is not None and not connection.unresponsive:
            return False
        waiting = [c for c in self.connections() if c.unresponsive]
        return 0 < len(waiting) <= MAX_SILENT_CONNECTIONS

    def _handle_silence(self, silent: peer_connection.Connection) -> None:
        """Moves a dead connection's calls, or gives up the impatient ones."""
        replacement = self._usable_connection()
        if (
            replacement is not None
            and replacement is not silent
            and replacement.is_proven()
        ):
            silent.move_calls(replacement)
        else:
            silent.give_up_calls(_ENDING_PATIENCE[self._is_removed(self._vm)])

    def _close_unused(self) -> None:
        """Closes replaced connections without a call in flight."""
        for connection in list(self._earlier):
            if connection.closed or not connection.in_use:
                self._earlier.remove(connection)
                connection.close(
                    peer_loss.Cause.PEER_STOPS
                    if connection.going_away
                    else peer_loss.Cause.REPLACED
                )

    def close(self, cause: peer_loss.Cause, reason: str = "") -> None:
        """Closes all connections and fails the calls in flight."""
        self._closed = True
        for connection in self.connections():
            connection.close(cause, reason)


def _remaining_ms(deadline_s: float) -> int:
    return max(1, math.ceil((deadline_s - time.monotonic()) * 1000))


def _prove(connection: peer_connection.Connection) -> None:
    """Waits for a reply, since a greeting may arrive while nothing gets out.

    Raises:
        errors.PeerError: There was no reply.
    """
    try:
        connection.call(
            stream_messages.Ping(),
            timeout_ms=PROOF_TIMEOUT_MS,
            patience=_Patience.UNTIL_REMOVED,
        )
    except errors.PeerError as error:
        connection.close(peer_loss.Cause.HANDSHAKE_FAILED, error.problem)
        raise


def _is_same_process(
    first: peer_connection.Connection, second: peer_connection.Connection
) -> bool:
    """Returns whether two connections lead to the same process."""
    return first.peer_hello.incarnation == second.peer_hello.incarnation
