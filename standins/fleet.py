"""Starts a platform, daemons and targets as separate processes on loopback."""

import dataclasses
import json
import os
import pathlib
import signal
import socket
import urllib.request

from standins import ports
from standins import processes as processes_module

SECOND_SIGNAL_DELAY_S = 0.2
ENDPOINTS = ("peer", "caller", "operator", "announce", "target")


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the fleet: a daemon and the target beside it.

    Attributes:
        name: Name of the VM.
        place: Availability zone.
        region: Region.
        service: Service of the target.
        slots: Maximum number of concurrent requests of the target.
        checks_generation: Whether the target refuses requests whose generation
            is out of date or whose lease has expired.
    """

    name: str
    place: str
    region: str
    service: str
    slots: int = 16
    checks_generation: bool = True


class Fleet:
    """Runs the processes of one cluster.

    Args:
        vms: VMs to start.
        directory: Directory for settings, logs and journals.
        base_port: First of 1 + 5 n ports for n VMs; a relay uses the
            1 + 2 n ports after them. By default free ports are chosen.
        cluster: Name of the cluster.
        relay: Whether a relay that can cut links carries the traffic between
            VMs and to the platform.
    """

    def __init__(
        self,
        *,
        vms: list[Vm],
        directory: pathlib.Path,
        base_port: int | None = None,
        cluster: str = "local",
        relay: bool = False,
    ) -> None:
        self._relay = relay
        self.vms = {vm.name: vm for vm in vms}
        self._index = {vm.name: i for i, vm in enumerate(vms)}
        self._directory = directory
        port_count = 1 + len(ENDPOINTS) * len(vms)
        if relay:
            port_count += 1 + 2 * len(vms)
        if base_port is None:
            self._ports = ports.choose_free(port_count)
        else:
            self._ports = list(range(base_port, base_port + port_count))
        self._cluster = cluster
        self.extra_settings: dict = {}
        directory.mkdir(parents=True, exist_ok=True)
        self.group = processes_module.Processes(directory)
        self.processes = self.group.by_name

    @property
    def store_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://127.0.0.1:{self._ports[0]}"

    def port(self, vm: str, endpoint: str) -> int:
        """Returns the port of a VM's endpoint, such as "peer" or "target"."""
        first = 1 + len(ENDPOINTS) * self._index[vm]
        return self._ports[first + ENDPOINTS.index(endpoint)]

    def address(self, vm: str, endpoint: str) -> str:
        """Returns the "ip:port" of a VM's endpoint; see port()."""
        return f"127.0.0.1:{self.port(vm, endpoint)}"

    def journal(self, vm: str) -> pathlib.Path:
        """Returns the file in which a VM's target records its requests."""
        return self._directory / f"{vm}.journal"

    def log(self, name: str) -> pathlib.Path:
        """Returns the path of the log of a process."""
        return self.group.log(name)

    def start(self) -> None:
        """Starts the platform, then all VMs."""
        self.start_platform()
        if self._relay:
            self.start_relay()
        for vm in self.vms:
            self.start_vm(vm)

    def start_relay(self) -> None:
        """Starts the relay of all links and waits until it listens."""
        links = []
        for name in self.vms:
            # The relay reads the source from the Hello.
            peer = {"source": "", "target": name}
            peer |= {"port": self._link_port(name, "peer")}
            peer |= {"to_port": self.port(name, "peer")}
            store = {"source": name, "target": "platform"}
            store |= {"port": self._link_port(name, "platform")}
            store |= {"to_port": self._ports[0]}
            links += [peer, store]
        path = self._directory / "relay.json"
        path.write_text(json.dumps(links))
        control_port = self._link_port("", "control")
        self.group.start(
            "relay",
            "standins.relay",
            str(path),
            "--control-port",
            str(control_port),
        )
        ports.await_listener(control_port)

    def _link_port(self, name: str, endpoint: str) -> int:
        first = 1 + len(ENDPOINTS) * len(self.vms)
        if endpoint == "control":
            return self._ports[first]
        first += 1 + 2 * self._index[name]
        return self._ports[first + (endpoint == "platform")]

    def cut(self, *pairs: tuple[str, str]) -> None:
        """Cuts the links between these pairs and restores all others.

        Args:
            pairs: Pairs of VM names, or of a VM name and "platform".
        """
        address = ("127.0.0.1", self._link_port("", "control"))
        with socket.create_connection(address, timeout=5) as sock:
            sock.sendall(json.dumps(pairs).encode() + b"\n")
            sock.recv(8)

    def start_platform(self) -> None:
        """Starts the platform stand-in and waits until it listens."""
        self.group.start(
            "platform", "standins.platform", "--port", str(self._ports[0])
        )
        ports.await_listener(self._ports[0])

    def start_vm(self, name: str) -> None:
        """Starts a VM's daemon and target."""
        self.start_daemon(name)
        self.start_target(name)

    def settings(self, name: str) -> dict:
        """Returns the settings of a VM's daemon."""
        vm = self.vms[name]
        listeners = {
            endpoint: {"host": "127.0.0.1", "port": self.port(name, endpoint)}
            for endpoint in ("peer", "caller", "operator", "announce")
        }
        settings = {
            "cluster": self._cluster,
            "vm": name,
            "place": vm.place,
            "region": vm.region,
            "store_url": self.store_url,
            **listeners,
            **self.extra_settings,
        }
        if self._relay:
            port = self._link_port(name, "platform")
            settings["store_url"] = f"http://127.0.0.1:{port}"
            settings["advertise"] = self.advertised_address(name)
        return settings

    def advertised_address(self, name: str) -> str:
        """Returns the address at which other daemons reach a VM's daemon."""
        port = self.port(name, "peer")
        if self._relay:
            port = self._link_port(name, "peer")
        return f"127.0.0.1:{port}"

    def start_daemon(self, name: str) -> None:
        """Starts a VM's daemon."""
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(self.settings(name)))
        self.group.start(f"{name}-daemon", "primrosecross.daemon", str(path))

    def start_duplicate_daemon(self, name: str) -> str:
        """Starts a second daemon under the name of a VM, on ports of its own.

        Args:
            name: Name of the VM.

        Returns:
            Address at which it accepts announcements.
        """
        settings = self.settings(name)
        endpoints = ("peer", "caller", "operator", "announce")
        chosen_ports = ports.choose_free(len(endpoints))
        self._ports += chosen_ports
        for endpoint, port in zip(endpoints, chosen_ports, strict=True):
            settings[endpoint] = {"host": "127.0.0.1", "port": port}
        settings["advertise"] = f"127.0.0.1:{chosen_ports[0]}"
        path = self._directory / f"{name}-duplicate.json"
        path.write_text(json.dumps(settings))
        self.group.start(f"{name}-duplicate", "primrosecross.daemon", str(path))
        return f"127.0.0.1:{settings['announce']['port']}"

    def start_target(self, name: str) -> None:
        """Starts a VM's target."""
        vm = self.vms[name]
        arguments = [
            "--vm",
            name,
            "--service",
            vm.service,
            "--port",
            str(self.port(name, "target")),
            "--daemon",
            self.address(name, "announce"),
            "--slots",
            str(vm.slots),
            "--journal",
            str(self.journal(name)),
        ]
        if vm.checks_generation:
            arguments.append("--checks-generation")
        self.group.start(f"{name}-target", "standins.target", *arguments)

    def send_signal(self, vm: str, signal_number: signal.Signals) -> None:
        """Sends a signal to a VM's daemon and target."""
        for process_name in ("daemon", "target"):
            process = self.processes[f"{vm}-{process_name}"]
            if process.poll() is None:
                os.kill(process.pid, signal_number)

    def kill_vm(self, vm: str) -> None:
        """Kills a VM's daemon and target."""
        self.send_signal(vm, signal.SIGKILL)
        for process_name in ("daemon", "target"):
            self.processes[f"{vm}-{process_name}"].wait()

    def set_faults(self, **faults: object) -> None:
        """Sets the faults that the platform injects."""
        request = urllib.request.Request(
            f"{self.store_url}/standin/faults",
            data=json.dumps(faults).encode(),
            method="POST",
        )
        urllib.request.urlopen(request, timeout=5).read()

    def stop(self) -> None:
        """Stops all processes; a second signal aborts their draining."""
        self.group.terminate()
        ports.release(self._ports)
