"""Sends requests to a daemon at a fixed rate and measures the answers."""

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

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000
SPARE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What is sent.

    Attributes:
        caller: Caller "ip:port" of a daemon.
        service: Name of the service.
        keys: Number of different keys; 0 for a service without keys.
        path: Path below the key, or below the service without keys.
        method: HTTP method.
        body_bytes: Size of each body.
        rate_per_s: Requests a second.
        duration_s: How long requests are sent.
        connections: Most requests outstanding.
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


class Load:
    """Sends requests at their due times, however slow the answers are.

    A latency counts from the time a request was due, so that a stalled daemon
    is charged for the requests that it held up.

    Args:
        options: What is sent.
    """

    def __init__(self, options: Options) -> None:
        self._options = options
        host, _, port = options.caller.rpartition(":")
        self._client = geventhttpclient.HTTPClient(
            host,
            int(port),
            concurrency=options.connections,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=options.timeout_ms / 1000 + SPARE_TIMEOUT_S,
        )
        self._body = b"x" * options.body_bytes
        self.latencies: dict[str, histogram.HdrHistogram] = (
            collections.defaultdict(_histogram)
        )

    def run(self) -> None:
        """Sends all requests and waits for their outcomes."""
        options = self._options
        tasks = gevent_pool.Pool(options.connections)
        started_s = time.monotonic()
        count = int(options.rate_per_s * options.duration_s)
        for number in range(count):
            due_s = started_s + number / options.rate_per_s
            gevent.sleep(max(0.0, due_s - time.monotonic()))
            tasks.spawn(self._send, number, due_s)
        tasks.join()
        self._client.close()

    def _send(self, number: int, due_s: float) -> None:
        name = self._outcome_of(number)
        took_us = int((time.monotonic() - due_s) * US_PER_MS * 1000)
        self.latencies[name].record_value(
            min(max(took_us, LOWEST_US), HIGHEST_US)
        )

    def _outcome_of(self, number: int) -> str:
        options = self._options
        key = f"/load-{number % options.keys}" if options.keys else ""
        headers = {
            "Idempotency-Key": uuid.uuid4().hex,
            "Primrosecross-Timeout-Ms": str(options.timeout_ms),
        }
        try:
            answer = self._client.request(
                options.method,
                f"/{options.service}{key}/{options.path}",
                self._body,
                headers,
            )
            answer.read()
        except ConnectionRefusedError:
            return "no connection"
        except (OSError, ValueError, http_response.HTTPConnectionClosed):
            return "no answer"
        outcome = answer.get("Primrosecross-Outcome") or "foreign"
        return f"{outcome} {answer.status_code}"

    def rows(self) -> list[dict[str, Any]]:
        """Returns counts and latencies by outcome."""
        return [
            {
                "outcome": name,
                "count": found.total_count,
                "per_s": found.total_count / self._options.duration_s,
                **{
                    f"p{part:g}_ms": _ms(found, part)
                    for part in (50, 90, 99, 99.9)
                },
                "max_ms": found.get_max_value() / US_PER_MS,
            }
            for name, found in sorted(self.latencies.items())
        ]


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _ms(found: histogram.HdrHistogram, percentile: float) -> float:
    return found.get_value_at_percentile(percentile) / US_PER_MS


def load(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    caller: Annotated[
        str, typer.Option(help="Caller ip:port of a daemon.")
    ] = "127.0.0.1:7100",
    rate: Annotated[
        float, typer.Option(min=0.1, max=20_000, help="Requests a second.")
    ] = 50.0,
    duration_s: Annotated[
        float, typer.Option(min=0.1, max=3600, help="How long.")
    ] = 10.0,
    keys: Annotated[
        int, typer.Option(min=0, help="Different keys; 0 for none.")
    ] = 100,
    path: Annotated[str, typer.Option(help="Path below the key.")] = "book",
    method: Annotated[str, typer.Option(help="HTTP method.")] = "POST",
    body_bytes: Annotated[
        int, typer.Option(min=0, max=64 << 20, help="Size of each body.")
    ] = 2,
    connections: Annotated[
        int, typer.Option(min=1, max=2000, help="Most outstanding.")
    ] = 128,
    timeout_ms: Annotated[
        int, typer.Option(min=1, max=3_600_000, help="Deadline of each.")
    ] = 5000,
    form: output.Output = output.Format.TABLE,
) -> None:
    """Sends requests to a daemon at a rate; shows latencies by outcome."""
    sender = Load(
        Options(
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
    sender.run()
    output.show(sender.rows(), form)
    if not any(name.startswith("answered") for name in sender.latencies):
        raise output.fail(
            f"nothing was answered; check --caller {caller} and the plan",
            output.EXIT_FAILED,
        )
