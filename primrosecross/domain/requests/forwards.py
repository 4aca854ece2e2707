"""Converts requests to and from the Forward message between daemons."""

from primrosecross.domain.membership import lease
from primrosecross.domain.requests import body as body_module
from primrosecross.domain.requests import request
from primrosecross.domain.requests import request_messages
from primrosecross.ports import peers as peers_port


def to_message(
    req: request.Request,
    *,
    timeout_ms: int,
    generation: int = 0,
    plan_revision: int = 0,
    body: body_module.Body | None = None,
) -> request_messages.Forward:
    """Returns the message that forwards a request to another daemon.

    Args:
        req: The request.
        timeout_ms: Time remaining until its deadline.
        generation: Generation of the grant under which the receiver is
            expected to own the key.
        plan_revision: Revision of the plan that routed the request, if any.
        body: Body to send, if not the request's own.
    """
    return request_messages.Forward(
        request_id=req.request_id,
        service=req.service,
        key=req.key,
        method=req.method,
        path=req.path,
        headers=req.headers,
        body=req.body if body is None else body,
        idempotent=req.idempotent,
        identified=req.identified,
        attempt=req.attempt,
        generation=generation,
        timeout_ms=timeout_ms,
        priority=req.priority,
        objective_ms=req.objective_ms,
        origin=req.origin,
        waited_ms=req.waited_ms,
        plan_revision=plan_revision,
    )


def patience_for(
    req: request.Request, *, may_repeat: bool = True
) -> peers_port.Patience:
    """Returns how long a forwarded request waits for a silent VM.

    One that may be repeated at another VM right away is not kept waiting. All
    others wait while that VM may still run them: only its removal from the
    fleet lets another one run the requests for its keys.

    Args:
        req: The request.
        may_repeat: Whether attempts are left for one that may run twice.
    """
    if req.idempotent and may_repeat and not req.key:
        return peers_port.Patience.UNTIL_SILENT
    return peers_port.Patience.UNTIL_REMOVED


def from_message(
    forward: request_messages.Forward,
    *,
    now_ns: int,
    body: body_module.Body | None = None,
) -> request.Request:
    """Returns the request in a message.

    Args:
        forward: The message.
        now_ns: Time on this VM's boot clock.
        body: Body of the request, if not the message's own.
    """
    return request.Request(
        request_id=forward.request_id,
        service=forward.service,
        key=forward.key,
        method=forward.method,
        path=forward.path,
        headers=forward.headers,
        body=forward.body if body is None else body,
        idempotent=forward.idempotent,
        deadline_ns=now_ns + forward.timeout_ms * lease.NS_PER_MS,
        identified=forward.identified,
        attempt=forward.attempt,
        priority=forward.priority,
        objective_ms=forward.objective_ms,
        origin=forward.origin,
        waited_ms=forward.waited_ms,
    )
