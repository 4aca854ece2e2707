"""The plan: services, availability zones and keys, as declared by operators."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An availability zone."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingPolicy:
    """Favors availability and short waits: refuses rather than queues.

    Attributes:
        max_wait_ms: Longest queue time before a refusal.
    """

    max_wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrestPolicy:
    """Favors the number of answers within deadline at peak load.

    Attributes:
        max_queue: Maximum number of requests queued per target.
        max_wait_ms: Longest queue time before a refusal.
    """

    max_queue: int
    max_wait_ms: int = 50


Policy = WaitingPolicy | CrestPolicy


@dataclasses.dataclass(frozen=True, slots=True)
class LongWork:
    """Criteria of long-running requests, and their limit.

    Attributes:
        paths: Regular expressions; requests whose path matches one are long.
        body_bytes: Requests with a larger body are long.
        after_ms: Requests like those that ran longer than this are long.
        share: Largest share of a target's slots that long requests may hold.
    """

    paths: tuple[str, ...] = ()
    body_bytes: int = 256 * 1024
    after_ms: int = 500
    share: float = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service as declared by operators.

    Attributes:
        name: First segment of the caller's path.
        keyed: Whether each key has one owning target.
        key_pattern: Regular expression that whole keys match.
        partitions: Number of hash partitions the keys are spread over.
        timeout_ms: Timeout of requests without one of their own.
        max_body_bytes: Largest request body accepted.
        idempotent_methods: Methods that may run more than once.
        policy: Admission policy under load.
        resend_window_ms: Time after a first attempt within which a caller
            may resend a request under its Idempotency-Key.
        attempts_marked: Whether callers mark each resend; if so, a request
            without a mark is a first attempt.
        long_work: Criteria and limit of long-running requests.
    """

    name: str
    keyed: bool
    key_pattern: str
    partitions: int
    timeout_ms: int
    max_body_bytes: int
    idempotent_methods: frozenset[str]
    policy: Policy
    resend_window_ms: int = 10_000
    attempts_marked: bool = False
    long_work: LongWork = LongWork()


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One version of the plan; versions only increase."""

    version: int
    author: str
    places: dict[str, Place]
    services: dict[str, Service]


def differences(current: Plan, candidate: Plan) -> list[str]:
    """Returns one line for each availability zone or service that differs."""
    lines = []
    for field in ("places", "services"):
        before = getattr(current, field)
        after = getattr(candidate, field)
        kind = field.removesuffix("s")
        for name in sorted({*before, *after}):
            if name not in after:
                lines.append(f"- {kind} {name}")
            elif name not in before:
                lines.append(f"+ {kind} {name}")
            elif before[name] != after[name]:
                changed = ", ".join(_field_changes(before[name], after[name]))
                lines.append(f"~ {kind} {name}: {changed}")
    return lines


def _field_changes(before: Any, after: Any) -> list[str]:
    """Returns "field old -> new" for each field that differs."""
    lines = []
    for field in dataclasses.fields(after):
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if old != new:
            lines.append(
                f"{field.name} {_format_value(old)} -> {_format_value(new)}"
            )
    return lines


def _format_value(value: Any) -> str:
    if isinstance(value, frozenset):
        return ",".join(sorted(value)) or "none"
    return str(value)


EMPTY = Plan(version=0, author="", places={}, services={})
