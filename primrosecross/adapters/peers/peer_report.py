"""What a connection to another daemon reports of its silence and its end."""

import time

from gevent import socket as gevent_socket

from primrosecross.adapters import sockets
from primrosecross.adapters.peers import peer_in_flight
from primrosecross.adapters.peers import peer_liveness
from primrosecross.adapters.peers import peer_loss
from primrosecross.adapters.peers import peer_writer


class Reporter:
    """Describes the state of one connection.

    Args:
        sock: Socket of the connection.
        liveness: Liveness of its peer.
        in_flight: What is in flight on it.
        writer: Its send queue.
    """

    def __init__(
        self,
        *,
        sock: gevent_socket.socket,
        liveness: peer_liveness.Liveness,
        in_flight: peer_in_flight.InFlight,
        writer: peer_writer.Writer,
    ) -> None:
        self._sock = sock
        self._liveness = liveness
        self._in_flight = in_flight
        self._writer = writer

    def _silent_ms(self) -> int:
        silent_since_s = max(
            self._liveness.last_received_s, self._in_flight.oldest_call_s()
        )
        return int((time.monotonic() - silent_since_s) * 1000)

    def silence(self, peer: peer_loss.Peer) -> peer_loss.Silence:
        """Describes the silence of a peer, or its end."""
        ids = [call.request_id for call in self._in_flight.calls.values()]
        return peer_loss.Silence(
            peer=peer,
            silent=self._liveness.silent,
            silent_ms=self._silent_ms(),
            blocked_ms=self._writer.backlog().blocked_ms,
            request_ids=tuple(i for i in ids if i),
        )

    def ending(
        self, peer: peer_loss.Peer, cause: peer_loss.Cause, reason: str
    ) -> peer_loss.Ending:
        """Describes the end of the connection, before its socket is closed."""
        backlog = self._writer.backlog()
        return peer_loss.Ending(
            peer=peer,
            cause=cause,
            reason=reason,
            age_ms=int(self._liveness.age_s() * 1000),
            silent_ms=self._silent_ms(),
            backlog=backlog,
            unacknowledged_bytes=sockets.unacknowledged_bytes(self._sock),
            unread_bytes=sockets.unread_bytes(self._sock),
            losses=self._in_flight.losses(backlog.answer_ids),
        )
