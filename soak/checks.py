"""What callers were told against what the targets' journals show."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a caller was told of one request.

    Attributes:
        request_id: Its id.
        repeatable: Whether running it twice is harmless.
        status: Status code, 0 if the connection ended without an answer.
        own: Whether an answer's body was that of this request.
    """

    request_id: str
    repeatable: bool
    status: int
    own: bool


def problems(told: list[Told], runs: list[dict]) -> list[str]:
    """Returns each broken promise, in words."""
    counts = collections.Counter(run["id"] for run in runs)
    found = []
    for one in told:
        ran = counts[one.request_id]
        if not one.repeatable and ran > 1:
            found.append(f"{one.request_id} ran {ran} times")
        if not one.repeatable and one.status in (408, 421, 429, 503) and ran:
            found.append(f"{one.request_id} ran and was told {one.status}")
        if one.status == 200 and not ran:
            found.append(f"{one.request_id} was answered and never ran")
        if one.status == 200 and not one.own:
            found.append(f"{one.request_id} got another answer")
    return found + _holders(runs)


def _holders(runs: list[dict]) -> list[str]:
    """Returns keys that two lives ran at a time, or in the wrong order."""
    found = []
    newest: dict[str, dict] = {}
    for run in sorted(runs, key=lambda r: r["began_ns"]):
        if not run["key"]:
            continue
        last = newest.get(run["key"])
        if last is not None and run["generation"] < last["generation"]:
            found.append(f"key {run['key']}: {run} after {last}")
        elif (
            last is not None
            and run["generation"] == last["generation"]
            and run["instance"] != last["instance"]
        ):
            found.append(f"key {run['key']}: {run} beside {last}")
        newest[run["key"]] = run
    return found
