"""Timeline as text."""

import dataclasses
import datetime
import textwrap
from typing import Any

from primrosecross.domain import stamp

WIDTH_COLUMNS = 80
MS_PER_S = 1000
INDENT = " " * 13


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event as shown to operators.

    Attributes:
        vm: VM of the process that recorded it.
        sequence: Position in that process's timeline.
        stamp: Hybrid logical timestamp.
        wall_ms: Wall clock of that process.
        kind: Name of the event's class.
        detail: Fields of the event.
    """

    vm: str
    sequence: int
    stamp: int
    wall_ms: int
    kind: str
    detail: dict[str, Any]

    @property
    def time_ms(self) -> int:
        """Unix time in milliseconds, never earlier than that of a cause."""
        return self.stamp >> stamp.COUNTER_BITS


def format_time(time_ms: int) -> str:
    """Formats a time of day in UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(time_ms / MS_PER_S, datetime.UTC)
    return moment.strftime("%H:%M:%S.") + f"{time_ms % MS_PER_S:03d}"


def format_event(event: Event) -> str:
    """Formats an event, wrapped to WIDTH_COLUMNS."""
    prefix = f"{format_time(event.time_ms)} {event.vm} {event.kind}"
    return textwrap.fill(
        f"{prefix} {format_detail(event.detail)}".rstrip(),
        width=WIDTH_COLUMNS,
        subsequent_indent=INDENT,
        break_on_hyphens=False,
    )


def format_detail(detail: dict[str, Any]) -> str:
    """Formats the fields of an event."""
    return " ".join(
        f"{name}={_format_value(value)}"
        for name, value in detail.items()
        if value
    )


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(_format_value(item) for item in value) or "none"
    if isinstance(value, dict):
        return "/".join(str(item) for item in value.values())
    return str(value)
