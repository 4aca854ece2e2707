"""Platform store over HTTP/JSON, in the Kubernetes API conventions.

Published interface: Kubernetes API Conventions and API Concepts (resource
versions, conditional PUT answered 409, watches answered 410 when too old).
"""

import functools
import json
import logging
from typing import Any

from primrosecross.adapters import call_budget
from primrosecross.adapters import documents
from primrosecross.adapters import store_errors
from primrosecross.adapters.http import http_client
from primrosecross.adapters.http import http_response
from primrosecross.domain import errors
from primrosecross.domain import stamp
from primrosecross.domain.operators import events
from primrosecross.ports import clock as clock_port
from primrosecross.ports import store as store_port

STAMP_ANNOTATION = "primrosecross.io/stamp"
API_VERSION = "primrosecross.io/v1"
REQUEST_TIMEOUT_MS = 2000
CONNECTIONS = 4
MAX_STAMP_DIGITS = 20  # 64 bits

_logger = logging.getLogger(__name__)
_API_KINDS = {
    "plans": "Plan",
    "pastplans": "PastPlan",
    "assignments": "Assignment",
    "terms": "Term",
}


class ObjectStore:
    """Client of the platform's object API; limits and counts its calls.

    Args:
        url: Base URL, "http://ip:port".
        clock: Clock that measures outages.
        timeline: Records outages.
        stamps: Hybrid logical clock: stamps written objects and observes the
            stamps of those read, so that events ordered only through the store
            stay in order.
    """

    def __init__(
        self,
        *,
        url: str,
        clock: clock_port.Clock,
        timeline: events.Timeline,
        stamps: stamp.StampClock,
    ) -> None:
        self._stamps = stamps
        self._address = url.removeprefix("http://")
        self._client = http_client.HttpClient(
            address=self._address, max_idle_connections=CONNECTIONS
        )
        self._clock = clock
        self._timeline = timeline
        self._unavailable_since_ns = 0
        self._budget = call_budget.CallBudget(clock=clock)

    @property
    def calls(self) -> int:
        """Number of calls made; a watch counts as one."""
        return self._budget.total()

    @property
    def calls_by_kind(self) -> dict[str, int]:
        """Number of calls made, by kind."""
        return dict(self._budget.counts)

    def read(self, kind: str, name: str) -> store_port.StoredObject | None:
        """Returns an object, or None if it does not exist."""
        status, body = self._request("GET", _object_path(kind, name))
        if status == 404:
            return None
        store_errors.check_status(status, (200,), kind, name)
        stored = _to_stored_object("GET", kind, name, body)
        self._observe_stamp(body["metadata"])
        return stored

    def create(
        self, kind: str, name: str, spec: dict[str, Any]
    ) -> store_port.StoredObject:
        """Creates an object."""
        body = self._to_document(kind, name, "", spec)
        status, response = self._request("POST", _object_path(kind), body)
        if status == 409:
            raise store_errors.conflict(kind, name)
        store_errors.check_status(status, (200, 201), kind, name)
        return _to_stored_object("POST", kind, name, response)

    def update(
        self, kind: str, name: str, spec: dict[str, Any], version: str
    ) -> store_port.StoredObject:
        """Replaces an object if its version is still `version`."""
        body = self._to_document(kind, name, version, spec)
        status, response = self._request("PUT", _object_path(kind, name), body)
        if status in (404, 409):
            raise store_errors.conflict(kind, name)
        store_errors.check_status(status, (200,), kind, name)
        return _to_stored_object("PUT", kind, name, response)

    def wait_for_change(self, kind: str, version: str, timeout_ms: int) -> bool:
        """Waits until the objects of a kind have changed since a version."""
        self._budget.acquire(f"watch {kind}")
        path = (
            f"{_object_path(kind)}?watch=1&resourceVersion={version or 0}"
            f"&timeoutSeconds={max(1, timeout_ms // 1000)}"
        )
        try:
            response = self._exchange(
                "GET",
                path,
                timeout_ms=timeout_ms + REQUEST_TIMEOUT_MS,
                ends_at_line=True,
            )
        except (errors.RequestNotSentError, errors.ResponseLostError) as error:
            self._budget.record_failure()
            raise store_errors.unavailable(error.problem) from error
        if response.status == 410:
            return True
        store_errors.check_status(response.status, (200,), kind, "watch")
        return bool(response.body.strip())

    def _request(
        self, method: str, path: str, document: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any]]:
        self._budget.acquire(f"{method} {path.split('/')[4]}")
        try:
            response = self._exchange(method, path, document)
            status = response.status
        except errors.RequestNotSentError as error:
            self._record_failure(error.problem)
            raise store_errors.unavailable(error.problem) from error
        except errors.ResponseLostError as error:
            self._record_failure(error.problem)
            raise store_errors.failed(method, error.problem) from error
        if status == 429:
            self._record_failure("status 429")
            raise store_errors.unavailable("status 429")
        if status >= 500:
            self._record_failure(f"status {status}")
            raise store_errors.failed(method, f"status {status}")
        self._record_success()
        return status, _decode(method, path, response.body)

    def _exchange(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
        *,
        timeout_ms: int = REQUEST_TIMEOUT_MS,
        ends_at_line: bool = False,
    ) -> http_response.HttpResponse:
        """Sends a request; repeats a read whose kept connection had closed."""
        body = b"" if document is None else json.dumps(document).encode()
        headers = [("Host", self._address)]
        if document is not None:
            headers += [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ]
        send = functools.partial(
            self._client.exchange,
            head=http_client.request_head(method, path, headers),
            body=body,
            timeout_s=timeout_ms / 1000,
            ends_at_line=ends_at_line,
        )
        try:
            return send()
        except errors.ConnectionClosedError:
            if method != "GET":
                raise
            return send(new_connection=True)

    def _to_document(
        self, kind: str, name: str, version: str, spec: dict[str, Any]
    ) -> dict[str, Any]:
        return {
            "apiVersion": API_VERSION,
            "kind": _API_KINDS[kind],
            "metadata": {
                "name": name,
                "resourceVersion": version,
                "annotations": {STAMP_ANNOTATION: str(self._stamps.now())},
            },
            "spec": spec,
        }

    def _observe_stamp(self, metadata: dict[str, Any]) -> None:
        annotations = metadata.get("annotations")
        if not isinstance(annotations, dict):
            return
        stamp_text = str(annotations.get(STAMP_ANNOTATION, ""))
        is_number = stamp_text.isascii() and stamp_text.isdigit()
        if is_number and len(stamp_text) <= MAX_STAMP_DIGITS:
            self._stamps.observe(int(stamp_text))

    def _record_failure(self, problem: str) -> None:
        self._budget.record_failure()
        if not self._unavailable_since_ns:
            self._unavailable_since_ns = self._clock.now_ns()
            self._timeline.record(events.StoreOutage(problem))

    def _record_success(self) -> None:
        self._budget.record_success()
        if self._unavailable_since_ns:
            outage_ns = self._clock.now_ns() - self._unavailable_since_ns
            self._unavailable_since_ns = 0
            self._timeline.record(events.StoreReturned(outage_ns // 1_000_000))


def _object_path(kind: str, name: str = "") -> str:
    return f"/apis/{API_VERSION}/{kind}" + (f"/{name}" if name else "")


def _decode(method: str, path: str, body: bytes) -> Any:
    try:
        return documents.decode_json(body or b"{}", Any)
    except ValueError as error:
        if method != "GET":
            raise store_errors.failed(method, error) from error
        raise errors.StoreObjectError(
            f"the store's response for {path} is malformed: {error}",
            remedy="restore the object if another writer changed it",
        ) from error


def _to_stored_object(
    method: str, kind: str, name: str, document: dict[str, Any]
) -> store_port.StoredObject:
    try:
        metadata = document["metadata"]
        if metadata["name"] != name:
            raise store_errors.about_another_object(method, name)
        return store_port.StoredObject(
            kind=kind,
            name=name,
            version=str(metadata["resourceVersion"]),
            spec=dict(document["spec"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise errors.StoreObjectError(
            f"the store's response for {kind} lacks {error}",
            remedy="check that store_url is the platform's object API",
        ) from error
