"""Detects, at the entry daemon, requests that a caller sends again."""

import collections
import dataclasses

from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request
from primrosecross.domain.requests import (
    request_identity as request_identity_module,
)
from primrosecross.ports import clock as clock_port

MAX_ENTRIES = 50_000
RESEND_ATTEMPT = 2


class ResendDetector:
    """Identities of requests that this daemon sent and that may have run.

    Args:
        clock: Clock that resend windows refer to.
        max_entries: Maximum number of identities; the oldest are evicted.
    """

    def __init__(
        self, *, clock: clock_port.Clock, max_entries: int = MAX_ENTRIES
    ) -> None:
        self._clock = clock
        self._max_entries = max_entries
        self._sent: collections.OrderedDict[
            request_identity_module.RequestIdentity, int
        ] = collections.OrderedDict()

    def mark_resend(
        self, req: request.Request, window_ms: int
    ) -> request.Request:
        """Returns the request, marked if this daemon sent it before."""
        identity = request_identity_module.identity_of(req)
        now_ns = self._clock.now_ns()
        is_resend = self._sent.get(identity, 0) > now_ns
        self._sent[identity] = now_ns + window_ms * lease_module.NS_PER_MS
        self._sent.move_to_end(identity)
        while len(self._sent) > self._max_entries:
            self._sent.popitem(last=False)
        if not is_resend:
            return req
        return dataclasses.replace(
            req, attempt=max(req.attempt, RESEND_ATTEMPT)
        )

    def record_outcome(
        self, req: request.Request, result: outcome.Outcome
    ) -> None:
        """Removes a first attempt that did not run."""
        if isinstance(result, outcome.NotRun) and req.attempt < RESEND_ATTEMPT:
            self._sent.pop(request_identity_module.identity_of(req), None)
