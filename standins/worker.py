"""Stand-in for a target on the users' platform, which they call a worker.

It holds the keys that responses to its heartbeats grant, or calls, and appends
a JSON line to its journal for each request that it starts: ID, key, generation
and times. The query selects the work: ms=N takes N ms, crash=1 ends it, and
answer=N answers with N bytes instead of the request's body.
/standin/late?share=N&ms=M leaves that share of the calls unanswered and carries
them out M ms later; the time of a grant still counts from its arrival.

Source: PROTOCOL.md, "Workers" and "Keys that workers hold".
"""

import json
import os
import pathlib
import sys
import time
from urllib import parse

import gevent
from gevent import event as gevent_event

from primrosecross.adapters import boot_clock
from primrosecross.adapters.http import http_client
from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser
from primrosecross.domain import errors
from primrosecross.domain.requests import body_memory
from standins import worker_key_calls as key_calls

MAX_BODIES_BYTES = 1 << 30
HEARTBEAT_INTERVAL_S = 0.3
RELEASE_INTERVAL_S = 0.1
HEARTBEAT_TIMEOUT_S = 1.0


class Worker:
    """Runs requests on keys that it holds.

    Args:
        instance: ID of the target.
        service: Name of the service.
        address: Address at which it accepts requests, "ip:port".
        control: Address to which it sends heartbeats, "ip:port".
        slots: Maximum number of concurrent requests.
        journal: File that gets one JSON line for each request that runs.
    """

    def __init__(
        self,
        *,
        instance: str,
        service: str,
        address: str,
        control: str,
        slots: int,
        journal: pathlib.Path,
    ) -> None:
        self._instance = instance
        self._service = service
        self._address = address
        self._slots = slots
        self._journal = journal.open("a", buffering=1)
        self._control = http_client.HttpClient(address=control)
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._answered_count = 0
        self._held: list[key_calls.HeldRange] = []
        self._released: list[list] = []
        self._running: dict[str, int] = {}
        self._draining = False
        self._key_calls = key_calls.KeyCalls(self._running)

    def handle(
        self, request: http_parser.HttpRequest
    ) -> http_connection.HttpReply:
        """Handles one request."""
        request_id = request.get("request-id")
        if request.target == "/standin/heartbeats":
            return http_connection.HttpReply(
                200, [], str(self._answered_count).encode()
            )
        if request.target == "/standin/drain":
            self._draining = True
            return http_connection.HttpReply(200)
        if request.target.startswith("/standin/late"):
            self._key_calls.set_lateness(request.target.partition("?")[2])
            return http_connection.HttpReply(200)
        if request.get("expect-instance") not in ("", self._instance):
            return self._refuse(421, request_id)
        if request.target in key_calls.PATHS:
            return self._key_calls.handle(request)
        key = request.get("shard-key")
        generation = self._held_generation(int(key)) if key else 0
        if key and generation is None:
            return self._refuse(421, request_id)
        if len(self._running) >= self._slots:
            return self._refuse(503, request_id)
        return self._run(request, request_id, key, generation or 0)

    def _refuse(self, status: int, request_id: str):
        headers = [("Not-Executed", "1"), ("Request-Id", request_id)]
        return http_connection.HttpReply(status, headers)

    def _held_generation(self, key: int) -> int | None:
        now_s = time.monotonic()
        for held in (*self._held, *self._key_calls.held):
            if held.first <= key <= held.last and held.expires_s > now_s:
                return held.generation
        return None

    def _run(self, request, request_id: str, key: str, generation: int):
        entry = {
            "id": request_id,
            "key": key,
            "generation": generation,
            "instance": f"{self._instance}@{self._born_ms}",
            "origin": request.get("caller-service"),
            "began_ns": time.clock_gettime_ns(time.CLOCK_BOOTTIME),
        }
        self._journal.write(json.dumps(entry) + "\n")
        query = dict(parse.parse_qsl(request.target.partition("?")[2]))
        if "crash" in query:
            os._exit(9)
        self._running[request_id] = int(key) if key else -1
        try:
            work_s = int(query.get("ms", "5")) / 1000
            time_left_s = int(request.get("deadline-ms") or 60_000) / 1000
            gevent.sleep(min(work_s, time_left_s))
        finally:
            self._running.pop(request_id, None)
        headers = [("Request-Id", request_id), ("Server-Stamp", "stamp")]
        status = 200 if work_s <= time_left_s else 504
        content = request.body or b"done"
        if "answer" in query:
            content = bytes(int(query["answer"]))
        return http_connection.HttpReply(status, headers, content)

    def send_heartbeats(self) -> None:
        """Sends heartbeats until killed."""
        while True:
            must_release = self._send_heartbeat()
            gevent.sleep(
                RELEASE_INTERVAL_S if must_release else HEARTBEAT_INTERVAL_S
            )

    def _send_heartbeat(self) -> bool:
        """Sends one heartbeat; returns whether it has keys left to release."""
        self._sequence += 1
        now_s = time.monotonic()
        self._held = [h for h in self._held if h.expires_s > now_s]
        released = list(self._released)
        body = json.dumps(
            {
                "Service": self._service,
                "Address": self._address,
                "Zone": "z",
                "Version": "v1",
                "Slots": self._slots,
                "State": "draining" if self._draining else "ready",
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": self._born_ms,
                "Holds": [[h.first, h.last, h.generation] for h in self._held],
                "Freed": released,
            }
        ).encode()
        head = http_client.request_head(
            "POST",
            f"/api/instances/{self._instance}/heartbeat",
            [("Host", "control"), ("Content-Length", str(len(body)))],
        )
        try:
            response = self._control.exchange(
                head=head, body=body, timeout_s=HEARTBEAT_TIMEOUT_S
            )
        except (errors.ResponseLostError, errors.RequestNotSentError):
            return False
        if response.status != 200:
            return False
        self._answered_count += 1
        self._released = self._released[len(released) :]
        return self._apply_holds(json.loads(response.body), now_s)

    def _apply_holds(self, response: dict, sent_s: float) -> bool:
        granted_rows = response.get("Holds")
        if granted_rows is None:
            return False
        expires_s = sent_s + response["HoldMs"] / 1000
        granted = [
            key_calls.HeldRange(r[0], r[1], r[2], expires_s)
            for r in granted_rows
        ]
        is_releasing = False
        for held in self._held:
            for first, last in _revoked_parts(held, granted):
                if any(first <= k <= last for k in self._running.values()):
                    is_releasing = True
                    granted.append(
                        key_calls.HeldRange(
                            first, last, held.generation, held.expires_s
                        )
                    )
                else:
                    self._released.append([first, last, os.urandom(4).hex()])
                    is_releasing = True
        self._held = granted
        return is_releasing


def _revoked_parts(
    held: key_calls.HeldRange, granted: list[key_calls.HeldRange]
) -> list[tuple[int, int]]:
    """Returns the parts of a held range that are no longer granted."""
    remaining = [(held.first, held.last)]
    for granted_range in granted:
        remaining = [
            part
            for first, last in remaining
            for part in (
                (first, min(last, granted_range.first - 1)),
                (max(first, granted_range.last + 1), last),
            )
            if part[0] <= part[1]
        ]
    return remaining


def main() -> None:
    """Serves until killed; the arguments are those of Worker."""
    instance, service, address, control, slots, journal = sys.argv[1:]
    worker = Worker(
        instance=instance,
        service=service,
        address=address,
        control=control,
        slots=int(slots),
        journal=pathlib.Path(journal),
    )
    host, _, port = address.rpartition(":")
    server = http_connection.HttpServer(
        listen=(host, int(port)),
        handle=worker.handle,
        bodies=body_memory.BodyMemory(
            clock=boot_clock.BootClock(), max_bytes=MAX_BODIES_BYTES
        ),
    )
    server.start()
    gevent.spawn(worker.send_heartbeats)
    gevent_event.Event().wait()


if __name__ == "__main__":
    main()
