"""Encoding of messages between daemons as msgpack.

A frame is [call number, is answer, stamp, kind, fields...]; fields follow
the order of the message's data class.
"""

import dataclasses
import operator
import typing
from collections.abc import Iterator

import msgpack
import pydantic

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.models import settings as settings_model

MAX_FRAME_BYTES = 80 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A message with the call it belongs to and the time it was sent."""

    call: int
    is_answer: bool
    stamp: int
    message: messages.Message


class _Kind:
    def __init__(self, message_type: type) -> None:
        self.name = message_type.__name__
        self.fields = [f.name for f in dataclasses.fields(message_type)]
        self.adapter = pydantic.TypeAdapter(message_type)
        getter = operator.attrgetter(*self.fields) if self.fields else None
        self.single = len(self.fields) == 1
        self.getter = getter

    def values(self, message: messages.Message) -> list:
        if self.getter is None:
            return []
        found = self.getter(message)
        return [found] if self.single else list(found)


_BY_TYPE = {t: _Kind(t) for t in typing.get_args(messages.Message)}
_BY_NAME = {kind.name: kind for kind in _BY_TYPE.values()}


def encode(frame: Frame) -> bytes:
    """Returns the bytes of a frame."""
    kind = _BY_TYPE[type(frame.message)]
    parts = [frame.call, frame.is_answer, frame.stamp, kind.name]
    parts += kind.values(frame.message)
    return msgpack.packb(parts, default=dataclasses.asdict)


class Decoder:
    """Turns received bytes into frames."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_FRAME_BYTES, raw=False
        )

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yields the frames completed by more bytes.

        Raises:
            errors.PeerProtocolError: The bytes are not our protocol.
        """
        try:
            self._unpacker.feed(data)
            for parts in self._unpacker:
                yield _frame(parts)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise errors.PeerProtocolError(
                f"garbage on a peer connection: {_problem(error)}",
                remedy="check that both sides run compatible versions",
            ) from error


def _problem(error: Exception) -> str:
    """Returns what is wrong without what was received, which may be private."""
    if isinstance(error, pydantic.ValidationError):
        return settings_model.describe(error)
    return type(error).__name__


def _frame(parts: object) -> Frame:
    if not isinstance(parts, list) or len(parts) < 4:
        raise ValueError("not a frame")
    call, is_answer, stamp, name, *values = parts
    kind = _BY_NAME.get(name) if isinstance(name, str) else None
    typed = (type(call), type(is_answer), type(stamp)) == (int, bool, int)
    if kind is None or not typed:
        raise ValueError("not a known message")
    if len(values) != len(kind.fields):
        raise ValueError(f"{name} has {len(values)} fields")
    named = dict(zip(kind.fields, values, strict=True))
    return Frame(call, is_answer, stamp, kind.adapter.validate_python(named))
