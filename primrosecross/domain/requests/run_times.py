"""Average run times of requests at one target, by route."""

from primrosecross.domain.requests import request

AVERAGE_WEIGHT = 0.1
INITIAL_MS = 80.0
MAX_ROUTES = 256


class RunTimes:
    """Exponential averages of run times, by route and overall."""

    def __init__(self) -> None:
        self._by_route: dict[tuple[str, str], float] = {}
        self.average_ms = 0.0

    def expected_run_ms(self, req: request.Request) -> float:
        """Returns the average run time on the route of a request."""
        return self._by_route.get(_route_of(req), self.average_ms or INITIAL_MS)

    def record(self, req: request.Request, run_ms: float) -> None:
        """Records the run time of a request."""
        route = _route_of(req)
        average = self._by_route.get(route)
        if average is None:
            if len(self._by_route) >= MAX_ROUTES:
                self._by_route.pop(next(iter(self._by_route)))
            average = run_ms
        self._by_route[route] = average + AVERAGE_WEIGHT * (run_ms - average)
        if not self.average_ms:
            self.average_ms = run_ms
        self.average_ms += AVERAGE_WEIGHT * (run_ms - self.average_ms)


def _route_of(req: request.Request) -> tuple[str, str]:
    """Returns method and first path segment, which identify kinds of work."""
    return req.method, req.path.split("/", 2)[1] if "/" in req.path else ""
