"""Streams of msgpack frames between daemons over TCP.

Each connection has one task that reads; a second one only gathers what is
ready to be written into one send.
"""

import dataclasses
import logging
import random
import socket

import gevent
from gevent import event as gevent_event
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from primrosecross.adapters import peer_codec
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stamp
from primrosecross.ports import peers as peers_port

PROTOCOL = 1
CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
RECEIVE_BYTES = 256 * 1024
RETRY_MS = 100

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes over all peer connections of this daemon."""

    sent_bytes: int = 0
    received_bytes: int = 0


class Connection:
    """One connection to another daemon.

    Args:
        sock: Connected socket.
        hello: What this side says of itself.
        handler: Answers messages from the other side.
        stamps: Stamps sent and received messages.
        traffic: Counts bytes over all connections.
    """

    def __init__(
        self,
        *,
        sock: gevent_socket.socket,
        hello: messages.Hello,
        handler: peers_port.Handler,
        stamps: stamp.StampClock,
        traffic: Traffic,
    ) -> None:
        self._stamps = stamps
        self._traffic = traffic
        self._sock = sock
        self._hello = hello
        self._handler = handler
        self._decoder = peer_codec.Decoder()
        self._pending: list[bytes] = []
        self._ready = gevent_event.Event()
        self._calls: dict[int, gevent_event.AsyncResult] = {}
        self._last_call = 0
        self.closed = False
        self.greeted = gevent_event.Event()
        self.other: messages.Hello | None = None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def run(self) -> None:
        """Greets and reads until the connection ends."""
        writer = gevent.spawn(self._write)
        try:
            self._post(0, self._hello, is_answer=False)
            self._read()
        except (OSError, errors.PeerError) as error:
            _logger.info("peer connection ended: %s", error)
        finally:
            self._close()
            writer.kill(block=False)

    def _read(self) -> None:
        while data := self._sock.recv(RECEIVE_BYTES):
            self._traffic.received_bytes += len(data)
            for frame in self._decoder.feed(data):
                self._receive(frame)

    def _receive(self, frame: peer_codec.Frame) -> None:
        self._stamps.observe(frame.stamp)
        if self.other is None:
            self._greet(frame.message)
        elif frame.is_answer:
            waiting = self._calls.pop(frame.call, None)
            if waiting is not None:
                waiting.set(frame.message)
        else:
            gevent.spawn(self._answer, frame)

    def _greet(self, message: messages.Message) -> None:
        mine = self._hello
        if not isinstance(message, messages.Hello):
            raise errors.PeerProtocolError(
                "the first message was no greeting",
                remedy="connect only daemons to the peer port",
            )
        if (message.protocol, message.cluster) != (PROTOCOL, mine.cluster):
            raise errors.PeerProtocolError(
                f"peer {message.vm} of cluster {message.cluster} speaks "
                f"protocol {message.protocol}",
                remedy=f"use protocol {PROTOCOL} and cluster {mine.cluster}",
            )
        self.other = message
        self.greeted.set()

    def _answer(self, frame: peer_codec.Frame) -> None:
        answer = self._handler(frame.message)
        self._post(frame.call, answer, is_answer=True)

    def _post(
        self, call: int, message: messages.Message, *, is_answer: bool
    ) -> None:
        if not self.closed:
            frame = peer_codec.Frame(
                call, is_answer, self._stamps.now(), message
            )
            self._pending.append(peer_codec.encode(frame))
            self._ready.set()

    def _write(self) -> None:
        try:
            while True:
                self._ready.wait()
                self._ready.clear()
                pending, self._pending = self._pending, []
                data = b"".join(pending)
                self._traffic.sent_bytes += len(data)
                self._sock.sendall(data)
        except OSError:
            self._close()

    def call(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        """Sends a message and waits for its answer.

        Raises:
            errors.PeerUnsentError: The connection had already ended.
            errors.PeerLostError: No answer came in time.
        """
        if self.closed:
            raise errors.PeerUnsentError(
                "the connection has ended", remedy="retry on another one"
            )
        self._last_call += 1
        number = self._last_call
        waiting = gevent_event.AsyncResult()
        self._calls[number] = waiting
        self._post(number, message, is_answer=False)
        try:
            return waiting.get(timeout=timeout_ms / 1000)
        except gevent.Timeout as error:
            raise errors.PeerLostError(
                f"no answer within {timeout_ms} ms",
                remedy="check the peer and the network to it",
            ) from error
        finally:
            self._calls.pop(number, None)

    def _close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._sock.close()
        lost = errors.PeerLostError(
            "the connection ended before the answer",
            remedy="check the peer and the network to it",
        )
        for waiting in self._calls.values():
            waiting.set_exception(lost)
        self._calls.clear()
        self.greeted.set()

    def close(self) -> None:
        """Ends the connection; calls in flight fail."""
        self._close()


class PeerStreams:
    """Connections to all other daemons and the server they connect to.

    Args:
        hello: What this daemon says of itself.
        listen: Address to listen on, as (ip, port).
        stamps: Stamps sent and received messages.
    """

    def __init__(
        self,
        *,
        hello: messages.Hello,
        listen: tuple[str, int],
        stamps: stamp.StampClock,
    ) -> None:
        self._stamps = stamps
        self.traffic = Traffic()
        self._hello = hello
        self._addresses: dict[str, str] = {}
        self._connections: dict[str, Connection] = {}
        self._dialing: dict[str, gevent.Greenlet] = {}
        self._server = gevent_server.StreamServer(listen, self._accept)
        self.handler: peers_port.Handler = _no_handler

    def start(self) -> None:
        """Begins to listen; raises OSError when the port is taken."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening and ends all connections."""
        self._server.stop()
        for connection in list(self._connections.values()):
            connection.close()

    def learn_address(self, vm: str, address: str) -> None:
        """Sets where a VM's daemon listens, as "ip:port"."""
        self._addresses[vm] = address

    def call(
        self, vm: str, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        """Sends a message to a VM's daemon and waits for its answer."""
        connection = self._connect(vm)
        return connection.call(message, timeout_ms=timeout_ms)

    def _connect(self, vm: str) -> Connection:
        connection = self._connections.get(vm)
        if connection is not None and not connection.closed:
            return connection
        dialing = self._dialing.get(vm)
        if dialing is None or dialing.dead:
            dialing = gevent.spawn(self._dial, vm)
            self._dialing[vm] = dialing
        dialing.join()
        connection = self._connections.get(vm)
        if connection is None or connection.closed:
            raise errors.PeerUnsentError(
                f"cannot connect to {vm}",
                remedy="check that its daemon runs and is reachable",
            )
        return connection

    def _dial(self, vm: str) -> None:
        host, _, port = self._addresses.get(vm, "").rpartition(":")
        if not host:
            return
        try:
            sock = gevent_socket.create_connection(
                (host, int(port)), timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            gevent.sleep(random.uniform(0.5, 1.0) * RETRY_MS / 1000)
            return
        sock.settimeout(None)
        connection = self._make(sock)
        gevent.spawn(connection.run)
        connection.greeted.wait(timeout=HELLO_TIMEOUT_S)
        if connection.other is None or connection.other.vm != vm:
            connection.close()
            return
        self._connections[vm] = connection

    def _make(self, sock: gevent_socket.socket) -> Connection:
        return Connection(
            sock=sock,
            hello=self._hello,
            handler=self._handle,
            stamps=self._stamps,
            traffic=self.traffic,
        )

    def _handle(self, message: messages.Message) -> messages.Message:
        return self.handler(message)

    def _accept(self, sock: gevent_socket.socket, _: object) -> None:
        self._make(sock).run()


def _no_handler(message: messages.Message) -> messages.Message:
    return messages.Failure(
        f"{type(message).__name__} came before the daemon was ready",
        "send it again",
    )
