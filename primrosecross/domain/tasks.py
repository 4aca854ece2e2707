"""Runs background tasks until the daemon exits."""

import logging
from collections.abc import Callable
from collections.abc import Iterable

import gevent

from primrosecross.ports import clock as clock_port

RESTART_DELAY_MS = 1000

_logger = logging.getLogger(__name__)


def start(
    tasks: Iterable[Callable[[], None]], *, clock: clock_port.Clock
) -> None:
    """Starts tasks; restarts one that fails or ends while others continue."""
    for task in tasks:
        gevent.spawn(_keep_running, task, clock)


def _keep_running(task: Callable[[], None], clock: clock_port.Clock) -> None:
    while True:
        try:
            task()
            _logger.error("background task ended; restarting it")
        except Exception:
            _logger.exception("background task failed; restarting it")
        clock.sleep(RESTART_DELAY_MS)
