"""Encoding of messages between daemons as msgpack.

A frame is the array [call ID, is reply, stamp, sent, message name, fields...]
with the fields in the order of the message's data class. A streamed body is
encoded as an extension type that holds its length; its pieces follow in frames
of their own.
"""

import dataclasses
import functools
import operator
import typing
from collections.abc import Callable
from collections.abc import Iterator

import msgpack
import msgspec

from primrosecross.adapters.peers import message_bounds
from primrosecross.adapters.peers import peer_body
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain.requests import body

MAX_FRAME_BYTES = 4 << 20
READ_BYTES = 4096  # msgpack's default holds 1 MB per connection
MAX_ITEMS = 1 << 16
MAX_HELLO_BYTES = 4096
MAX_HELLO_ITEMS = 16
STREAM_EXTENSION = 1
LENGTH_BYTES = 8

FieldCheck = Callable[[object], object]


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A message with its call ID and the sender's stamp.

    Attributes:
        sent_ms: Clock of the sender when it queued the message.
    """

    call: int
    is_reply: bool
    stamp: int
    message: messages.Message
    sent_ms: int = 0


def _require_type(expected: type) -> FieldCheck:
    def check(value: object) -> object:
        if type(value) is not expected:
            raise ValueError(
                f"{type(value).__name__} instead of {expected.__name__}"
            )
        return value

    return check


def _check_headers(value: object) -> object:
    if type(value) is not tuple:
        raise ValueError("headers are not a list")
    for pair in value:
        if type(pair) is not tuple or len(pair) != 2:
            raise ValueError("a header is not a pair")
        if type(pair[0]) is not str or type(pair[1]) is not str:
            raise ValueError("a header is not a pair of strings")
    return value


def _check_body(value: object) -> object:
    if not isinstance(value, bytes | peer_body.Incoming):
        raise ValueError(f"expected a body, got {type(value).__name__}")
    return value


_CHECKS: dict[object, FieldCheck] = {
    int: _require_type(int),
    bool: _require_type(bool),
    str: _require_type(str),
    bytes: _require_type(bytes),
    tuple[tuple[str, str], ...]: _check_headers,
    body.Body: _check_body,
}


def _check_for(annotation: object) -> FieldCheck:
    """Returns a field's check; msgspec checks types not in _CHECKS."""
    check = _CHECKS.get(annotation)
    return check or functools.partial(_validate, annotation)


def _validate(annotation: object, value: object) -> object:
    try:
        return msgspec.convert(value, annotation)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from error


class _MessageSchema:
    """Fields of one message type and their checks."""

    def __init__(self, message_type: type) -> None:
        hints = typing.get_type_hints(message_type)
        fields = [f.name for f in dataclasses.fields(message_type)]
        self.name = message_type.__name__
        self.factory = message_type
        self.checks = [_check_for(hints[name]) for name in fields]
        self._getter = operator.attrgetter(*fields) if fields else None
        self._has_one_field = len(fields) == 1

    def values(self, message: messages.Message) -> list:
        if self._getter is None:
            return []
        field_values = self._getter(message)
        return [field_values] if self._has_one_field else list(field_values)


_SCHEMA_BY_TYPE = {
    t: _MessageSchema(t) for t in typing.get_args(messages.Message)
}
_SCHEMA_BY_NAME = {schema.name: schema for schema in _SCHEMA_BY_TYPE.values()}


@functools.cache
def _field_names(record_type: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(record_type))


@functools.singledispatch
def _encode_default(value: object) -> object:
    """Returns a data class as a map; the packer calls this for nested values.

    dataclasses.asdict copies nested values too, at five times the cost.
    """
    return {name: getattr(value, name) for name in _field_names(type(value))}


@_encode_default.register
def _(value: body.Stream) -> object:
    length = value.length.to_bytes(LENGTH_BYTES, "big", signed=True)
    return msgpack.ExtType(STREAM_EXTENSION, length)


def _decode_extension(code: int, data: bytes) -> object:
    if code != STREAM_EXTENSION or len(data) != LENGTH_BYTES:
        raise ValueError("unknown extension type")
    return peer_body.Incoming(int.from_bytes(data, "big", signed=True))


_PACKER = msgpack.Packer(default=_encode_default)


def encode(frame: Frame) -> bytes:
    """Returns the bytes of a frame."""
    schema = _SCHEMA_BY_TYPE[type(frame.message)]
    parts = [frame.call, frame.is_reply, frame.stamp, frame.sent_ms]
    parts.append(schema.name)
    parts += schema.values(frame.message)
    return _PACKER.pack(parts)


class Decoder:
    """Decodes received bytes into frames.

    Accepts only a small greeting until accept_messages() is called, which
    bounds the memory that an unauthenticated peer can use.
    """

    def __init__(self) -> None:
        self._unpacker = _make_unpacker(MAX_FRAME_BYTES, MAX_ITEMS)
        self._hello_buffer = bytearray()
        self._handshake_done = False

    def accept_messages(self) -> None:
        """Accepts all frames after the greeting."""
        self._handshake_done = True

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yields the frames that the bytes complete.

        Raises:
            errors.PeerProtocolError: The bytes violate the protocol.
        """
        try:
            if not self._handshake_done:
                data = yield from self._feed_hello(data)
            self._unpacker.feed(data)
            for parts in self._unpacker:
                yield _parse_frame(parts)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise errors.PeerProtocolError(
                f"garbage on a peer connection: {_describe_error(error)}",
                remedy="run compatible versions on both daemons",
            ) from error

    def _feed_hello(self, data: bytes) -> Iterator[Frame]:
        """Yields the first frame; returns the bytes that follow it."""
        self._hello_buffer += data
        unpacker = _make_unpacker(MAX_HELLO_BYTES, MAX_HELLO_ITEMS)
        unpacker.feed(self._hello_buffer[:MAX_HELLO_BYTES])
        try:
            parts = unpacker.unpack()
        except msgpack.OutOfData:
            if len(self._hello_buffer) >= MAX_HELLO_BYTES:
                raise ValueError(
                    "the greeting exceeds the size limit"
                ) from None
            return b""
        yield _parse_frame(parts)
        if not self._handshake_done:
            raise ValueError("the greeting was rejected")
        return bytes(self._hello_buffer[unpacker.tell() :])


def _make_unpacker(max_bytes: int, max_items: int) -> msgpack.Unpacker:
    return msgpack.Unpacker(
        read_size=READ_BYTES,
        max_buffer_size=max_bytes,
        max_array_len=max_items,
        max_map_len=max_items,
        max_ext_len=LENGTH_BYTES,
        raw=False,
        use_list=False,
        ext_hook=_decode_extension,
    )


def _describe_error(error: Exception) -> str:
    """Describes an error without received data, which may be confidential."""
    if isinstance(error.__cause__, msgspec.ValidationError):
        return str(error)
    return type(error).__name__


def _parse_frame(parts: object) -> Frame:
    if type(parts) is not tuple or len(parts) < 5:
        raise ValueError("malformed frame")
    call, is_reply, stamp, sent_ms, name, *values = parts
    schema = _SCHEMA_BY_NAME.get(name) if type(name) is str else None
    types_valid = type(call) is int and type(is_reply) is bool
    times_valid = type(stamp) is int and type(sent_ms) is int
    if schema is None or not types_valid or not times_valid:
        raise ValueError("unknown message or malformed frame header")
    if len(values) != len(schema.checks):
        raise ValueError(
            f"{name} has an unexpected field count of {len(values)}"
        )
    checked = [check(v) for check, v in zip(schema.checks, values, strict=True)]
    message = schema.factory(*checked)
    message_bounds.check(message)
    return Frame(call, is_reply, stamp, message, sent_ms)
