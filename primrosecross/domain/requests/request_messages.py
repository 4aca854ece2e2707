"""Messages that carry requests, their outcomes and crash reports.

The docstring of a message that expects a reply names the reply.
"""

import dataclasses

from primrosecross.domain.requests import body as body_module


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Forwards a request to the owner; the reply is one of the three outcomes.

    Attributes:
        idempotent: Whether the request is safe to run twice.
        identified: Whether the caller chose request_id, so that a resend
            carries the same ID.
        attempt: 1 if the caller or sender guarantees that this is the first
            attempt, more if there was an earlier one, 0 if unknown.
        generation: Generation under which the receiver owns the key, as the
            sender knows it; 0 for unkeyed services.
        timeout_ms: Time remaining until the caller's deadline.
        priority: Priority; 0 is the most urgent.
        objective_ms: Latency objective, within which a response has its full
            benefit; 0 if the plan sets none.
        origin: Service on whose VM the request originated, empty if unknown.
        waited_ms: Time since the caller's first attempt.
        plan_revision: Revision of the route plan at the sender; 0 if it has
            none.
    """

    request_id: str
    service: str
    key: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: body_module.Body
    idempotent: bool
    identified: bool
    attempt: int
    generation: int
    timeout_ms: int
    priority: int = 0
    objective_ms: int = 0
    origin: str = ""
    waited_ms: int = 0
    plan_revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """The complete response of the target.

    Attributes:
        request_id: ID of the request.
    """

    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: body_module.Body


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardNotRun:
    """The request was refused and did not run."""

    request_id: str
    reason: str
    detail: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardUnknown:
    """The request may have run."""

    request_id: str
    reason: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class AskAnswer:
    """Asks a previous owner for the outcome of a request.

    The reply is one of the three outcomes or AnswerAbsent. The receiver does
    not run the request after replying.

    Attributes:
        fingerprint: Digest of service, key, method, path and body; see
            request_identity.fingerprint.
        asked: VMs that need not be asked again.
        timeout_ms: Maximum wait for an attempt that is still running.
    """

    request_id: str
    service: str
    key: str
    fingerprint: str
    asked: tuple[str, ...]
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerAbsent:
    """The request ran neither at the sender nor at the previous owners."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNote:
    """A request that was running on a target when the target crashed.

    Attributes:
        fingerprint: Digest of service, key, method, path and body; see
            request_identity.fingerprint.
        path: Path of the request without the query.
        crash: ID of the crash.
        age_ms: Time since the crash.
    """

    fingerprint: str
    service: str
    key: str
    method: str
    path: str
    crash: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoteCrashes:
    """Reports suspected requests to another daemon; the reply is Done."""

    notes: tuple[CrashNote, ...]
