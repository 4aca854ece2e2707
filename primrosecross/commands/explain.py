"""Tells the story of one request from the log files of several daemons."""

import json
import pathlib
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Annotated
from typing import Any

import typer

from primrosecross.commands import output

AROUND_MS = 500
CONTEXT_LEVELS = frozenset({"WARNING", "ERROR"})
_SHOWN = (
    "service",
    "tried",
    "detail",
    "map_version",
    "proof_age_ms",
    "took_ms",
    "suppressed",
)


def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    files: Annotated[
        list[pathlib.Path], typer.Argument(help="Log files of the daemons.")
    ],
    around_ms: Annotated[
        int,
        typer.Option(
            min=0, help="Also show what daemons met this long before."
        ),
    ] = AROUND_MS,
) -> None:
    """Shows what daemons logged of a request, in order of time.

    Calls that the request made, whose ids begin with its own, are shown too,
    and the warnings of the daemons concerned shortly before its end that name
    no other request.
    """
    lines = sorted(_read(files), key=lambda line: line["time_ms"])
    own = [line for line in lines if _is_of(line, request_id)]
    if not own:
        raise output.fail(
            f"no log names request {request_id!r}; give the files of all "
            "daemons from the time of the request",
            output.EXIT_INVALID,
        )
    vms = {line.get("vm") for line in own}
    from_ms = own[0]["time_ms"] - around_ms
    until_ms = own[-1]["time_ms"]
    for line in lines:
        near = from_ms <= line["time_ms"] <= until_ms
        if _is_of(line, request_id) or (near and _is_context(line, vms)):
            typer.echo(_text(line))


def _read(files: Iterable[pathlib.Path]) -> Iterator[dict[str, Any]]:
    """Yields the JSON lines of files; what is none is passed over."""
    for path in files:
        with path.open(errors="replace") as opened:
            for text in opened:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue
                if isinstance(line, dict) and "time_ms" in line:
                    yield line


def _is_of(line: dict[str, Any], request_id: str) -> bool:
    found = str(line.get("request_id", ""))
    return found == request_id or found.startswith(f"{request_id}.")


def _is_context(line: dict[str, Any], vms: set[str]) -> bool:
    return (
        "request_id" not in line
        and line.get("vm") in vms
        and line.get("level") in CONTEXT_LEVELS
    )


def _text(line: dict[str, Any]) -> str:
    extra = " ".join(f"{n}={line[n]}" for n in _SHOWN if n in line)
    return (
        f"{line['time_ms']} {line.get('vm', '?'):16} "
        f"{line.get('request_id', '-'):24} {line.get('message', '')} {extra}"
    ).rstrip()
