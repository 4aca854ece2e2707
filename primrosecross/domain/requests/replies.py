"""Conversion between outcomes and messages."""

import functools

from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request_messages


@functools.singledispatch
def outcome_of(reply: messages.Message, request_id: str) -> outcome.Outcome:
    """Returns the outcome that a reply carries.

    The outcome is unknown if the reply is for another request or is not one of
    the three outcome messages.
    """
    return outcome.Unknown(
        outcome.Reason.ANSWER_LOST,
        f"unexpected reply {type(reply).__name__} from the owner",
    )


@outcome_of.register
def _(reply: stream_messages.Failure, request_id: str) -> outcome.Outcome:
    return outcome.Unknown(outcome.Reason.ANSWER_LOST, reply.problem)


@outcome_of.register
def _(
    reply: request_messages.ForwardAnswered, request_id: str
) -> outcome.Outcome:
    if reply.request_id != request_id:
        return _request_id_mismatch()
    return outcome.Answered(reply.status, reply.headers, reply.body)


@outcome_of.register
def _(
    reply: request_messages.ForwardNotRun, request_id: str
) -> outcome.Outcome:
    if reply.request_id != request_id:
        return _request_id_mismatch()
    return outcome.NotRun(
        outcome.Reason(reply.reason), reply.detail, reply.retry_after_ms
    )


@outcome_of.register
def _(
    reply: request_messages.ForwardUnknown, request_id: str
) -> outcome.Outcome:
    if reply.request_id != request_id:
        return _request_id_mismatch()
    return outcome.Unknown(outcome.Reason(reply.reason), reply.detail)


def _request_id_mismatch() -> outcome.Unknown:
    return outcome.Unknown(
        outcome.Reason.ANSWER_LOST, "the reply has the ID of another request"
    )


@functools.singledispatch
def reply_of(result: outcome.Outcome, request_id: str) -> messages.Message:
    """Returns the message that carries an outcome to the sender."""
    raise TypeError(f"no message for {type(result).__name__}")


@reply_of.register
def _(result: outcome.Answered, request_id: str) -> messages.Message:
    return request_messages.ForwardAnswered(
        request_id=request_id,
        status=result.status,
        headers=result.headers,
        body=result.body,
    )


@reply_of.register
def _(result: outcome.NotRun, request_id: str) -> messages.Message:
    return request_messages.ForwardNotRun(
        request_id=request_id,
        reason=result.reason.value,
        detail=result.detail,
        retry_after_ms=result.retry_after_ms,
    )


@reply_of.register
def _(result: outcome.Unknown, request_id: str) -> messages.Message:
    return request_messages.ForwardUnknown(
        request_id=request_id,
        reason=result.reason.value,
        detail=result.detail,
    )
