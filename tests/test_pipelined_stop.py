"""A stop beside a caller that always has requests sent ahead.

Guards against requests that a stop takes on and cuts off at its limit.
"""

import time
import unittest
from unittest import mock

import gevent
from gevent import socket as gevent_socket

from primrosecross.adapters import boot_clock
from primrosecross.adapters import fleet_shutdown
from primrosecross.adapters.http import http_connection

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
AHEAD = 3
WORK_S = 0.05
STOP_LIMIT_MS = 6000
MAX_STOP_S = 4.0


class PipelinedStopTest(unittest.TestCase):
    """One caller, which sends a request for each answer."""

    # The connection was never closed, so the stop lasted for its whole limit.
    def test_stop_ends_before_its_limit(self):
        def handle(_):
            gevent.sleep(WORK_S)
            return http_connection.HttpReply(200, [], b"ok")

        server = http_connection.HttpServer(
            listen=("127.0.0.1", 0), handle=handle
        )
        server.start()
        sock = gevent_socket.create_connection(("127.0.0.1", server.port))
        self.addCleanup(sock.close)

        def call():
            sock.sendall(REQUEST * AHEAD)
            while data := sock.recv(4096):
                sock.sendall(REQUEST * data.count(b"HTTP/1.1 200"))

        task = gevent.spawn(call)
        self.addCleanup(task.kill)
        gevent.sleep(0.2)
        node, peers = mock.Mock(), mock.Mock()
        node.gate.in_flight = 0
        peers.requests_in_flight.return_value = 0
        started_s = time.monotonic()
        fleet_shutdown.run(
            node=node,
            callers=server,
            peers=peers,
            limit_ms=STOP_LIMIT_MS,
            clock=boot_clock.BootClock(),
        )
        self.assertLess(time.monotonic() - started_s, MAX_STOP_S)


if __name__ == "__main__":
    unittest.main()
