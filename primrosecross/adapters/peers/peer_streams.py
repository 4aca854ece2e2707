"""Connections to all other daemons, one per peer and lane."""

import collections
import dataclasses
import functools
import itertools
import logging
import time
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent import pool as gevent_pool
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from primrosecross.adapters import loop_lateness
from primrosecross.adapters import sockets
from primrosecross.adapters.peers import peer_connection
from primrosecross.adapters.peers import peer_greeting
from primrosecross.adapters.peers import peer_link
from primrosecross.adapters.peers import peer_loss
from primrosecross.adapters.peers import peer_writer
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from primrosecross.domain.operators import events
from primrosecross.models import addresses
from primrosecross.ports import peers as peers_port

PROTOCOL = peer_greeting.PROTOCOL
CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 1.0
IDLE_CHECK_ROUNDS = 28  # liveness rounds per idle check; about 10 s
MAX_ACCEPTED_CONNECTIONS = 4096
GO_AWAY_TIMEOUT_S = 0.3
GO_AWAY_POLL_S = 0.02

_GIVEN_UP = frozenset(
    {
        peer_loss.Cause.REPLACED,
        peer_loss.Cause.PEER_GONE,
        peer_loss.Cause.PEER_RESTARTED,
    }
)

_logger = logging.getLogger(__name__)


class SocketWrapper(Protocol):
    """Secures connections between daemons, as peer_tls.PeerTls does."""

    def wrap(
        self, sock: gevent_socket.socket, *, accepted: bool
    ) -> gevent_socket.socket:
        """Returns the secured socket; raises OSError if the handshake fails."""

    def certificate_names_of(
        self, sock: gevent_socket.socket
    ) -> frozenset[str]:
        """Returns the VM names in the peer's certificate."""


class PeerStreams:
    """Connections to all other daemons and the server that accepts theirs.

    Each daemon sends its calls on connections that it opened itself: one per
    peer and lane, opened on demand and closed when idle.

    Args:
        hello: Greeting of this daemon; the lane is set per connection.
        listen: Address to listen on, as (ip, port).
        stamps: Stamps sent and received messages.
        record: Records events in the timeline.
        tls: Secures connections; None accepts any peer without TLS.
    """

    def __init__(
        self,
        *,
        hello: stream_messages.Hello,
        listen: tuple[str, int] | gevent_socket.socket,
        stamps: stamp.StampClock,
        record: Callable[[events.Event], None] = lambda event: None,
        tls: SocketWrapper | None = None,
    ) -> None:
        self._tls = tls
        self._stamps = stamps
        self.traffic = peer_writer.Traffic()
        self._hello = hello
        self._record = record
        self._addresses: dict[str, str] = {}
        self._refused_addresses: dict[str, str] = {}
        self._links: dict[tuple[str, stream_messages.Lane], peer_link.Link] = {}
        self._connection_numbers = itertools.count(1)
        self._accepted: set[peer_connection.Connection] = set()
        # Accepted connections that were replaced, with calls in progress.
        self._retired: set[peer_connection.Connection] = set()
        self._monitor_task: gevent.Greenlet | None = None
        self._server = gevent_server.StreamServer(
            listen,
            self._accept,
            spawn=gevent_pool.Pool(MAX_ACCEPTED_CONNECTIONS),
        )
        self.counts: collections.Counter[str] = collections.Counter()
        self.lateness = loop_lateness.LatenessMeter()
        self.handler: peers_port.Handler = _reject_not_ready
        self.is_removed: Callable[[str], bool] = lambda vm: False

    def start(self) -> None:
        """Starts listening; raises OSError if the port is in use."""
        self._server.start()
        self._monitor_task = gevent.spawn(self._monitor)

    def _monitor(self) -> None:
        """Checks the liveness of all connections and closes idle ones."""
        rounds = 0
        while True:
            self.lateness.sleep(peer_connection.PING_INTERVAL_S)
            rounds += 1
            idle_check_due = rounds % IDLE_CHECK_ROUNDS == 0
            for connection in list(self._accepted):
                connection.check(idle_check_due=idle_check_due)
            for link in list(self._links.values()):
                link.check(idle_check_due=idle_check_due)
            for connection in list(self._retired):
                if connection.discard_unclaimed():
                    self._retired.discard(connection)

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        if self._monitor_task is not None:
            self._monitor_task.kill(block=False)
        for connection in self._accepted:
            connection.go_away()
        self._await_ends()
        for endpoint in (*self._links.values(), *self._accepted):
            endpoint.close(peer_loss.Cause.STOPPED)

    def _await_ends(self) -> None:
        """Waits for peers to read that this daemon stops, and to close."""
        until_s = time.monotonic() + GO_AWAY_TIMEOUT_S
        while self._accepted and time.monotonic() < until_s:
            gevent.sleep(GO_AWAY_POLL_S)

    def requests_in_flight(self) -> int:
        """Returns the number of other daemons' requests in progress."""
        return sum(
            connection.inbound_calls
            for connection in (*self._accepted, *self._retired)
            if connection.lane == stream_messages.Lane.REQUESTS
        )

    def set_address(self, vm: str, address: str) -> None:
        """Sets the address of a VM's daemon, as "ip:port".

        An invalid one is logged once, and the last valid one is kept.
        """
        previous_address = self._addresses.get(vm)
        if previous_address == address:
            return
        try:
            addresses.parse(address)
        except ValueError as error:
            if self._refused_addresses.get(vm) != address:
                self._refused_addresses[vm] = address
                _logger.warning("invalid address of VM %s: %s", vm, error)
            return
        self._addresses[vm] = address
        for lane in stream_messages.Lane:
            link = self._links.pop((vm, lane), None)
            if link is not None:
                link.close(
                    peer_loss.Cause.ADDRESS_CHANGED,
                    f"{previous_address} to {address}",
                )

    def call(
        self,
        vm: str,
        message: messages.Message,
        *,
        timeout_ms: int,
        patience: peers_port.Patience = peers_port.Patience.UNTIL_SILENT,
    ) -> messages.Message:
        """Sends a message to a VM's daemon and waits for the reply."""
        link = self._link(vm, messages.lane_of(message))
        return link.call(message, timeout_ms=timeout_ms, patience=patience)

    def _link(self, vm: str, lane: stream_messages.Lane) -> peer_link.Link:
        link = self._links.get((vm, lane))
        if link is None:
            link = self._links[vm, lane] = peer_link.Link(
                vm=vm,
                open_connection=functools.partial(
                    self._open_connection, vm, lane
                ),
                is_removed=lambda vm: self.is_removed(vm),
            )
        return link

    def _open_connection(
        self, vm: str, lane: stream_messages.Lane
    ) -> peer_connection.Connection:
        address = self._addresses.get(vm)
        if address is None:
            raise errors.MessageNotSentError(
                f"the address of {vm} is unknown",
                remedy="retry once the assignment includes it",
            )
        sock = sockets.connect(
            addresses.parse(address), timeout_s=CONNECT_TIMEOUT_S
        )
        connection = self._make_connection(sock, lane)
        gevent.spawn(connection.run)
        connection.handshake_done.wait(timeout=HELLO_TIMEOUT_S)
        # The VM name of a seed is unknown; the seed is called by its address.
        expected_vm = vm if vm != address else None
        peer_hello = connection.peer_hello
        if peer_hello is None or expected_vm not in (None, peer_hello.vm):
            problem = f"{address} completed no handshake as {vm}"
            connection.close(peer_loss.Cause.HANDSHAKE_FAILED, problem)
            raise errors.MessageNotSentError(
                problem,
                remedy="check which daemon listens there",
            )
        return connection

    def _make_connection(
        self,
        sock: gevent_socket.socket,
        lane: stream_messages.Lane,
        *,
        accepted: bool = False,
    ) -> peer_connection.Connection:
        certificate_names = None
        if self._tls is not None:
            sock = self._tls.wrap(sock, accepted=accepted)
            certificate_names = self._tls.certificate_names_of(sock)
        return peer_connection.Connection(
            sock=sock,
            hello=dataclasses.replace(
                self._hello,
                lane=lane,
                number=0 if accepted else next(self._connection_numbers),
            ),
            handler=self._call_handler,
            reclaim_handler=self._answer_reclaim,
            stamps=self._stamps,
            on_end=self._record_end,
            counts=self.counts,
            traffic=self.traffic,
            accepted=accepted,
            certificate_names=certificate_names,
        )

    def _record_end(self, ending: peer_loss.Ending) -> None:
        peer_loss.record(ending, self.counts)
        if ending.cause in _GIVEN_UP and ending.losses.calls_lost:
            self.counts["connections_given_up"] += 1
            self._record(
                events.ConnectionGivenUp(
                    ending.peer.vm,
                    ending.peer.lane,
                    ending.losses.calls_lost,
                )
            )

    def _call_handler(self, message: messages.Message) -> messages.Message:
        return self.handler(message)

    def _answer_reclaim(
        self, opener: stream_messages.Hello, reclaim: stream_messages.Reclaim
    ) -> messages.Message:
        for connection in (*self._accepted, *self._retired):
            if _was_opened_by(connection, opener, reclaim.connection):
                connection.retire()
                self._retired.add(connection)
                return connection.reclaim(reclaim.call)
        return stream_messages.Failure(
            "the connection of the reclaimed call is unknown",
            "retry the request if it is idempotent",
        )

    def _accept(self, sock: gevent_socket.socket, _: object) -> None:
        try:
            connection = self._make_connection(
                sock, stream_messages.Lane.CONTROL, accepted=True
            )
        except OSError as error:
            _logger.info("rejected a peer connection: %s", error)
            sock.close()
            return
        self._accepted.add(connection)
        try:
            connection.run()
        finally:
            self._accepted.discard(connection)


def _was_opened_by(
    connection: peer_connection.Connection,
    opener: stream_messages.Hello,
    number: int,
) -> bool:
    """Returns whether a peer's process opened a connection under a number."""
    hello = connection.peer_hello
    return hello is not None and (
        (hello.vm, hello.incarnation, hello.number)
        == (opener.vm, opener.incarnation, number)
    )


def _reject_not_ready(message: messages.Message) -> messages.Message:
    return stream_messages.Failure(
        f"{type(message).__name__} arrived before the daemon was ready",
        "retry the message",
    )
