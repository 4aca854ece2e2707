"""HTTP server for callers' requests.

The path is /SERVICE/KEY/... for keyed services and /SERVICE/... for others.
Errors are problem details (RFC 9457) with the outcome as a member.
"""

import functools
import json
import uuid
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from urllib import parse

from gevent import pool as gevent_pool

from primrosecross.adapters import sockets
from primrosecross.adapters.http import caller_body
from primrosecross.adapters.http import caller_connection
from primrosecross.adapters.http import http_server
from primrosecross.domain import errors
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.requests import body
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.domain.requests import router as router_module
from primrosecross.ports import clock as clock_port

OUTCOME_HEADER = "Primrosecross-Outcome"
TIMEOUT_FIELD = "HTTP_PRIMROSECROSS_TIMEOUT_MS"
IDEMPOTENCY_FIELD = "HTTP_IDEMPOTENCY_KEY"
ATTEMPT_FIELD = "HTTP_PRIMROSECROSS_ATTEMPT"
MAX_IDEMPOTENCY_KEY_CHARS = 255
DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_MAX_BODY_BYTES = 1 << 20
MAX_CONNECTIONS = 4096
FORWARDED_FIELDS = (
    "CONTENT_TYPE",
    "HTTP_ACCEPT",
    "HTTP_AUTHORIZATION",
    "HTTP_CONTENT_DIGEST",
)

_STATUS_BY_REASON = {
    outcome.Reason.UNKNOWN_SERVICE: (404, "Not Found"),
    outcome.Reason.BAD_REQUEST: (400, "Bad Request"),
    outcome.Reason.BODY_TOO_LARGE: (413, "Content Too Large"),
    outcome.Reason.OVERLOADED: (429, "Too Many Requests"),
    outcome.Reason.DEADLINE: (504, "Gateway Timeout"),
    outcome.Reason.DUPLICATE: (409, "Conflict"),
    outcome.Reason.MISMATCH: (422, "Unprocessable Content"),
}
_UNAVAILABLE_STATUS = (503, "Service Unavailable")
_UNKNOWN_OUTCOME_STATUS = (502, "Bad Gateway")

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallerServer:
    """Serves callers' requests and responds with their outcomes.

    Args:
        listen: Address to listen on, as (ip, port).
        router: Routes requests.
        state: Holds the plan in force, for timeouts and size limits.
        clock: Clock that deadlines refer to.

    Attributes:
        in_flight: Number of requests that are being routed or whose response
            body is still streamed from its source.
    """

    def __init__(
        self,
        *,
        listen: tuple[str, int],
        router: router_module.Router,
        state: state_module.ClusterState,
        clock: clock_port.Clock,
    ) -> None:
        self._stopping = False
        self.in_flight = 0
        self._router = router
        self._state = state
        self._clock = clock
        self._server = http_server.NoDelayWsgiServer(
            listen,
            self._serve,
            log=None,
            error_log=None,
            handler_class=caller_connection.Handler,
            spawn=gevent_pool.Pool(MAX_CONNECTIONS),
        )

    def start(self) -> None:
        """Starts listening; raises OSError if the port is in use."""
        self._server.start()

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones are still served."""
        self._stopping = True
        sockets.close_listener(self._server)

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop(timeout=1)

    def _serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        try:
            req = self._parse(environ)
        except errors.RequestError as error:
            result = outcome.NotRun(outcome.Reason.BAD_REQUEST, str(error))
            return render(result, start_response)
        self.in_flight += 1
        result = None
        try:
            with caller_connection.kill_on_disconnect(environ, req):
                result = self._router.route(req)
        finally:
            body.close(req.body)
            body.add_done_callback(
                outcome.body_of(result), self._request_finished
            )
        if self._stopping:
            start_response = _with_connection_close(start_response)
        return render(result, start_response)

    def _request_finished(self) -> None:
        self.in_flight -= 1

    def _parse(self, environ: dict[str, Any]) -> request.Request:
        path = environ["PATH_INFO"].encode("latin-1").decode(errors="replace")
        service_name, _, remaining_path = path.lstrip("/").partition("/")
        service = self._state.plan.services.get(service_name)
        key = ""
        if service is not None and service.keyed:
            key, _, remaining_path = remaining_path.partition("/")
        target_path = "/" + parse.quote(remaining_path)
        if environ.get("QUERY_STRING"):
            target_path += "?" + environ["QUERY_STRING"]
        method = environ["REQUEST_METHOD"]
        default_ms = service.timeout_ms if service else DEFAULT_TIMEOUT_MS
        timeout_ms = _parse_int(environ, TIMEOUT_FIELD, default_ms)
        body_limit_bytes = (
            service.max_body_bytes if service else DEFAULT_MAX_BODY_BYTES
        )
        caller_request_id = _idempotency_key(environ)
        return request.Request(
            request_id=caller_request_id or uuid.uuid4().hex,
            service=service_name,
            key=key,
            method=method,
            path=target_path,
            headers=_forwarded_headers(environ),
            body=caller_body.read(environ, limit_bytes=body_limit_bytes),
            idempotent=bool(service and method in service.idempotent_methods),
            deadline_ns=self._clock.now_ns()
            + timeout_ms * lease_module.NS_PER_MS,
            identified=bool(caller_request_id),
            attempt=_parse_int(environ, ATTEMPT_FIELD, 0),
        )


def _with_connection_close(start_response: StartResponse) -> StartResponse:
    """Adds Connection: close, so that the caller reconnects elsewhere."""

    def start(status: str, headers: list[tuple[str, str]]) -> Any:
        return start_response(status, [*headers, ("Connection", "close")])

    return start


def _idempotency_key(environ: dict[str, Any]) -> str:
    key = environ.get(IDEMPOTENCY_FIELD, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise errors.RequestError(
            "the Idempotency-Key header is too long",
            remedy=f"use at most {MAX_IDEMPOTENCY_KEY_CHARS} characters",
        )
    return key


def _parse_int(environ: dict[str, Any], field: str, default: int) -> int:
    text = environ.get(field)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise errors.RequestError(
            f"the header read as {field} is not a valid integer",
            remedy="send at most 9 decimal digits",
        )
    return int(text)


def _forwarded_headers(environ: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (field.removeprefix("HTTP_").replace("_", "-").title(), environ[field])
        for field in FORWARDED_FIELDS
        if environ.get(field)
    )


@functools.singledispatch
def render(
    result: outcome.Outcome, start_response: StartResponse
) -> Iterable[bytes]:
    """Starts the HTTP response for an outcome and returns its body."""
    raise TypeError(f"cannot render {type(result).__name__} as a response")


@render.register
def _(
    result: outcome.Answered, start_response: StartResponse
) -> Iterable[bytes]:
    headers = [
        (name, value)
        for name, value in result.headers
        if name.lower() != "content-length"
    ]
    headers.append((OUTCOME_HEADER, "answered"))
    length = _content_length(result.body)
    if length != body.UNKNOWN_LENGTH:
        headers.append(("Content-Length", str(length)))
    start_response(f"{result.status} Answered", headers)
    return caller_body.ResponseBody(result.body)


@functools.singledispatch
def _content_length(content: body.Body) -> int:
    raise TypeError(f"{type(content).__name__} is not a body")


@_content_length.register
def _(content: bytes) -> int:
    return len(content)


@_content_length.register
def _(content: body.Stream) -> int:
    return content.length


@render.register
def _(result: outcome.NotRun, start_response: StartResponse) -> Iterable[bytes]:
    status = _STATUS_BY_REASON.get(result.reason, _UNAVAILABLE_STATUS)
    return _problem_response(
        status,
        "not-run",
        result.reason,
        result.detail,
        start_response,
        retry_after_ms=result.retry_after_ms,
    )


@render.register
def _(
    result: outcome.Unknown, start_response: StartResponse
) -> Iterable[bytes]:
    return _problem_response(
        _UNKNOWN_OUTCOME_STATUS,
        "unknown",
        result.reason,
        result.detail,
        start_response,
    )


def _problem_response(
    status: tuple[int, str],
    outcome_name: str,
    reason: outcome.Reason,
    detail: str,
    start_response: StartResponse,
    *,
    retry_after_ms: int = 0,
) -> Iterable[bytes]:
    code, title = status
    problem = {
        "type": f"urn:primrosecross:problem:{reason.value}",
        "title": title,
        "status": code,
        "detail": detail,
        "outcome": outcome_name,
    }
    problem_json = json.dumps(problem).encode()
    headers = [
        ("Content-Type", "application/problem+json"),
        ("Content-Length", str(len(problem_json))),
        (OUTCOME_HEADER, outcome_name),
    ]
    if retry_after_ms:
        headers.append(("Retry-After", str(-(-retry_after_ms // 1000))))
    start_response(f"{code} {title}", headers)
    return [problem_json]
