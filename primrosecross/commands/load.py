"""Load generator that measures latencies at a fixed request rate."""

import collections
import dataclasses
import time
import uuid
from typing import Annotated
from typing import Any

import gevent
import geventhttpclient
import typer
from gevent import pool as gevent_pool
from geventhttpclient import response as http_response
from hdrh import histogram

from primrosecross.commands import output

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000
TIMEOUT_MARGIN_S = 2.0
CONNECT_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOptions:
    """Settings of a load run.

    Attributes:
        caller: Caller address of a daemon, "ip:port".
        service: Name of the service.
        keys: Number of distinct keys; 0 for a service without keys.
        path: Path below the key, or below the service without keys.
        method: HTTP method.
        body_bytes: Size of each body.
        rate_per_s: Requests per second.
        duration_s: Length of the run.
        connections: Maximum number of concurrent requests.
        timeout_ms: Deadline of each request.
    """

    caller: str
    service: str
    keys: int
    path: str
    method: str
    body_bytes: int
    rate_per_s: float
    duration_s: float
    connections: int
    timeout_ms: int


class LoadGenerator:
    """Sends requests at scheduled times and records latencies by outcome.

    A latency counts from the scheduled time of a request, so that it includes
    the delay caused by a stalled daemon.

    Args:
        options: Settings of the run.
    """

    def __init__(self, options: LoadOptions) -> None:
        self._options = options
        host, _, port = options.caller.rpartition(":")
        self._client = geventhttpclient.HTTPClient(
            host,
            int(port),
            concurrency=options.connections,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=options.timeout_ms / 1000 + TIMEOUT_MARGIN_S,
        )
        self._body = b"x" * options.body_bytes
        self.latencies: dict[str, histogram.HdrHistogram] = (
            collections.defaultdict(_make_histogram)
        )

    def run(self) -> None:
        """Sends all requests and waits for their outcomes."""
        options = self._options
        tasks = gevent_pool.Pool(options.connections)
        started_s = time.monotonic()
        count = int(options.rate_per_s * options.duration_s)
        for number in range(count):
            scheduled_s = started_s + number / options.rate_per_s
            gevent.sleep(max(0.0, scheduled_s - time.monotonic()))
            tasks.spawn(self._measure_request, number, scheduled_s)
        tasks.join()
        self._client.close()

    def _measure_request(self, number: int, scheduled_s: float) -> None:
        outcome_label = self._send_request(number)
        latency_us = int((time.monotonic() - scheduled_s) * US_PER_MS * 1000)
        self.latencies[outcome_label].record_value(
            min(max(latency_us, MIN_LATENCY_US), MAX_LATENCY_US)
        )

    def _send_request(self, number: int) -> str:
        options = self._options
        key = f"/load-{number % options.keys}" if options.keys else ""
        headers = {
            "Idempotency-Key": uuid.uuid4().hex,
            "Primrosecross-Timeout-Ms": str(options.timeout_ms),
        }
        try:
            response = self._client.request(
                options.method,
                f"/{options.service}{key}/{options.path}",
                self._body,
                headers,
            )
            response.read()
        except ConnectionRefusedError:
            return "no connection"
        except (OSError, ValueError, http_response.HTTPConnectionClosed):
            return "no answer"
        outcome = response.get("Primrosecross-Outcome") or "foreign"
        return f"{outcome} {response.status_code}"

    def rows(self) -> list[dict[str, Any]]:
        """Returns counts and latencies by outcome."""
        return [
            {
                "outcome": outcome_label,
                "count": recorded.total_count,
                "per_s": recorded.total_count / self._options.duration_s,
                **{
                    f"p{percent:g}_ms": _percentile_ms(recorded, percent)
                    for percent in (50, 90, 99, 99.9)
                },
                "max_ms": recorded.get_max_value() / US_PER_MS,
            }
            for outcome_label, recorded in sorted(self.latencies.items())
        ]


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )


def _percentile_ms(
    recorded: histogram.HdrHistogram, percentile: float
) -> float:
    return recorded.get_value_at_percentile(percentile) / US_PER_MS


def load(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    caller: Annotated[
        str, typer.Option(help="Caller address of a daemon, ip:port.")
    ] = "127.0.0.1:7100",
    rate: Annotated[
        float, typer.Option(min=0.1, max=20_000, help="Requests per second.")
    ] = 50.0,
    duration_s: Annotated[
        float, typer.Option(min=0.1, max=3600, help="Length of the run.")
    ] = 10.0,
    keys: Annotated[
        int, typer.Option(min=0, help="Number of distinct keys; 0 for none.")
    ] = 100,
    path: Annotated[str, typer.Option(help="Path below the key.")] = "book",
    method: Annotated[str, typer.Option(help="HTTP method.")] = "POST",
    body_bytes: Annotated[
        int, typer.Option(min=0, max=64 << 20, help="Size of each body.")
    ] = 2,
    connections: Annotated[
        int,
        typer.Option(
            min=1, max=2000, help="Maximum number of concurrent requests."
        ),
    ] = 128,
    timeout_ms: Annotated[
        int,
        typer.Option(min=1, max=3_600_000, help="Deadline of each request."),
    ] = 5000,
    form: output.Output = output.Format.TABLE,
) -> None:
    """Sends requests at a fixed rate and shows latencies by outcome."""
    generator = LoadGenerator(
        LoadOptions(
            caller=caller,
            service=service,
            keys=keys,
            path=path,
            method=method,
            body_bytes=body_bytes,
            rate_per_s=rate,
            duration_s=duration_s,
            connections=connections,
            timeout_ms=timeout_ms,
        )
    )
    generator.run()
    output.show_rows(generator.rows(), form)
    if not any(name.startswith("answered") for name in generator.latencies):
        raise output.fail(
            f"no request was answered; check --caller {caller} and the plan",
            output.EXIT_FAILED,
        )
