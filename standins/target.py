"""Stand-in for a target: keyed state, limited slots and faults on request.

Each request that runs appends a line to the journal. The path selects the work:
/work?ms=N takes N ms, /crash ends the process after the journal line, any other
path responds at once; /bytes?n=N responds with N bytes, and with &cut=1 closes
the connection before the last of them. POST, PUT and DELETE increment the
counter of the key.
"""

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import dataclasses  # noqa: E402
import errno  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import time  # noqa: E402
import zlib  # noqa: E402
from collections.abc import Callable  # noqa: E402
from collections.abc import Iterable  # noqa: E402
from typing import Any  # noqa: E402
from typing import BinaryIO  # noqa: E402
from urllib import parse  # noqa: E402

import gevent  # noqa: E402
import geventhttpclient  # noqa: E402
import typer  # noqa: E402

from primrosecross.adapters.http import http_server  # noqa: E402

ANNOUNCE_INTERVAL_S = 2.0
COLD_FACTOR = 4
CHUNK_BYTES = 64 * 1024

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclasses.dataclass(slots=True)
class Options:
    """Behaviour of the target.

    Attributes:
        vm: Name of the VM.
        service: Name of the service.
        slots: Maximum number of concurrent requests.
        checks_generation: Whether it refuses requests whose generation is out
            of date or whose lease has expired.
        cold_s: Seconds after start during which work takes four times longer.
        report_factor: Factor on the reported load, to report a false load.
        connections: Maximum number of concurrent connections.
    """

    vm: str
    service: str
    slots: int
    checks_generation: bool = False
    cold_s: float = 0.0
    report_factor: float = 1.0
    connections: int = 130


class Target:
    """Runs requests and records them in a journal.

    Args:
        options: Behaviour of the target.
        journal: File that gets one JSON line for each request that runs.
    """

    def __init__(
        self, *, options: Options, journal: pathlib.Path | None = None
    ) -> None:
        self._options = options
        self._journal = journal
        self._started_s = time.monotonic()
        self._running: dict[str, gevent.Greenlet] = {}
        self._draining = False
        self._generations: dict[str, int] = {}
        self.counts: collections.Counter[str] = collections.Counter()

    def serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles one HTTP request."""
        start_response = _echo_request_id(environ, start_response)
        control = {
            "/standin/load": self._load,
            "/standin/health": self._health,
            "/standin/drain": self._drain,
            "/standin/cancel": self._cancel,
        }.get(environ["PATH_INFO"])
        if control is not None:
            return control(environ, start_response)
        refusal = self._refusal_reason(environ)
        if refusal:
            headers = [("Primrosecross-Not-Run", "true")]
            start_response("503 Service Unavailable", headers)
            return [refusal.encode()]
        return self._run(environ, start_response)

    def _load(self, _, start_response: StartResponse) -> Iterable[bytes]:
        load = len(self._running) * self._options.report_factor
        return _reply_json(
            start_response, {"running": load, "slots": self._options.slots}
        )

    def _health(self, _, start_response: StartResponse) -> Iterable[bytes]:
        return _reply_json(start_response, {"ready": not self._draining})

    def _drain(self, _, start_response: StartResponse) -> Iterable[bytes]:
        self._draining = True
        return _reply_json(start_response, {"running": len(self._running)})

    def _cancel(self, environ, start_response: StartResponse):
        request_id = environ.get("HTTP_PRIMROSECROSS_REQUEST_ID", "")
        task = self._running.get(request_id)
        if task is not None:
            task.kill(block=False)
        return _reply_json(start_response, {"cancelled": task is not None})

    def _refusal_reason(self, environ: dict[str, Any]) -> str:
        if self._draining:
            return "draining"
        if len(self._running) >= self._options.slots:
            return "all slots are in use"
        if not self._options.checks_generation:
            return ""
        generation = int(environ.get("HTTP_PRIMROSECROSS_GENERATION", 0))
        expires_ns = int(environ.get("HTTP_PRIMROSECROSS_LEASE_EXPIRES_NS", 0))
        key = environ.get("HTTP_PRIMROSECROSS_KEY", "")
        if (
            generation
            and time.clock_gettime_ns(time.CLOCK_BOOTTIME) > expires_ns
        ):
            return "the lease has expired"
        if generation < self._generations.get(key, 0):
            return "the generation is out of date"
        self._generations[key] = generation
        return ""

    def _run(self, environ, start_response: StartResponse) -> Iterable[bytes]:
        request_id = environ.get("HTTP_PRIMROSECROSS_REQUEST_ID", "")
        self._running[request_id] = gevent.getcurrent()
        started_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        try:
            body = _read_body(environ["wsgi.input"])
            key = environ.get("HTTP_PRIMROSECROSS_KEY", "")
            if environ["REQUEST_METHOD"] != "GET":
                self.counts[key] += 1
            self._write_journal(environ, key, started_ns)
            if environ["PATH_INFO"].endswith("/crash"):
                os._exit(1)
            gevent.sleep(self._work_s(environ))
            answer = {
                "vm": self._options.vm,
                "key": key,
                "request_id": request_id,
                "count": self.counts[key],
                "body_bytes": body.length,
                "body_checksum": body.checksum,
            }
            if environ["PATH_INFO"].endswith("/bytes"):
                return _reply_bytes(environ, start_response)
            return _reply_json(start_response, answer)
        finally:
            self._write_end_time(request_id)
            self._running.pop(request_id, None)

    def _work_s(self, environ: dict[str, Any]) -> float:
        query = parse.parse_qs(environ.get("QUERY_STRING", ""))
        work_s = float(query.get("ms", ["0"])[0]) / 1000
        if time.monotonic() - self._started_s < self._options.cold_s:
            return work_s * COLD_FACTOR
        return work_s

    def _write_journal(self, environ, key: str, started_ns: int) -> None:
        if self._journal is None:
            return
        line = {
            "vm": self._options.vm,
            "service": self._options.service,
            "key": key,
            "request_id": environ.get("HTTP_PRIMROSECROSS_REQUEST_ID", ""),
            "generation": int(environ.get("HTTP_PRIMROSECROSS_GENERATION", 0)),
            "method": environ["REQUEST_METHOD"],
            "started_ns": started_ns,
        }
        with self._journal.open("a") as file:
            file.write(json.dumps(line) + "\n")

    def _write_end_time(self, request_id: str) -> None:
        """Appends the end time of a run to a second file, NAME.ended."""
        if self._journal is None:
            return
        ended_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        line = {"request_id": request_id, "ended_ns": ended_ns}
        with self._journal.with_suffix(".ended").open("a") as file:
            file.write(json.dumps(line) + "\n")

    def announce_forever(self, daemon: str, address: str) -> None:
        """Announces this target to its daemon periodically."""
        host, _, port = daemon.rpartition(":")
        body = json.dumps(
            {
                "service": self._options.service,
                "address": address,
                "slots": self._options.slots,
                "checks_generation": self._options.checks_generation,
                "connections": self._options.connections,
                "cancel_path": "/standin/cancel",
                "health_path": "/standin/health",
                "load_path": "/standin/load",
            }
        )
        while True:
            client = geventhttpclient.HTTPClient(host, int(port))
            try:
                client.post("/v1/announce", body)
                gevent.sleep(ANNOUNCE_INTERVAL_S)
            except OSError:
                gevent.sleep(0.2)
            finally:
                client.close()


def _echo_request_id(
    environ: dict[str, Any], start_response: StartResponse
) -> StartResponse:
    """Adds the ID of the request to its response."""
    request_id = environ.get("HTTP_PRIMROSECROSS_REQUEST_ID", "")
    if not request_id:
        return start_response
    echo = ("Primrosecross-Request-Id", request_id)

    def start(status: str, headers: list[tuple[str, str]]) -> Any:
        return start_response(status, [*headers, echo])

    return start


@dataclasses.dataclass(frozen=True, slots=True)
class _BodySummary:
    """Length and checksum of a request body."""

    length: int
    checksum: int


def _read_body(source: BinaryIO) -> _BodySummary:
    length = 0
    checksum = 0
    while chunk := source.read(CHUNK_BYTES):
        length += len(chunk)
        checksum = zlib.crc32(chunk, checksum)
    return _BodySummary(length, checksum)


def _reply_bytes(
    environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    query = parse.parse_qs(environ.get("QUERY_STRING", ""))
    remaining_bytes = int(query["n"][0])
    headers = [("Content-Type", "application/octet-stream")]
    if "chunked" not in query:
        headers.append(("Content-Length", str(remaining_bytes)))
    start_response("200 OK", headers)
    while remaining_bytes > 0:
        size = min(remaining_bytes, CHUNK_BYTES)
        remaining_bytes -= size
        if remaining_bytes <= 0 and "cut" in query:
            raise ConnectionAbortedError(
                errno.EPIPE, "connection closed by request"
            )
        yield b"x" * size


def _reply_json(
    start_response: StartResponse, document: dict[str, Any]
) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Type", "application/json")])
    return [json.dumps(document).encode()]


def run(
    vm: str = typer.Option(..., help="Name of the VM."),
    service: str = typer.Option(..., help="Name of the service."),
    port: int = typer.Option(..., help="TCP port to listen on."),
    daemon: str = typer.Option(
        ..., help="Announce address of the daemon, ip:port."
    ),
    slots: int = typer.Option(
        16, help="Maximum number of concurrent requests."
    ),
    checks_generation: bool = typer.Option(False, "--checks-generation"),
    cold_s: float = typer.Option(
        0.0, help="Length of the slow start in seconds."
    ),
    journal: pathlib.Path | None = typer.Option(None),  # noqa: B008
) -> None:
    """Serves one target on loopback."""
    options = Options(vm, service, slots, checks_generation, cold_s)
    target = Target(options=options, journal=journal)
    address = f"127.0.0.1:{port}"
    gevent.spawn(target.announce_forever, daemon, address)
    server = http_server.NoDelayWsgiServer(
        ("127.0.0.1", port), target.serve, log=None, error_log=None
    )
    server.serve_forever()


if __name__ == "__main__":
    typer.run(run)
