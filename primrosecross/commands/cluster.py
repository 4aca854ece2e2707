"""Commands that show members, services, targets and metrics."""

from typing import Annotated
from typing import Any

import typer

from primrosecross.commands import client as client_module
from primrosecross.commands import output
from primrosecross.rpc import operator_pb2

_ProbeOption = Annotated[
    bool,
    typer.Option("--probe/--no-probe", help="Query each member directly."),
]


@client_module.with_client
def status(
    client: client_module.Client,
    probe: _ProbeOption = True,
    form: output.Output = output.Format.TABLE,
) -> None:
    """Shows members with versions, lease and load, and the imbalance."""
    request = operator_pb2.GetStatusRequest(probe=probe)
    reply = client.call("GetStatus", request)
    rows = [_member_row(m) for m in reply.members]
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
                    _service_row(s)
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
    output.show_rows([_table_row(row) for row in rows], form)
    for service in reply.services:
        typer.echo(
            f"{service.name}: imbalance {service.imbalance:.2f} in shards per "
            f"slot, {_load_imbalance(service.name, reply):.2f} in requests"
        )
    for row in rows:
        if row["problem"]:
            typer.echo(f"{row['vm']}: {row['problem']}")


def _member_row(member: operator_pb2.MemberStatus) -> dict[str, Any]:
    return {
        "vm": member.vm,
        "place": member.place,
        "state": member.state,
        "epoch": member.epoch,
        "plan_version": member.plan_version,
        "assignment_version": member.assignment_version,
        "lease": _lease_state(member),
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
    """Returns the largest load per slot over the mean; 0 without load."""
    rates, slots = [], []
    for member in reply.members:
        target_slots = [t.slots for t in member.targets if t.service == service]
        if target_slots:
            rates.append(member.owned_per_s)
            slots.append(sum(target_slots))
    mean = sum(rates) / sum(slots) if slots else 0.0
    loads_per_slot = [
        rate / slot_count for rate, slot_count in zip(rates, slots, strict=True)
    ]
    return max(loads_per_slot) / mean if mean else 0.0


def _lease_state(member: operator_pb2.MemberStatus) -> str:
    if not member.asked:
        return "not asked"
    if not member.answers:
        return "no answer"
    return "held" if member.lease_held else "lapsed"


def _table_row(row: dict[str, Any]) -> dict[str, Any]:
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


@client_module.with_client
def services(
    client: client_module.Client, form: output.Output = output.Format.TABLE
) -> None:
    """Shows how the shards of each keyed service are distributed."""
    reply = client.call("GetStatus", operator_pb2.GetStatusRequest())
    output.show_rows([_service_row(s) for s in reply.services], form)


def _service_row(service: operator_pb2.ServiceStatus) -> dict[str, Any]:
    return {
        "service": service.name,
        "shards": service.shards,
        "without_owner": service.without_owner,
        "moving": service.moving,
        "members": service.members,
        "imbalance": service.imbalance,
    }


@client_module.with_client
def targets(
    client: client_module.Client, form: output.Output = output.Format.TABLE
) -> None:
    """Shows the announced targets."""
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
    output.show_rows(rows, form)


@client_module.with_client
def metrics(client: client_module.Client) -> None:
    """Prints the daemon's metrics in the Prometheus text format."""
    reply = client.call("GetMetrics", operator_pb2.GetMetricsRequest())
    typer.echo(reply.text, nl=False)
