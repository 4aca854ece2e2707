"""Commands that list and release quarantined requests."""

from typing import Annotated

import typer

from primrosecross.commands import client as client_module
from primrosecross.commands import output
from primrosecross.rpc import operator_pb2

MS_PER_S = 1000


@client_module.with_client
def show(
    client: client_module.Client, form: output.Output = output.Format.TABLE
) -> None:
    """Lists requests quarantined because targets crashed on them."""
    reply = client.call(
        "ListQuarantined", operator_pb2.ListQuarantinedRequest()
    )
    rows = [
        {
            "fingerprint": item.fingerprint,
            "service": item.service,
            "key_hash": item.key_hash,
            "method": item.method,
            "crashes": item.crashes,
            "refused": item.refused,
            "expires_s": item.expires_ms // MS_PER_S,
        }
        for item in reply.requests
    ]
    output.show_rows(rows, form)


@client_module.with_client
def release(
    client: client_module.Client,
    fingerprint: Annotated[str, typer.Argument(help="Fingerprint as listed.")],
) -> None:
    """Releases a wrongly quarantined request so that it may run again."""
    request = operator_pb2.ReleaseQuarantinedRequest(fingerprint=fingerprint)
    client.call("ReleaseQuarantined", request)
    typer.echo(f"{fingerprint} may run again")
