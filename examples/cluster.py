"""Starts a small cluster of one deployment on loopback, until interrupted."""

import json
import pathlib
import signal
import tempfile
import threading
from typing import Annotated

import typer

from standins import fleet

EXAMPLES = pathlib.Path(__file__).parent
BASE_PORTS = {"brno": 30500, "saurashtra": 30600}


def vms_of(deployment: str, per_service: int) -> list[fleet.Vm]:
    """Returns the first few VMs of each service of a deployment."""
    found: dict[str, list[fleet.Vm]] = {}
    for path in sorted((EXAMPLES / deployment / "settings").glob("*.json")):
        settings = json.loads(path.read_text())
        service, _, _ = settings["vm"].rpartition("-")
        vm = fleet.Vm(
            settings["vm"], settings["place"], settings["region"], service
        )
        found.setdefault(service, []).append(vm)
    return [vm for vms in found.values() for vm in vms[:per_service]]


def _print_addresses(cluster: fleet.Fleet) -> None:
    typer.echo(f"{'vm':15}{'operator':18}{'caller':18}processes")
    for vm in cluster.vms:
        pids = [
            str(cluster.processes[f"{vm}-{part}"].pid)
            for part in ("daemon", "target")
        ]
        typer.echo(
            f"{vm:15}{cluster.address(vm, 'operator'):18}"
            f"{cluster.address(vm, 'caller'):18}{' '.join(pids)}"
        )


def run(
    deployment: Annotated[str, typer.Argument(help="brno or saurashtra.")],
    per_service: Annotated[
        int, typer.Option(min=1, max=8, help="VMs of each service.")
    ] = 3,
    base_port: Annotated[
        int, typer.Option(help="First port; each deployment has its own.")
    ] = 0,
) -> None:
    """Starts the platform stand-in, daemons and target stand-ins."""
    stopping = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopping.set())
    with tempfile.TemporaryDirectory() as directory:
        cluster = fleet.Fleet(
            vms=vms_of(deployment, per_service),
            directory=pathlib.Path(directory),
            base_port=base_port or BASE_PORTS[deployment],
            cluster=deployment,
        )
        try:
            cluster.start()
            _print_addresses(cluster)
            typer.echo(f"logs in {directory}; Ctrl-C stops it")
            stopping.wait()
        finally:
            cluster.stop()


if __name__ == "__main__":
    typer.run(run)
