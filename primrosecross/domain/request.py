"""A caller's request as the decisions see it."""

import dataclasses

from primrosecross.domain import body as body_module


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller, independent of how it was encoded.

    Attributes:
        request_id: Identity across resends; the caller's Idempotency-Key, or
            one made at the border.
        service: Name of the service in the plan.
        key: The key, or an empty string for services without keys.
        method: Method in upper case.
        path: Path and query below the service, as sent to the target.
        headers: Headers passed through to the target.
        body: The body, held whole or streamed.
        idempotent: Whether running it twice is harmless.
        deadline_ns: Time on the local boot clock after which an answer is
            useless to the caller.
        identified: Whether request_id is the caller's own.
        attempt: 1 if no earlier attempt was made, more if one was, 0 if
            neither is known.
        priority: Rank; 0 is the most urgent.
        objective_ms: Time within which an answer is worth its full benefit,
            0 if the plan does not say.
        origin: Service on whose VM the request began, empty if unknown.
        waited_ms: How long its caller has waited since a first attempt, as
            far as its deadline shows.
    """

    request_id: str
    service: str
    key: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: body_module.Body
    idempotent: bool
    deadline_ns: int
    identified: bool = False
    attempt: int = 0
    priority: int = 0
    objective_ms: int = 0
    origin: str = ""
    waited_ms: int = 0
