"""Calls that grant keys to targets.

Source: PROTOCOL.md, "Keys that workers hold", and further/LATER.md.
"""

import functools

import msgspec

from primrosecross.adapters.http import key_calls_http
from primrosecross.platform import headers
from primrosecross.ports import key_calls


class _Order(msgspec.Struct, rename="pascal", omit_defaults=True):
    """Body of a call."""

    from_: int = msgspec.field(name="From")
    target_version: int  # the last key, in spite of its name
    fence: int = msgspec.field(name="fence")
    hold_ms: int = 0
    handover: str = ""


@functools.singledispatch
def encode(order: object) -> bytes:
    """Returns the body of an order."""
    raise TypeError(f"no body for {type(order).__name__}")


@encode.register
def _(order: key_calls.GrantCall) -> bytes:
    return msgspec.json.encode(
        _Order(
            from_=order.first,
            target_version=order.last,
            fence=order.generation,
            hold_ms=order.hold_ms,
            handover=order.token,
        )
    )


@encode.register
def _(order: key_calls.ReleaseCall) -> bytes:
    return msgspec.json.encode(
        _Order(
            from_=order.first, target_version=order.last, fence=order.generation
        )
    )


DIALECT = key_calls_http.Dialect(
    paths={
        key_calls.GrantCall: "/api/grant",
        key_calls.ReleaseCall: "/api/release",
    },
    encode=encode,
    request_id=headers.REQUEST_ID,
    instance=headers.EXPECT_INSTANCE,
    token=headers.HANDOVER,
    superseded_status=409,
    other_instance_status=421,
)
