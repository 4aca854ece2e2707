"""Serves readiness and metrics over HTTP."""

from collections.abc import Callable

from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser


class ReadyHandler:
    """Answers readiness checks and scrapes of the metrics.

    Args:
        ready_path: Path of the readiness check.
        metrics_path: Path of the metrics.
        is_ready: Returns whether callers' requests can be served.
        metrics_text: Returns the metrics in the Prometheus text format.
    """

    def __init__(
        self,
        *,
        ready_path: str,
        metrics_path: str,
        is_ready: Callable[[], bool],
        metrics_text: Callable[[], bytes],
    ) -> None:
        self._ready_path = ready_path
        self._metrics_path = metrics_path
        self._is_ready = is_ready
        self._metrics_text = metrics_text

    def handle(
        self, http_request: http_parser.HttpRequest
    ) -> http_connection.HttpReply:
        """Returns the response to a request."""
        path = http_request.target.partition("?")[0]
        if path == self._ready_path:
            return http_connection.HttpReply(200 if self._is_ready() else 503)
        if path == self._metrics_path:
            return http_connection.HttpReply(200, [], self._metrics_text())
        return http_connection.HttpReply(404)
