"""How long requests usually run at one target, by route."""

from primrosecross.domain import request

SMOOTHING = 0.1
FIRST_MS = 80.0
MAX_ROUTES = 256


class RunTimes:
    """Averages of run times, by path prefix and over all."""

    def __init__(self) -> None:
        self._by_route: dict[tuple[str, str], float] = {}
        self.average_ms = 0.0

    def usual_ms(self, req: request.Request) -> float:
        """Returns what such a request usually takes."""
        return self._by_route.get(_route_of(req), self.average_ms or FIRST_MS)

    def record(self, req: request.Request, took_ms: float) -> None:
        """Takes in how long a request ran."""
        route = _route_of(req)
        known = self._by_route.get(route)
        if known is None:
            if len(self._by_route) >= MAX_ROUTES:
                self._by_route.pop(next(iter(self._by_route)))
            known = took_ms
        self._by_route[route] = known + SMOOTHING * (took_ms - known)
        if not self.average_ms:
            self.average_ms = took_ms
        self.average_ms += SMOOTHING * (took_ms - self.average_ms)


def _route_of(req: request.Request) -> tuple[str, str]:
    """Returns method and first path segment, which tell kinds of work apart."""
    return req.method, req.path.split("/", 2)[1] if "/" in req.path else ""
