"""Commands about the plan."""

import getpass
import json
import pathlib
import time
from typing import Annotated

import typer

from primrosecross.commands import client as client_module
from primrosecross.commands import output
from primrosecross.rpc import operator_pb2

POLL_S = 0.3
AWAY_S = 3.0

_Plan = Annotated[
    pathlib.Path | None,
    typer.Argument(exists=True, dir_okay=False, help="JSON file."),
]
_Expected = Annotated[
    int | None,
    typer.Option(help="Version you changed; the stored one by default."),
]
_Author = Annotated[str, typer.Option(help="Your name; the login by default.")]
_DryRun = Annotated[
    bool, typer.Option("--dry-run", help="Only show what would change.")
]
_Wait = Annotated[
    bool, typer.Option("--wait", help="Until it is in force everywhere.")
]
_WaitS = Annotated[
    float, typer.Option("--wait-s", min=1, max=3600, help="Limit of --wait.")
]
_Undo = Annotated[
    bool,
    typer.Option("--undo", help="Apply an earlier plan as a new version."),
]
_To = Annotated[
    int | None,
    typer.Option("--to", min=1, help="Version to undo to; the one before."),
]


@client_module.connected
def apply(
    client: client_module.Client,
    plan: _Plan = None,
    expected_version: _Expected = None,
    author: _Author = "",
    dry_run: _DryRun = False,
    wait: _Wait = False,
    wait_s: _WaitS = 30.0,
    undo: _Undo = False,
    to: _To = None,
) -> None:
    """Applies a plan from a JSON file, or an earlier one with --undo."""
    if (plan is None) != undo:
        raise output.fail(
            "give either a plan file or --undo", output.EXIT_INVALID
        )
    current = client.call("GetPlan", operator_pb2.GetPlanRequest())
    if undo:
        plan_json = _earlier(client, current.version, to)
    else:
        plan_json = plan.read_bytes()
    if expected_version is None:
        expected_version = current.version
    request = operator_pb2.ApplyPlanRequest(
        plan_json=plan_json,
        expected_version=expected_version,
        author=author or getpass.getuser(),
        dry_run=dry_run,
    )
    reply = client.call("ApplyPlan", request)
    for line in reply.changes or ["no difference"]:
        typer.echo(line)
    verb = "would be" if dry_run else "is"
    typer.echo(f"plan {verb} version {reply.version}")
    if wait and not dry_run:
        wait_in_force(client, reply.version, wait_s)


def _earlier(
    client: client_module.Client, current: int, to: int | None
) -> bytes:
    version = current - 1 if to is None else to
    if not 0 < version < current:
        raise output.fail(
            f"there is no version {version} before version {current}; "
            "'primrosecross plans' lists those that are kept",
            output.EXIT_INVALID,
        )
    request = operator_pb2.GetPlanRequest(version=version)
    return client.call("GetPlan", request).plan_json


def wait_in_force(
    client: client_module.Client, version: int, limit_s: float
) -> None:
    """Waits until all members that hold a lease have a plan in force.

    A member that does not answer or holds no lease for AWAY_S serves nothing;
    it is named and not waited for, and gets the plan before it serves again.
    """
    started_s = time.monotonic()
    shown = ""
    while True:
        request = operator_pb2.GetStatusRequest(
            probe=True, late_for_plan=version
        )
        status = client.call("GetStatus", request)
        late = [m for m in status.members if m.plan_version < version]
        away = {m.vm: _why_away(m) for m in late if _why_away(m)}
        waiting = [m.vm for m in late if m.vm not in away]
        waited_s = time.monotonic() - started_s
        if waited_s < AWAY_S:
            waiting += away
        total = len(status.members)
        if total and not waiting:
            _report_in_force(version, total - len(away), away, waited_s)
            return
        line = f"in force on {total - len(late)} of {total} members"
        if line != shown:
            output.note(line)
            shown = line
        if waited_s >= limit_s:
            raise output.fail(
                f"not everywhere after {limit_s:.0f} s; late: "
                f"{output.names(waiting)}; the plan is stored and stays, "
                "see 'primrosecross status --probe'",
                output.EXIT_TIMED_OUT,
            )
        time.sleep(POLL_S)


def _why_away(member: operator_pb2.MemberStatus) -> str:
    if not member.asked:
        return ""
    if not member.answers:
        return "does not answer"
    return "" if member.lease_held else "holds no lease"


def _report_in_force(
    version: int, count: int, away: dict[str, str], waited_s: float
) -> None:
    typer.echo(
        f"version {version} in force on {count} members after {waited_s:.1f} s"
    )
    for vm, why in sorted(away.items()):
        typer.echo(f"not waited for: {vm} {why}; it serves nothing meanwhile")


@client_module.connected
def get(
    client: client_module.Client,
    version: Annotated[
        int, typer.Option(min=0, help="A kept version; 0 for the stored one.")
    ] = 0,
) -> None:
    """Prints a plan as JSON, as it can be applied."""
    request = operator_pb2.GetPlanRequest(version=version)
    reply = client.call("GetPlan", request)
    output.note(f"version {reply.version} by {reply.author or 'nobody'}")
    typer.echo(reply.plan_json.decode())


@client_module.connected
def describe(
    client: client_module.Client, form: output.Output = output.Format.TABLE
) -> None:
    """Shows the stored plan's services and places."""
    reply = client.call("GetPlan", operator_pb2.GetPlanRequest())
    plan = json.loads(reply.plan_json)
    if form is output.Format.JSON:
        output.show_json(
            {"version": reply.version, "author": reply.author, "plan": plan}
        )
        return
    typer.echo(f"version {reply.version} by {reply.author or 'nobody'}")
    regions: dict[str, list[str]] = {}
    for place in plan["places"]:
        regions.setdefault(place["region"], []).append(place["name"])
    for region, places in regions.items():
        typer.echo(f"region {region}: {output.names(places)}")
    rows = [
        {
            "service": service["name"],
            "keyed": service["keyed"],
            "policy": service["policy"]["kind"],
            "partitions": service["partitions"],
            "timeout_ms": service["timeout_ms"],
            "max_body_bytes": service["max_body_bytes"],
        }
        for service in plan["services"]
    ]
    output.show(rows, form)


@client_module.connected
def plans(
    client: client_module.Client, form: output.Output = output.Format.TABLE
) -> None:
    """Lists the kept versions of the plan and what each changed."""
    reply = client.call("ListPlans", operator_pb2.ListPlansRequest())
    rows = [
        {
            "version": plan.version,
            "author": plan.author,
            "changes": "; ".join(plan.changes),
        }
        for plan in reply.plans
    ]
    output.show(rows, form)
