"""A pending call to another daemon, and a call from one in progress."""

import dataclasses
import time
from typing import Any

import gevent
from gevent import event as gevent_event

from primrosecross.adapters.peers import peer_message
from primrosecross.domain import errors
from primrosecross.domain import stream_messages
from primrosecross.ports import peers as peers_port


class CallCancelled(gevent.GreenletExit):
    """The peer no longer waits for the reply to its call."""


class MovedError(Exception):
    """The reply to a call is to be reclaimed on another connection.

    Args:
        connection: A peer_connection.Connection to the same process.
        reclaim: Message that asks for the reply.
    """

    def __init__(
        self, connection: Any, reclaim: stream_messages.Reclaim
    ) -> None:
        super().__init__("the call moved to another connection")
        self.connection = connection
        self.reclaim = reclaim


class Call:
    """One pending call on a connection.

    Args:
        message: Message of the call.
        request_id: ID of the request that it concerns; may be empty.
        patience: How long it waits for a silent peer.

    Attributes:
        started_s: Monotonic time at which the call began.
        answer: Result that holds the reply or the error.
    """

    __slots__ = ("answer", "message", "patience", "request_id", "started_s")

    def __init__(
        self,
        message: peer_message.OutgoingMessage,
        request_id: str = "",
        patience: peers_port.Patience = peers_port.Patience.UNTIL_SILENT,
    ) -> None:
        self.message = message
        self.request_id = request_id
        self.patience = patience
        self.started_s = time.monotonic()
        self.answer = gevent_event.AsyncResult()

    def fail(self, problem: str) -> None:
        """Fails the call; if its message is unsent, it stays so."""
        self.answer.set_exception(self._make_error(problem))

    def fail_unhandled(self, problem: str) -> None:
        """Fails the call, as the peer handles no message of it."""
        self.message.withdraw()
        self.answer.set_exception(
            errors.MessageNotSentError(
                problem, remedy="retry once the peer is back"
            )
        )

    def move(self, moved: MovedError, problem: str) -> None:
        """Lets the caller reclaim the reply, or fails an unsent call."""
        is_unsent = self.message.withdraw()
        self.answer.set_exception(
            self._make_error(problem) if is_unsent else moved
        )

    def timeout_error(self, timeout_ms: int) -> errors.PeerError:
        """Returns the error for a reply that timed out."""
        return self._make_error(f"no reply within {timeout_ms} ms")

    def _make_error(self, problem: str) -> errors.PeerError:
        error_type = (
            errors.MessageNotSentError
            if self.message.withdraw()
            else errors.ReplyLostError
        )
        return error_type(
            problem, remedy="check the peer and the network to it"
        )


@dataclasses.dataclass(slots=True)
class Inbound:
    """One call from the peer in progress.

    Attributes:
        request_id: ID of the request that it concerns; may be empty.
        task: Handles the call.
        replied: Whether the reply was passed to the connection.
    """

    request_id: str
    task: gevent.Greenlet | None = None
    replied: bool = False
