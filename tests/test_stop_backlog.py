"""Connections that a stop finds in the backlog of a listening port.

Guards against a planned stop that resets requests which callers had sent on
connections that the system had accepted and the daemon had not.
"""

import socket
import unittest
from unittest import mock

import gevent

from primrosecross.adapters.http import caller_http
from primrosecross.adapters.http import http_connection
from primrosecross.domain.requests import outcome
from tests import fakes

CALLERS = 20
REQUEST = b"GET /s/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class BacklogTest(unittest.TestCase):
    """Callers connect and send while the daemon does not run."""

    def _connect(self, port: int) -> list[socket.socket]:
        """Connects and sends without letting the server's tasks run."""
        callers = []
        for _ in range(CALLERS):
            caller = socket.create_connection(("127.0.0.1", port))
            self.addCleanup(caller.close)
            caller.sendall(REQUEST)
            callers.append(caller)
        return callers

    def _check_answers(self, callers: list[socket.socket]) -> None:
        gevent.sleep(0.2)
        for caller in callers:
            caller.settimeout(2)
            self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 200"))

    def test_platform_server_answers_its_backlog(self):
        server = http_connection.HttpServer(
            listen=("127.0.0.1", 0),
            handle=lambda request: http_connection.HttpReply(200),
        )
        server.start()
        callers = self._connect(server.port)
        server.stop_reading()
        self._check_answers(callers)

    def test_product_server_answers_its_backlog(self):
        router = mock.Mock()
        router.route.return_value = outcome.Answered(200, (), b"ok")
        state = mock.Mock()
        state.plan.services = {}
        server = caller_http.CallerServer(
            listen=("127.0.0.1", 0),
            router=router,
            state=state,
            clock=fakes.ManualClock(),
        )
        server.start()
        self.addCleanup(server.stop)
        callers = self._connect(server._server.server_port)
        server.stop_listening()
        self._check_answers(callers)
