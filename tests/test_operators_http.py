"""Response latency of the HTTP server on a persistent connection."""

import http.client
import time
import unittest

from gevent import pywsgi

from primrosecross.adapters.http import http_server

PORTS = {pywsgi.WSGIServer: 31400, http_server.NoDelayWsgiServer: 31401}
REQUESTS = 10
MIN_SPEEDUP = 4


def _serve(environ, start_response):
    environ["wsgi.input"].read()
    start_response("200 OK", [("Content-Type", "text/plain")])
    return [b"answer"]


def _measure_s(kind: type[pywsgi.WSGIServer]) -> float:
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
    """Compares gevent's server with the one without Nagle's algorithm.

    With the algorithm, each response waits for a delayed acknowledgement.
    """

    def test_responses_do_not_wait_for_delayed_acknowledgements(self):
        default_s = _measure_s(pywsgi.WSGIServer)
        no_delay_s = _measure_s(http_server.NoDelayWsgiServer)
        self.assertLess(no_delay_s * MIN_SPEEDUP, default_s)
