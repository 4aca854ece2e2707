"""Runs a small cluster of one deployment on loopback until interrupted."""

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


def load_vms(deployment: str, per_service: int) -> list[fleet.Vm]:
    """Returns the first `per_service` VMs of each service."""
    vms_by_service: dict[str, list[fleet.Vm]] = {}
    for settings_path in sorted(
        (EXAMPLES / deployment / "settings").glob("*.json")
    ):
        vm_settings = json.loads(settings_path.read_text())
        service, _, _ = vm_settings["vm"].rpartition("-")
        vm = fleet.Vm(
            vm_settings["vm"],
            vm_settings["place"],
            vm_settings["region"],
            service,
        )
        vms_by_service.setdefault(service, []).append(vm)
    return [vm for vms in vms_by_service.values() for vm in vms[:per_service]]


def _print_addresses(cluster: fleet.Fleet) -> None:
    typer.echo(f"{'vm':15}{'operator':18}{'caller':18}processes")
    for vm in cluster.vms:
        pids = [
            str(cluster.processes[f"{vm}-{process}"].pid)
            for process in ("daemon", "target")
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
        int,
        typer.Option(help="First port; 0 uses the default of the deployment."),
    ] = 0,
) -> None:
    """Starts the stand-ins for platform and targets, and the daemons."""
    stopping = threading.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, lambda *_: stopping.set())
    with tempfile.TemporaryDirectory() as directory:
        cluster = fleet.Fleet(
            vms=load_vms(deployment, per_service),
            directory=pathlib.Path(directory),
            base_port=base_port or BASE_PORTS[deployment],
            cluster=deployment,
        )
        try:
            cluster.start()
            _print_addresses(cluster)
            typer.echo(f"logs in {directory}; press Ctrl-C to stop the cluster")
            stopping.wait()
        finally:
            cluster.stop()


if __name__ == "__main__":
    typer.run(run)
