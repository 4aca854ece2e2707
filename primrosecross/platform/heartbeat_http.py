"""HTTP handler of the local target's heartbeats.

The platform's documentation calls them beats.

Source: PROTOCOL.md, "Service discovery" and "Keys that workers hold".
"""

import logging
import re

import msgspec

from primrosecross.adapters import documents
from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.domain.ownership import target_watch
from primrosecross.models import bounds

MAX_RESPONSE_BYTES = 4096
MAX_BODY_BYTES = 1 << 20
_INSTANCES_PREFIX = "/api/instances/"
_HEARTBEAT_SUFFIX = "/heartbeat"
_DEREGISTER_SUFFIX = "/deregister"
_INSTANCE = re.compile(r"[!-.0-~]{1,128}")  # printable, without slashes

_logger = logging.getLogger(__name__)


class _Heartbeat(msgspec.Struct, rename="pascal"):
    """A heartbeat.

    Attributes:
        state: READY or DRAINING.
        cold_remaining_ms: Remaining warm-up time.
        born: Unix time of the target's start in milliseconds.
        holds: Held ranges.
        freed: Ranges released since the last answered heartbeat.
    """

    service: str
    address: str
    slots: bounds.Slots
    state: target_heartbeat.TargetState
    sequence: bounds.Count
    cold_remaining_ms: bounds.SignedNumber = 0.0
    born: bounds.UnixMs = msgspec.field(name="born", default=0)
    holds: list[bounds.HeldRow] = msgspec.field(default_factory=list)
    freed: list[bounds.ReleasedRow] = msgspec.field(default_factory=list)


class _Deregistration(msgspec.Struct):
    born: bounds.UnixMs = 0  # 0 if it does not tell the target's start


class _HeartbeatResponse(msgspec.Struct, rename="pascal", omit_defaults=True):
    holds: list[tuple[int, int, int, str]] | None = None
    hold_ms: int = 0


class HeartbeatHandler:
    """Handles heartbeats of the local target.

    Args:
        service: Service of the local target.
        address: "ip:port" where that target accepts requests.
        watch: State of the local target.
    """

    def __init__(
        self, *, service: str, address: str, watch: target_watch.TargetWatch
    ) -> None:
        self._service = service
        self._address = address
        self._watch = watch

    def handle(
        self, http_request: http_parser.HttpRequest
    ) -> http_connection.HttpReply:
        """Handles a heartbeat or a deregistration."""
        path = http_request.target.partition("?")[0]
        if http_request.method != "POST" or not path.startswith(
            _INSTANCES_PREFIX
        ):
            return http_connection.HttpReply(404)
        for suffix, handle in (
            (_HEARTBEAT_SUFFIX, self._handle_heartbeat),
            (_DEREGISTER_SUFFIX, self._handle_deregistration),
        ):
            if path.endswith(suffix):
                instance = path[len(_INSTANCES_PREFIX) : -len(suffix)]
                try:
                    return handle(instance, http_request.body)
                except ValueError as error:
                    _logger.warning("refused %.128s: %s", instance, error)
                    return http_connection.HttpReply(400)
        return http_connection.HttpReply(404)

    def _handle_deregistration(
        self, instance: str, body: bytes
    ) -> http_connection.HttpReply:
        deregistration = documents.decode_json(body or b"{}", _Deregistration)
        self._watch.start_draining(instance, deregistration.born)
        return _json_reply(_HeartbeatResponse())

    def _handle_heartbeat(
        self, instance: str, body: bytes
    ) -> http_connection.HttpReply:
        if not _INSTANCE.fullmatch(instance):
            raise ValueError("invalid target ID")
        heartbeat = documents.decode_json(body, _Heartbeat)
        if not self._is_local_target(heartbeat):
            raise ValueError("it does not match the local target")
        astuple = msgspec.structs.astuple
        answer = self._watch.handle_heartbeat(
            target_heartbeat.TargetHeartbeat(
                instance=instance,
                born_ms=heartbeat.born,
                sequence=heartbeat.sequence,
                service=heartbeat.service,
                address=heartbeat.address,
                slots=heartbeat.slots,
                state=heartbeat.state,
                warmup_remaining_ms=int(heartbeat.cold_remaining_ms),
                held=tuple(
                    target_heartbeat.HeldRange(*astuple(row))
                    for row in heartbeat.holds
                ),
                released=tuple(
                    target_heartbeat.ReleasedRange(*astuple(row))
                    for row in heartbeat.freed
                ),
            )
        )
        return _to_reply(answer)

    def _is_local_target(self, heartbeat: _Heartbeat) -> bool:
        target_state = target_heartbeat.TargetState
        return (
            heartbeat.service == self._service
            and heartbeat.address == self._address
            and heartbeat.state in (target_state.READY, target_state.DRAINING)
        )


def _to_reply(
    answer: target_heartbeat.HeartbeatAnswer,
) -> http_connection.HttpReply:
    """Returns the response; ranges beyond its size limit are left out."""
    if answer.grants is None:
        return _json_reply(_HeartbeatResponse())
    rows = [(g.first, g.last, g.generation, g.token) for g in answer.grants]
    reply = _json_reply(_HeartbeatResponse(rows, answer.hold_ms))
    while len(reply.body) > MAX_RESPONSE_BYTES:
        _logger.error(
            "%d key ranges exceed the size limit of a response", len(rows)
        )
        rows.pop()
        reply = _json_reply(_HeartbeatResponse(rows, answer.hold_ms))
    return reply


def _json_reply(response: _HeartbeatResponse) -> http_connection.HttpReply:
    return http_connection.HttpReply(
        200,
        [("Content-Type", "application/json")],
        msgspec.json.encode(response),
    )
