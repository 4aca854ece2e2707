"""Union of all messages between daemons, independent of the encoding."""

import dataclasses
import functools

from primrosecross.domain import stream_messages
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import member_messages
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.requests import body as body_module
from primrosecross.domain.requests import request_messages

Message = (
    stream_messages.Hello
    | stream_messages.Failure
    | stream_messages.Done
    | stream_messages.Ping
    | stream_messages.Cancel
    | stream_messages.Reclaim
    | stream_messages.NotReceived
    | stream_messages.GoAway
    | stream_messages.StreamPiece
    | stream_messages.StreamEnd
    | stream_messages.StreamCredit
    | stream_messages.StreamStop
    | member_messages.Heartbeat
    | member_messages.HeartbeatAck
    | member_messages.Refuse
    | member_messages.RefuseAck
    | member_messages.Suspect
    | member_messages.Join
    | member_messages.Release
    | member_messages.Confirm
    | operator_messages.Drain
    | operator_messages.Undrain
    | operator_messages.Probe
    | operator_messages.ProbeReport
    | operator_messages.ReadTimeline
    | operator_messages.TimelinePart
    | operator_messages.Move
    | member_messages.LoadReport
    | member_messages.LoadAck
    | operator_messages.ListConfirmed
    | operator_messages.Confirmed
    | member_messages.FetchState
    | member_messages.StateSnapshot
    | request_messages.Forward
    | request_messages.ForwardAnswered
    | request_messages.ForwardNotRun
    | request_messages.ForwardUnknown
    | request_messages.AskAnswer
    | request_messages.AnswerAbsent
    | request_messages.NoteCrashes
    | operator_messages.ListQuarantined
    | operator_messages.Quarantined
    | operator_messages.ReleaseQuarantined
    | fleet_messages.Sync
    | fleet_messages.SyncAck
    | fleet_messages.Notice
    | fleet_messages.PlanUpdate
)


@functools.singledispatch
def lane_of(message: object) -> stream_messages.Lane:
    """Returns the lane that carries a message."""
    return stream_messages.Lane.CONTROL


@lane_of.register
def _(_: request_messages.Forward) -> stream_messages.Lane:
    return stream_messages.Lane.REQUESTS


@functools.singledispatch
def body_of(message: object) -> body_module.Body:
    """Returns the body of a message, empty for messages without one."""
    return b""


@body_of.register
def _(message: request_messages.Forward) -> body_module.Body:
    return message.body


@body_of.register
def _(message: request_messages.ForwardAnswered) -> body_module.Body:
    return message.body


@functools.singledispatch
def request_id_of(message: object) -> str:
    """Returns the ID of the request that a message concerns, or no text."""
    return ""


@request_id_of.register
def _(
    message: request_messages.Forward
    | request_messages.ForwardAnswered
    | request_messages.ForwardNotRun
    | request_messages.ForwardUnknown
    | request_messages.AskAnswer
    | request_messages.AnswerAbsent,
) -> str:
    return message.request_id


@functools.singledispatch
def shorten(message: Message, elapsed_ms: int) -> Message:
    """Returns a message with the time spent on its way taken off its timeout.

    Messages without a timeout are returned as they are.
    """
    del elapsed_ms
    return message


@shorten.register
def _(message: request_messages.Forward, elapsed_ms: int) -> Message:
    return dataclasses.replace(
        message, timeout_ms=message.timeout_ms - elapsed_ms
    )


@functools.singledispatch
def overload_reply(message: object) -> Message:
    """Returns the reply to a message rejected by the limit on open calls."""
    return stream_messages.Failure(
        "too many concurrent calls", "send fewer calls or retry later"
    )


@overload_reply.register
def _(message: request_messages.Forward) -> Message:
    return request_messages.ForwardNotRun(
        request_id=message.request_id,
        reason="overloaded",
        detail="too many concurrent calls",
        retry_after_ms=100,
    )
