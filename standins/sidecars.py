"""Runs store, daemons and targets of the users' platform on loopback."""

import dataclasses
import json
import pathlib
import subprocess
import time
import urllib.error
import urllib.request
from collections.abc import Callable

import gevent

from primrosecross.adapters.http import http_client
from primrosecross.domain import errors
from standins import ports
from standins import processes as processes_module

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
WORKER_CALL_TIMEOUT_S = 1.0
# A daemon reports its target before the target has sent so many heartbeats.
MIN_HEARTBEATS = 3
ENDPOINTS = ("app", "outbound", "ready", "control", "peer")
SETTINGS_TEMPLATE = """
Grants = "{grants}"
[Self]
Node = "{vm}"
Ip = "127.0.0.1"
Zone = "{place}"
App = "127.0.0.1:{app}"
Service = "{service}"
[Self.Limits]
MemoryMb = {memory_mb}
[Network]
PortRange = [{peer}, {peer}]
[Network.Listen]
Outbound = "127.0.0.1:{outbound}"
Ready = "127.0.0.1:{ready}"
Control = "127.0.0.1:{control}"
[Platform.Platform]
Address = "127.0.0.1:{store}"
[Terms.Bounds]
GraceS = 6
HoldMaxMs = 10000
"""


@dataclasses.dataclass(slots=True)
class Sidecar:
    """Processes of one VM: a daemon and the target beside it.

    Attributes:
        vm: Name of the VM.
        service: Service of the target.
        ports: Ports of the VM by endpoint.
        daemon: Process of the daemon.
        worker: Process of the target.
    """

    vm: str
    service: str
    ports: dict[str, int]
    daemon: subprocess.Popen | None = None
    worker: subprocess.Popen | None = None


class Sidecars:
    """Runs a store and VMs as processes on free ports.

    Args:
        services: Service of each VM's target.
        directory: Directory for settings, journals and logs.
        through_proxy: Puts a proxy in front of a port and returns the proxy's
            port; used from daemons to the store and from targets to daemons.
        grants: How targets are granted keys: "heartbeat" or "call".
        memory_mb: Memory limit that daemons are told, 0 if not set.
    """

    def __init__(
        self,
        *,
        services: list[str],
        directory: pathlib.Path,
        through_proxy: Callable[[int], int] = lambda port: port,
        grants: str = "heartbeat",
        memory_mb: int = 0,
    ) -> None:
        self._grants = grants
        self._memory_mb = memory_mb
        self._directory = directory
        self._through_proxy = through_proxy
        self.group = processes_module.Processes(directory)
        self.store_port = ports.choose_free(1)[0]
        self.vms = [
            self._make_sidecar(f"vm-{n}", service)
            for n, service in enumerate(services)
        ]

    def _make_sidecar(self, vm: str, service: str) -> Sidecar:
        ports_by_endpoint = dict(
            zip(ENDPOINTS, ports.choose_free(len(ENDPOINTS)), strict=True)
        )
        text = SETTINGS_TEMPLATE.format(
            vm=vm,
            place="z",
            service=service,
            grants=self._grants,
            memory_mb=self._memory_mb,
            store=self._through_proxy(self.store_port),
            **ports_by_endpoint,
        )
        ports_by_endpoint["heartbeat"] = self._through_proxy(
            ports_by_endpoint["control"]
        )
        (self._directory / f"{vm}.toml").write_text(text)
        return Sidecar(vm, service, ports_by_endpoint)

    def start(self) -> None:
        """Starts the store and all VMs.

        Returns when all listen and daemons know their targets. Keys that are
        assigned before stay with the targets that were known by then.

        Raises:
            TimeoutError: A process is not ready within READY_TIMEOUT_S.
        """
        self.group.start(
            "store", "standins.objects", f"127.0.0.1:{self.store_port}"
        )
        ports.await_listener(self.store_port, timeout_s=READY_TIMEOUT_S)
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for sidecar in self.vms:
            self.start_worker(sidecar)
            self.start_daemon(sidecar)
        for sidecar in self.vms:
            for endpoint in ENDPOINTS:
                ports.await_listener(
                    sidecar.ports[endpoint],
                    timeout_s=deadline_s - time.monotonic(),
                )
            _await_heartbeats(sidecar, deadline_s)

    def start_daemon(self, sidecar: Sidecar) -> None:
        """Starts a VM's daemon."""
        path = self._directory / f"{sidecar.vm}.toml"
        sidecar.daemon = self.group.start(
            f"{sidecar.vm}-daemon",
            "primrosecross.platform",
            PRIMROSECROSS_NODE_FILE=str(path),
        )

    def start_worker(self, sidecar: Sidecar) -> None:
        """Starts a VM's target."""
        sidecar.worker = self.group.start(
            f"{sidecar.vm}-worker",
            "standins.worker",
            f"i-{sidecar.vm}",
            sidecar.service,
            f"127.0.0.1:{sidecar.ports['app']}",
            f"127.0.0.1:{sidecar.ports['heartbeat']}",
            "8",
            str(self._directory / f"{sidecar.vm}.journal"),
        )

    def put_config(self, config: dict, *, create: bool = False) -> None:
        """Writes the configuration that operators set."""
        path = "/api/objects/config" + ("" if create else "/main")
        document = {"Metadata": {"Name": "main"}, "Spec": config}
        self.call_store("POST" if create else "PUT", path, document)

    def set_faults(self, **faults: object) -> dict:
        """Sets the faults that the store injects."""
        return self.call_store("POST", "/standin/faults", faults)

    def call_store(self, method: str, path: str, document: dict) -> dict:
        """Calls the store and returns the JSON response."""
        http_request = urllib.request.Request(
            f"http://127.0.0.1:{self.store_port}{path}",
            data=json.dumps(document).encode(),
            method=method,
        )
        with urllib.request.urlopen(http_request, timeout=5) as response:
            return json.loads(response.read() or b"{}")

    def send(
        self,
        sidecar: Sidecar,
        path: str,
        *,
        request_id: str,
        key: int | None = None,
        method: str = "GET",
        deadline_ms: int = 2000,
        body: bytes | None = None,
    ) -> tuple[int, bytes]:
        """Sends a request as a caller on a VM; returns status and body."""
        headers = request_headers(request_id, deadline_ms, key)
        http_request = urllib.request.Request(
            f"http://127.0.0.1:{sidecar.ports['outbound']}{path}",
            headers=headers,
            method=method,
            data=body,
        )
        try:
            with urllib.request.urlopen(http_request, timeout=10) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as error:
            return error.code, error.read()

    def delay_key_calls(
        self, sidecar: Sidecar, *, share: float, delay_ms: int
    ) -> None:
        """Makes a target carry out a share of its calls late, unanswered."""
        urllib.request.urlopen(
            f"http://127.0.0.1:{sidecar.ports['app']}"
            f"/standin/late?share={share}&ms={delay_ms}",
            timeout=WORKER_CALL_TIMEOUT_S,
        ).close()

    def journal(self) -> list[dict]:
        """Returns the journal entries of all targets."""
        return [
            json.loads(line)
            for path in sorted(self._directory.glob("*.journal"))
            for line in path.read_text().splitlines()
        ]

    def log(self, sidecar: Sidecar) -> str:
        """Returns the log of a VM's daemon."""
        return self.group.log(f"{sidecar.vm}-daemon").read_text()

    def stop(self) -> None:
        """Kills all processes."""
        self.group.kill()
        ports.release([self.store_port])
        for sidecar in self.vms:
            ports.release(sidecar.ports.values())


def request_headers(
    request_id: str, deadline_ms: int, key: int | None
) -> dict[str, str]:
    """Returns the headers of a caller's request."""
    headers = {
        "Host": "desk.example",
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
    }
    if key is not None:
        headers["Shard-Key"] = str(key)
    return headers


def config(version: int, prefix: str = "/book/") -> dict:
    """Returns a configuration with a keyed and an unkeyed service.

    Args:
        version: Version of the configuration.
        prefix: Path prefix of the route whose requests must not run twice.
    """

    def rule(path: str, kind: str, service: str) -> dict:
        return {
            "Name": path,
            "Kind": kind,
            "TargetLatencyMs": 400,
            "Priority": 1,
            "Match": {"PathPrefix": path},
            "Action": {
                "Service": service,
                "TimeoutMs": 2000,
                "MaxAttempts": 2,
            },
        }

    return {
        "Version": version,
        "Listeners": [
            {
                "Host": "desk.example",
                "Rules": [
                    rule(prefix, "unsafe", "desk"),
                    rule("/look/", "safe", "desk"),
                    rule("/file/", "safe", "files"),
                ],
            }
        ],
        "Clusters": [
            {"Name": "desk", "Sharded": True, "WarmS": 2.0},
            {"Name": "files"},
        ],
    }


def _await_heartbeats(sidecar: Sidecar, deadline_s: float) -> None:
    while _count_heartbeats(sidecar) < MIN_HEARTBEATS:
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                f"heartbeats of the target on {sidecar.vm} are not answered"
            )
        gevent.sleep(POLL_INTERVAL_S)


def _count_heartbeats(sidecar: Sidecar) -> int:
    """Returns how many heartbeats of a target its daemon has answered."""
    client = http_client.HttpClient(address=f"127.0.0.1:{sidecar.ports['app']}")
    head = http_client.request_head(
        "GET", "/standin/heartbeats", [("Host", "worker")]
    )
    try:
        return int(
            client.exchange(
                head=head, body=b"", timeout_s=WORKER_CALL_TIMEOUT_S
            ).body
        )
    except (errors.ResponseLostError, errors.RequestNotSentError):
        return 0
    finally:
        client.close()
