"""Cost of the router beside calling the target directly.

Three ways to the same target: directly, through the daemon beside it, and
through another daemon that forwards to the owner.
"""

import dataclasses
import os
import pathlib
import tempfile
import time
from collections.abc import Iterator

import gevent
import geventhttpclient
import grpc
from hdrh import histogram

from bench import result
from primrosecross.rpc import operator_pb2
from primrosecross.rpc import operator_pb2_grpc
from standins import fleet

BASE_PORT = 29000
PLAN = pathlib.Path(__file__).parents[1] / "examples" / "brno" / "plan.json"
READY_S = 20.0
RUN_S = 4.0
CLIENTS = 12
PLANNED_PER_S = 12_900
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MAX_US = 60_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """One way's figures; CPU is that of all daemons."""

    p50_us: float
    p99_us: float
    per_s: float
    cpu_us: float


class _Way:
    """Sends requests one way."""

    def __init__(self, cluster: fleet.Fleet, address: str, path: str) -> None:
        self._cluster = cluster
        host, _, port = address.rpartition(":")
        self._client = geventhttpclient.HTTPClient(
            host, int(port), concurrency=CLIENTS, network_timeout=10
        )
        self._path = path
        self._seen = histogram.HdrHistogram(1, MAX_US, 3)
        self._failed = 0

    def _cpu_s(self) -> float:
        total = 0
        for name, process in self._cluster.processes.items():
            if name.endswith("-daemon"):
                stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
                fields = stat.rpartition(")")[2].split()
                total += int(fields[11]) + int(fields[12])
        return total / TICKS_PER_S

    def _send(self, until: float) -> None:
        while time.monotonic() < until:
            sent = time.monotonic()
            answer = self._client.get(self._path)
            answer.read()
            took_us = int((time.monotonic() - sent) * 1e6)
            self._seen.record_value(max(1, took_us))
            self._failed += answer.status_code != 200

    def measure(self, clients: int) -> _Run:
        cpu_s = self._cpu_s()
        started = time.monotonic()
        tasks = [
            gevent.spawn(self._send, started + RUN_S) for _ in range(clients)
        ]
        gevent.joinall(tasks, raise_error=True)
        count = self._seen.get_total_count()
        if self._failed:
            raise RuntimeError(f"{self._failed} of {count} requests failed")
        return _Run(
            p50_us=self._seen.get_value_at_percentile(50),
            p99_us=self._seen.get_value_at_percentile(99),
            per_s=count / (time.monotonic() - started),
            cpu_us=(self._cpu_s() - cpu_s) / count * 1e6,
        )


def _owner_of(cluster: fleet.Fleet, key: str) -> str:
    """Waits until the key is served; returns its owner."""
    first = next(iter(cluster.vms))
    channel = grpc.insecure_channel(cluster.address(first, "operator"))
    stub = operator_pb2_grpc.OperatorStub(channel)
    stub.ApplyPlan(
        operator_pb2.ApplyPlanRequest(
            plan_json=PLAN.read_bytes(), expected_version=0, author="bench"
        ),
        timeout=READY_S,
        wait_for_ready=True,
    )
    until = time.monotonic() + READY_S
    while time.monotonic() < until:
        for vm in cluster.vms:
            host, _, port = cluster.address(vm, "caller").rpartition(":")
            client = geventhttpclient.HTTPClient(host, int(port))
            answer = client.get(f"/rezervace/{key}/status")
            content = bytes(answer.read())
            client.close()
            if answer.status_code == 200:
                gevent.sleep(2.0)
                return content.partition(b'"vm": "')[2].split(b'"')[0].decode()
        gevent.sleep(0.2)
    raise RuntimeError("no daemon serves the key")


def _measure_all(cluster: fleet.Fleet) -> Iterator[result.Result]:
    owner = _owner_of(cluster, "booking-1")
    other = next(vm for vm in cluster.vms if vm != owner)
    path = "/rezervace/booking-1/status"
    ways = {
        "direct": (cluster.address(owner, "target"), "/status"),
        "owner": (cluster.address(owner, "caller"), path),
        "forwarded": (cluster.address(other, "caller"), path),
    }
    note = "GET without body, 3 daemons, loopback"
    direct_us = 0.0
    for name, (address, target_path) in ways.items():
        for clients in (1, CLIENTS):
            seen = _Way(cluster, address, target_path).measure(clients)
            prefix = f"hop.{name}_{clients}"
            direct_us = direct_us or seen.p50_us
            yield result.Result(f"{prefix}_p50", seen.p50_us, "us", note=note)
            yield result.Result(f"{prefix}_p99", seen.p99_us, "us", note=note)
            yield result.Result(f"{prefix}_rate", seen.per_s, "1/s", note=note)
            if name == "direct":
                continue
            yield result.Result(f"{prefix}_cpu", seen.cpu_us, "us", note=note)
            per_core = 1e6 / seen.cpu_us
            yield result.Result(
                f"{prefix}_per_core", per_core, "1/s", note=note
            )
            yield result.Result(
                f"{prefix}_short_of_plan",
                PLANNED_PER_S / per_core,
                "ratio",
                note="cores for 12,900 requests a second",
            )


def run() -> Iterator[result.Result]:
    """Yields the results."""
    vms = [
        fleet.Vm(f"rezervace-{n}", f"brno-{'abc'[n]}", "jm", "rezervace", 64)
        for n in range(3)
    ]
    with tempfile.TemporaryDirectory() as directory:
        cluster = fleet.Fleet(
            vms=vms, directory=pathlib.Path(directory), base_port=BASE_PORT
        )
        try:
            cluster.start()
            yield from _measure_all(cluster)
        finally:
            cluster.stop()
