"""A link whose connection stands still and goes on later, in memory.

Events happen one turn of the event loop after the other, so that tests can go
through their orders without waiting.
"""

import dataclasses
import errno
import itertools

import gevent
import gevent.event

from primrosecross.adapters import boot_clock
from primrosecross.adapters.peers import peer_codec
from primrosecross.adapters.peers import peer_link
from primrosecross.adapters.peers import peer_loss
from primrosecross.adapters.peers import peer_streams
from primrosecross.domain import errors
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from primrosecross.domain.requests import body
from primrosecross.domain.requests import request_messages
from primrosecross.ports import peers as peers_port
from tests import test_transport_peers

BUFFER_BYTES = 48 * 1024  # what a connection that stands still takes
UPLOAD_BYTES = 128 * 1024
RUNNING = "/running"
_PIECES = (stream_messages.StreamPiece, stream_messages.StreamEnd)
TIMEOUT_MS = 20_000
SETTLE_TURNS = 12


class Pipe:
    """One direction of a connection; it can stand still, and goes on whole.

    Attributes:
        sent: All bytes that the connection took.
        held: Whether the bytes wait on their way.
    """

    def __init__(self) -> None:
        self.sent = bytearray()
        self.held = False
        self._delivered = 0
        self._sender_closed = False
        self._receiver_closed = False
        self._readable = gevent.event.Event()
        self._writable = gevent.event.Event()

    def _wake(self) -> None:
        self._readable.set()
        self._writable.set()

    def set_held(self, held: bool) -> None:
        """Stops the bytes on their way, or lets them go on."""
        self.held = held
        self._wake()

    def send(self, data: memoryview) -> int:
        """Takes what its buffer has room for; waits while it has none."""
        while True:
            if self._sender_closed:
                raise OSError(errno.EBADF, "closed")
            if self._receiver_closed:
                raise OSError(errno.EPIPE, "the peer closed")
            room = BUFFER_BYTES - (len(self.sent) - self._delivered)
            if room > 0:
                break
            self._writable.clear()
            self._writable.wait()
        self.sent += data[:room]
        self._wake()
        return min(room, len(data))

    def recv(self) -> bytes:
        """Returns what has arrived; no bytes at the end."""
        while True:
            if self._receiver_closed:
                raise OSError(errno.EBADF, "closed")
            if not self.held and self._delivered < len(self.sent):
                break
            if not self.held and self._sender_closed:
                return b""
            self._readable.clear()
            self._readable.wait()
        data = bytes(self.sent[self._delivered :])
        self._delivered = len(self.sent)
        self._wake()
        return data

    def close_sender(self) -> None:
        """Ends the stream after the bytes that it took."""
        self._sender_closed = True
        self._wake()

    def close_receiver(self) -> None:
        """Takes no further bytes."""
        self._receiver_closed = True
        self._wake()


@dataclasses.dataclass(eq=False)
class PipeSocket:
    """Socket of one side, of which connections use no more than this."""

    outward: Pipe
    inward: Pipe

    def send(self, data, flags=0, timeout=None) -> int:
        """Sends, as a socket does."""
        del flags, timeout
        return self.outward.send(data)

    def recv(self, size: int) -> bytes:
        """Receives, as a socket does."""
        del size
        return self.inward.recv()

    def close(self) -> None:
        """Closes both directions."""
        self.outward.close_sender()
        self.inward.close_receiver()

    def setsockopt(self, *args) -> None:
        """Does nothing."""

    def settimeout(self, timeout) -> None:
        """Does nothing."""

    def fileno(self) -> int:
        """Returns no file."""
        return -1


def _make_streams(vm: str) -> peer_streams.PeerStreams:
    hello = stream_messages.Hello(
        peer_streams.PROTOCOL, "test", vm, "first", "requests"
    )
    return peer_streams.PeerStreams(
        hello=hello,
        listen=("127.0.0.1", 0),
        stamps=stamp.StampClock(clock=boot_clock.BootClock()),
    )


def _decode(data: bytes) -> list[peer_codec.Frame]:
    decoder = peer_codec.Decoder()
    decoder.accept_messages()
    return list(decoder.feed(data))


def settle() -> None:
    """Lets all tasks run until they wait."""
    for _ in range(SETTLE_TURNS):
        gevent.sleep(0)


class Scene:
    """A link whose first connection stands still, with calls on it.

    The first call fills the connection; a streamed one and two short ones
    queue behind it.

    Args:
        holds_replies: Whether the other direction stands still as well.
        has_running_call: Whether the peer runs a call that it received before.

    Attributes:
        outcomes: Reply to or error of each call that ended, by path.
        handled: Paths of the calls that the peer handled.
    """

    def __init__(
        self, *, holds_replies: bool = False, has_running_call: bool = False
    ) -> None:
        self._left = _make_streams("left")
        self._right = _make_streams("right")
        self._right.handler = self._handle
        self._pairs: list[tuple[PipeSocket, PipeSocket]] = []
        self.link = peer_link.Link(
            vm="right",
            open_connection=self._open,
            is_removed=lambda vm: False,
        )
        self.tasks: dict[str, gevent.Greenlet] = {}
        self.outcomes: dict[str, object] = {}
        self.handled: list[str] = []
        self._call_numbers = itertools.count(1)
        self._may_end = gevent.event.Event()
        self.link._dial()
        self.old = self.link.connection
        if has_running_call:
            self.start(RUNNING)
            settle()
        self._stall(holds_replies=holds_replies)

    def _stall(self, *, holds_replies: bool) -> None:
        self._pairs[0][0].outward.set_held(True)
        self._pairs[0][0].inward.set_held(holds_replies)
        self.start("/first", bytes(UPLOAD_BYTES))
        settle()
        self.start("/streamed", body.BufferedStream(bytes(UPLOAD_BYTES)))
        self.start("/booking")
        self.start("/other")
        settle()

    def _open(self):
        there, back = Pipe(), Pipe()
        left_sock, right_sock = PipeSocket(there, back), PipeSocket(back, there)
        self._pairs.append((left_sock, right_sock))
        gevent.spawn(self._right._accept, right_sock, None)
        connection = self._left._make_connection(
            left_sock, stream_messages.Lane.REQUESTS
        )
        gevent.spawn(connection.run)
        connection.handshake_done.wait()
        return connection

    def _handle(self, message):
        if isinstance(message, request_messages.Forward):
            self.handled.append(message.path)
            if message.path == RUNNING:
                self._may_end.wait()
            body.read_all(message.body)
        return stream_messages.Done()

    def start(self, path: str, content: body.Body = b"") -> None:
        """Starts a call."""
        self.tasks[path] = gevent.spawn(self._call, path, content)

    def _call(self, path: str, content: body.Body) -> None:
        message = test_transport_peers.make_forward(path, content)
        try:
            self.outcomes[path] = self.link.call(
                message,
                timeout_ms=TIMEOUT_MS,
                patience=peers_port.Patience.UNTIL_SILENT,
            )
        except errors.PeerError as error:
            self.outcomes[path] = error

    def play(self, event: str) -> None:
        """Lets an event happen."""
        EVENTS[event](self)

    def move(self) -> None:
        """Replaces all connections by a new one, which works."""
        earlier = self.link.connections()
        self.link._dial()
        for connection in earlier:
            connection.move_calls(self.link.connection)

    def cancel(self) -> None:
        """The callers of the first and of the last call go away."""
        for path in ("/first", "/other"):
            self.tasks[path].kill(block=False)

    def pass_deadline(self) -> None:
        """The time limit of "/booking" passes."""
        if "/booking" not in self.outcomes:
            self.tasks["/booking"].kill(gevent.Timeout(), block=False)

    def drain(self) -> None:
        """The peer stops, and says so on its connections."""
        for connection in self._right._accepted:
            connection.go_away()

    def give_up(self) -> None:
        """Calls are no longer waited for, as the peer is silent."""
        self.old.give_up_calls(list(peers_port.Patience))

    def go_on(self) -> None:
        """All connections go on with all that they took."""
        for pair in self._pairs:
            for sock in pair:
                sock.outward.set_held(False)

    def stall(self) -> None:
        """The newest connection stands still, in both directions."""
        for sock in self._pairs[-1]:
            sock.outward.set_held(True)

    def close_while_reading(self) -> None:
        """The peer retires its connections, and still reads what arrives."""
        for _, right_sock in self._pairs:
            right_sock.inward.close_receiver = lambda: None
        for connection in self._right._accepted:
            connection.retire()

    def close(self) -> None:
        """The first connection is closed on the caller's side."""
        self.old.close(peer_loss.Cause.PEER_GONE)

    def call(self) -> None:
        """Another call starts."""
        self.start(f"/later/{next(self._call_numbers)}")

    def end(self) -> None:
        """Lets the connection go on, and ends everything."""
        self.go_on()
        settle()
        self._may_end.set()
        settle()
        for pair in self._pairs:
            for sock in pair:
                sock.close()
        settle()
        gevent.killall(list(self.tasks.values()))

    def in_progress(self) -> int:
        """Returns how many calls the peer counts as in progress."""
        return self._right.requests_in_flight()

    def promised_paths(self) -> set[str]:
        """Returns the paths of calls that were said to be unsent."""
        return {
            path
            for path, result in self.outcomes.items()
            if isinstance(result, errors.MessageNotSentError)
        }

    def sent_frames(self) -> list[list[peer_codec.Frame]]:
        """Returns the complete frames that each connection took."""
        return [
            _decode(bytes(left_sock.outward.sent))
            for left_sock, _ in self._pairs
        ]

    def sent_paths(self) -> set[str]:
        """Returns the paths of the calls that any connection took."""
        return {
            frame.message.path
            for frames in self.sent_frames()
            for frame in frames
            if isinstance(frame.message, request_messages.Forward)
        }

    def headless_pieces(self) -> list[int]:
        """Returns the calls of pieces whose message was not sent before."""
        calls = []
        for frames in self.sent_frames():
            heads = {
                frame.call
                for frame in frames
                if isinstance(frame.message, request_messages.Forward)
            }
            calls += [
                frame.call
                for frame in frames
                if isinstance(frame.message, _PIECES)
                and frame.call not in heads
            ]
        return calls

    def falsely_promised(self) -> set[str]:
        """Returns the paths of calls that were said to be unsent and were not.

        Those that the peer itself said not to handle may have been sent.
        """
        promised_here = {
            path
            for path in self.promised_paths()
            if "did not" not in self.outcomes[path].problem
        }
        return self.promised_paths() & set(self.handled) | (
            promised_here & self.sent_paths()
        )


EVENTS = {
    "move": Scene.move,
    "cancel": Scene.cancel,
    "deadline": Scene.pass_deadline,
    "drain": Scene.drain,
    "go on": Scene.go_on,
    "give up": Scene.give_up,
    "close": Scene.close,
    "stall": Scene.stall,
    "call": Scene.call,
}
