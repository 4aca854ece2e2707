"""Command line for operators."""

import sys

import typer

from primrosecross.commands import cluster
from primrosecross.commands import explain
from primrosecross.commands import load
from primrosecross.commands import owners
from primrosecross.commands import plans
from primrosecross.commands import quarantine
from primrosecross.commands import timeline

app = typer.Typer(
    help="Controls a primrosecross cluster through any of its daemons.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
for command in (
    plans.apply,
    plans.get,
    plans.describe,
    plans.plans,
    cluster.services,
    cluster.targets,
    owners.where,
    owners.move,
    owners.drain,
    owners.undrain,
    timeline.events,
    cluster.status,
    cluster.metrics,
    load.load,
    explain.explain,
):
    app.command()(command)

_quarantine_app = typer.Typer(
    help="Lists and releases requests quarantined for crashing targets.",
    no_args_is_help=True,
)
_quarantine_app.command("list")(quarantine.show)
_quarantine_app.command("release")(quarantine.release)
app.add_typer(_quarantine_app, name="quarantine")


def main() -> None:
    """Entry point of primrosecross."""
    try:
        app(prog_name="primrosecross")
    except BrokenPipeError:
        sys.stderr.close()
        sys.exit(0)


if __name__ == "__main__":
    main()
