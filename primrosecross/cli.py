"""The operators' command line."""

import getpass
import json
import pathlib
import sys
import time
from typing import Any

import grpc
import rich.console
import rich.table
import typer

from primrosecross.rpc import operator_pb2
from primrosecross.rpc import operator_pb2_grpc

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5
CALL_TIMEOUT_S = 10.0
POLL_S = 0.1

_EXIT_CODES = {
    grpc.StatusCode.INVALID_ARGUMENT: EXIT_INVALID,
    grpc.StatusCode.NOT_FOUND: EXIT_INVALID,
    grpc.StatusCode.ABORTED: EXIT_CONFLICT,
    grpc.StatusCode.UNAVAILABLE: EXIT_UNAVAILABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED: EXIT_UNAVAILABLE,
}

app = typer.Typer(
    help="Drives a primrosecross cluster through any of its daemons.",
    no_args_is_help=True,
)
_console = rich.console.Console()
_DAEMON = typer.Option(
    "127.0.0.1:7200",
    "--daemon",
    envvar="PRIMROSECROSS_DAEMON",
    help="Operator ip:port of any daemon.",
)
_OUTPUT = typer.Option("table", "--output", help="table or json.")


class Client:
    """Calls one daemon.

    Args:
        address: Operator "ip:port".
    """

    def __init__(self, address: str) -> None:
        self._channel = grpc.insecure_channel(address)
        self._stub = operator_pb2_grpc.OperatorStub(self._channel)

    def call(self, method: str, request: Any) -> Any:
        """Makes one call; exits with a message when it fails."""
        try:
            return getattr(self._stub, method)(request, timeout=CALL_TIMEOUT_S)
        except grpc.RpcError as error:
            typer.echo(f"{method}: {error.details()}", err=True)
            code = _EXIT_CODES.get(error.code(), EXIT_FAILED)
            raise typer.Exit(code) from error


@app.command()
def apply(
    plan: pathlib.Path,
    expected_version: int | None = typer.Option(
        None, help="Version you changed; the stored one by default."
    ),
    author: str = typer.Option("", help="Your name; the login by default."),
    dry_run: bool = typer.Option(False, "--dry-run", help="Only show."),
    wait: bool = typer.Option(False, "--wait", help="Until in force."),
    daemon: str = _DAEMON,
) -> None:
    """Applies a plan from a JSON file."""
    client = Client(daemon)
    if expected_version is None:
        current = client.call("GetPlan", operator_pb2.GetPlanRequest())
        expected_version = current.version
    reply = client.call(
        "ApplyPlan",
        operator_pb2.ApplyPlanRequest(
            plan_json=plan.read_bytes(),
            expected_version=expected_version,
            author=author or getpass.getuser(),
            dry_run=dry_run,
        ),
    )
    for line in reply.changes:
        typer.echo(line)
    verb = "would be" if dry_run else "is"
    typer.echo(f"plan {verb} version {reply.version}")
    if wait and not dry_run:
        _wait_in_force(client, reply.version)


def _wait_in_force(client: Client, version: int) -> None:
    while True:
        status = client.call("GetStatus", operator_pb2.GetStatusRequest())
        late = [m.vm for m in status.members if m.plan_version < version]
        if status.members and not late:
            typer.echo(f"in force on {len(status.members)} members")
            return
        time.sleep(POLL_S)


@app.command()
def get(daemon: str = _DAEMON) -> None:
    """Prints the stored plan as JSON."""
    reply = Client(daemon).call("GetPlan", operator_pb2.GetPlanRequest())
    typer.echo(f"version {reply.version} by {reply.author}", err=True)
    typer.echo(reply.plan_json.decode())


@app.command()
def where(
    service: str, key: str, daemon: str = _DAEMON, output: str = _OUTPUT
) -> None:
    """Tells who owns a key, and why."""
    reply = Client(daemon).call(
        "Where", operator_pb2.WhereRequest(service=service, key=key)
    )
    row = {
        "service": service,
        "key": key,
        "owner": reply.vm,
        "generation": reply.generation,
        "moving_to": reply.moving_to,
        "reason": reply.reason,
    }
    _show([row], output)


@app.command()
def status(daemon: str = _DAEMON, output: str = _OUTPUT) -> None:
    """Shows members and what is in force at each."""
    reply = Client(daemon).call("GetStatus", operator_pb2.GetStatusRequest())
    rows = [
        {
            "vm": m.vm,
            "place": m.place,
            "state": m.state,
            "epoch": m.epoch,
            "plan": m.plan_version,
            "assignment": m.assignment_version,
            "shards": m.shards,
            "confirmed": m.confirmed,
        }
        for m in reply.members
    ]
    if output == "table":
        typer.echo(
            f"plan {reply.plan_version}, assignment "
            f"{reply.assignment_version}, coordinator "
            f"{reply.coordinator or 'unknown'}"
        )
    _show(rows, output)


@app.command()
def drain(vm: str, daemon: str = _DAEMON) -> None:
    """Has a VM hand over what it owns and take no new work."""
    Client(daemon).call("Drain", operator_pb2.DrainRequest(vm=vm))
    typer.echo(f"{vm} is leaving")


@app.command()
def events(daemon: str = _DAEMON, output: str = _OUTPUT) -> None:
    """Shows the daemon's part of the time line."""
    reply = Client(daemon).call("ListEvents", operator_pb2.ListEventsRequest())
    rows = [
        {
            "wall_ms": e.wall_ms,
            "vm": e.vm,
            "event": e.kind,
            "detail": e.detail_json,
        }
        for e in reply.events
    ]
    _show(rows, output)


def _show(rows: list[dict[str, Any]], output: str) -> None:
    if output == "json":
        json.dump(rows, sys.stdout, indent=2)
        sys.stdout.write("\n")
        return
    if not rows:
        typer.echo("nothing")
        return
    table = rich.table.Table(*rows[0])
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    _console.print(table)


def main() -> None:
    """Entry point of primrosecross."""
    app()


if __name__ == "__main__":
    main()
