"""Classifies requests as long work: by declaration, size or past run times."""

import collections
import functools
import re

from primrosecross.domain.operators import plan
from primrosecross.domain.requests import request

MAX_ROUTES = 1000
SAMPLE_WEIGHT = 0.1
LONG_SHARE = 0.5


class LongWorkTracker:
    """Classifies requests as long or short, and learns from their run times.

    A route is a service, a method and the first segment of the path. A route
    is long while more than half of its recent requests exceed the service's
    threshold. At most MAX_ROUTES routes are kept.
    """

    def __init__(self) -> None:
        self._long_shares: collections.OrderedDict[
            tuple[str, str, str], float
        ] = collections.OrderedDict()

    def is_long(self, service: plan.Service, req: request.Request) -> bool:
        """Returns whether a request counts as long work."""
        criteria = service.long_work
        if len(req.body) > criteria.body_bytes:
            return True
        if any(_compiled(p).search(req.path) for p in criteria.paths):
            return True
        return self._long_shares.get(_route(req), 0.0) > LONG_SHARE

    def record(
        self, service: plan.Service, req: request.Request, duration_ms: float
    ) -> None:
        """Records the run time of a request."""
        route = _route(req)
        sample = 1.0 if duration_ms > service.long_work.after_ms else 0.0
        share = self._long_shares.get(route, 0.0)
        if not share and not sample:
            return
        self._long_shares[route] = share + SAMPLE_WEIGHT * (sample - share)
        self._long_shares.move_to_end(route)
        if len(self._long_shares) > MAX_ROUTES:
            self._long_shares.popitem(last=False)


def _route(req: request.Request) -> tuple[str, str, str]:
    segment = req.path.partition("?")[0].strip("/").partition("/")[0]
    return req.service, req.method, segment


@functools.lru_cache(maxsize=1024)
def _compiled(pattern: str) -> re.Pattern[str]:
    return re.compile(pattern)
