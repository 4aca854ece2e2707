"""Calls from the peer of one connection: runs their handlers and replies.

A call whose connection dies before the reply can be reclaimed on another
connection of the same peer; see stream_messages.Reclaim.
"""

import collections
import dataclasses
import logging
import time
from collections.abc import Callable

import gevent

from primrosecross.adapters.peers import peer_body
from primrosecross.adapters.peers import peer_call
from primrosecross.adapters.peers import peer_codec
from primrosecross.adapters.peers import peer_in_flight
from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.domain.requests import body
from primrosecross.ports import peers as peers_port

RECLAIM_TIMEOUT_S = 10.0  # then a finished call's reply is discarded
SENT_REPLY_S = 5.0  # a sent reply may be reclaimed for so long
MAX_SENT_REPLIES = 64
MAX_REPLY_BYTES = 4096  # of the body; longer ones are not kept

_logger = logging.getLogger(__name__)

PostReply = Callable[[int, messages.Message], None]
MakeOutgoing = Callable[[int, body.Stream], peer_body.Outgoing]


@dataclasses.dataclass(frozen=True, slots=True)
class _SentReply:
    message: messages.Message
    sent_s: float


class InboundCalls:
    """Calls from the peer in progress.

    Attributes:
        last_call_id: ID of the last call received.

    Args:
        in_flight: What is in flight on the connection.
        post_reply: Sends the reply to a call.
        make_outgoing: Returns the sender of a reply's streamed body.
    """

    def __init__(
        self,
        *,
        in_flight: peer_in_flight.InFlight,
        post_reply: PostReply,
        make_outgoing: MakeOutgoing,
    ) -> None:
        self._in_flight = in_flight
        self._post_reply = post_reply
        self._make_outgoing = make_outgoing
        self.last_call_id = 0
        self._retired_s = 0.0
        self._unclaimed: dict[int, peer_call.Inbound] = {}
        # Short replies that may have been lost with the connection, by call.
        self._sent_replies: collections.OrderedDict[int, _SentReply] = (
            collections.OrderedDict()
        )

    def start(
        self, frame: peer_codec.Frame, handler: peers_port.Handler
    ) -> None:
        """Handles a call in a task of its own."""
        self.note_received(frame.call)
        inbound = peer_call.Inbound(
            request_id=messages.request_id_of(frame.message)
        )
        self._in_flight.inbound[frame.call] = inbound
        inbound.task = gevent.spawn(self._serve, frame, inbound, handler)
        # A task that is cancelled before it begins runs no code of its own.
        inbound.task.link(lambda _: self._finish(frame))

    def note_received(self, call: int) -> None:
        """Records that a call was received, also if it is refused."""
        self.last_call_id = max(self.last_call_id, call)

    def cancel(self, call: int) -> bool:
        """Stops a call's handler; returns whether it was in progress."""
        inbound = self._in_flight.inbound.get(call)
        if inbound is None:
            return False
        inbound.task.kill(peer_call.CallCancelled, block=False)
        return True

    def _serve(
        self,
        frame: peer_codec.Frame,
        inbound: peer_call.Inbound,
        handler: peers_port.Handler,
    ) -> messages.Message:
        """Handles one call, replies unless retired, and returns the reply."""
        try:
            answer = _call_handler(handler, frame.message)
            if not self._retired_s:
                inbound.replied = True
                self._post_reply(frame.call, answer)
                content = messages.body_of(answer)
                if isinstance(content, body.Stream):
                    self._make_outgoing(frame.call, content).run()
                elif inbound.request_id and len(content) <= MAX_REPLY_BYTES:
                    self._keep_reply(frame.call, answer)
            return answer
        finally:
            self._finish(frame)

    def _finish(self, frame: peer_codec.Frame) -> None:
        """Forgets a call that has ended; does nothing the second time."""
        self._in_flight.inbound.pop(frame.call, None)
        self._in_flight.outgoing.pop((frame.call, True), None)
        body.close(messages.body_of(frame.message))

    def _keep_reply(self, call: int, answer: messages.Message) -> None:
        self._sent_replies[call] = _SentReply(answer, time.monotonic())
        if len(self._sent_replies) > MAX_SENT_REPLIES:
            self._sent_replies.popitem(last=False)

    def discard_sent_replies(self) -> None:
        """Discards replies that were sent too long ago to be reclaimed."""
        sent_before_s = time.monotonic() - SENT_REPLY_S
        while self._sent_replies:
            call, reply = next(iter(self._sent_replies.items()))
            if reply.sent_s > sent_before_s:
                return
            del self._sent_replies[call]

    def retire(self) -> None:
        """Keeps the replies to calls in progress until they are reclaimed."""
        self._retired_s = time.monotonic()
        self._unclaimed = dict(self._in_flight.inbound)
        self._in_flight.inbound.clear()

    def reclaim(self, call: int) -> messages.Message:
        """Waits for a call's reply and returns it.

        The same call can be reclaimed again, if this reply is lost as well.
        """
        if call in self._sent_replies:
            return self._sent_replies[call].message
        if call > self.last_call_id:
            return stream_messages.NotReceived()
        inbound = self._unclaimed.get(call)
        if inbound is None or inbound.replied:
            return stream_messages.Failure(
                "the reply was sent on a connection that was lost",
                "retry the request if it is idempotent",
            )
        try:
            inbound.task.join()
        except peer_call.CallCancelled:
            inbound.task.kill(peer_call.CallCancelled, block=False)
            raise
        reply = inbound.task.value
        if reply is None or isinstance(reply, gevent.GreenletExit):
            return stream_messages.Failure(
                "the call ended without a reply", "check the peer's log"
            )
        return reply

    @property
    def unclaimed(self) -> int:
        """Number of retired calls in progress."""
        return sum(not call.task.ready() for call in self._unclaimed.values())

    def discard_unclaimed(self) -> bool:
        """Discards finished replies that nobody reclaimed in time.

        Returns:
            Whether no call is left.
        """
        if time.monotonic() - self._retired_s < RECLAIM_TIMEOUT_S:
            return False
        for call, inbound in list(self._unclaimed.items()):
            if inbound.task.ready():
                del self._unclaimed[call]
                body.close(messages.body_of(inbound.task.value))
        return not self._unclaimed


def _call_handler(
    handler: peers_port.Handler, message: messages.Message
) -> messages.Message:
    try:
        return handler(message)
    except Exception:
        _logger.exception("handler of %s failed", type(message).__name__)
        return stream_messages.Failure(
            f"the daemon failed to handle {type(message).__name__}",
            "check the daemon's log",
        )
