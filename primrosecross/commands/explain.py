"""Command that traces one request through the logs of several daemons."""

import json
import pathlib
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Annotated
from typing import Any

import typer

from primrosecross.commands import output

DEFAULT_CONTEXT_MS = 500
CONTEXT_LEVELS = frozenset({"WARNING", "ERROR"})
_DETAIL_FIELDS = (
    "service",
    "tried",
    "detail",
    "map_version",
    "proof_age_ms",
    "took_ms",
    "lane",
    "calls_lost",
    "inbound_lost",
    "answers_cut",
    "answers_unsent",
    "age_ms",
    "silent_ms",
    "blocked_ms",
    "queued_frames",
    "queued_bytes",
    "unacknowledged_bytes",
    "unread_bytes",
    "requests_lost",
    "suppressed",
)


def explain(
    request_id: Annotated[str, typer.Argument(help="ID of the request.")],
    files: Annotated[
        list[pathlib.Path], typer.Argument(help="Log files of the daemons.")
    ],
    around_ms: Annotated[
        int,
        typer.Option(
            min=0, help="Also show warnings this long before the request."
        ),
    ] = DEFAULT_CONTEXT_MS,
) -> None:
    """Shows what daemons logged about a request, in order of time.

    Includes the calls that the request made, whose IDs begin with its own, and
    the ends of connections that it was lost on.
    Includes warnings that the same daemons logged from shortly before its
    first line to its last and that belong to no other request.
    """
    lines = sorted(_read_lines(files), key=lambda line: line["time_ms"])
    request_lines = [line for line in lines if _belongs_to(line, request_id)]
    if not request_lines:
        raise output.fail(
            f"no log line mentions request {request_id!r}; pass the files of "
            "all daemons from the time of the request",
            output.EXIT_INVALID,
        )
    vms = {line.get("vm") for line in request_lines}
    from_ms = request_lines[0]["time_ms"] - around_ms
    until_ms = request_lines[-1]["time_ms"]
    for line in lines:
        in_window = from_ms <= line["time_ms"] <= until_ms
        if _belongs_to(line, request_id) or (
            in_window and _is_context(line, vms)
        ):
            typer.echo(_format_line(line))


def _read_lines(files: Iterable[pathlib.Path]) -> Iterator[dict[str, Any]]:
    """Yields the JSON lines of log files and skips all other lines."""
    for path in files:
        with path.open(errors="replace") as file:
            for text in file:
                json_start = text.find("{")
                if json_start < 0:
                    continue
                try:
                    line = json.loads(text[json_start:])
                except ValueError:
                    continue
                if isinstance(line, dict) and "time_ms" in line:
                    yield line


def _belongs_to(line: dict[str, Any], request_id: str) -> bool:
    lost_ids = line.get("request_ids")
    ids = lost_ids if isinstance(lost_ids, list) else []
    return any(
        line_id == request_id or line_id.startswith(f"{request_id}.")
        for line_id in map(str, (line.get("request_id", ""), *ids))
    )


def _is_context(line: dict[str, Any], vms: set[str]) -> bool:
    return (
        "request_id" not in line
        and line.get("vm") in vms
        and line.get("level") in CONTEXT_LEVELS
    )


def _format_line(line: dict[str, Any]) -> str:
    details = " ".join(f"{n}={line[n]}" for n in _DETAIL_FIELDS if n in line)
    return (
        f"{line['time_ms']} {line.get('vm', '?'):16} "
        f"{line.get('request_id', '-'):24} {line.get('message', '')} {details}"
    ).rstrip()
