"""Liveness of one connection's peer, counted in checks without data."""

import time

MAX_MISSED_PINGS = 3
SUSPECT_MISSED_PINGS = 2  # from here, new calls fail without being sent
MAX_IDLE_CHECKS = 3
# The side that opened a connection closes it first, as the other side does not
# know whether a call is on its way.
MAX_IDLE_CHECKS_ACCEPTED = 9


class Liveness:
    """Counts the checks in which a connection received no data.

    Args:
        accepted: Whether the peer opened the connection.

    Attributes:
        opened_s: Monotonic time at which the connection was opened.
        last_received_s: Monotonic time of the last data, or `opened_s`.
    """

    def __init__(self, *, accepted: bool) -> None:
        self._max_idle_checks = (
            MAX_IDLE_CHECKS_ACCEPTED if accepted else MAX_IDLE_CHECKS
        )
        self.opened_s = time.monotonic()
        self.last_received_s = self.opened_s
        self._data_received = False
        self._missed_pings = 0
        self._idle_checks = 0

    def age_s(self) -> float:
        """Returns the time since the connection was opened."""
        return time.monotonic() - self.opened_s

    @property
    def suspect(self) -> bool:
        """Whether the last checks found no data, and none has come since."""
        missed_pings = 0 if self._data_received else self._missed_pings
        return missed_pings >= SUSPECT_MISSED_PINGS

    @property
    def silent(self) -> bool:
        """Whether more than MAX_MISSED_PINGS checks found no data."""
        return self._missed_pings > MAX_MISSED_PINGS

    @property
    def idle(self) -> bool:
        """Whether too many checks found no call."""
        return self._idle_checks > self._max_idle_checks

    def note_data(self) -> None:
        """Records that the peer sent data, or took data after a pause."""
        self._data_received = True
        self.last_received_s = time.monotonic()

    def note_call(self) -> None:
        """Records that the connection is in use."""
        self._idle_checks = 0

    def check(self, *, in_use: bool) -> bool:
        """Counts a check without data, if the connection is in use.

        A silent connection that falls out of use stays silent. Other missed
        pings are forgotten, as an unused connection is not pinged.

        Returns:
            Whether data was received since the last check.
        """
        data_received, self._data_received = self._data_received, False
        if data_received or not (in_use or self.silent):
            self._missed_pings = 0
        else:
            self._missed_pings += 1
        return data_received

    def check_idle(self) -> None:
        """Counts a check of a connection that is not in use."""
        self._idle_checks += 1
