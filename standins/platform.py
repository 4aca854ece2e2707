"""Stand-in for the platform's object API, in Kubernetes API conventions.

Objects live in memory. POST /standin/faults with a JSON object of fields of
Faults sets the injected faults.
"""

from gevent import monkey

monkey.patch_all()

import dataclasses  # noqa: E402
import json  # noqa: E402
from collections.abc import Callable  # noqa: E402
from collections.abc import Iterable  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
import typer  # noqa: E402
from gevent import event as gevent_event  # noqa: E402

from primrosecross.adapters.http import http_server  # noqa: E402

PREFIX = "/apis/primrosecross.io/v1/"
MAX_KEPT_CHANGES = 1000

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclasses.dataclass(slots=True)
class Faults:
    """Injected faults.

    Attributes:
        down: Whether every response is 503.
        delay_ms: Delay before each response.
        lose_answers: Number of writes to apply without a response, closing the
            connection.
        max_calls_per_s: Calls per second above which the response is 429; 0
            for no limit.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    max_calls_per_s: int = 0


class Platform:
    """Stores objects, their versions and the changes for watches."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls = 0
        self._version = 0
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[tuple[int, str, dict[str, Any]]] = []
        self._change_event = gevent_event.Event()
        self._current_second = 0
        self._calls_in_second = 0

    def serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles one HTTP request."""
        path = environ["PATH_INFO"]
        if path == "/standin/faults":
            fields = json.loads(environ["wsgi.input"].read() or b"{}")
            self.faults = dataclasses.replace(self.faults, **fields)
            return _reply(start_response, "200 OK", {"calls": self.calls})
        self.calls += 1
        if self.faults.delay_ms:
            gevent.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return _reply_status(start_response, "503 Service Unavailable")
        if self._is_over_rate():
            return _reply_status(start_response, "429 Too Many Requests")
        if not path.startswith(PREFIX):
            return _reply_status(start_response, "404 Not Found")
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        method = environ["REQUEST_METHOD"]
        if method == "GET" and "watch=1" in environ.get("QUERY_STRING", ""):
            return self._watch(environ, kind, start_response)
        handler = {
            "GET": self._read,
            "POST": self._create,
            "PUT": self._update,
            "DELETE": self._delete,
        }[method]
        return handler(environ, kind, name, start_response)

    def _is_over_rate(self) -> bool:
        limit = self.faults.max_calls_per_s
        second = int(gevent.get_hub().loop.now())
        if second != self._current_second:
            self._current_second, self._calls_in_second = second, 0
        self._calls_in_second += 1
        return bool(limit) and self._calls_in_second > limit

    def _read(self, _, kind: str, name: str, start_response: StartResponse):
        stored = self._objects.get((kind, name))
        if stored is None:
            return _reply_status(start_response, "404 Not Found")
        return _reply(start_response, "200 OK", stored)

    def _create(self, environ, kind: str, _, start_response: StartResponse):
        document = json.loads(environ["wsgi.input"].read())
        name = document["metadata"]["name"]
        if (kind, name) in self._objects:
            return _reply_status(start_response, "409 Conflict")
        self._store(kind, name, document, "ADDED")
        return self._reply_to_write(start_response, "201 Created", document)

    def _update(self, environ, kind: str, name: str, start_response):
        document = json.loads(environ["wsgi.input"].read())
        current = self._objects.get((kind, name))
        if current is None:
            return _reply_status(start_response, "404 Not Found")
        expected_version = document["metadata"].get("resourceVersion")
        if expected_version != current["metadata"]["resourceVersion"]:
            return _reply_status(start_response, "409 Conflict")
        self._store(kind, name, document, "MODIFIED")
        return self._reply_to_write(start_response, "200 OK", document)

    def _delete(self, _, kind: str, name: str, start_response):
        stored = self._objects.pop((kind, name), None)
        if stored is None:
            return _reply_status(start_response, "404 Not Found")
        return _reply_status(start_response, "200 OK")

    def _store(
        self, kind: str, name: str, document: dict[str, Any], change: str
    ) -> None:
        self._version += 1
        document["metadata"]["resourceVersion"] = str(self._version)
        self._objects[kind, name] = document
        event = {"type": change, "object": document}
        self._changes.append((self._version, kind, event))
        del self._changes[:-MAX_KEPT_CHANGES]
        self._change_event.set()
        self._change_event.clear()

    def _reply_to_write(
        self, start_response, status: str, document: dict[str, Any]
    ):
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionAbortedError("injected fault: response lost")
        return _reply(start_response, status, document)

    def _watch(self, environ, kind: str, start_response: StartResponse):
        query = dict(
            part.partition("=")[::2]
            for part in environ["QUERY_STRING"].split("&")
        )
        since_version = int(query.get("resourceVersion", 0))
        if (
            self._changes
            and since_version
            and since_version < self._changes[0][0] - 1
        ):
            return _reply_status(start_response, "410 Gone")
        start_response("200 OK", [("Content-Type", "application/json")])
        return self._events(
            kind, since_version, int(query.get("timeoutSeconds", 30))
        )

    def _events(
        self, kind: str, since_version: int, timeout_s: int
    ) -> Iterable[bytes]:
        loop = gevent.get_hub().loop
        deadline_s = loop.now() + timeout_s
        while loop.now() < deadline_s and not self.faults.down:
            for version, changed_kind, event in list(self._changes):
                if version > since_version and changed_kind == kind:
                    since_version = version
                    yield json.dumps(event).encode() + b"\n"
            self._change_event.wait(
                timeout=min(1.0, max(0.0, deadline_s - loop.now()))
            )
            loop.update_now()


def _reply(
    start_response: StartResponse, status: str, document: dict[str, Any]
) -> Iterable[bytes]:
    start_response(status, [("Content-Type", "application/json")])
    return [json.dumps(document).encode()]


def _reply_status(
    start_response: StartResponse, status: str
) -> Iterable[bytes]:
    code, _, reason = status.partition(" ")
    document = {"kind": "Status", "code": int(code), "reason": reason}
    return _reply(start_response, status, document)


def run(
    port: int = typer.Option(..., help="TCP port to listen on."),
) -> None:
    """Serves the object API on loopback."""
    server = http_server.NoDelayWsgiServer(
        ("127.0.0.1", port), Platform().serve, log=None, error_log=None
    )
    server.serve_forever()


if __name__ == "__main__":
    typer.run(run)
