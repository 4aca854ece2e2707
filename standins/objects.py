"""Stand-in for the users' platform store: objects, revisions and watches.

Source: PROTOCOL.md, "The platform's metadata store". POST /standin/faults with
a JSON object of the fields of Faults switches faults on and off; its answer
holds the number of calls.
"""

import dataclasses
import json
import sys
from urllib import parse

import gevent
from gevent import event as gevent_event

from primrosecross.adapters import http_connection
from primrosecross.adapters import http_parser

PREFIX = "/api/objects/"
LISTED = 500


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults to show.

    Attributes:
        down: Answer nothing but 503.
        silent: Answer nothing at all.
        delay_ms: Wait before each answer.
        lose_answers: Number of writes to carry out and not to answer.
        forgotten: History up to this revision is gone.
    """

    down: bool = False
    silent: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    forgotten: int = 0


class Objects:
    """Objects by kind and name, and the changes that watches see."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls = 0
        self._revision = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._changes: list[tuple[int, str, dict]] = []
        self._changed = gevent_event.Event()

    def handle(
        self, found: http_parser.HttpRequest
    ) -> http_connection.HttpReply:
        """Answers one call."""
        path, _, query = found.target.partition("?")
        if path == "/standin/faults":
            fields = json.loads(found.body or b"{}")
            self.faults = dataclasses.replace(self.faults, **fields)
            return _json(200, {"calls": self.calls})
        self.calls += 1
        if self.faults.silent:
            gevent.sleep(3600)
        if self.faults.down:
            return _json(503, {})
        gevent.sleep(self.faults.delay_ms / 1000)
        kind, _, name = path.removeprefix(PREFIX).partition("/")
        asked = dict(parse.parse_qsl(query))
        if found.method == "GET":
            return self._get(kind, name, asked)
        reply = self._write(found, kind, name)
        if self.faults.lose_answers and reply.status < 400:
            self.faults.lose_answers -= 1
            gevent.sleep(3600)
        return reply

    def _get(
        self, kind: str, name: str, asked: dict[str, str]
    ) -> http_connection.HttpReply:
        if "Watch" in asked:
            return self._watch(kind, asked)
        if not name:
            items = [o for (k, _), o in self._objects.items() if k == kind]
            return _json(
                200,
                {
                    "items": items[:LISTED],
                    "HasMore": False,
                    "CurrentRev": self._revision,
                },
            )
        stored = self._objects.get((kind, name))
        return _json(404, {}) if stored is None else _json(200, stored)

    def _watch(
        self, kind: str, asked: dict[str, str]
    ) -> http_connection.HttpReply:
        since = int(asked["Watch"])
        if since < self.faults.forgotten:
            return _json(410, {})
        with gevent.Timeout(int(asked["WaitMs"]) / 1000, False):
            while not self._events(kind, since):
                self._changed.clear()
                self._changed.wait()
        events = self._events(kind, since)
        return _json(200, {"events": events, "CurrentRev": self._revision})

    def _events(self, kind: str, since: int) -> list[dict]:
        return [
            {"Tombstone": False, "Object": stored}
            for revision, changed, stored in self._changes
            if revision > since and changed == kind
        ]

    def _write(
        self, found: http_parser.HttpRequest, kind: str, name: str
    ) -> http_connection.HttpReply:
        document = json.loads(found.body)
        wanted = document.get("Metadata", {})
        name = name or wanted["Name"]
        stored = self._objects.get((kind, name))
        if found.method == "POST" and stored is not None:
            return _json(409, stored)
        if found.method == "PUT" and stored is None:
            return _json(404, {})
        revision = wanted.get("Revision")
        if stored and revision not in (None, stored["Metadata"]["Revision"]):
            return _json(409, stored)
        return _json(200, self.put(kind, name, document["Spec"]))

    def put(self, kind: str, name: str, spec: dict) -> dict:
        """Stores an object and wakes watches."""
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
        self._changed.set()
        return stored


def _json(status: int, body: dict) -> http_connection.HttpReply:
    return http_connection.HttpReply(
        status,
        [("Content-Type", "application/json")],
        json.dumps(body).encode(),
    )


def main() -> None:
    """Serves on the address given, until killed."""
    host, _, port = sys.argv[1].rpartition(":")
    server = http_connection.HttpServer(
        listen=(host, int(port)), handle=Objects().handle
    )
    server.start()
    gevent_event.Event().wait()


if __name__ == "__main__":
    main()
