"""How late this process's event loop runs its tasks."""

import logging
import time

import gevent

MAX_LATE_S = 0.35  # lateness from which a peer may miss a ping

_logger = logging.getLogger(__name__)


class LatenessMeter:
    """Measures how late the sleeps of one task end."""

    def __init__(self) -> None:
        self._worst_late_s = 0.0

    def sleep(self, sleep_s: float) -> None:
        """Sleeps, and warns if the sleep ends more than MAX_LATE_S late.

        The warning gives the processor time used meanwhile: a process that
        used little waited for a processor or was stopped.
        """
        started_s = time.monotonic()
        processor_started_s = time.process_time()
        gevent.sleep(sleep_s)
        elapsed_s = time.monotonic() - started_s
        late_s = elapsed_s - sleep_s
        self._worst_late_s = max(self._worst_late_s, late_s)
        if late_s > MAX_LATE_S:
            _logger.warning(
                "event loop was late by %d ms; this process used %d ms of "
                "processor time in %d ms",
                late_s * 1000,
                (time.process_time() - processor_started_s) * 1000,
                elapsed_s * 1000,
            )

    def take_worst_ms(self) -> int:
        """Returns the worst lateness since the last call and resets it."""
        worst_late_s, self._worst_late_s = self._worst_late_s, 0.0
        return int(worst_late_s * 1000)
