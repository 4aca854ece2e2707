"""Tells which of two heartbeats from one address is the newer one."""

from primrosecross.domain.ownership import local_target as local_target_module
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.ports import clock as clock_port

SILENT_AFTER_MS = 3000  # heartbeats may come seconds late
MIN_EARLIER_HEARTBEATS = 3  # one or two may have been delayed in transit
_NS_PER_MS = 1_000_000


def is_stale(
    new: target_heartbeat.TargetHeartbeat,
    last: target_heartbeat.TargetHeartbeat,
) -> bool:
    """Returns whether a heartbeat is older than the last one recorded."""
    if new.born_ms != last.born_ms:
        return new.born_ms < last.born_ms
    return (
        new.incarnation_id == last.incarnation_id
        and new.sequence <= last.sequence
    )


class HeartbeatOrder:
    """Recognizes new incarnations after the wall clock was set back.

    Args:
        clock: Clock that includes time spent suspended.
    """

    def __init__(self, *, clock: clock_port.Clock) -> None:
        self._clock = clock
        # Incarnation, sequence and number of the heartbeats in a row.
        self._earlier_start_streak = ("", 0, 0)

    def supersedes(
        self,
        heartbeat: target_heartbeat.TargetHeartbeat,
        target: local_target_module.LocalTarget,
    ) -> bool:
        """Returns whether an incarnation that started earlier is the newer one.

        After the wall clock was set back, a new incarnation has an earlier
        start time than the one before it. It counts as newer once it sends
        MIN_EARLIER_HEARTBEATS in a row while the other is silent.
        """
        incarnation_id, sequence, count = self._earlier_start_streak
        is_next = (
            incarnation_id == heartbeat.incarnation_id
            and heartbeat.sequence > sequence
        )
        count = count + 1 if is_next else 1
        self._earlier_start_streak = (
            heartbeat.incarnation_id,
            heartbeat.sequence,
            count,
        )
        silent_ms = (
            self._clock.now_ns() - target.last_heartbeat_ns
        ) / _NS_PER_MS
        return (
            heartbeat.incarnation_id != target.last_heartbeat.incarnation_id
            and count >= MIN_EARLIER_HEARTBEATS
            and silent_ms > SILENT_AFTER_MS
        )
