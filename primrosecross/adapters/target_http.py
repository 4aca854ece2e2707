"""Targets over HTTP, on this VM."""

import gevent
import geventhttpclient
from gevent import socket as gevent_socket
from geventhttpclient import response as http_response

from primrosecross.domain import lease as lease_module
from primrosecross.domain import outcome
from primrosecross.domain import request
from primrosecross.ports import clock as clock_port
from primrosecross.ports import target as target_port

REQUEST_ID_HEADER = "Primrosecross-Request-Id"
KEY_HEADER = "Primrosecross-Key"
GENERATION_HEADER = "Primrosecross-Generation"
LEASE_HEADER = "Primrosecross-Lease-Expires-Ns"
TIMEOUT_HEADER = "Primrosecross-Timeout-Ms"
NOT_RUN_HEADER = "Primrosecross-Not-Run"
CONNECT_TIMEOUT_S = 1.0
CONNECTIONS = 130
LISTEN_CHECKS = 2
LISTEN_PAUSE_S = 0.02
HOP_HEADERS = frozenset({"connection", "transfer-encoding", "keep-alive"})


class HttpTargets:
    """Runs requests on targets by HTTP.

    A target refuses with 503 and the header Primrosecross-Not-Run: true when
    the request did not run.

    Args:
        clock: Clock that deadlines refer to.
    """

    def __init__(self, *, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._clients: dict[str, geventhttpclient.HTTPClient] = {}

    def run(
        self,
        announcement: target_port.Announcement,
        req: request.Request,
        fence: target_port.Fence,
    ) -> outcome.Outcome:
        """Runs a request on a target and returns its outcome."""
        left_ns = req.deadline_ns - self._clock.now_ns()
        if left_ns <= 0:
            return outcome.NotRun(
                outcome.Reason.DEADLINE, "the deadline passed in the router"
            )
        headers = [*req.headers, *_fields(req, fence, left_ns)]
        client = self._client(announcement.address)
        try:
            answer = client.request(
                req.method, req.path, req.body or None, headers
            )
            body = bytes(answer.read())
        except ConnectionRefusedError:
            return outcome.NotRun(
                outcome.Reason.NO_TARGET, "the target does not listen"
            )
        except (OSError, ValueError, http_response.HTTPConnectionClosed) as e:
            return outcome.Unknown(
                outcome.Reason.ANSWER_LOST, f"the target's answer was lost: {e}"
            )
        return _outcome(answer, body)

    def listens(self, announcement: target_port.Announcement) -> bool:
        """Tells whether the target takes connections, and still does."""
        host, _, port = announcement.address.rpartition(":")
        for _ in range(LISTEN_CHECKS):
            try:
                gevent_socket.create_connection(
                    (host, int(port)), timeout=CONNECT_TIMEOUT_S
                ).close()
            except OSError:
                return False
            gevent.sleep(LISTEN_PAUSE_S)
        return True

    def _client(self, address: str) -> geventhttpclient.HTTPClient:
        client = self._clients.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = geventhttpclient.HTTPClient(
                host,
                int(port),
                concurrency=CONNECTIONS,
                connection_timeout=CONNECT_TIMEOUT_S,
                network_timeout=3600,
            )
            self._clients[address] = client
        return client


def _fields(
    req: request.Request, fence: target_port.Fence, left_ns: int
) -> list[tuple[str, str]]:
    return [
        (REQUEST_ID_HEADER, req.request_id),
        (KEY_HEADER, req.key),
        (GENERATION_HEADER, str(fence.generation)),
        (LEASE_HEADER, str(fence.lease_expires_ns)),
        (TIMEOUT_HEADER, str(left_ns // lease_module.NS_PER_MS)),
    ]


def _outcome(
    answer: http_response.HTTPSocketPoolResponse, body: bytes
) -> outcome.Outcome:
    if answer.status_code == 503 and answer.get(NOT_RUN_HEADER) == "true":
        return outcome.NotRun(
            outcome.Reason.TARGET_REFUSED, body.decode(errors="replace")[:200]
        )
    headers = tuple(
        (str(name), str(value))
        for name, value in answer.items()
        if name.lower() not in HOP_HEADERS
    )
    return outcome.Answered(answer.status_code, headers, body)
