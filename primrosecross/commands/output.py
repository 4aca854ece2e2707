"""Tables for people, JSON for scripts, and exit codes."""

import enum
import json
import sys
from collections.abc import Iterable
from typing import Annotated
from typing import Any

import rich.box
import rich.console
import rich.table
import typer

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5
EXIT_NOT_PERMITTED = 6
EXIT_TIMED_OUT = 7


class Format(enum.StrEnum):
    """How rows are written."""

    TABLE = "table"
    JSON = "json"


Output = Annotated[
    Format, typer.Option("--output", help="A table for people, or JSON.")
]


def show(rows: list[dict[str, Any]], output: Format) -> None:
    """Writes rows to standard output; a table is 80 columns when piped."""
    if output is Format.JSON:
        show_json(rows)
        return
    if not rows:
        typer.echo("nothing")
        return
    table = rich.table.Table(box=rich.box.SIMPLE_HEAD, pad_edge=False)
    for name in rows[0]:
        numeric = all(isinstance(row[name], int | float) for row in rows)
        table.add_column(
            name.replace("_", " "),
            justify="right" if numeric else "left",
            overflow="fold",
        )
    for row in rows:
        table.add_row(*(_cell(value) for value in row.values()))
    rich.console.Console(highlight=False).print(table)


def show_json(document: Any) -> None:
    """Writes a document to standard output as JSON."""
    json.dump(document, sys.stdout, indent=2)
    sys.stdout.write("\n")


def _cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.2f}"
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value)
    return str(value)


def note(text: str) -> None:
    """Writes a line for people to standard error."""
    typer.echo(text, err=True)


def fail(text: str, code: int) -> typer.Exit:
    """Writes an error and returns the exit to raise."""
    note(text)
    return typer.Exit(code)


def names(items: Iterable[str]) -> str:
    """Returns names as one readable list."""
    return ", ".join(items) or "none"
