"""Client of the platform's store: objects by kind and name, with revisions.

Implements the section "The platform's metadata store" of the platform's
PROTOCOL.md.
"""

import logging
from typing import Any

import msgspec

from primrosecross.adapters import call_budget
from primrosecross.adapters import documents
from primrosecross.adapters import store_errors
from primrosecross.adapters.http import http_client
from primrosecross.domain import errors
from primrosecross.models import bounds
from primrosecross.ports import clock as clock_port
from primrosecross.ports import store as store_port

CALL_TIMEOUT_MS = 1000
WATCH_TIMEOUT_MARGIN_MS = 1000
WATCH_MAX_IDLE_CONNECTIONS = 2
LAST_NAME = "~"  # a list that begins after it omits malformed objects too

_logger = logging.getLogger(__name__)


class _Metadata(msgspec.Struct, rename="pascal"):
    name: str
    revision: bounds.Version


class _Object(msgspec.Struct, rename="pascal"):
    metadata: _Metadata
    spec: Any = None


class _WatchResult(msgspec.Struct):
    events: list[Any]
    current_rev: bounds.Version = msgspec.field(name="CurrentRev")


class _ListResult(msgspec.Struct):
    current_rev: bounds.Version = msgspec.field(name="CurrentRev")


class PlatformStore:
    """Client of the store; counts calls and logs outages.

    Args:
        address: "ip:port" of the store.
        clock: Clock that includes time spent suspended.
    """

    def __init__(self, *, address: str, clock: clock_port.Clock) -> None:
        self._address = address
        self._clock = clock
        self._client = http_client.HttpClient(
            address=address, max_idle_connections=2
        )
        self._watch_client = http_client.HttpClient(
            address=address, max_idle_connections=WATCH_MAX_IDLE_CONNECTIONS
        )
        self._budget = call_budget.CallBudget(clock=clock)
        self._unavailable_since_ns = 0
        # Revision up to which a watch has reported changes, by kind. The
        # revision of an object that has not changed for long may precede the
        # history that the store keeps; a watch from it would return 410.
        self._watch_revisions: dict[str, int] = {}

    @property
    def calls(self) -> int:
        """Number of calls made so far.

        A watch counts as one, or as two if the store no longer has the history.
        """
        return self._budget.total()

    @property
    def calls_by_kind(self) -> dict[str, int]:
        """Number of calls made so far, by method and kind of object.

        "refused here" counts the calls that the limit refused.
        """
        return dict(self._budget.counts)

    def read(self, kind: str, name: str) -> store_port.StoredObject | None:
        """Returns an object, or None if it does not exist."""
        status, body = self._call("GET", _path(kind, name))
        if status == 404:
            return None
        store_errors.check_status(status, (200,), kind, name)
        return _to_stored_object("GET", kind, name, body)

    def create(
        self, kind: str, name: str, spec: dict[str, Any]
    ) -> store_port.StoredObject:
        """Creates an object."""
        document = {"Metadata": {"Name": name}, "Spec": spec}
        status, body = self._call("POST", _path(kind), document)
        if status == 409:
            raise store_errors.conflict(kind, name)
        store_errors.check_status(status, (200, 201), kind, name)
        return _to_stored_object("POST", kind, name, body)

    def update(
        self, kind: str, name: str, spec: dict[str, Any], version: str
    ) -> store_port.StoredObject:
        """Replaces an object if its version is unchanged."""
        document = {
            "Metadata": {"Name": name, "Revision": int(version)},
            "Spec": spec,
        }
        status, body = self._call("PUT", _path(kind, name), document)
        if status in (404, 409):
            raise store_errors.conflict(kind, name)
        store_errors.check_status(status, (200,), kind, name)
        return _to_stored_object("PUT", kind, name, body)

    def wait_for_change(self, kind: str, version: str, timeout_ms: int) -> bool:
        """Waits until an object of a kind changes after a version.

        Returns True as well if the store no longer has the history since then,
        or if it holds a change that cannot be decoded.
        """
        after_revision = max(int(version), self._watch_revisions.get(kind, 0))
        path = f"{_path(kind)}?Watch={after_revision}&WaitMs={timeout_ms}"
        status, body = self._call(
            "GET",
            path,
            client=self._watch_client,
            timeout_ms=timeout_ms + WATCH_TIMEOUT_MARGIN_MS,
        )
        if status == 410:
            return self._skip_history(kind)
        store_errors.check_status(status, (200,), kind, "watch")
        try:
            result = documents.decode_json(body, _WatchResult)
        except ValueError as error:
            _logger.warning("skipping malformed changes of %s: %s", kind, error)
            return self._skip_history(kind, f"?after={LAST_NAME}")
        self._watch_revisions[kind] = result.current_rev
        return bool(result.events)

    def _skip_history(self, kind: str, query: str = "") -> bool:
        """Lets the next watch begin at the current revision."""
        status, body = self._call("GET", _path(kind) + query)
        store_errors.check_status(status, (200,), kind, "list")
        self._watch_revisions[kind] = _decode(
            kind, "list", body, _ListResult
        ).current_rev
        return True

    def _call(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
        *,
        client: http_client.HttpClient | None = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> tuple[int, bytes]:
        # The kind follows "/api/objects/".
        self._budget.acquire(f"{method} {path.split('/')[3].partition('?')[0]}")
        body = b"" if document is None else msgspec.json.encode(document)
        headers = [("Host", self._address)]
        if document is not None:
            headers += [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ]
        try:
            response = (client or self._client).exchange(
                head=http_client.request_head(method, path, headers),
                body=body,
                timeout_s=timeout_ms / 1000,
            )
        except errors.RequestNotSentError as error:
            self._record_failure(str(error))
            raise store_errors.unavailable(error.problem) from error
        except errors.ResponseLostError as error:
            self._record_failure(str(error))
            raise store_errors.failed(method, error.problem) from error
        if response.status == 429 or response.status >= 500:
            self._record_failure(f"status {response.status}")
            if response.status in (429, 503):  # The call had no effect.
                raise store_errors.unavailable(f"status {response.status}")
            raise store_errors.failed(method, f"status {response.status}")
        self._record_success()
        return response.status, response.body

    def _record_failure(self, problem: str) -> None:
        self._budget.record_failure()
        if not self._unavailable_since_ns:
            self._unavailable_since_ns = self._clock.now_ns()
            _logger.warning("store is unavailable: %s", problem)

    def _record_success(self) -> None:
        self._budget.record_success()
        if self._unavailable_since_ns:
            outage_ms = (
                self._clock.now_ns() - self._unavailable_since_ns
            ) // 10**6
            self._unavailable_since_ns = 0
            _logger.warning("store is available again after %d ms", outage_ms)


def _path(kind: str, name: str = "") -> str:
    return f"/api/objects/{kind}" + (f"/{name}" if name else "")


def _to_stored_object(
    method: str, kind: str, name: str, body: bytes
) -> store_port.StoredObject:
    decoded = _decode(kind, name, body, _Object)
    if decoded.metadata.name != name:
        raise store_errors.about_another_object(method, name)
    if not isinstance(decoded.spec, dict):
        raise _malformed(kind, name, "Spec is not an object")
    return store_port.StoredObject(
        kind=kind,
        name=name,
        version=str(decoded.metadata.revision),
        spec=decoded.spec,
    )


def _decode(kind: str, name: str, body: bytes, model: type) -> Any:
    try:
        return documents.decode_json(body, model)
    except ValueError as error:
        raise _malformed(kind, name, error) from error


def _malformed(kind: str, name: str, error: object) -> errors.StoreObjectError:
    return errors.StoreObjectError(
        f"{kind}/{name} is malformed: {error}",
        remedy="check the store's response; restore the object if another "
        "writer changed it",
    )
