"""Bounded field types of msgspec models.

Python integers have no limit, but msgpack's have 64 bits, and a number beyond
all sensible ones that is once believed is never exceeded again.
"""

from typing import Annotated

import msgspec

from primrosecross.domain.ownership import key_map

MAX_VERSION = 1 << 62  # leaves room for increments within 64 bits
MAX_COUNT = (1 << 53) - 1  # exact in all JSON parsers; RFC 8259, section 6
MAX_UNIX_MS = 253_402_300_799_999  # the end of the year 9999
MAX_SLOTS = 10_000
MAX_NAME_LENGTH = 256

Key = Annotated[int, msgspec.Meta(ge=0, le=key_map.LAST_KEY)]
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Number = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
SignedNumber = Annotated[float, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class KeyRow(
    msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True
):
    """A range of keys, the first members of a row.

    Attributes:
        first: First key.
        last: Last key, included.
    """

    first: Key
    last: Key

    def __post_init__(self) -> None:
        """Checks the order of the keys; raises ValueError."""
        if self.first > self.last:
            raise ValueError(f"key {self.first} follows the last, {self.last}")


class HeldRow(KeyRow):
    """A range that a target holds."""

    generation: Version


class ReleasedRow(KeyRow):
    """A range that a target released, with its hand-over token."""

    token: Name
