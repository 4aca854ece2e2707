"""Large bodies at twelve daemons at once, beside small requests.

Twelve daemons of 300 MB; the targets of four serve files. On each, two callers
upload 24 MB at once, in six waves; then two download as much. A daemon over its
memory limit is killed and started again, as on the platform. Other callers keep
their connections and send small requests all the while, before the waves too.
"""

import contextlib
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from collections.abc import Iterator

import gevent

from bench import result
from primrosecross.adapters.http import http_client
from primrosecross.domain import errors
from standins import sidecars

DESK, FILES = 8, 4
MEMORY_MB = 300
MAX_USED_MB = 240
BODY_BYTES = 24_000_000
TIME_LIMIT_MS = 11_560
WAVES = 6
PAUSE_S = 2.0
CALM_S = 6.0
KEPT_CONNECTIONS = 2  # on each VM
KEPT_PAUSE_S = 0.1
MIN_SERVED = 0.75
MAX_LATENCY_FACTOR = 2.0
READY_TIMEOUT_S = 40.0
POLL_S = 0.05


def _config() -> dict:
    def rule(path: str, kind: str, service: str, timeout_ms: int) -> dict:
        return {
            "Name": path,
            "Kind": kind,
            "TargetLatencyMs": 1000,
            "Priority": 1,
            "Match": {"PathPrefix": path},
            "Action": {
                "Service": service,
                "TimeoutMs": timeout_ms,
                "MaxAttempts": 2,
            },
        }

    rules = [
        rule("/look/", "safe", "desk", 2000),
        rule("/file/", "upload", "files", TIME_LIMIT_MS),
    ]
    return {
        "Version": 1,
        "Listeners": [{"Host": "desk.example", "Rules": rules}],
        "Clusters": [{"Name": "desk"}, {"Name": "files"}],
    }


class _Kept:
    """Callers that keep their connections for many small requests."""

    def __init__(self, fleet: sidecars.Sidecars) -> None:
        self._fleet = fleet
        self._sent = 0
        self.latencies_ms: list[float] = []
        self.cut = 0

    def run(self, sidecar: sidecars.Sidecar) -> None:
        """Sends requests on one connection, and a new one after each end."""
        client = http_client.HttpClient(
            address=f"127.0.0.1:{sidecar.ports['outbound']}"
        )
        while True:
            self._sent += 1
            headers = sidecars.request_headers(f"k-{self._sent}", 2000, None)
            head = http_client.request_head(
                "GET", "/look/x?ms=5", list(headers.items())
            )
            started_s = time.monotonic()
            try:
                client.exchange(head=head, timeout_s=5)
                self.latencies_ms.append((time.monotonic() - started_s) * 1000)
            except errors.RequestNotSentError:
                pass  # while the daemon starts again
            except (
                errors.ResponseLostError,
                errors.ConnectionClosedError,
            ):
                self.cut += 1
            gevent.sleep(KEPT_PAUSE_S)

    def take_latencies_ms(self) -> list[float]:
        """Returns the latencies since the last call."""
        taken, self.latencies_ms = self.latencies_ms, []
        return taken


class _Memory:
    """Watches the memory of all daemons, and kills those over the limit."""

    def __init__(self, fleet: sidecars.Sidecars) -> None:
        self._fleet = fleet
        self.peak_mb = 0.0
        self.killed = 0

    def run(self) -> None:
        """Watches until killed."""
        while True:
            for sidecar in self._fleet.vms:
                self._check(sidecar)
            gevent.sleep(POLL_S)

    def _check(self, sidecar: sidecars.Sidecar) -> None:
        used_mb = _resident_mb(sidecar.daemon.pid)
        self.peak_mb = max(self.peak_mb, used_mb)
        if used_mb > MEMORY_MB:
            self.killed += 1
            sidecar.daemon.kill()
            sidecar.daemon.wait()
            self._fleet.start_daemon(sidecar)

    def take_peak_mb(self) -> float:
        """Returns the highest memory of a daemon since the last call."""
        taken, self.peak_mb = self.peak_mb, 0.0
        return taken


def _resident_mb(pid: int) -> float:
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().split("\n"):
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def _play_wave(fleet: sidecars.Sidecars, method: str, path: str, size: int):
    """Returns [status, bytes received, milliseconds] of each transfer."""
    wave = {
        "method": method,
        "path": path,
        "bytes": size,
        "time_limit_ms": TIME_LIMIT_MS,
        "ports": [s.ports["outbound"] for s in fleet.vms for _ in range(2)],
    }
    finished = subprocess.run(
        [sys.executable, "-m", "standins.transfers"],
        input=json.dumps(wave).encode(),
        capture_output=True,
        check=True,
    )
    return json.loads(finished.stdout)


def _await_served(fleet: sidecars.Sidecars) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    for number, sidecar in enumerate(fleet.vms):
        for path in ("/look/x", "/file/x"):
            while time.monotonic() < deadline_s:
                with contextlib.suppress(OSError):
                    status, _ = fleet.send(
                        sidecar, path, request_id=f"ready-{number}"
                    )
                    if status == 200:
                        break
                gevent.sleep(POLL_S)
            else:
                raise TimeoutError(f"{sidecar.vm} does not serve {path}")


def _p99(values: list[float]) -> float:
    return statistics.quantiles(values, n=100)[98]


def run() -> Iterator[result.Result]:
    """Yields memory, cut connections, served transfers and latencies."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = sidecars.Sidecars(
            services=["desk"] * DESK + ["files"] * FILES,
            directory=pathlib.Path(directory),
            memory_mb=MEMORY_MB,
        )
        try:
            fleet.start()
            fleet.put_config(_config(), create=True)
            _await_served(fleet)
            yield from _measure(fleet)
        finally:
            fleet.stop()


def _measure(fleet: sidecars.Sidecars) -> Iterator[result.Result]:
    memory, kept = _Memory(fleet), _Kept(fleet)
    tasks = [gevent.spawn(memory.run)]
    tasks += [
        gevent.spawn(kept.run, sidecar)
        for sidecar in fleet.vms
        for _ in range(KEPT_CONNECTIONS)
    ]
    gevent.sleep(CALM_S)
    calm_ms = kept.take_latencies_ms()
    for name, method, path, size, answer in (
        ("uploads", "POST", "/file/x?ms=380&answer=4", BODY_BYTES, 4),
        ("downloads", "GET", f"/file/x?answer={BODY_BYTES}", 0, BODY_BYTES),
    ):
        kept.take_latencies_ms()
        memory.take_peak_mb()
        memory.killed = kept.cut = 0
        transfers = []
        for _ in range(WAVES):
            transfers += _play_wave(fleet, method, path, size)
            gevent.sleep(PAUSE_S)
        yield from _results(
            name,
            [t for t in transfers if t[:2] == [200, answer]],
            len(transfers),
            memory,
            kept,
            calm_ms,
        )
    gevent.killall(tasks)


def _results(
    name: str,
    served: list[list],
    count: int,
    memory: _Memory,
    kept: _Kept,
    calm_ms: list[float],
) -> Iterator[result.Result]:
    note = f"{DESK + FILES} daemons of {MEMORY_MB} MB, {WAVES} waves"
    at_most: Callable[..., result.Result] = result.at_most
    yield at_most(
        f"{name}: highest memory",
        memory.take_peak_mb(),
        "MB",
        bound=MAX_USED_MB,
        note=f"{note}; {memory.killed} daemons killed",
    )
    yield at_most(
        f"{name}: kept connections cut", kept.cut, "", bound=0, note=note
    )
    longest_ms = max((t[2] for t in served), default=0)
    yield result.at_least(
        f"{name}: served in time",
        len(served) / count,
        "",
        bound=MIN_SERVED,
        note=f"{note}; {len(served)} of {count}, at most {longest_ms} ms",
    )
    beside_ms = kept.take_latencies_ms()
    for label, measure in (("median", statistics.median), ("p99", _p99)):
        yield at_most(
            f"{name}: {label} of small requests",
            measure(beside_ms),
            "ms",
            bound=MAX_LATENCY_FACTOR * measure(calm_ms),
            note=f"{measure(calm_ms):.1f} ms before; {len(beside_ms)} requests",
        )
