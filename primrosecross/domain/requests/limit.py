"""Adaptive concurrency limit of a target.

The limit follows Gradient2 of Netflix's concurrency-limits: recent latencies
are compared with their long-run average, and the limit shrinks by their ratio
when they grow. Refusals by the target shrink it as in AIMD. It never exceeds
the slots that the target announced. A new target starts with a low limit, and
each answer raises it by half a request until latencies grow or the limit
reaches the slots.
"""

import statistics

WINDOW_ANSWERS = 20
INITIAL_SHARE = 0.25
MIN_LIMIT = 1.0
SLOW_START_STEP = 0.5
GROWTH_STEP = 2.0
SMOOTHING = 0.2
TOLERANCE = 2.0
MIN_GRADIENT = 0.5
LONG_RUN_WEIGHT = 0.05
REFUSAL_FACTOR = 0.9


class AdaptiveLimit:
    """Concurrency limit of one target.

    Args:
        slots: Concurrent requests that the target announced.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._limit = max(MIN_LIMIT, slots * INITIAL_SHARE)
        self._in_slow_start = True
        self._window: list[float] = []
        self._long_run_ms = 0.0
        self.median_ms = 0.0

    @property
    def value(self) -> int:
        """Number of requests that may run concurrently now."""
        return max(1, int(self._limit + 0.5))

    @property
    def slots(self) -> int:
        """Concurrent requests that the target announced."""
        return self._slots

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots; lowers the limit if necessary."""
        if slots != self._slots:
            self._slots = slots
            self._limit = min(self._limit, slots)

    def reset(self) -> None:
        """Resets the limit to slow start, as after a failure of the target."""
        self.__init__(slots=self._slots)

    def record_refusal(self) -> None:
        """Records a refusal by the target; lowers the limit."""
        self._in_slow_start = False
        self._limit = max(MIN_LIMIT, self._limit * REFUSAL_FACTOR)

    def record_answer(self, duration_ms: float, *, in_flight: int) -> None:
        """Records an answer.

        Args:
            duration_ms: Time from sending the request to its answer.
            in_flight: Requests that ran at the time, including this one.
        """
        if self._in_slow_start:
            self._grow(SLOW_START_STEP)
        self._window.append(duration_ms)
        if len(self._window) >= WINDOW_ANSWERS:
            recent_ms = statistics.median(self._window)
            self._window.clear()
            self._adjust(recent_ms, in_flight)

    def _grow(self, step: float) -> None:
        self._limit = min(float(self._slots), self._limit + step)

    def _adjust(self, recent_ms: float, in_flight: int) -> None:
        self.median_ms = recent_ms
        if not self._long_run_ms:
            self._long_run_ms = recent_ms
        self._long_run_ms += LONG_RUN_WEIGHT * (recent_ms - self._long_run_ms)
        if self._long_run_ms > 2 * recent_ms:
            self._long_run_ms *= 1 - LONG_RUN_WEIGHT
        ratio = TOLERANCE * self._long_run_ms / max(recent_ms, 0.001)
        gradient = max(MIN_GRADIENT, min(1.0, ratio))
        if gradient < 1:
            self._in_slow_start = False
        elif in_flight < self._limit / 2:
            return
        target_limit = self._limit * gradient + GROWTH_STEP
        self._limit += SMOOTHING * (target_limit - self._limit)
        self._limit = max(MIN_LIMIT, min(float(self._slots), self._limit))
