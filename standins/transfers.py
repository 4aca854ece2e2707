"""Callers that upload or download large bodies at once.

Reads one wave of transfers as JSON from standard input: method, path, bytes of
the body to send, time limit, and the ports of the daemons to call. Prints one
JSON list of [status, bytes received, milliseconds] per transfer; the status is
0 without a complete answer. A 503 is tried again after its Retry-After while
the time limit allows.
"""

import json
import sys
import time
import uuid

import gevent

from primrosecross.adapters.http import http_client
from primrosecross.domain import errors
from primrosecross.domain.requests import body as body_module
from standins import sidecars

DEFAULT_RETRY_S = 0.5


def transfer(port: int, wave: dict) -> list:
    """Sends one request until it is served or its time is over."""
    started_s = time.monotonic()
    client = http_client.HttpClient(address=f"127.0.0.1:{port}")
    status, received = 0, 0
    while True:
        left_s = wave["time_limit_ms"] / 1000 - (time.monotonic() - started_s)
        if left_s <= 0:
            break
        try:
            response = client.exchange(
                head=_head(wave, int(left_s * 1000)),
                body=wave["content"],
                timeout_s=left_s,
                new_connection=True,
                stream_above_bytes=body_module.MAX_FRAMED_BYTES,
            )
            status = response.status
            received = _count(response.body)
        except (errors.RouterError, errors.BodyError):
            status, received = 0, 0
            break
        if status != 503:
            break
        gevent.sleep(float(response.get("retry-after") or DEFAULT_RETRY_S))
    return [status, received, int((time.monotonic() - started_s) * 1000)]


def _head(wave: dict, time_limit_ms: int) -> bytes:
    headers = sidecars.request_headers(uuid.uuid4().hex, time_limit_ms, None)
    headers["Content-Length"] = str(len(wave["content"]))
    return http_client.request_head(
        wave["method"], wave["path"], list(headers.items())
    )


def _count(content: body_module.Body) -> int:
    return sum(len(piece) for piece in body_module.pieces(content))


def main() -> None:
    """Plays one wave."""
    wave = json.load(sys.stdin)
    wave["content"] = bytes(wave["bytes"])
    tasks = [gevent.spawn(transfer, port, wave) for port in wave["ports"]]
    gevent.joinall(tasks)
    print(json.dumps([task.value for task in tasks]))


if __name__ == "__main__":
    main()
