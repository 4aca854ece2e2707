"""Calls to the peer of one connection: sends them and waits for the replies."""

import contextlib
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from typing import Any
from typing import Protocol

import gevent

from primrosecross.adapters.peers import peer_body
from primrosecross.adapters.peers import peer_call
from primrosecross.adapters.peers import peer_in_flight
from primrosecross.adapters.peers import peer_message
from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.domain.requests import body
from primrosecross.ports import peers as peers_port

_NO_BODY = contextlib.nullcontext()


class PostCall(Protocol):
    """Queues a message of a call."""

    def __call__(
        self,
        call: int,
        message: messages.Message,
        *,
        is_reply: bool,
    ) -> peer_message.OutgoingMessage:
        """Queues a message, unless the connection is closed."""


class OutboundCalls:
    """Calls to the peer in progress.

    Args:
        in_flight: What is in flight on the connection.
        post: Queues a message of a call.
        make_outgoing: Returns the sender of a call's streamed body.
    """

    def __init__(
        self,
        *,
        in_flight: peer_in_flight.InFlight,
        post: PostCall,
        make_outgoing: Callable[
            [int, body.Stream, peer_message.OutgoingMessage], peer_body.Outgoing
        ],
    ) -> None:
        self._in_flight = in_flight
        self._post = post
        self._make_outgoing = make_outgoing
        self._last_call_id = 0

    def call(
        self,
        message: messages.Message,
        *,
        timeout_ms: int,
        patience: peers_port.Patience,
    ) -> messages.Message:
        """Sends a message and waits for the reply; see Connection.call."""
        self._last_call_id += 1
        call_id = self._last_call_id
        call = peer_call.Call(
            self._post(call_id, message, is_reply=False),
            messages.request_id_of(message),
            patience,
        )
        self._in_flight.calls[call_id] = call
        try:
            with self._body_context(call_id, message, call.message):
                return call.answer.get(timeout=timeout_ms / 1000)
        except gevent.Timeout as error:
            raise call.timeout_error(timeout_ms) from error
        finally:
            is_unsent = call.message.withdraw()
            is_pending = self._in_flight.calls.pop(call_id, None) is not None
            if is_pending and not is_unsent:
                self._post(call_id, stream_messages.Cancel(), is_reply=False)

    def _body_context(
        self,
        call_id: int,
        message: messages.Message,
        head: peer_message.OutgoingMessage,
    ) -> contextlib.AbstractContextManager:
        stream = messages.body_of(message)
        if not isinstance(stream, body.Stream):
            return _NO_BODY
        return self._send_body(call_id, stream, head)

    @contextlib.contextmanager
    def _send_body(
        self,
        call_id: int,
        stream: body.Stream,
        head: peer_message.OutgoingMessage,
    ) -> Iterator[None]:
        """Sends a call's body while the caller waits for the reply."""
        outgoing = self._make_outgoing(call_id, stream, head)
        task = outgoing.start()
        try:
            yield
        finally:
            outgoing.stop()
            task.kill()
            self._in_flight.outgoing.pop((call_id, False), None)

    def give_up(
        self, patience: Collection[peers_port.Patience], problem: str
    ) -> list[peer_call.Call]:
        """Fails the calls of some patience and returns them."""
        given_up = [
            call
            for call in self._in_flight.calls.values()
            if call.patience in patience and not call.answer.ready()
        ]
        for call in given_up:
            call.fail(problem)
        return given_up

    def fail_unhandled(self, last_call: int, problem: str) -> None:
        """Fails the calls after the last one that the peer handles."""
        for call_id, call in list(self._in_flight.calls.items()):
            if call_id > last_call:
                del self._in_flight.calls[call_id]
                call.fail_unhandled(problem)

    def move(self, replacement: Any, number: int, problem: str) -> None:
        """Lets all callers reclaim their replies on another connection.

        Args:
            replacement: A peer_connection.Connection to the same process.
            number: Number of this connection.
            problem: Why this connection ended.
        """
        calls, self._in_flight.calls = self._in_flight.calls, {}
        for call_id, call in calls.items():
            reclaim = stream_messages.Reclaim(number, call_id)
            call.move(peer_call.MovedError(replacement, reclaim), problem)
