"""Cost of control for each daemon of an idle fleet, at several sizes.

Daemons are separate processes; the targets' announcements are posted by this
process, so that no target takes part. CPU time and memory are read from /proc,
bytes and store calls from the daemons' metrics.
"""

import dataclasses
import json
import pathlib
import statistics
import tempfile
import time
import urllib.request
from collections.abc import Iterator

import gevent
import grpc
from prometheus_client import parser

from bench import result
from primrosecross.rpc import operator_pb2
from primrosecross.rpc import operator_pb2_grpc
from standins import fleet

SIZES = (8, 16, 32, 48)
BASE_PORT = 31500
WINDOW_S = 15.0
READY_S = 60.0
SETTLE_S = 10.0
FLEET_SIZE = 620
MAX_CORE_PERCENT = 1.2
MAX_MEMORY_MB = 256.0
MAX_BYTES_PER_S = 28_000.0
CLOCK_TICKS_PER_S = 100
PLACES = ("a1", "a2", "a3", "b1", "b2", "b3")


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Processor time and memory of one daemon."""

    cpu_s: float
    memory_mb: float


@dataclasses.dataclass(frozen=True, slots=True)
class Moved:
    """Bytes between daemons and calls to the store, since the start."""

    bytes_moved: int
    store_calls: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """What the daemons of a fleet use."""

    size: int
    core_percent: float
    worst_core_percent: float
    memory_mb: float
    bytes_per_s: float
    worst_bytes_per_s: float
    store_calls_per_s: float


class ControlFleet:
    """A fleet of daemons without targets.

    Args:
        size: Number of daemons.
        directory: Where settings and logs go.
    """

    def __init__(self, *, size: int, directory: pathlib.Path) -> None:
        vms = [
            fleet.Vm(
                f"vm-{n:03d}",
                PLACES[n % len(PLACES)],
                PLACES[n % len(PLACES)][0],
                "work",
            )
            for n in range(size)
        ]
        self._fleet = fleet.Fleet(
            vms=vms, directory=directory, base_port=BASE_PORT
        )
        self._stubs: dict[str, operator_pb2_grpc.OperatorStub] = {}
        self.size = size

    def start(self) -> None:
        """Starts the daemons and waits until all hold their leases."""
        self._fleet.start_platform()
        for vm in self._fleet.vms:
            self._fleet.start_daemon(vm)
        for vm in self._fleet.vms:
            address = self._fleet.address(vm, "operator")
            channel = grpc.insecure_channel(address)
            self._stubs[vm] = operator_pb2_grpc.OperatorStub(channel)
        gevent.joinall(
            [gevent.spawn(self._announce, vm) for vm in self._fleet.vms]
        )
        self._apply()
        self._wait_for_leases()

    def _announce(self, vm: str) -> None:
        body = {
            "service": "work",
            "address": self._fleet.address(vm, "target"),
            "slots": 16,
        }
        url = f"http://{self._fleet.address(vm, 'announce')}/v1/announce"
        request = urllib.request.Request(
            url, data=json.dumps(body).encode(), method="POST"
        )
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            try:
                urllib.request.urlopen(request, timeout=5).read()
                return
            except OSError:
                gevent.sleep(0.2)

    def _apply(self) -> None:
        plan = {
            "places": [{"name": p, "region": p[0]} for p in PLACES],
            "services": [
                {
                    "name": "work",
                    "keyed": True,
                    "partitions": 4096,
                    "policy": {"kind": "waiting"},
                }
            ],
        }
        request = operator_pb2.ApplyPlanRequest(
            plan_json=json.dumps(plan).encode(), author="bench"
        )
        stub = next(iter(self._stubs.values()))
        stub.ApplyPlan(request, timeout=READY_S, wait_for_ready=True)

    def _wait_for_leases(self) -> None:
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            seen = [self._metrics(vm) for vm in self._stubs]
            if all(m["lease_held"] and m["plan_version"] for m in seen):
                return
            gevent.sleep(0.5)
        raise TimeoutError(f"{self.size} daemons were not ready in time")

    def _metrics(self, vm: str) -> dict[str, float]:
        """Returns a daemon's own figures; it asks no other daemon for them."""
        reply = self._stubs[vm].GetMetrics(
            operator_pb2.GetMetricsRequest(),
            timeout=READY_S,
            wait_for_ready=True,
        )
        return {
            sample.name.removeprefix("primrosecross_"): sample.value
            for family in parser.text_string_to_metric_families(reply.text)
            for sample in family.samples
        }

    def moved(self) -> dict[str, Moved]:
        """Asks each daemon what it has sent, received and called."""
        found = {}
        for vm in self._stubs:
            seen = self._metrics(vm)
            found[vm] = Moved(
                bytes_moved=int(
                    seen["peer_sent_bytes_total"]
                    + seen["peer_received_bytes_total"]
                ),
                store_calls=int(seen["store_calls_total"]),
            )
        return found

    def usage(self) -> dict[str, Usage]:
        """Reads each daemon's use from /proc, which costs it nothing."""
        return {vm: self._usage(vm) for vm in self._stubs}

    def _usage(self, vm: str) -> Usage:
        pid = self._fleet.processes[f"{vm}-daemon"].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        resident = next(
            line for line in status.splitlines() if line.startswith("VmRSS")
        )
        return Usage(
            cpu_s=(int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S,
            memory_mb=int(resident.split()[1]) / 1024,
        )

    def stop(self) -> None:
        """Ends all processes."""
        self._fleet.stop()


def measure(size: int) -> Rates:
    """Returns what the daemons of an idle fleet use."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = ControlFleet(size=size, directory=pathlib.Path(directory))
        try:
            cluster.start()
            gevent.sleep(SETTLE_S)
            moved_before = cluster.moved()
            gevent.sleep(SETTLE_S)
            before = cluster.usage()
            started = time.monotonic()
            gevent.sleep(WINDOW_S)
            after = cluster.usage()
            window_s = time.monotonic() - started
            moved_after = cluster.moved()
            moved_s = window_s + SETTLE_S
        finally:
            cluster.stop()
    return Rates(
        size=size,
        **_cpu_rates(before, after, window_s),
        **_moved_rates(moved_before, moved_after, moved_s),
    )


def _cpu_rates(
    before: dict[str, Usage], after: dict[str, Usage], window_s: float
) -> dict[str, float]:
    cpu = [
        100 * (after[vm].cpu_s - before[vm].cpu_s) / window_s for vm in after
    ]
    return {
        "core_percent": statistics.mean(cpu),
        "worst_core_percent": max(cpu),
        "memory_mb": max(usage.memory_mb for usage in after.values()),
    }


def _moved_rates(
    before: dict[str, Moved], after: dict[str, Moved], window_s: float
) -> dict[str, float]:
    moved = [
        (after[vm].bytes_moved - before[vm].bytes_moved) / window_s
        for vm in after
    ]
    calls = sum(after[vm].store_calls - before[vm].store_calls for vm in after)
    return {
        "bytes_per_s": statistics.mean(moved),
        "worst_bytes_per_s": max(moved),
        "store_calls_per_s": calls / window_s,
    }


def run() -> Iterator[result.Result]:
    """Yields the cost at each size and the line through them at 620 nodes."""
    seen = [measure(size) for size in SIZES]
    bounds = {
        "core_percent": ("% of a core", MAX_CORE_PERCENT),
        "worst_core_percent": ("% of a core", MAX_CORE_PERCENT),
        "memory_mb": ("MB", MAX_MEMORY_MB),
        "bytes_per_s": ("bytes/s", MAX_BYTES_PER_S),
        "worst_bytes_per_s": ("bytes/s", MAX_BYTES_PER_S),
        "store_calls_per_s": ("calls/s", 1000.0),
    }
    for field, (unit, bound) in bounds.items():
        values = [getattr(rates, field) for rates in seen]
        for size, value in zip(SIZES, values, strict=True):
            yield result.Result(
                f"control.{field}", value, unit, note=f"{size} daemons, idle"
            )
        slope, start = statistics.linear_regression(SIZES, values)
        yield result.at_most(
            f"control.{field}.at_620",
            start + slope * FLEET_SIZE,
            unit,
            bound=bound,
            note=f"line {start:.3f} + {slope:.5f} a daemon",
        )
