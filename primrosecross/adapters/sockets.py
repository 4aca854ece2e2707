"""What can be told of a socket without reading from it."""

import socket

from gevent import socket as gevent_socket


def peek(sock: gevent_socket.socket) -> bytes | None:
    """Returns a byte that waits to be read, none at the end.

    Returns:
        None if nothing has come and the connection is open.

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


def has_ended(sock: gevent_socket.socket) -> bool:
    """Tells whether the other side closed or broke the connection."""
    try:
        return peek(sock) == b""
    except OSError:
        return True


def is_quiet(sock: gevent_socket.socket) -> bool:
    """Tells whether nothing came on a connection, not even its end."""
    try:
        return peek(sock) is None
    except OSError:
        return False
