"""A pending call to another daemon, and a call from one in progress."""

import dataclasses
import time
from typing import Any

import gevent
from gevent import event as gevent_event

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
        request_id: ID of the request that it concerns; may be empty.
        patience: How long it waits for a silent peer.

    Attributes:
        started_s: Monotonic time at which the call began.
        sent: Whether any byte of the message may have been sent.
        abandoned: Whether the writer must drop the message unsent.
        answer: Result that holds the reply or the error.
    """

    __slots__ = (
        "abandoned",
        "answer",
        "patience",
        "request_id",
        "sent",
        "started_s",
    )

    def __init__(
        self,
        request_id: str = "",
        patience: peers_port.Patience = peers_port.Patience.UNTIL_SILENT,
    ) -> None:
        self.request_id = request_id
        self.patience = patience
        self.started_s = time.monotonic()
        self.sent = False
        self.abandoned = False
        self.answer = gevent_event.AsyncResult()

    def fail(self, problem: str) -> None:
        """Fails the call, as no reply is expected any more."""
        self.answer.set_exception(self._make_error(problem))

    def fail_unhandled(self, problem: str) -> None:
        """Fails the call, as the peer will not handle it."""
        self.answer.set_exception(
            errors.MessageNotSentError(
                problem, remedy="retry once the peer is back"
            )
        )

    def give_up(self, problem: str) -> None:
        """Fails the call; if it is not sent yet, it never will be."""
        self.abandoned = not self.sent
        self.fail(problem)

    def move(self, moved: MovedError, problem: str) -> None:
        """Lets the caller reclaim the reply, or fails an unsent call."""
        self.answer.set_exception(
            moved if self.sent else self._make_error(problem)
        )

    def timeout_error(self, timeout_ms: int) -> errors.PeerError:
        """Returns the error for a reply that timed out."""
        return self._make_error(f"no reply within {timeout_ms} ms")

    def _make_error(self, problem: str) -> errors.PeerError:
        error_type = (
            errors.ReplyLostError if self.sent else errors.MessageNotSentError
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
