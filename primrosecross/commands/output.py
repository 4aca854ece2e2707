"""Output of commands as tables or JSON, and their exit codes."""

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
    """Output format of rows."""

    TABLE = "table"
    JSON = "json"


Output = Annotated[Format, typer.Option("--output", help="Table or JSON.")]


def show_rows(rows: list[dict[str, Any]], output: Format) -> None:
    """Prints rows; a table is 80 columns wide when piped."""
    if output is Format.JSON:
        show_json(rows)
        return
    if not rows:
        typer.echo("no entries")
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
        table.add_row(*(_cell_text(value) for value in row.values()))
    rich.console.Console(highlight=False).print(table)


def show_json(document: Any) -> None:
    """Prints a document as JSON."""
    json.dump(document, sys.stdout, indent=2)
    sys.stdout.write("\n")


def _cell_text(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.2f}"
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value)
    return str(value)


def print_note(text: str) -> None:
    """Prints a message to standard error."""
    typer.echo(text, err=True)


def fail(text: str, code: int) -> typer.Exit:
    """Prints an error and returns the exception to raise."""
    print_note(text)
    return typer.Exit(code)


def join_names(items: Iterable[str]) -> str:
    """Returns names separated by commas, or "none"."""
    return ", ".join(items) or "none"
