"""Commands that locate and move keys and drain VMs."""

import time
from typing import Annotated

import typer

from primrosecross.commands import client as client_module
from primrosecross.commands import output
from primrosecross.domain.ownership import assignment
from primrosecross.rpc import operator_pb2

POLL_INTERVAL_S = 0.3

_ServiceArgument = Annotated[str, typer.Argument(help="Name of the service.")]
_KeyArgument = Annotated[str, typer.Argument(help="The key.")]
_VmArgument = Annotated[str, typer.Argument(help="Name of the VM.")]


@client_module.with_client
def where(
    client: client_module.Client,
    service: _ServiceArgument,
    key: _KeyArgument,
    form: output.Output = output.Format.TABLE,
) -> None:
    """Shows the owner of a key and the reason; logs hold the key_hash."""
    request = operator_pb2.WhereRequest(service=service, key=key)
    reply = client.call("Where", request)
    row = {
        "owner": reply.vm,
        "generation": reply.generation,
        "moving_to": reply.moving_to,
        "reason": reply.reason,
        "key_hash": f"{assignment.hash_key(service, key):016x}",
    }
    output.show_rows([row], form)


@client_module.with_client
def move(
    client: client_module.Client,
    service: _ServiceArgument,
    key: _KeyArgument,
    vm: Annotated[
        str, typer.Argument(help="Destination VM; none to unpin the key.")
    ] = "",
) -> None:
    """Pins a key to a VM, apart from its partition."""
    request = operator_pb2.MoveRequest(service=service, key=key, vm=vm)
    client.call("Move", request)
    result = f"is being handed over to {vm}" if vm else "is no longer pinned"
    typer.echo(f"the key {result}")


@client_module.with_client
def drain(
    client: client_module.Client,
    vm: _VmArgument,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until the VM owns nothing.")
    ] = False,
    wait_s: Annotated[
        float,
        typer.Option("--wait-s", min=1, max=3600, help="Time limit of --wait."),
    ] = 60.0,
) -> None:
    """Drains a VM: it hands over its shards and accepts no new work."""
    client.call("Drain", operator_pb2.DrainRequest(vm=vm))
    typer.echo(f"{vm} is draining")
    if wait:
        _wait_drained(client, vm, wait_s)


def _wait_drained(
    client: client_module.Client, vm: str, limit_s: float
) -> None:
    started_s = time.monotonic()
    last_reported = -1
    while True:
        status = client.call("GetStatus", operator_pb2.GetStatusRequest())
        remaining = sum(m.shards for m in status.members if m.vm == vm)
        draining = all(
            m.state != assignment.MemberState.ACTIVE
            for m in status.members
            if m.vm == vm
        )
        waited_s = time.monotonic() - started_s
        if draining and not remaining:
            typer.echo(f"{vm} owns nothing after {waited_s:.1f} s")
            return
        if remaining != last_reported:
            output.print_note(f"{vm} owns {remaining} shards")
            last_reported = remaining
        if waited_s >= limit_s:
            raise output.fail(
                f"{vm} still owns {remaining} shards after {limit_s:.0f} s; "
                "requests in flight delay the hand-over, or no other VM "
                "offers the service; see 'primrosecross status --probe'",
                output.EXIT_TIMED_OUT,
            )
        time.sleep(POLL_INTERVAL_S)


@client_module.with_client
def undrain(client: client_module.Client, vm: _VmArgument) -> None:
    """Cancels the drain of a VM."""
    client.call("Undrain", operator_pb2.UndrainRequest(vm=vm))
    typer.echo(f"{vm} is no longer draining")
