"""Commands about who owns what."""

import time
from typing import Annotated

import typer

from primrosecross.commands import client as client_module
from primrosecross.commands import output
from primrosecross.domain import assignment
from primrosecross.rpc import operator_pb2

POLL_S = 0.3

_Service = Annotated[str, typer.Argument(help="Name of the service.")]
_Key = Annotated[str, typer.Argument(help="The key.")]
_Vm = Annotated[str, typer.Argument(help="Name of the VM.")]


@client_module.connected
def where(
    client: client_module.Client,
    service: _Service,
    key: _Key,
    form: output.Output = output.Format.TABLE,
) -> None:
    """Tells who owns a key, and why; key_hash is its name in the logs."""
    request = operator_pb2.WhereRequest(service=service, key=key)
    reply = client.call("Where", request)
    row = {
        "owner": reply.vm,
        "generation": reply.generation,
        "moving_to": reply.moving_to,
        "reason": reply.reason,
        "key_hash": f"{assignment.hash_key(service, key):016x}",
    }
    output.show([row], form)


@client_module.connected
def move(
    client: client_module.Client,
    service: _Service,
    key: _Key,
    vm: Annotated[
        str, typer.Argument(help="Where it goes; none to balance it again.")
    ] = "",
) -> None:
    """Sets a key apart from its partition and keeps it at a VM."""
    request = operator_pb2.MoveRequest(service=service, key=key, vm=vm)
    client.call("Move", request)
    done = f"is being handed over to {vm}" if vm else "is balanced again"
    typer.echo(f"the key {done}")


@client_module.connected
def drain(
    client: client_module.Client,
    vm: _Vm,
    wait: Annotated[
        bool, typer.Option("--wait", help="Until it owns nothing.")
    ] = False,
    wait_s: Annotated[
        float, typer.Option("--wait-s", min=1, max=3600, help="Its limit.")
    ] = 60.0,
) -> None:
    """Has a VM hand over what it owns and take no new work."""
    client.call("Drain", operator_pb2.DrainRequest(vm=vm))
    typer.echo(f"{vm} is leaving")
    if wait:
        _wait_drained(client, vm, wait_s)


def _wait_drained(
    client: client_module.Client, vm: str, limit_s: float
) -> None:
    started_s = time.monotonic()
    shown = -1
    while True:
        status = client.call("GetStatus", operator_pb2.GetStatusRequest())
        left = sum(m.shards for m in status.members if m.vm == vm)
        leaving = all(
            m.state != assignment.MemberState.ACTIVE
            for m in status.members
            if m.vm == vm
        )
        waited_s = time.monotonic() - started_s
        if leaving and not left:
            typer.echo(f"{vm} owns nothing after {waited_s:.1f} s")
            return
        if left != shown:
            output.note(f"{vm} owns {left} shards")
            shown = left
        if waited_s >= limit_s:
            raise output.fail(
                f"{vm} still owns {left} shards after {limit_s:.0f} s; "
                "requests in flight hold them, or no other VM offers the "
                "service; see 'primrosecross status --probe'",
                output.EXIT_TIMED_OUT,
            )
        time.sleep(POLL_S)


@client_module.connected
def undrain(client: client_module.Client, vm: _Vm) -> None:
    """Takes a leaving VM back."""
    client.call("Undrain", operator_pb2.UndrainRequest(vm=vm))
    typer.echo(f"{vm} is back")
