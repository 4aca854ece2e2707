"""Encoding of messages between daemons as msgpack.

A frame is [call number, is answer, stamp, kind, fields...]; fields follow
the order of the message's data class. A streamed body is an extension that
holds its length; its pieces follow in frames of their own.
"""

import dataclasses
import functools
import operator
import typing
from collections.abc import Callable
from collections.abc import Iterator

import msgpack
import msgspec

from primrosecross.adapters import peer_body
from primrosecross.domain import body
from primrosecross.domain import errors
from primrosecross.domain import messages

MAX_FRAME_BYTES = 4 << 20
READ_BYTES = 4096  # the library's default of 1 MB is held by each connection
MAX_ITEMS = 1 << 16
MAX_HELLO_BYTES = 4096
MAX_HELLO_ITEMS = 16
STREAM_EXTENSION = 1
LENGTH_BYTES = 8

Check = Callable[[object], object]


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A message with the call it belongs to and the time it was sent."""

    call: int
    is_answer: bool
    stamp: int
    message: messages.Message


def _exactly(wanted: type) -> Check:
    def check(value: object) -> object:
        if type(value) is not wanted:
            raise ValueError(f"{type(value).__name__} is no {wanted.__name__}")
        return value

    return check


def _check_headers(value: object) -> object:
    if type(value) is not tuple:
        raise ValueError("headers are no list")
    for pair in value:
        if type(pair) is not tuple or len(pair) != 2:
            raise ValueError("a header is no pair")
        if type(pair[0]) is not str or type(pair[1]) is not str:
            raise ValueError("a header is no text")
    return value


def _check_body(value: object) -> object:
    if not isinstance(value, bytes | peer_body.Incoming):
        raise ValueError(f"{type(value).__name__} is no body")
    return value


_CHECKS: dict[object, Check] = {
    int: _exactly(int),
    bool: _exactly(bool),
    str: _exactly(str),
    bytes: _exactly(bytes),
    tuple[tuple[str, str], ...]: _check_headers,
    body.Body: _check_body,
}


def _check_of(annotation: object) -> Check:
    """Returns the check of a field; types without one of ours use msgspec."""
    check = _CHECKS.get(annotation)
    return check or functools.partial(_convert, annotation)


def _convert(annotation: object, value: object) -> object:
    try:
        return msgspec.convert(value, annotation)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from error


class _Kind:
    """Fields of one message type, with the check of each."""

    def __init__(self, message_type: type) -> None:
        hints = typing.get_type_hints(message_type)
        fields = [f.name for f in dataclasses.fields(message_type)]
        self.name = message_type.__name__
        self.make = message_type
        self.checks = [_check_of(hints[name]) for name in fields]
        self._getter = operator.attrgetter(*fields) if fields else None
        self._single = len(fields) == 1

    def values(self, message: messages.Message) -> list:
        if self._getter is None:
            return []
        found = self._getter(message)
        return [found] if self._single else list(found)


_BY_TYPE = {t: _Kind(t) for t in typing.get_args(messages.Message)}
_BY_NAME = {kind.name: kind for kind in _BY_TYPE.values()}


@functools.cache
def _field_names(record_type: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(record_type))


@functools.singledispatch
def _default(value: object) -> object:
    """Returns a data class as a map; the packer asks again for what it holds.

    dataclasses.asdict copies all that is below, at five times the cost.
    """
    return {name: getattr(value, name) for name in _field_names(type(value))}


@_default.register
def _(value: body.Stream) -> object:
    length = value.length.to_bytes(LENGTH_BYTES, "big", signed=True)
    return msgpack.ExtType(STREAM_EXTENSION, length)


def _extension(code: int, data: bytes) -> object:
    if code != STREAM_EXTENSION or len(data) != LENGTH_BYTES:
        raise ValueError("not a known extension")
    return peer_body.Incoming(int.from_bytes(data, "big", signed=True))


_PACKER = msgpack.Packer(default=_default)


def encode(frame: Frame) -> bytes:
    """Returns the bytes of a frame."""
    kind = _BY_TYPE[type(frame.message)]
    parts = [frame.call, frame.is_answer, frame.stamp, kind.name]
    parts += kind.values(frame.message)
    return _PACKER.pack(parts)


class Decoder:
    """Turns received bytes into frames.

    Only a small greeting is accepted until open() is called, so that a
    stranger cannot make the daemon hold much.
    """

    def __init__(self) -> None:
        self._unpacker = _unpacker(MAX_FRAME_BYTES, MAX_ITEMS)
        self._greeting = bytearray()
        self._open = False

    def open(self) -> None:
        """Accepts all frames from now on."""
        self._open = True

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yields the frames completed by more bytes.

        Raises:
            errors.PeerProtocolError: The bytes are not our protocol.
        """
        try:
            if not self._open:
                data = yield from self._feed_greeting(data)
            self._unpacker.feed(data)
            for parts in self._unpacker:
                yield _frame(parts)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise errors.PeerProtocolError(
                f"garbage on a peer connection: {_problem(error)}",
                remedy="check that both sides run compatible versions",
            ) from error

    def _feed_greeting(self, data: bytes) -> Iterator[Frame]:
        """Yields the first frame; returns the bytes that follow it."""
        self._greeting += data
        unpacker = _unpacker(MAX_HELLO_BYTES, MAX_HELLO_ITEMS)
        unpacker.feed(self._greeting[:MAX_HELLO_BYTES])
        try:
            parts = unpacker.unpack()
        except msgpack.OutOfData:
            if len(self._greeting) >= MAX_HELLO_BYTES:
                raise ValueError("the greeting is too long") from None
            return b""
        yield _frame(parts)
        if not self._open:
            raise ValueError("the greeting was not accepted")
        return bytes(self._greeting[unpacker.tell() :])


def _unpacker(max_bytes: int, max_items: int) -> msgpack.Unpacker:
    return msgpack.Unpacker(
        read_size=READ_BYTES,
        max_buffer_size=max_bytes,
        max_array_len=max_items,
        max_map_len=max_items,
        max_ext_len=LENGTH_BYTES,
        raw=False,
        use_list=False,
        ext_hook=_extension,
    )


def _problem(error: Exception) -> str:
    """Returns what is wrong without what was received, which may be private."""
    if isinstance(error.__cause__, msgspec.ValidationError):
        return str(error)
    return type(error).__name__


def _frame(parts: object) -> Frame:
    if type(parts) is not tuple or len(parts) < 4:
        raise ValueError("not a frame")
    call, is_answer, stamp, name, *values = parts
    kind = _BY_NAME.get(name) if type(name) is str else None
    typed = type(call) is int and type(is_answer) is bool
    if kind is None or not typed or type(stamp) is not int:
        raise ValueError("not a known message")
    if len(values) != len(kind.checks):
        raise ValueError(f"{name} has {len(values)} fields")
    checked = [check(v) for check, v in zip(kind.checks, values, strict=True)]
    return Frame(call, is_answer, stamp, kind.make(*checked))
