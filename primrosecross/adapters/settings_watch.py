"""Applies changes of the settings file while the daemon runs."""

import dataclasses
import logging
import time
from collections.abc import Callable
from typing import Any

import gevent

from primrosecross.domain import errors

POLL_INTERVAL_S = 2.0
START_LIMIT_S = 2.0  # for a file that is still being written
START_INTERVAL_S = 0.1

_logger = logging.getLogger(__name__)


def load_at_start(
    load: Callable[[], Any], *, limit_s: float = START_LIMIT_S
) -> Any:
    """Reads the settings, again and again while they are invalid.

    Args:
        load: Reads them; raises errors.SettingsError if they are invalid.
        limit_s: Time after which an error is final.

    Raises:
        errors.SettingsError: The settings are invalid after limit_s.
    """
    started_s = time.monotonic()
    last_error = ""
    while True:
        try:
            return load()
        except errors.SettingsError as error:
            if time.monotonic() - started_s >= limit_s:
                raise
            if str(error) != last_error:
                _logger.warning("cannot start yet: %s", error)
            last_error = str(error)
        gevent.sleep(START_INTERVAL_S)


class SettingsWatch:
    """Reads the settings again after a signal, and periodically.

    Args:
        load: Reads the settings; raises errors.SettingsError if they are
            invalid.
        settings: Settings in force, a data class.
        live_fields: Fields that take effect without a restart.
        apply: Puts new values of these fields in force.
    """

    def __init__(
        self,
        *,
        load: Callable[[], Any],
        settings: Any,
        live_fields: frozenset[str],
        apply: Callable[[Any], None],
    ) -> None:
        self._load = load
        self._live_fields = live_fields
        self._apply = apply
        self._last_error = ""
        self.settings = settings

    def run(self) -> None:
        """Polls until killed, as a change may come without a signal."""
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Reads the settings again; invalid ones leave the last ones in force.

        An error is logged once, not at each poll.
        """
        try:
            reloaded = self._load()
        except errors.SettingsError as error:
            if str(error) != self._last_error:
                _logger.error("last valid settings stay in force: %s", error)
            self._last_error = str(error)
            return
        self._last_error = ""
        changed = {
            field.name
            for field in dataclasses.fields(reloaded)
            if getattr(reloaded, field.name)
            != getattr(self.settings, field.name)
        }
        if not changed:
            return
        live = sorted(changed & self._live_fields)
        deferred = sorted(changed - self._live_fields)
        self.settings = reloaded
        if live:
            self._apply(reloaded)
            _logger.warning("changed settings in force: %s", ", ".join(live))
        if deferred:
            _logger.warning(
                "changed settings that take effect at the next start: %s; "
                "restart the daemon to apply them",
                ", ".join(deferred),
            )
