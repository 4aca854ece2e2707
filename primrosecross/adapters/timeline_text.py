"""The time line as text."""

import dataclasses
import datetime
import textwrap
from typing import Any

from primrosecross.domain import stamp

WIDTH = 80
MS_PER_S = 1000
INDENT = " " * 13


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event as operators read it.

    Attributes:
        vm: VM of the process that recorded it.
        sequence: Position in that process's time line.
        stamp: Hybrid logical time.
        wall_ms: Wall clock of that process.
        kind: Name of the event's class.
        detail: The event's fields.
    """

    vm: str
    sequence: int
    stamp: int
    wall_ms: int
    kind: str
    detail: dict[str, Any]

    @property
    def time_ms(self) -> int:
        """Milliseconds since 1970 UTC, never before those of a cause."""
        return self.stamp >> stamp.COUNTER_BITS


def clock_time(time_ms: int) -> str:
    """Returns a time of day in UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(time_ms / MS_PER_S, datetime.UTC)
    return moment.strftime("%H:%M:%S.") + f"{time_ms % MS_PER_S:03d}"


def line(event: Event) -> str:
    """Returns an event as text of at most WIDTH columns."""
    start = f"{clock_time(event.time_ms)} {event.vm} {event.kind}"
    return textwrap.fill(
        f"{start} {describe(event.detail)}".rstrip(),
        width=WIDTH,
        subsequent_indent=INDENT,
        break_on_hyphens=False,
    )


def describe(detail: dict[str, Any]) -> str:
    """Returns an event's fields as text."""
    return " ".join(
        f"{name}={_value(value)}" for name, value in detail.items() if value
    )


def _value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(_value(item) for item in value) or "none"
    if isinstance(value, dict):
        return "/".join(str(item) for item in value.values())
    return str(value)
