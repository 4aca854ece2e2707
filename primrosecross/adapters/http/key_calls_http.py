"""Grants and releases of keys as HTTP calls to the local target."""

import dataclasses
import uuid
from collections.abc import Callable
from collections.abc import Mapping

from primrosecross.adapters import boot_clock
from primrosecross.adapters.http import http_client
from primrosecross.adapters.http import http_response
from primrosecross.adapters.http import request_echo
from primrosecross.domain import errors
from primrosecross.domain.requests import body_memory
from primrosecross.ports import key_calls

MAX_IDLE_S = 5.0
MAX_ANSWER_BYTES = 4 << 20  # of all answers


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Names and bodies that a platform's targets understand.

    Attributes:
        paths: Path by type of order.
        encode: Returns the JSON body of an order.
        request_id: Header with the ID that a target returns.
        instance: Header with the instance that is to carry out the order.
        token: Header of the hand-over token in an answer.
        superseded_status: Status if a higher generation was seen.
        other_instance_status: Status if another instance got the order.
    """

    paths: Mapping[type, str]
    encode: Callable[[key_calls.KeyCall], bytes]
    request_id: str
    instance: str
    token: str
    superseded_status: int
    other_instance_status: int


class HttpKeyCalls:
    """Sends grants and releases to the local target.

    Each type of order has connections of its own: a release is answered only
    when the requests on its keys have ended.

    Args:
        address: "ip:port" of the target.
        dialect: What it understands.
    """

    def __init__(self, *, address: str, dialect: Dialect) -> None:
        self._dialect = dialect
        # Answers have short bodies or none; a faulty target's may never end.
        bodies = body_memory.BodyMemory(
            clock=boot_clock.BootClock(),
            max_bytes=0,
            reserve_bytes=MAX_ANSWER_BYTES,
        )
        self._clients = {
            order_type: http_client.HttpClient(address=address, bodies=bodies)
            for order_type in dialect.paths
        }
        self._echo = request_echo.RequestEcho(dialect.request_id)

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return sum(c.opened for c in self._clients.values())

    def call(
        self, instance: str, order: key_calls.KeyCall, *, timeout_ms: int
    ) -> key_calls.CallResult:
        """Sends an order to an instance of the target."""
        client = self._clients[type(order)]
        request_id = uuid.uuid4().hex[:16]
        try:
            response = client.exchange(
                head=b"",
                body=self._encode(instance, order, request_id),
                timeout_s=timeout_ms / 1000,
                max_idle_s=MAX_IDLE_S,
                matches_request=lambda r: self._echo.matches(r, request_id),
                allows_reuse=self._echo.has_id,
            )
        except errors.ServerRefusedError as error:
            return key_calls.NotListening(error.problem)
        except errors.RequestNotSentError as error:
            return key_calls.NotApplied(error.problem)
        except errors.ResponseLostError as error:
            return key_calls.InDoubt(error.problem)
        return self._to_result(response, client.opened)

    def _encode(
        self, instance: str, order: key_calls.KeyCall, request_id: str
    ) -> bytes:
        body = self._dialect.encode(order)
        head = http_client.request_head(
            "POST",
            self._dialect.paths[type(order)],
            [
                ("Host", "target"),
                (self._dialect.request_id, request_id),
                (self._dialect.instance, instance),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return head + body

    def _to_result(
        self, response: http_response.HttpResponse, connection: int
    ) -> key_calls.CallResult:
        dialect = self._dialect
        if response.status == 200:
            token = response.get(dialect.token.lower())
            return key_calls.Done(token, connection)
        problem = f"the target answered {response.status}"
        if response.status == dialect.superseded_status:
            return key_calls.NotApplied(problem, superseded=True)
        if response.status == dialect.other_instance_status:
            return key_calls.NotApplied(problem)
        return key_calls.InDoubt(
            f"{problem}; check that its version accepts these calls"
        )
