"""What is in flight on one connection to another daemon."""

import functools

from primrosecross.adapters.peers import peer_body
from primrosecross.adapters.peers import peer_call
from primrosecross.adapters.peers import peer_codec
from primrosecross.adapters.peers import peer_loss
from primrosecross.domain import messages
from primrosecross.domain import stream_messages

MAX_STREAMS = 64

StreamKey = tuple[int, bool]  # call ID and whether the body is of the reply


class InFlight:
    """Calls in both directions and streamed bodies of one connection.

    Attributes:
        calls: Calls to the peer without a reply, by ID, oldest first.
        inbound: Calls from the peer in progress, by the peer's ID.
        incoming: Streamed bodies that are being received.
        outgoing: Streamed bodies that are being sent.
    """

    def __init__(self) -> None:
        self.calls: dict[int, peer_call.Call] = {}
        self.inbound: dict[int, peer_call.Inbound] = {}
        self.incoming: dict[StreamKey, peer_body.Incoming] = {}
        self.outgoing: dict[StreamKey, peer_body.Outgoing] = {}

    def __bool__(self) -> bool:
        """Returns whether anything is in flight."""
        return bool(
            self.calls or self.inbound or self.incoming or self.outgoing
        )

    def oldest_call_s(self) -> float:
        """Returns when the oldest call to the peer began; 0 without one."""
        return next((call.started_s for call in self.calls.values()), 0.0)

    def bind_stream(
        self, frame: peer_codec.Frame, post: peer_body.PostMessage
    ) -> bool:
        """Registers a message's streamed body to receive its frames.

        Args:
            frame: Frame of the message.
            post: Sends messages about the body to its sender.

        Returns:
            False if the stream limit is reached and the body was aborted.
        """
        stream = messages.body_of(frame.message)
        if not isinstance(stream, peer_body.Incoming):
            return True
        if len(self.incoming) >= MAX_STREAMS:
            stream.abort(f"more than {MAX_STREAMS} concurrent streamed bodies")
            post(stream_messages.StreamStop())
            return False
        key = (frame.call, frame.is_reply)
        stream.bind(post, request_id=messages.request_id_of(frame.message))
        self.incoming[key] = stream
        stream.add_done_callback(lambda: self.incoming.pop(key, None))
        return True

    @functools.singledispatchmethod
    def handle_stream(self, message: messages.Message, key: StreamKey) -> None:
        """Passes a message to the streamed body that it belongs to, if any."""
        raise TypeError(f"{type(message).__name__} belongs to no stream")

    @handle_stream.register
    def _handle_piece(
        self, message: stream_messages.StreamPiece, key: StreamKey
    ) -> None:
        stream = self.incoming.get(key)
        if stream is not None:
            stream.feed(message.data)

    @handle_stream.register
    def _handle_end(
        self, message: stream_messages.StreamEnd, key: StreamKey
    ) -> None:
        stream = self.incoming.get(key)
        if stream is not None:
            stream.end(message)

    @handle_stream.register
    def _handle_credit(
        self, message: stream_messages.StreamCredit, key: StreamKey
    ) -> None:
        outgoing = self.outgoing.get(key)
        if outgoing is not None:
            outgoing.add_credit(message.bytes)

    @handle_stream.register
    def _handle_stop(
        self, _: stream_messages.StreamStop, key: StreamKey
    ) -> None:
        outgoing = self.outgoing.get(key)
        if outgoing is not None:
            outgoing.stop()

    def losses(self, unsent_answer_ids: tuple[str, ...]) -> peer_loss.Losses:
        """Returns what is lost if the connection ends now.

        Args:
            unsent_answer_ids: IDs of the requests whose answers were not
                passed to the socket.
        """
        cut_ids = [
            stream.request_id
            for (_, is_reply), stream in self.incoming.items()
            if is_reply
        ]
        ids = [
            *(call.request_id for call in self.calls.values()),
            *cut_ids,
            *(call.request_id for call in self.inbound.values()),
            *unsent_answer_ids,
        ]
        return peer_loss.Losses(
            calls_lost=len(self.calls),
            inbound_lost=len(self.inbound),
            answers_cut=len(cut_ids),
            answers_unsent=len(unsent_answer_ids),
            request_ids=tuple(dict.fromkeys(i for i in ids if i)),
        )

    def fail(self, problem: str) -> None:
        """Fails all calls, ends all bodies and the tasks of inbound calls."""
        calls, self.calls = self.calls, {}
        for call in calls.values():
            call.fail(problem)
        self.end_streams(problem)
        for inbound in list(self.inbound.values()):
            inbound.task.kill(block=False)

    def end_streams(self, problem: str) -> None:
        """Ends all streamed bodies."""
        for stream in list(self.incoming.values()):
            stream.abort(problem)
        for outgoing in list(self.outgoing.values()):
            outgoing.stop()
