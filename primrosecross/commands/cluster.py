"""Commands about members, services and targets."""

from typing import Annotated
from typing import Any

import typer

from primrosecross.commands import client as client_module
from primrosecross.commands import output
from primrosecross.rpc import operator_pb2

_Probe = Annotated[
    bool,
    typer.Option("--probe/--no-probe", help="Ask each member itself."),
]


@client_module.connected
def status(
    client: client_module.Client,
    probe: _Probe = True,
    form: output.Output = output.Format.TABLE,
) -> None:
    """Shows each member: versions in force, lease, load; and imbalance."""
    request = operator_pb2.GetStatusRequest(probe=probe)
    reply = client.call("GetStatus", request)
    rows = [_member(m) for m in reply.members]
    if form is output.Format.JSON:
        output.show_json(
            {
                "asked": reply.vm,
                "plan_version": reply.plan_version,
                "assignment_version": reply.assignment_version,
                "coordinator": reply.coordinator,
                "store_calls": reply.store_calls,
                "members": rows,
                "services": [
                    _service(s)
                    | {"load_imbalance": _load_imbalance(s.name, reply)}
                    for s in reply.services
                ],
            }
        )
        return
    typer.echo(
        f"plan {reply.plan_version}, assignment {reply.assignment_version}, "
        f"coordinator {reply.coordinator or 'unknown'}"
    )
    output.show([_short(row) for row in rows], form)
    for service in reply.services:
        typer.echo(
            f"{service.name}: imbalance {service.imbalance:.2f} in shards a "
            f"slot, {_load_imbalance(service.name, reply):.2f} in requests"
        )
    for row in rows:
        if row["problem"]:
            typer.echo(f"{row['vm']}: {row['problem']}")


def _member(member: operator_pb2.MemberStatus) -> dict[str, Any]:
    return {
        "vm": member.vm,
        "place": member.place,
        "state": member.state,
        "epoch": member.epoch,
        "plan_version": member.plan_version,
        "assignment_version": member.assignment_version,
        "lease": _lease(member),
        "shards": member.shards,
        "in_flight": member.in_flight,
        "owned_per_s": member.owned_per_s,
        "answered": member.answered,
        "not_run": member.not_run,
        "unknown": member.unknown,
        "witnesses": list(member.witnesses),
        "problem": member.problem,
    }


def _load_imbalance(service: str, reply: operator_pb2.GetStatusReply) -> float:
    """Returns the largest load a slot over the mean; 0 without load."""
    rates, slots = [], []
    for member in reply.members:
        own = [t.slots for t in member.targets if t.service == service]
        if own:
            rates.append(member.owned_per_s)
            slots.append(sum(own))
    mean = sum(rates) / sum(slots) if slots else 0.0
    loads = [rate / n for rate, n in zip(rates, slots, strict=True)]
    return max(loads) / mean if mean else 0.0


def _lease(member: operator_pb2.MemberStatus) -> str:
    if not member.asked:
        return "not asked"
    if not member.answers:
        return "no answer"
    return "held" if member.lease_held else "lapsed"


def _short(row: dict[str, Any]) -> dict[str, Any]:
    return {
        "vm": row["vm"],
        "place": row["place"],
        "state": row["state"],
        "plan": row["plan_version"],
        "asgmt": row["assignment_version"],
        "lease": row["lease"],
        "shards": row["shards"],
        "runs": row["in_flight"],
        "req/s": row["owned_per_s"],
    }


@client_module.connected
def services(
    client: client_module.Client, form: output.Output = output.Format.TABLE
) -> None:
    """Shows how each keyed service's shards are spread."""
    reply = client.call("GetStatus", operator_pb2.GetStatusRequest())
    output.show([_service(s) for s in reply.services], form)


def _service(service: operator_pb2.ServiceStatus) -> dict[str, Any]:
    return {
        "service": service.name,
        "shards": service.shards,
        "without_owner": service.without_owner,
        "moving": service.moving,
        "members": service.members,
        "imbalance": service.imbalance,
    }


@client_module.connected
def targets(
    client: client_module.Client, form: output.Output = output.Format.TABLE
) -> None:
    """Shows the targets that announced themselves."""
    reply = client.call("GetStatus", operator_pb2.GetStatusRequest())
    rows = [
        {
            "vm": member.vm,
            "place": member.place,
            "service": target.service,
            "slots": target.slots,
            "fenced": target.checks_generation,
            "shards": target.shards,
            "state": member.state,
        }
        for member in reply.members
        for target in member.targets
    ]
    output.show(rows, form)


@client_module.connected
def metrics(client: client_module.Client) -> None:
    """Prints the daemon's metrics in the Prometheus text format."""
    reply = client.call("GetMetrics", operator_pb2.GetMetricsRequest())
    typer.echo(reply.text, nl=False)
