"""Recognises long work: declared, by size, or by how long its like ran."""

import collections
import functools
import re

from primrosecross.domain import plan
from primrosecross.domain import request

MAX_ROUTES = 1000
WEIGHT = 0.1
LONG_SHARE = 0.5


class LongWorkTracker:
    """Tells long work from short, and learns it by elapsed time.

    A route is a service, a method and the first segment of the path. A route
    is long while half of its recent requests ran longer than the service's
    limit. At most MAX_ROUTES are remembered.
    """

    def __init__(self) -> None:
        self._shares: collections.OrderedDict[tuple[str, str, str], float] = (
            collections.OrderedDict()
        )

    def is_long(self, service: plan.Service, req: request.Request) -> bool:
        """Tells whether a request counts as long."""
        declared = service.long_work
        if len(req.body) > declared.body_bytes:
            return True
        if any(_compiled(p).search(req.path) for p in declared.paths):
            return True
        return self._shares.get(_route(req), 0.0) > LONG_SHARE

    def record(
        self, service: plan.Service, req: request.Request, duration_ms: float
    ) -> None:
        """Takes in how long a request ran."""
        route = _route(req)
        seen = 1.0 if duration_ms > service.long_work.after_ms else 0.0
        share = self._shares.get(route, 0.0)
        if not share and not seen:
            return
        self._shares[route] = share + WEIGHT * (seen - share)
        self._shares.move_to_end(route)
        if len(self._shares) > MAX_ROUTES:
            self._shares.popitem(last=False)


def _route(req: request.Request) -> tuple[str, str, str]:
    segment = req.path.partition("?")[0].strip("/").partition("/")[0]
    return req.service, req.method, segment


@functools.lru_cache(maxsize=1024)
def _compiled(pattern: str) -> re.Pattern[str]:
    return re.compile(pattern)
