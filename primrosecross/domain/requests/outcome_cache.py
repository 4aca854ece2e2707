"""Caches outcomes by request identity, so that each request runs once."""

import collections
import dataclasses
from collections.abc import Callable

from gevent import event as gevent_event

from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import (
    request_identity as request_identity_module,
)
from primrosecross.ports import clock as clock_port

MAX_ENTRIES = 100_000
MAX_BODY_BYTES = 32 << 20
FULL_RETRY_MS = 1000


_ANSWER_EVICTED = outcome.Unknown(
    outcome.Reason.ANSWER_DROPPED,
    "the request ran; its answer is no longer cached",
)


@dataclasses.dataclass(slots=True)
class _Entry:
    fingerprint: str
    expires_ns: int = 0
    result: outcome.Outcome | None = None
    done: gevent_event.Event | None = None


class OutcomeCache:
    """Outcomes of this daemon's requests, within their resend windows.

    A request that did not run is removed at once; any other outcome is kept
    for the resend window. Bodies are evicted, oldest first, when they exceed
    their limit; identities are never evicted before their window has passed,
    so new requests are refused while the cache is full.

    Args:
        clock: Clock that resend windows refer to.
        max_entries: Maximum number of identities.
        max_body_bytes: Maximum total size of cached bodies.
    """

    def __init__(
        self,
        *,
        clock: clock_port.Clock,
        max_entries: int = MAX_ENTRIES,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._clock = clock
        self._max_entries = max_entries
        self._max_body_bytes = max_body_bytes
        self._running: dict[
            request_identity_module.RequestIdentity, _Entry
        ] = {}
        self._finished: dict[
            int,
            collections.OrderedDict[
                request_identity_module.RequestIdentity, _Entry
            ],
        ] = {}
        self._bodies: collections.OrderedDict[
            request_identity_module.RequestIdentity, _Entry
        ] = collections.OrderedDict()
        self._body_bytes = 0

    def __len__(self) -> int:
        """Returns the number of cached identities."""
        return len(self._running) + sum(len(s) for s in self._finished.values())

    def run_once(
        self,
        identity: request_identity_module.RequestIdentity,
        fingerprint: str,
        *,
        window_ms: int,
        deadline_ns: int,
        run: Callable[[], outcome.Outcome],
    ) -> outcome.Outcome:
        """Runs a request, or returns the outcome of an earlier attempt.

        Args:
            identity: Identity shared by all attempts.
            fingerprint: Digest of service, key, method, path and body.
            window_ms: How long its outcome is kept.
            deadline_ns: When to stop waiting for a running attempt.
            run: Runs the request.
        """
        earlier_outcome = self.find(
            identity, fingerprint, deadline_ns=deadline_ns
        )
        if earlier_outcome is not None:
            return earlier_outcome
        if len(self) >= self._max_entries:
            return outcome.NotRun(
                outcome.Reason.OVERLOADED,
                "the outcome cache is full; retry after its entries expire",
                FULL_RETRY_MS,
            )
        entry = _Entry(fingerprint, done=gevent_event.Event())
        self._running[identity] = entry
        result: outcome.Outcome = outcome.Unknown(
            outcome.Reason.ANSWER_LOST,
            "internal error in the router during the attempt",
        )
        try:
            result = run()
        finally:
            self._finish(identity, entry, result, window_ms)
        return result

    def find(
        self,
        identity: request_identity_module.RequestIdentity,
        fingerprint: str,
        *,
        deadline_ns: int,
    ) -> outcome.Outcome | None:
        """Returns the outcome of an earlier attempt, None if there is none.

        Waits for a running attempt, at most until the deadline.
        """
        self._expire()
        entry = self._lookup(identity)
        if entry is None:
            return None
        if entry.fingerprint != fingerprint:
            return outcome.NotRun(
                outcome.Reason.MISMATCH,
                "the Idempotency-Key belongs to another request; use a new one",
            )
        if entry.done is not None:
            remaining_ns = deadline_ns - self._clock.now_ns()
            entry.done.wait(max(0, remaining_ns) / 1e9)
        return entry.result or outcome.Unknown(
            outcome.Reason.DEADLINE, "an earlier attempt is still running"
        )

    def record_outcome(
        self,
        identity: request_identity_module.RequestIdentity,
        fingerprint: str,
        *,
        window_ms: int,
        result: outcome.Outcome,
    ) -> None:
        """Stores an outcome that was determined elsewhere."""
        self._store(identity, _Entry(fingerprint), result, window_ms)

    def _lookup(
        self, identity: request_identity_module.RequestIdentity
    ) -> _Entry | None:
        entry = self._running.get(identity)
        if entry is not None:
            return entry
        for finished in self._finished.values():
            entry = finished.get(identity)
            if entry is not None:
                return entry
        return None

    def _finish(
        self,
        identity: request_identity_module.RequestIdentity,
        entry: _Entry,
        result: outcome.Outcome,
        window_ms: int,
    ) -> None:
        self._running.pop(identity, None)
        result = _outcome_to_cache(result)
        entry.result = result
        if entry.done is not None:
            entry.done.set()
            entry.done = None
        if not isinstance(result, outcome.NotRun):
            self._store(identity, entry, result, window_ms)

    def _store(
        self,
        identity: request_identity_module.RequestIdentity,
        entry: _Entry,
        result: outcome.Outcome,
        window_ms: int,
    ) -> None:
        entry.result = result
        entry.expires_ns = (
            self._clock.now_ns() + window_ms * lease_module.NS_PER_MS
        )
        finished = self._finished.setdefault(
            window_ms, collections.OrderedDict()
        )
        finished[identity] = entry
        if isinstance(result, outcome.Answered):
            self._store_body(identity, entry, result)

    def _store_body(
        self,
        identity: request_identity_module.RequestIdentity,
        entry: _Entry,
        result: outcome.Answered,
    ) -> None:
        self._bodies[identity] = entry
        self._body_bytes += len(result.body)
        while self._body_bytes > self._max_body_bytes:
            evicted = next(iter(self._bodies))
            self._evict_body(evicted)

    def _evict_body(
        self, identity: request_identity_module.RequestIdentity
    ) -> None:
        entry = self._bodies.pop(identity, None)
        if entry is None or not isinstance(entry.result, outcome.Answered):
            return
        self._body_bytes -= len(entry.result.body)
        entry.result = _ANSWER_EVICTED

    def _expire(self) -> None:
        now_ns = self._clock.now_ns()
        for finished in self._finished.values():
            while finished:
                identity, entry = next(iter(finished.items()))
                if entry.expires_ns > now_ns:
                    break
                del finished[identity]
                self._evict_body(identity)


def _outcome_to_cache(result: outcome.Outcome) -> outcome.Outcome:
    """Returns the outcome to cache; a streamed body can be read only once."""
    streamed = isinstance(result, outcome.Answered) and not isinstance(
        result.body, bytes
    )
    return _ANSWER_EVICTED if streamed else result
