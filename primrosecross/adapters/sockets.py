"""State of a socket, and reads that leave time to other tasks."""

import fcntl
import logging
import socket
import struct
import termios

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

YIELD_BYTES = 256 * 1024
SEND_BYTES = 64 * 1024

_logger = logging.getLogger(__name__)


def connect(
    address: tuple[str, int], *, timeout_s: float
) -> gevent_socket.socket:
    """Connects to an IP address by TCP.

    Args:
        address: IP address and port; a name would need a resolver's thread.
        timeout_s: Maximum time to wait; the socket keeps it as its timeout.

    Raises:
        OSError: No connection was made in time.
    """
    sock = gevent_socket.socket(family_of(address[0]), socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return sock


def family_of(ip: str) -> socket.AddressFamily:
    """Returns the address family of an IP address."""
    return socket.AF_INET6 if ":" in ip else socket.AF_INET


def peek(sock: gevent_socket.socket) -> bytes | None:
    """Returns the next unread byte without consuming it.

    Returns:
        One byte; no bytes at end of stream; None if nothing is readable.

    Raises:
        OSError: The connection is broken.
    """
    timeout_s = sock.gettimeout()
    try:
        sock.setblocking(False)
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    finally:
        sock.settimeout(timeout_s)


def is_closed_by_peer(sock: gevent_socket.socket) -> bool:
    """Returns whether the connection is broken or at its end of stream.

    False while unread data precedes the end of stream.
    """
    try:
        return peek(sock) == b""
    except OSError:
        return True


def has_unread(sock: gevent_socket.socket) -> bool:
    """Returns whether data can be read."""
    try:
        return bool(peek(sock))
    except OSError:
        return False


def is_idle(sock: gevent_socket.socket) -> bool:
    """Returns whether neither data nor end of stream is readable."""
    try:
        return peek(sock) is None
    except OSError:
        return False


def close_listener(server: gevent_server.StreamServer) -> None:
    """Stops listening, and accepts the connections in the backlog before.

    The system has accepted them for the server, and closing the listening
    socket would reset them.
    """
    if not server.started:
        return
    server.stop_accepting()
    try:
        while not server.full() and (accepted := server.do_read()):
            server.do_handle(*accepted)
    except OSError as error:  # such as too many open files
        _logger.error("cannot accept the rest of the backlog: %s", error)
    server.close()


def unacknowledged_bytes(sock: gevent_socket.socket) -> int | None:
    """Returns the bytes sent that the peer's host did not acknowledge.

    None if the socket is closed or the system does not tell.
    """
    return _query_bytes(sock, termios.TIOCOUTQ)


def unread_bytes(sock: gevent_socket.socket) -> int | None:
    """Returns the bytes received and not yet read; None as above."""
    return _query_bytes(sock, termios.FIONREAD)


def _query_bytes(sock: gevent_socket.socket, operation: int) -> int | None:
    try:
        reply = fcntl.ioctl(sock.fileno(), operation, struct.pack("i", 0))
    except (OSError, ValueError):
        return None
    return struct.unpack("i", reply)[0]


class LoopShare:
    """Lets other tasks and timers run while a task reads or sends fast.

    gevent's recv returns without a switch to the event loop while data is
    readable. Without a pause, a sender that is faster than its reader keeps all
    other tasks waiting, and the reader's own time limit never takes effect.

    Args:
        yield_bytes: Bytes between pauses.
    """

    def __init__(self, yield_bytes: int = YIELD_BYTES) -> None:
        self._yield_bytes = yield_bytes
        self._unshared_bytes = 0

    def record(self, byte_count: int) -> None:
        """Counts bytes; lets other tasks run after yield_bytes of them."""
        self._unshared_bytes += byte_count
        if self._unshared_bytes >= self._yield_bytes:
            self._unshared_bytes = 0
            gevent.sleep(0)


def send(
    sock: gevent_socket.socket, head: bytes, body: bytes, share: LoopShare
) -> None:
    """Sends a message; a long body in parts, between which others run.

    Raises:
        OSError: The connection failed.
    """
    if len(body) <= SEND_BYTES:
        sock.sendall(head + body)
        share.record(len(body))
        return
    sock.sendall(head)
    view = memoryview(body)
    for first in range(0, len(view), SEND_BYTES):
        part = view[first : first + SEND_BYTES]
        sock.sendall(part)
        share.record(len(part))
