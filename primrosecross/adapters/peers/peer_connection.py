"""One connection to another daemon: msgpack frames over TCP.

One task reads frames. While messages are queued, the writer's task batches
them into few sends and interleaves the pieces of streamed bodies.
"""

import collections
import dataclasses
import functools
import socket
from collections.abc import Callable
from collections.abc import Collection

import gevent
from gevent import event as gevent_event
from gevent import socket as gevent_socket

from primrosecross.adapters.peers import peer_body
from primrosecross.adapters.peers import peer_codec
from primrosecross.adapters.peers import peer_greeting
from primrosecross.adapters.peers import peer_in_flight
from primrosecross.adapters.peers import peer_inbound
from primrosecross.adapters.peers import peer_liveness
from primrosecross.adapters.peers import peer_loss
from primrosecross.adapters.peers import peer_message
from primrosecross.adapters.peers import peer_outbound
from primrosecross.adapters.peers import peer_report
from primrosecross.adapters.peers import peer_transit
from primrosecross.adapters.peers import peer_writer
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from primrosecross.domain.requests import body
from primrosecross.ports import peers as peers_port

PING_INTERVAL_S = 0.35
RECEIVE_BYTES = 256 * 1024
MAX_INBOUND = 2048  # calls from the peer in progress
MAX_QUEUED_FRAMES = 8192
GREETING_TIMEOUT_S = 10.0  # longer than the peer waits for its own handshake
# The peer must read the Reclaim messages before the end of the stream.
MOVED_CLOSE_DELAY_S = 5.0

# Answers a peer's Reclaim; the greeting names the peer's process.
ReclaimHandler = Callable[
    [stream_messages.Hello, stream_messages.Reclaim], messages.Message
]


class Connection:
    """One connection to another daemon.

    Args:
        sock: Connected socket.
        hello: Greeting sent to the peer.
        handler: Answers messages from the peer.
        reclaim_handler: Answers the peer's Reclaim messages.
        stamps: Stamps sent and received messages.
        on_end: Called once with the end of the connection.
        counts: Error counters by name.
        traffic: Counts bytes over all connections.
        accepted: Whether the peer opened the connection.
        certificate_names: VM names in the peer's certificate; None without TLS.
    """

    def __init__(
        self,
        *,
        sock: gevent_socket.socket,
        hello: stream_messages.Hello,
        handler: peers_port.Handler,
        reclaim_handler: ReclaimHandler,
        stamps: stamp.StampClock,
        on_end: Callable[[peer_loss.Ending], None],
        counts: collections.Counter[str],
        traffic: peer_writer.Traffic,
        accepted: bool = False,
        certificate_names: frozenset[str] | None = None,
    ) -> None:
        self._certificate_names = certificate_names
        self._accepted = accepted
        self._traffic = traffic
        self._sock = sock
        self._hello = hello
        self._is_stopping = False
        self._handler = handler
        self._reclaim_handler = reclaim_handler
        self._stamps = stamps
        self._on_end = on_end
        self._counts = counts
        self._decoder = peer_codec.Decoder()
        self._transit = peer_transit.TransitMeter()
        self._queued_ms = 0  # time that the last frame spent on its way
        self._liveness = peer_liveness.Liveness(accepted=accepted)
        self._writer = peer_writer.Writer(
            sock=sock,
            stamps=stamps,
            traffic=traffic,
            on_progress=self._liveness.note_data,
            on_failure=lambda error: self.close(
                peer_loss.Cause.WRITE_FAILED, str(error)
            ),
        )
        self._in_flight = peer_in_flight.InFlight()
        self._inbound = peer_inbound.InboundCalls(
            in_flight=self._in_flight,
            post_reply=lambda call, answer: self._post(
                call, answer, is_reply=True
            ),
            make_outgoing=lambda call, stream: self._make_outgoing(
                call, True, stream
            ),
        )
        self._outbound = peer_outbound.OutboundCalls(
            in_flight=self._in_flight,
            post=self._post,
            make_outgoing=lambda call, stream, head: self._make_outgoing(
                call, False, stream, head
            ),
        )
        self._reporter = peer_report.Reporter(
            sock=sock,
            liveness=self._liveness,
            in_flight=self._in_flight,
            writer=self._writer,
        )
        self.closed = False
        self.going_away = False
        self.ending: peer_loss.Ending | None = None
        self.handshake_done = gevent_event.Event()
        self.peer_hello: stream_messages.Hello | None = None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)

    @property
    def lane(self) -> str:
        """Lane named in the greeting of the side that opened the connection."""
        peer_lane = self.peer_hello.lane if self.peer_hello else ""
        return peer_lane if self._accepted else self._hello.lane

    @property
    def inbound_calls(self) -> int:
        """Number of calls from the peer in progress."""
        return len(self._in_flight.inbound) + self._inbound.unclaimed

    def run(self) -> None:
        """Sends the greeting and handles frames until the connection ends."""
        cause, reason = peer_loss.Cause.TASK_ENDED, ""
        try:
            self._post(0, self._hello, is_reply=False)
            self._read()
            cause = peer_loss.Cause.PEER_CLOSED
        except errors.PeerError as error:
            greeted = self.peer_hello is not None
            cause = (
                peer_loss.Cause.PROTOCOL_ERROR
                if greeted
                else peer_loss.Cause.HANDSHAKE_FAILED
            )
            reason = str(error)
        except OSError as error:
            cause, reason = peer_loss.Cause.READ_FAILED, str(error)
        finally:
            self.close(cause, reason)
            self._sock.close()
            self._writer.stop()

    def _read(self) -> None:
        while data := self._sock.recv(RECEIVE_BYTES):
            self._liveness.note_data()
            self._traffic.received_bytes += len(data)
            for frame in self._decoder.feed(data):
                self._handle_frame(frame)

    @property
    def in_use(self) -> bool:
        """Whether a call, a streamed body or the greeting is outstanding."""
        return bool(self._in_flight) or self.peer_hello is None

    @property
    def unresponsive(self) -> bool:
        """Whether the peer stopped responding while something was outstanding.

        With nothing outstanding for long this is False; the next call detects
        it.
        """
        return self._liveness.suspect

    @property
    def silent(self) -> bool:
        """Whether the peer has not responded for several checks."""
        return self._liveness.silent and self.in_use

    def is_proven(self) -> bool:
        """Returns whether the peer responds, also after the handshake."""
        return (
            self._liveness.age_s() >= PING_INTERVAL_S
            and not self._liveness.suspect
        )

    def check(self, *, idle_check_due: bool) -> None:
        """Pings a silent peer; closes a connection that is silent or idle.

        Called every PING_INTERVAL_S. A silent peer may only be slow, so a
        connection stays open while anything is in flight on it, and on the
        accepting side, which does not know what is on its way.

        Args:
            idle_check_due: Whether to count this check towards idleness.
        """
        self._inbound.discard_sent_replies()
        if self.peer_hello is None:
            if self._liveness.age_s() > GREETING_TIMEOUT_S:
                self.close(peer_loss.Cause.PEER_SILENT)
        elif not self._accepted:
            self._check_liveness()
        if self._in_flight:
            self._liveness.note_call()
        elif idle_check_due and not self.closed:
            self._check_idle()

    def _check_liveness(self) -> None:
        was_silent = self._liveness.silent
        data_received = self._liveness.check(in_use=self.in_use)
        if self._liveness.silent != was_silent:
            peer_loss.record_silence(self._reporter.silence(self._peer()))
        if self._liveness.silent and not self._in_flight:
            self.close(peer_loss.Cause.PEER_SILENT)
        elif self._in_flight and not data_received:
            self._post(0, stream_messages.Ping(), is_reply=False)

    def _check_idle(self) -> None:
        self._liveness.check_idle()
        if self._liveness.idle:
            self.close(peer_loss.Cause.IDLE)

    def give_up_calls(self, patience: Collection[peers_port.Patience]) -> None:
        """Fails the calls of some patience, and leaves the others in flight."""
        silence = self._reporter.silence(self._peer())
        calls = self._outbound.give_up(
            patience, f"the peer was silent for {silence.silent_ms} ms"
        )
        if calls:
            peer_loss.record_given_up(
                silence, [call.request_id for call in calls], self._counts
            )

    def _handle_frame(self, frame: peer_codec.Frame) -> None:
        self._stamps.observe(frame.stamp)
        self._queued_ms = self._transit.record(
            frame.sent_ms, peer_transit.now_ms()
        )
        if self.peer_hello is None:
            self._handle_hello(frame.message)
        else:
            self._dispatch(frame.message, frame)

    def _handle_hello(self, message: messages.Message) -> None:
        self.peer_hello = peer_greeting.check(
            message,
            local_hello=self._hello,
            certificate_names=self._certificate_names,
        )
        self._decoder.accept_messages()
        self.handshake_done.set()

    @functools.singledispatchmethod
    def _dispatch(
        self, message: messages.Message, frame: peer_codec.Frame
    ) -> None:
        self._liveness.note_call()
        if frame.is_reply:
            self._handle_reply(frame)
        elif self._is_stopping or self.closed:
            self._counts["calls_after_go_away"] += 1
        elif self.inbound_calls >= MAX_INBOUND or not self._bind_stream(frame):
            self._counts["calls_refused"] += 1
            self._inbound.note_received(frame.call)
            refusal = messages.overload_reply(message)
            self._post(frame.call, refusal, is_reply=True)
        else:
            message = messages.shorten(frame.message, self._queued_ms)
            self._inbound.start(
                dataclasses.replace(frame, message=message), self._handler
            )

    def _handle_reply(self, frame: peer_codec.Frame) -> None:
        call = self._in_flight.calls.pop(frame.call, None)
        if call is None:
            self._counts["answers_late"] += 1
            if isinstance(messages.body_of(frame.message), body.Stream):
                stop = stream_messages.StreamStop()
                self._post(frame.call, stop, is_reply=True)
            return
        self._bind_stream(frame)
        call.answer.set(frame.message)

    def _bind_stream(self, frame: peer_codec.Frame) -> bool:
        """Registers a message's streamed body, unless there are too many."""
        post = functools.partial(
            self._post, frame.call, is_reply=frame.is_reply
        )
        bound = self._in_flight.bind_stream(frame, post)
        self._counts["streams_refused"] += not bound
        return bound

    @_dispatch.register
    def _handle_ping(
        self, _: stream_messages.Ping, frame: peer_codec.Frame
    ) -> None:
        self._post(frame.call, stream_messages.Done(), is_reply=True)

    @_dispatch.register
    def _handle_cancel(
        self, _: stream_messages.Cancel, frame: peer_codec.Frame
    ) -> None:
        if self._inbound.cancel(frame.call):
            self._counts["calls_cancelled"] += 1

    @_dispatch.register
    def _handle_reclaim(
        self, _: stream_messages.Reclaim, frame: peer_codec.Frame
    ) -> None:
        self._inbound.start(
            frame, functools.partial(self._reclaim_handler, self.peer_hello)
        )

    @_dispatch.register
    def _handle_go_away(
        self, message: stream_messages.GoAway, _: peer_codec.Frame
    ) -> None:
        self.going_away = True
        self._outbound.fail_unhandled(
            message.last_call, "the peer stops and did not handle the message"
        )
        if not self._in_flight:
            self.close(peer_loss.Cause.PEER_STOPS)

    @_dispatch.register
    def _handle_stream(
        self,
        message: stream_messages.StreamPiece
        | stream_messages.StreamEnd
        | stream_messages.StreamCredit
        | stream_messages.StreamStop,
        frame: peer_codec.Frame,
    ) -> None:
        self._in_flight.handle_stream(message, (frame.call, frame.is_reply))

    def _make_outgoing(
        self,
        call: int,
        is_reply: bool,
        source: body.Stream,
        head: peer_message.OutgoingMessage | None = None,
    ) -> peer_body.Outgoing:
        outgoing = peer_body.Outgoing(
            source=source,
            on_ready=functools.partial(
                self._writer.enqueue_body, call, is_reply, head
            ),
            max_stall_s=peer_body.STALL_TIMEOUT_S if is_reply else None,
        )
        self._in_flight.outgoing[call, is_reply] = outgoing
        if self.closed:
            outgoing.stop()
        return outgoing

    def _post(
        self, call: int, message: messages.Message, *, is_reply: bool
    ) -> peer_message.OutgoingMessage:
        if self.closed:
            return peer_message.OutgoingMessage(
                b"", state=peer_message.State.WITHDRAWN
            )
        return self._writer.enqueue_message(call, message, is_reply)

    def call(
        self,
        message: messages.Message,
        *,
        timeout_ms: int,
        patience: peers_port.Patience,
    ) -> messages.Message:
        """Sends a message and waits for the reply.

        Sends a Cancel if the caller stops waiting before the reply arrives.

        Raises:
            errors.MessageNotSentError: No byte of the message was sent.
            errors.ReplyLostError: The reply was lost or timed out.
            peer_call.MovedError: The reply is to be reclaimed.
        """
        if (
            self.closed
            or self.going_away
            or self._writer.queued_frames >= MAX_QUEUED_FRAMES
        ):
            raise errors.MessageNotSentError(
                "the connection is closed or its send queue is full",
                remedy="retry on another connection",
            )
        return self._outbound.call(
            message, timeout_ms=timeout_ms, patience=patience
        )

    def close(self, cause: peer_loss.Cause, reason: str = "") -> None:
        """Closes the connection and fails the calls in flight.

        Args:
            cause: Why the connection ends.
            reason: Error or other detail of the cause.
        """
        if self._end(cause, reason):
            self._in_flight.fail(self.ending.problem)

    def go_away(self) -> None:
        """Handles no further calls, and tells the peer which was the last."""
        self._is_stopping = True
        last_call = self._inbound.last_call_id
        self._post(0, stream_messages.GoAway(last_call), is_reply=False)

    def move_calls(self, replacement: "Connection") -> None:
        """Ends the connection; its calls are reclaimed on another one."""
        if not self._end(peer_loss.Cause.REPLACED, delay_s=MOVED_CLOSE_DELAY_S):
            return
        self._outbound.move(
            replacement, self._hello.number, self.ending.problem
        )
        self._in_flight.end_streams(self.ending.problem)

    def retire(self) -> None:
        """Closes the connection; the peer reclaims calls that are in progress.

        Calls that have not been received will never be handled.
        """
        if self._end(peer_loss.Cause.REPLACED):
            self._inbound.retire()
            self._in_flight.end_streams(self.ending.problem)

    def reclaim(self, call: int) -> messages.Message:
        """Waits for the reply to a call of a retired connection."""
        return self._inbound.reclaim(call)

    def discard_unclaimed(self) -> bool:
        """Discards old replies; returns whether no call is in progress."""
        return self._inbound.discard_unclaimed()

    def _end(
        self, cause: peer_loss.Cause, reason: str = "", *, delay_s: float = 0.0
    ) -> bool:
        """Closes the socket and records why; returns False if it was closed.

        Args:
            cause: Why the connection ends.
            reason: Error or other detail of the cause.
            delay_s: Time after which the socket is closed.
        """
        if self.closed:
            return False
        self.closed = True
        self.ending = self._reporter.ending(self._peer(), cause, reason)
        self._on_end(self.ending)
        if delay_s:
            gevent.spawn_later(delay_s, self._sock.close)
        else:
            self._sock.close()
        self.handshake_done.set()
        return True

    def _peer(self) -> peer_loss.Peer:
        vm = self.peer_hello.vm if self.peer_hello else ""
        return peer_loss.Peer(vm, self.lane, self._accepted)
