"""HTTP server whose answers leave at once."""

import socket

from gevent import pywsgi


class HttpServer(pywsgi.WSGIServer):
    """gevent's WSGI server without Nagle's algorithm.

    The server sends an answer in two writes; with the algorithm on, the
    second waits for the delayed acknowledgement of the first, 40 ms on Linux.
    """

    def handle(self, sock: socket.socket, address: tuple) -> None:
        """Serves one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)
