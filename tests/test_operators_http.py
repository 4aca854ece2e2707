"""The HTTP server's answers on a kept connection."""

import http.client
import time
import unittest

from gevent import pywsgi

from primrosecross.adapters import http_server

PORTS = {pywsgi.WSGIServer: 31400, http_server.HttpServer: 31401}
REQUESTS = 10
RATIO = 4


def _serve(environ, start_response):
    environ["wsgi.input"].read()
    start_response("200 OK", [("Content-Type", "text/plain")])
    return [b"answer"]


def _time_s(kind: type[pywsgi.WSGIServer]) -> float:
    listen = ("127.0.0.1", PORTS[kind])
    server = kind(listen, _serve, log=None, error_log=None)
    server.start()
    connection = http.client.HTTPConnection(*listen)
    try:
        started_s = time.monotonic()
        for _ in range(REQUESTS):
            connection.request("POST", "/", b"{}")
            connection.getresponse().read()
        return time.monotonic() - started_s
    finally:
        connection.close()
        server.stop()


class HttpServerTest(unittest.TestCase):
    """Answers of the plain server and of ours, side by side."""

    def test_answers_do_not_wait_for_acknowledgements(self):
        plain_s = _time_s(pywsgi.WSGIServer)
        ours_s = _time_s(http_server.HttpServer)
        self.assertLess(ours_s * RATIO, plain_s)
