"""Memory of a rejected body while its connection lingers.

Guards against uploads refused for memory that nobody uses.
"""

import unittest
from unittest import mock

import gevent
from gevent import socket as gevent_socket

from primrosecross.adapters import boot_clock
from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser
from primrosecross.domain.requests import body_memory

DECLARED_BYTES = 8 << 20


class LingerMemoryTest(unittest.TestCase):
    """One server, and a caller whose upload comes too slowly."""

    # The memory of a body rejected for keeping others out stayed taken while
    # its caller went on sending.
    def test_memory_of_a_rejected_body_is_free_once_it_was_answered(self):
        bodies = body_memory.BodyMemory(
            clock=boot_clock.BootClock(), max_bytes=12 << 20
        )
        server = http_connection.HttpServer(
            listen=("127.0.0.1", 0),
            handle=lambda request: http_connection.HttpReply(200),
            bodies=bodies,
        )
        server.start()
        self.addCleanup(server.stop)
        sock = gevent_socket.create_connection(("127.0.0.1", server.port))
        self.addCleanup(sock.close)
        with mock.patch.object(http_parser, "SLOW_BODY_S", 0.2):
            sock.sendall(
                b"POST / HTTP/1.1\r\nHost: h\r\n"
                b"Content-Length: %d\r\n\r\n" % DECLARED_BYTES
            )
            for _ in range(8):
                sock.send(b"x")
                gevent.sleep(0.1)
        sock.settimeout(2)
        self.assertIn(b" 408 ", sock.recv(4096))
        self.assertEqual(bodies.used_bytes, 0)


if __name__ == "__main__":
    unittest.main()
