"""Checks the callers' results against the journals of the targets."""

import collections
import dataclasses
import math
from collections.abc import Iterable

CONTACT_WINDOW_S = 3.0  # a disruption before a request counts for so long
LOST_S = 0.2  # a request may cross the close of its connection for so long


@dataclasses.dataclass(slots=True)
class Disruption:
    """Time of a fault that is no planned work."""

    from_s: float
    to_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResult:
    """The result of one request as its caller saw it.

    Attributes:
        request_id: Request ID.
        idempotent: Whether the request may be executed more than once.
        status: Status code; 0 if the connection closed without a response.
        body_matches: Whether the response body belongs to this request.
        began_s: When its first byte was sent.
        sent_s: When its last byte was sent; 0 if it was not, or is not known.
        ended_s: When it was answered or its connection ended.
    """

    request_id: str
    idempotent: bool
    status: int
    body_matches: bool
    began_s: float = 0.0
    sent_s: float = 0.0
    ended_s: float = 0.0


def violations(
    results: list[CallerResult],
    runs: list[dict],
    disruptions: Iterable[Disruption] = (),
) -> list[str]:
    """Returns a description of each violated guarantee."""
    execution_counts = collections.Counter(run["id"] for run in runs)
    descriptions = []
    for result in results:
        executions = execution_counts[result.request_id]
        if not result.idempotent and executions > 1:
            descriptions.append(
                f"{result.request_id} was executed {executions} times"
            )
        if (
            not result.idempotent
            and result.status in (408, 421, 429, 503)
            and executions
        ):
            descriptions.append(
                f"{result.request_id} was executed but got {result.status}"
            )
        if result.status == 200 and not executions:
            descriptions.append(
                f"{result.request_id} was answered but never executed"
            )
        if result.status == 200 and not result.body_matches:
            descriptions.append(
                f"{result.request_id} got the response of another request"
            )
        if is_lost(result, executed=bool(executions)) and not is_disrupted(
            disruptions, result.began_s, result.ended_s
        ):
            descriptions.append(
                f"{result.request_id} was sent whole, was executed "
                f"{executions} times and ended without an answer "
                f"{result.ended_s - result.sent_s:.3f} s after its last byte"
            )
    return descriptions + _ownership_violations(runs)


def is_lost(result: CallerResult, *, executed: bool) -> bool:
    """Returns whether a request that was sent whole got no answer."""
    if result.status or not result.sent_s:
        return False
    return executed or result.ended_s - result.sent_s > LOST_S


def is_disrupted(
    disruptions: Iterable[Disruption], began_s: float, ended_s: float
) -> bool:
    """Returns whether a disruption may have harmed what lasted so long."""
    return any(
        d.from_s <= ended_s and began_s <= d.to_s + CONTACT_WINDOW_S
        for d in disruptions
    )


def _ownership_violations(runs: list[dict]) -> list[str]:
    """Returns runs of a key by two incarnations or by an old generation.

    Generations of a key must not decrease over time, and each generation
    belongs to one incarnation of a target.
    """
    descriptions = []
    last_runs: dict[str, dict] = {}
    for run in sorted(runs, key=lambda r: r["began_ns"]):
        if not run["key"]:
            continue
        previous = last_runs.get(run["key"])
        if previous is not None and run["generation"] < previous["generation"]:
            descriptions.append(f"key {run['key']}: {run} ran after {previous}")
        elif (
            previous is not None
            and run["generation"] == previous["generation"]
            and run["instance"] != previous["instance"]
        ):
            descriptions.append(
                f"key {run['key']}: {run} shares its generation with {previous}"
            )
        last_runs[run["key"]] = run
    return descriptions
