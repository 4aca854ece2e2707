"""Stand-in for the users' platform store: objects, revisions and watches.

Source: PROTOCOL.md, "The platform's metadata store". POST /standin/faults with
a JSON object of fields of Faults sets the injected faults; its response holds
the number of calls.
"""

import dataclasses
import json
import sys
from urllib import parse

import gevent
from gevent import event as gevent_event

from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser

PREFIX = "/api/objects/"
MAX_LISTED = 500
MAX_NESTING = 20_000


@dataclasses.dataclass(slots=True)
class Faults:
    """Injected faults.

    Attributes:
        down: Whether every response is 503.
        silent: Whether no call gets a response.
        delay_ms: Delay before each response.
        lose_answers: Number of writes to apply without a response.
        forgotten: Revision up to which the history is compacted.
    """

    down: bool = False
    silent: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    forgotten: int = 0


class ObjectServer:
    """Stores objects by kind and name, and the changes for watches."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls = 0
        self._revision = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._changes: list[tuple[int, str, dict]] = []
        self._change_event = gevent_event.Event()

    def handle(
        self, request: http_parser.HttpRequest
    ) -> http_connection.HttpReply:
        """Handles one call."""
        path, _, query = request.target.partition("?")
        if path == "/standin/faults":
            fields = json.loads(request.body or b"{}")
            self.faults = dataclasses.replace(self.faults, **fields)
            return _json(200, {"calls": self.calls})
        self.calls += 1
        if self.faults.silent:
            gevent.sleep(3600)
        if self.faults.down:
            return _json(503, {})
        gevent.sleep(self.faults.delay_ms / 1000)
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        parameters = dict(parse.parse_qsl(query))
        if request.method == "GET":
            return self._get(kind, name, parameters)
        reply = self._write(request, kind, name)
        if self.faults.lose_answers and reply.status < 400:
            self.faults.lose_answers -= 1
            gevent.sleep(3600)
        return reply

    def _get(
        self, kind: str, name: str, parameters: dict[str, str]
    ) -> http_connection.HttpReply:
        if "Watch" in parameters:
            return self._watch(kind, parameters)
        if not name:
            after = parameters.get("after", "")
            items = [
                o
                for (k, n), o in self._objects.items()
                if k == kind and n > after
            ]
            return _json(
                200,
                {
                    "items": items[:MAX_LISTED],
                    "HasMore": False,
                    "CurrentRev": self._revision,
                },
            )
        stored = self._objects.get((kind, name))
        return _json(404, {}) if stored is None else _json(200, stored)

    def _watch(
        self, kind: str, parameters: dict[str, str]
    ) -> http_connection.HttpReply:
        since_revision = int(parameters["Watch"])
        if since_revision < self.faults.forgotten:
            return _json(410, {})
        with gevent.Timeout(int(parameters["WaitMs"]) / 1000, False):
            while not self._events(kind, since_revision):
                self._change_event.clear()
                self._change_event.wait()
        events = self._events(kind, since_revision)
        return _json(200, {"events": events, "CurrentRev": self._revision})

    def _events(self, kind: str, since_revision: int) -> list[dict]:
        return [
            {"Tombstone": False, "Object": stored}
            for revision, changed_kind, stored in self._changes
            if revision > since_revision and changed_kind == kind
        ]

    def _write(
        self, request: http_parser.HttpRequest, kind: str, name: str
    ) -> http_connection.HttpReply:
        document = json.loads(request.body)
        metadata = document.get("Metadata", {})
        name = name or metadata["Name"]
        stored = self._objects.get((kind, name))
        if request.method == "POST" and stored is not None:
            return _json(409, stored)
        if request.method == "PUT" and stored is None:
            return _json(404, {})
        revision = metadata.get("Revision")
        if stored and revision not in (None, stored["Metadata"]["Revision"]):
            return _json(409, stored)
        return _json(200, self.put(kind, name, document["Spec"]))

    def put(self, kind: str, name: str, spec: dict) -> dict:
        """Stores an object and notifies watches."""
        self._revision += 1
        stored = {
            "Metadata": {
                "Name": name,
                "Revision": self._revision,
                "Created": 1,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self._objects[kind, name] = stored
        self._changes.append((self._revision, kind, stored))
        self._change_event.set()
        return stored


def _json(status: int, body: dict) -> http_connection.HttpReply:
    return http_connection.HttpReply(
        status,
        [("Content-Type", "application/json")],
        json.dumps(body).encode(),
    )


def main() -> None:
    """Serves on the given address until killed."""
    sys.setrecursionlimit(MAX_NESTING)
    host, _, port = sys.argv[1].rpartition(":")
    server = http_connection.HttpServer(
        listen=(host, int(port)), handle=ObjectServer().handle
    )
    server.start()
    gevent_event.Event().wait()


if __name__ == "__main__":
    main()
