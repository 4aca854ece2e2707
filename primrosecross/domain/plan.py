"""The plan: what operators declare about services, places and keys."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An availability zone."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingPolicy:
    """Puts short waiting and availability first; refuses rather than queues.

    Attributes:
        max_wait_ms: Longest time in a queue before a refusal.
    """

    max_wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrestPolicy:
    """Puts the number of answers within deadline at peak load first.

    Attributes:
        max_queue: Most requests queued per target.
    """

    max_queue: int


Policy = WaitingPolicy | CrestPolicy


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service as declared by operators.

    Attributes:
        name: First segment of the caller's path.
        keyed: Whether each key has one owning target.
        key_pattern: Regular expression that whole keys match.
        partitions: Number of hash partitions the keys are spread over.
        timeout_ms: Deadline for callers that state none.
        max_body_bytes: Largest request body accepted.
        idempotent_methods: Methods that may run more than once.
        policy: What is put first under load.
    """

    name: str
    keyed: bool
    key_pattern: str
    partitions: int
    timeout_ms: int
    max_body_bytes: int
    idempotent_methods: frozenset[str]
    policy: Policy


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One version of the plan; versions only grow."""

    version: int
    author: str
    places: dict[str, Place]
    services: dict[str, Service]


def differences(present: Plan, candidate: Plan) -> list[str]:
    """Returns one line for each place or service that differs."""
    lines = []
    for field in ("places", "services"):
        before = getattr(present, field)
        after = getattr(candidate, field)
        noun = field.removesuffix("s")
        for name in sorted({*before, *after}):
            if name not in after:
                lines.append(f"- {noun} {name}")
            elif name not in before:
                lines.append(f"+ {noun} {name}")
            elif before[name] != after[name]:
                changed = ", ".join(_changed(before[name], after[name]))
                lines.append(f"~ {noun} {name}: {changed}")
    return lines


def _changed(before: Any, after: Any) -> list[str]:
    """Returns "field old -> new" for each field that differs."""
    lines = []
    for field in dataclasses.fields(after):
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if old != new:
            lines.append(f"{field.name} {_brief(old)} -> {_brief(new)}")
    return lines


def _brief(value: Any) -> str:
    if isinstance(value, frozenset):
        return ",".join(sorted(value)) or "none"
    return str(value)


EMPTY = Plan(version=0, author="", places={}, services={})
