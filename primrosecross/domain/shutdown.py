"""Planned stop: hands work over to other daemons before this one exits."""

import logging
from collections.abc import Callable

from primrosecross.domain import errors
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import events
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import (
    coordinator_client as coordinator_client_module,
)
from primrosecross.ports import clock as clock_port

CHECK_INTERVAL_MS = 50
DRAIN_TIMEOUT_MS = 1000
DRAIN_RETRY_MS = 500
IDLE_MS = 1000

_logger = logging.getLogger(__name__)


class Shutdown:
    """Drains this daemon's shards and waits until it is idle.

    Args:
        vm: This VM's name.
        state: Assignment in force at this daemon.
        coordinator_client: Calls the coordinator.
        in_flight: Returns the number of requests in flight at this daemon.
        clock: Clock that includes time spent suspended.
        timeline: Records the drain.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: state_module.ClusterState,
        coordinator_client: coordinator_client_module.CoordinatorClient,
        in_flight: Callable[[], int],
        clock: clock_port.Clock,
        timeline: events.Timeline,
    ) -> None:
        self._vm = vm
        self._state = state
        self._coordinator_client = coordinator_client
        self._in_flight = in_flight
        self._clock = clock
        self._timeline = timeline
        self._idle_since_ns = 0
        self._drain_request_ns = 0

    def run(self, *, limit_ms: int, should_abort: Callable[[], bool]) -> int:
        """Waits until the daemon can exit without aborting any request.

        Args:
            limit_ms: Longest time to wait.
            should_abort: Returns whether to stop waiting at once.

        Returns:
            Number of requests in flight, which the exit aborts.
        """
        self._timeline.record(events.DrainStarted(self._in_flight()))
        deadline_ns = self._clock.now_ns() + limit_ms * lease_module.NS_PER_MS
        reason = "idle"
        while not self._is_drained():
            if should_abort():
                reason = "second signal"
                break
            if self._clock.now_ns() >= deadline_ns:
                reason = f"limit of {limit_ms} ms"
                break
            self._clock.sleep(CHECK_INTERVAL_MS)
        cut = self._in_flight()
        self._timeline.record(events.DrainEnded(cut, reason))
        _logger.info("stopping (%s): %d requests cut", reason, cut)
        return cut

    def _is_drained(self) -> bool:
        """Returns whether this daemon has been idle for IDLE_MS.

        Idle means without requests and without shards to hand over.
        """
        now_ns = self._clock.now_ns()
        member = self._state.member()
        if member is not None and member.state is assignment.MemberState.ACTIVE:
            self._request_drain(now_ns)
        if self._in_flight() or self._has_transferable_shards():
            self._idle_since_ns = 0
            return False
        self._idle_since_ns = self._idle_since_ns or now_ns
        idle_ns = now_ns - self._idle_since_ns
        return idle_ns >= IDLE_MS * lease_module.NS_PER_MS

    def _request_drain(self, now_ns: int) -> None:
        age_ms = (now_ns - self._drain_request_ns) / lease_module.NS_PER_MS
        if self._drain_request_ns and age_ms < DRAIN_RETRY_MS:
            return
        self._drain_request_ns = now_ns
        try:
            self._coordinator_client.call_coordinator(
                operator_messages.Drain(self._vm), timeout_ms=DRAIN_TIMEOUT_MS
            )
        except (errors.StoreError, errors.PeerError) as error:
            _logger.warning("cannot ask the coordinator for a drain: %s", error)

    def _has_transferable_shards(self) -> bool:
        """Returns whether another member can take over a remaining shard."""
        others = [
            m
            for m in self._state.assignment.members.values()
            if m.vm != self._vm and m.state is assignment.MemberState.ACTIVE
        ]
        return any(
            table.shards_of(self._vm)
            and any(m.offers_service(table.service) for m in others)
            for table in self._state.assignment.tables.values()
        )
