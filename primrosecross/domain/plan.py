"""The plan: what operators declare about services, places and keys."""

import dataclasses


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


EMPTY = Plan(version=0, author="", places={}, services={})
