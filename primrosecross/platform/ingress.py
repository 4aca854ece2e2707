"""HTTP ingress for callers and for the local target.

Source: PROTOCOL.md, "Ingress" and "Answers".
"""

import functools

from primrosecross.adapters import outcome_log
from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.operators import meter as meter_module
from primrosecross.domain.ownership import key_map
from primrosecross.domain.requests import caller_wait
from primrosecross.domain.requests import dispatcher as dispatcher_module
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.domain.requests import route_lookup
from primrosecross.domain.requests import routes
from primrosecross.platform import headers
from primrosecross.ports import clock as clock_port

NS_PER_MS = 1_000_000
MAX_DEADLINE_MS = 600_000
# Status codes of requests that were not run; other reasons get 503.
_STATUS_BY_REASON = {
    outcome.Reason.BAD_REQUEST: 400,
    outcome.Reason.UNKNOWN_SERVICE: 404,
}


class Ingress:
    """Converts HTTP requests to domain requests, and outcomes to responses.

    Args:
        service: Service of the local target.
        state: Holds the route plan in force.
        lookup: Finds routes in it.
        dispatcher: Runs requests.
        clock: Clock that deadlines refer to.
        meter: Counts requests by service and outcome.
    """

    def __init__(
        self,
        *,
        service: str,
        state: fleet_state.FleetState,
        lookup: route_lookup.RouteLookup,
        dispatcher: dispatcher_module.Dispatcher,
        clock: clock_port.Clock,
        meter: meter_module.Meter,
    ) -> None:
        self._service = service
        self._state = state
        self._lookup = lookup
        self._dispatcher = dispatcher
        self._clock = clock
        self._meter = meter
        self._caller_wait = caller_wait.CallerWaitEstimator()

    def limits(self) -> http_parser.ServerLimits:
        """Returns the limits in force for callers' requests."""
        plan = self._state.plan
        if plan is None:
            return http_parser.ServerLimits()
        limits = plan.limits
        return http_parser.ServerLimits(
            max_head_bytes=limits.max_head_bytes,
            max_body_bytes=limits.max_body_bytes,
            head_timeout_ms=limits.head_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        )

    def may_overlap(self, http_request: http_parser.HttpRequest) -> bool:
        """Returns whether a request may run beside others sent ahead."""
        plan = self._state.plan
        if plan is None:
            return False
        route = plan.match(*_host_and_path(http_request))
        return route is not None and route.idempotent

    def handle(
        self, http_request: http_parser.HttpRequest
    ) -> http_connection.HttpReply:
        """Runs one request and returns the response."""
        started_ns = self._clock.now_ns()
        request_id = http_request.get(headers.REQUEST_ID.lower())
        service, result = self._run(http_request, request_id, started_ns)
        now_ns = self._clock.now_ns()
        took_ns = now_ns - started_ns
        labels = meter_module.labels_of(result)
        self._meter.record(service, labels, took_ns=took_ns, now_ns=now_ns)
        outcome_log.log_outcome(
            request_id, service, result, took_ns // NS_PER_MS
        )
        return _to_reply(result, request_id)

    def _run(
        self,
        http_request: http_parser.HttpRequest,
        request_id: str,
        started_ns: int,
    ) -> tuple[str, outcome.Outcome]:
        route = self._lookup.find(*_host_and_path(http_request), request_id)
        if isinstance(route, outcome.NotRun):
            return "", route
        service = self._dispatcher.choose_service(route)
        req = self._to_request(
            http_request, request_id, route, service, started_ns
        )
        if isinstance(req, outcome.NotRun):
            return service, req
        return service, self._dispatcher.run(
            req, max_run_attempts=route.max_attempts
        )

    def _to_request(
        self,
        http_request: http_parser.HttpRequest,
        request_id: str,
        route: routes.Route,
        service: str,
        started_ns: int,
    ) -> request.Request | outcome.NotRun:
        """Returns the domain request, or NotRun if a header is invalid."""
        deadline_ms_text = http_request.get(headers.DEADLINE_MS.lower()) or str(
            route.timeout_ms
        )
        if not request_id or not _is_integer(deadline_ms_text, MAX_DEADLINE_MS):
            return _bad_request(
                "Request-Id and an integer Deadline-Ms are required"
            )
        plan = self._state.plan
        routed_service = plan.services.get(service) if plan else None
        key = ""
        if routed_service is not None and routed_service.keyed:
            key = http_request.get(headers.SHARD_KEY.lower())
            if not _is_integer(key, key_map.LAST_KEY):
                return _bad_request(
                    "the service requires a Shard-Key from 0 to 65535"
                )
        timeout_ms = min(int(deadline_ms_text), route.timeout_ms)
        return request.Request(
            request_id=request_id,
            service=service,
            key=key,
            method=http_request.method,
            path=http_request.target,
            headers=headers.end_to_end(http_request.headers),
            body=http_request.body,
            idempotent=route.idempotent,
            deadline_ns=started_ns + timeout_ms * NS_PER_MS,
            identified=True,
            attempt=1,
            priority=route.priority,
            objective_ms=route.objective_ms,
            origin=self._service,
            waited_ms=self._caller_wait.waited_ms(
                route.name, int(deadline_ms_text)
            ),
        )


def _host_and_path(http_request: http_parser.HttpRequest) -> tuple[str, str]:
    """Returns host and path, which select the route."""
    host = http_request.get("host").lower().partition(":")[0]
    return host, http_request.target.partition("?")[0]


def _is_integer(text: str, maximum: int) -> bool:
    return text.isascii() and text.isdigit() and int(text) <= maximum


def _bad_request(detail: str) -> outcome.NotRun:
    return outcome.NotRun(outcome.Reason.BAD_REQUEST, detail)


@functools.singledispatch
def _to_reply(
    result: outcome.Outcome, request_id: str
) -> http_connection.HttpReply:
    """Returns the HTTP response for an outcome."""
    raise TypeError(f"no HTTP response for {type(result).__name__}")


@_to_reply.register
def _(result: outcome.Answered, request_id: str) -> http_connection.HttpReply:
    return http_connection.HttpReply(
        result.status, list(result.headers), bytes(result.body)
    )


@_to_reply.register
def _(result: outcome.NotRun, request_id: str) -> http_connection.HttpReply:
    status = _STATUS_BY_REASON.get(result.reason, 503)
    fields = [(headers.REQUEST_ID, request_id)]
    if status == 503:
        retry_ms = result.retry_after_ms or route_lookup.RETRY_AFTER_MS
        fields.append(("Retry-After", f"{retry_ms / 1000:.3f}"))
    return http_connection.HttpReply(status, fields, _body(result))


@_to_reply.register
def _(result: outcome.Unknown, request_id: str) -> http_connection.HttpReply:
    deadline_passed = result.reason is outcome.Reason.DEADLINE
    return http_connection.HttpReply(
        504 if deadline_passed else 502,
        [(headers.REQUEST_ID, request_id)],
        _body(result),
    )


def _body(result: outcome.NotRun | outcome.Unknown) -> bytes:
    return f"{result.reason.value}: {result.detail}\n".encode()
