"""Commands that apply and show plans."""

import getpass
import json
import pathlib
import time
from typing import Annotated

import typer

from primrosecross.commands import client as client_module
from primrosecross.commands import output
from primrosecross.rpc import operator_pb2

POLL_INTERVAL_S = 0.3
UNAVAILABLE_AFTER_S = 3.0

_PlanArgument = Annotated[
    pathlib.Path | None,
    typer.Argument(exists=True, dir_okay=False, help="JSON file."),
]
_ExpectedVersionOption = Annotated[
    int | None,
    typer.Option(
        help="Version that the change is based on; the stored one by default."
    ),
]
_AuthorOption = Annotated[
    str, typer.Option(help="Author of the plan; the login name by default.")
]
_DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Only show what would change.")
]
_WaitOption = Annotated[
    bool,
    typer.Option("--wait", help="Wait until it is in force on all members."),
]
_WaitSOption = Annotated[
    float,
    typer.Option("--wait-s", min=1, max=3600, help="Time limit of --wait."),
]
_UndoOption = Annotated[
    bool,
    typer.Option("--undo", help="Apply an earlier plan as a new version."),
]
_ToOption = Annotated[
    int | None,
    typer.Option(
        "--to", min=1, help="Version to restore; the previous one by default."
    ),
]


@client_module.with_client
def apply(
    client: client_module.Client,
    plan: _PlanArgument = None,
    expected_version: _ExpectedVersionOption = None,
    author: _AuthorOption = "",
    dry_run: _DryRunOption = False,
    wait: _WaitOption = False,
    wait_s: _WaitSOption = 30.0,
    undo: _UndoOption = False,
    to: _ToOption = None,
) -> None:
    """Applies a plan from a JSON file, or an earlier one with --undo."""
    if (plan is None) != undo:
        raise output.fail(
            "pass either a plan file or --undo", output.EXIT_INVALID
        )
    current = client.call("GetPlan", operator_pb2.GetPlanRequest())
    if undo:
        plan_json = _earlier_plan(client, current.version, to)
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


def _earlier_plan(
    client: client_module.Client, current: int, to: int | None
) -> bytes:
    version = current - 1 if to is None else to
    if not 0 < version < current:
        raise output.fail(
            f"there is no version {version} before version {current}; "
            "'primrosecross plans' lists the stored versions",
            output.EXIT_INVALID,
        )
    request = operator_pb2.GetPlanRequest(version=version)
    return client.call("GetPlan", request).plan_json


def wait_in_force(
    client: client_module.Client, version: int, limit_s: float
) -> None:
    """Waits until all members that hold a lease have a plan in force.

    After UNAVAILABLE_AFTER_S, a member that does not answer or holds no lease
    is listed but not waited for. It serves no requests, and gets the plan
    before it serves again.
    """
    started_s = time.monotonic()
    last_line = ""
    while True:
        request = operator_pb2.GetStatusRequest(
            probe=True, late_for_plan=version
        )
        status = client.call("GetStatus", request)
        outdated = [m for m in status.members if m.plan_version < version]
        unavailable = {
            m.vm: _unavailable_reason(m)
            for m in outdated
            if _unavailable_reason(m)
        }
        pending = [m.vm for m in outdated if m.vm not in unavailable]
        waited_s = time.monotonic() - started_s
        if waited_s < UNAVAILABLE_AFTER_S:
            pending += unavailable
        total = len(status.members)
        if total and not pending:
            _report_in_force(
                version, total - len(unavailable), unavailable, waited_s
            )
            return
        line = f"in force on {total - len(outdated)} of {total} members"
        if line != last_line:
            output.print_note(line)
            last_line = line
        if waited_s >= limit_s:
            raise output.fail(
                f"not in force everywhere after {limit_s:.0f} s; outdated: "
                f"{output.join_names(pending)}; the plan remains stored, "
                "see 'primrosecross status --probe'",
                output.EXIT_TIMED_OUT,
            )
        time.sleep(POLL_INTERVAL_S)


def _unavailable_reason(member: operator_pb2.MemberStatus) -> str:
    if not member.asked:
        return ""
    if not member.answers:
        return "does not answer"
    return "" if member.lease_held else "holds no lease"


def _report_in_force(
    version: int, count: int, unavailable: dict[str, str], waited_s: float
) -> None:
    typer.echo(
        f"version {version} in force on {count} members after {waited_s:.1f} s"
    )
    for vm, reason in sorted(unavailable.items()):
        typer.echo(
            f"not waited for: {vm} {reason}; it serves no requests meanwhile"
        )


@client_module.with_client
def get(
    client: client_module.Client,
    version: Annotated[
        int,
        typer.Option(min=0, help="A stored version; 0 for the current one."),
    ] = 0,
) -> None:
    """Prints a plan as JSON that apply accepts."""
    request = operator_pb2.GetPlanRequest(version=version)
    reply = client.call("GetPlan", request)
    output.print_note(f"version {reply.version} by {reply.author or 'nobody'}")
    typer.echo(reply.plan_json.decode())


@client_module.with_client
def describe(
    client: client_module.Client, form: output.Output = output.Format.TABLE
) -> None:
    """Shows the services and availability zones of the stored plan."""
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
        typer.echo(f"region {region}: {output.join_names(places)}")
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
    output.show_rows(rows, form)


@client_module.with_client
def plans(
    client: client_module.Client, form: output.Output = output.Format.TABLE
) -> None:
    """Lists the stored plan versions and the changes made by each."""
    reply = client.call("ListPlans", operator_pb2.ListPlansRequest())
    rows = [
        {
            "version": plan.version,
            "author": plan.author,
            "changes": "; ".join(plan.changes),
        }
        for plan in reply.plans
    ]
    output.show_rows(rows, form)
