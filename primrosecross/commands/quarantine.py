"""Commands about requests that are not run again."""

import time
from typing import Annotated

import typer

from primrosecross.commands import client as client_module
from primrosecross.commands import output
from primrosecross.rpc import operator_pb2


@client_module.connected
def show(
    client: client_module.Client, form: output.Output = output.Format.TABLE
) -> None:
    """Lists requests held back because targets crashed while running them."""
    reply = client.call(
        "ListQuarantined", operator_pb2.ListQuarantinedRequest()
    )
    now_ms = time.time_ns() // 1_000_000
    rows = [
        {
            "request_id": item.request_id,
            "service": item.service,
            "key_hash": item.key_hash,
            "crashed": list(item.crashed),
            "age_s": max(0, now_ms - item.since_wall_ms) // 1000,
        }
        for item in reply.requests
    ]
    output.show(rows, form)


@client_module.connected
def release(
    client: client_module.Client,
    request_id: Annotated[str, typer.Argument(help="As listed.")],
) -> None:
    """Lets a request run again that was blamed wrongly."""
    request = operator_pb2.ReleaseQuarantinedRequest(request_id=request_id)
    client.call("ReleaseQuarantined", request)
    typer.echo(f"{request_id} may run again")
