"""Estimates how long callers have waited, from their remaining time."""

SLACK_MS = 20  # network delay varies the deadline of first attempts
MAX_ROUTES = 1024


class CallerWaitEstimator:
    """Tracks the longest deadline of each route; shorter ones are retries.

    Each attempt states how long its caller will still wait. All attempts
    of a caller share one overall limit, which starts with the first attempt.
    """

    def __init__(self) -> None:
        self._longest_ms: dict[str, int] = {}

    def waited_ms(self, route: str, deadline_ms: int) -> int:
        """Returns a caller's elapsed wait in ms, 0 for a first attempt.

        Args:
            route: Name of the route.
            deadline_ms: Remaining time for which the caller will wait.
        """
        longest_ms = self._longest_ms.get(route, 0)
        if deadline_ms >= longest_ms:
            if len(self._longest_ms) >= MAX_ROUTES:
                self._longest_ms.pop(next(iter(self._longest_ms)))
            self._longest_ms[route] = deadline_ms
            return 0
        waited_ms = longest_ms - deadline_ms
        return waited_ms if waited_ms > SLACK_MS else 0
