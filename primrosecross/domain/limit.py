"""How many requests a target is given at once, from what is seen of it.

The limit follows Gradient2 of Netflix's concurrency-limits: recent answer
times are compared with their long-run average, and the limit shrinks by
their ratio when they grow. Refusals by the target shrink it as in AIMD. It
never exceeds the slots that the target announced. A new target starts with
few requests, and each answer allows half a request more until answer times
grow or the slots are reached.
"""

import statistics

WINDOW = 20
START_SHARE = 0.25
MIN_LIMIT = 1.0
SLOW_START_STEP = 0.5
GROWTH = 2.0
SMOOTHING = 0.2
TOLERANCE = 2.0
MIN_GRADIENT = 0.5
LONG_RUN_WEIGHT = 0.05
REFUSAL_FACTOR = 0.9


class AdaptiveLimit:
    """Limit of one target.

    Args:
        slots: Requests the target says it runs at once.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._limit = max(MIN_LIMIT, slots * START_SHARE)
        self._starting = True
        self._window: list[float] = []
        self._long_run_ms = 0.0
        self.typical_ms = 0.0

    @property
    def value(self) -> int:
        """Requests that may run at once now."""
        return max(1, int(self._limit + 0.5))

    @property
    def slots(self) -> int:
        """Requests the target says it runs at once."""
        return self._slots

    def set_slots(self, slots: int) -> None:
        """Takes in another number of slots."""
        if slots != self._slots:
            self._slots = slots
            self._limit = min(self._limit, slots)

    def restart(self) -> None:
        """Begins anew, as the target does after a failure."""
        self.__init__(slots=self._slots)

    def record_refusal(self) -> None:
        """Takes in that the target had no room."""
        self._starting = False
        self._limit = max(MIN_LIMIT, self._limit * REFUSAL_FACTOR)

    def record_answer(self, duration_ms: float, *, in_flight: int) -> None:
        """Takes in an answer.

        Args:
            duration_ms: Time from handing over the request to its answer.
            in_flight: Requests that ran at the time, itself included.
        """
        if self._starting:
            self._grow(SLOW_START_STEP)
        self._window.append(duration_ms)
        if len(self._window) >= WINDOW:
            recent_ms = statistics.median(self._window)
            self._window.clear()
            self._adjust(recent_ms, in_flight)

    def _grow(self, step: float) -> None:
        self._limit = min(float(self._slots), self._limit + step)

    def _adjust(self, recent_ms: float, in_flight: int) -> None:
        self.typical_ms = recent_ms
        if not self._long_run_ms:
            self._long_run_ms = recent_ms
        self._long_run_ms += LONG_RUN_WEIGHT * (recent_ms - self._long_run_ms)
        if self._long_run_ms > 2 * recent_ms:
            self._long_run_ms *= 1 - LONG_RUN_WEIGHT
        ratio = TOLERANCE * self._long_run_ms / max(recent_ms, 0.001)
        gradient = max(MIN_GRADIENT, min(1.0, ratio))
        if gradient < 1:
            self._starting = False
        elif in_flight < self._limit / 2:
            return
        wanted = self._limit * gradient + GROWTH
        self._limit += SMOOTHING * (wanted - self._limit)
        self._limit = max(MIN_LIMIT, min(float(self._slots), self._limit))
