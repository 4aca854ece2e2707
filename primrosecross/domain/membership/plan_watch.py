"""Reads the operators' plan from the store.

The coordinator and a few other daemons watch the store. All others receive the
plan from the coordinator, unless nobody confirms it to them for long.
"""

import logging
import random
from collections.abc import Callable

from primrosecross.domain import errors
from primrosecross.domain.membership import fleet_state
from primrosecross.ports import clock as clock_port
from primrosecross.ports import fleet_repository

WATCHER_COUNT = 2  # in addition to the coordinator
WATCH_TIMEOUT_MS = 1000  # a plan may change unseen until a dead watch ends
ROLE_CHECK_MS = 300
TIMER_MARGIN_MS = 50  # by which the store's timer may be early
RETRY_MS = 250
INITIAL_DELAY_MS = 800  # a coordinator, if any, has sent the plan by then
_NS_PER_MS = 1_000_000

_logger = logging.getLogger(__name__)


class PlanWatch:
    """Watches the stored plan while this daemon is a watcher.

    Args:
        vm: This VM's name.
        state: Map, plan and directory at this daemon.
        plans: Source of the plan.
        clock: Clock for delays.
        is_coordinator: Returns whether this daemon is the coordinator.
        has_no_source: Returns whether nobody confirms the plan to this daemon.
        on_change: Called when a newer plan was read.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: fleet_state.FleetState,
        plans: fleet_repository.PlanSource,
        clock: clock_port.Clock,
        is_coordinator: Callable[[], bool],
        has_no_source: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._vm = vm
        self._state = state
        self._plans = plans
        self._clock = clock
        self._is_coordinator = is_coordinator
        self._has_no_source = has_no_source
        self._on_change = on_change
        self._last_error = ""

    def run(self) -> None:
        """Watches until killed."""
        self._clock.sleep(INITIAL_DELAY_MS * random.uniform(0.5, 1.5))
        while True:
            if not self._is_watcher():
                self._clock.sleep(ROLE_CHECK_MS)
                continue
            try:
                problem = self._read_or_log()
                self._wait_for_change()
                self._last_error = problem
            except errors.StoreError as error:
                self._log_and_pause(error)

    def _read_or_log(self) -> str:
        """Reads the plan; returns what is wrong with a malformed one.

        The last valid plan stays in force, and the watch goes on.
        """
        asked_ns = self._clock.now_ns()
        try:
            self._read(asked_ns)
        except errors.StoreObjectError as error:
            if self._state.plan is not None:
                self._state.confirm_plan(self._state.plan.revision, asked_ns)
            self._log_and_pause(error)
            return str(error)
        return ""

    def _log_and_pause(self, error: errors.StoreError) -> None:
        if self._last_error != str(error):
            _logger.warning("cannot read the plan: %s", error)
        self._last_error = str(error)
        self._clock.sleep(RETRY_MS * random.uniform(0.5, 1.5))

    def _is_watcher(self) -> bool:
        if self._is_coordinator() or self._has_no_source():
            return True
        reporting_vms = sorted(
            e.vm for e in self._state.entries.values() if e.state != "lost"
        )
        return self._vm in reporting_vms[:WATCHER_COUNT]

    def _read(self, asked_ns: int) -> None:
        stored_plan = self._plans.read_plan()
        if stored_plan is None:
            return
        previous_plan = self._state.plan
        self._state.update_plan(stored_plan)
        self._state.confirm_plan(stored_plan.plan.revision, asked_ns)
        if self._state.plan is not previous_plan:
            self._on_change()

    def _wait_for_change(self) -> None:
        plan = self._state.plan
        if plan is None:
            self._clock.sleep(RETRY_MS * random.uniform(1.0, 3.0))
            return
        while self._is_watcher():
            asked_ns = self._clock.now_ns()
            if self._plans.wait_for_plan(plan.revision, WATCH_TIMEOUT_MS):
                return
            self._state.confirm_plan(
                plan.revision, asked_ns + self._watched_ns(asked_ns)
            )

    def _watched_ns(self, asked_ns: int) -> int:
        """Returns how long the store watched before it answered "no change".

        A watch that ends early may have been cut off at any time.
        """
        timeout_ns = (WATCH_TIMEOUT_MS - TIMER_MARGIN_MS) * _NS_PER_MS
        is_whole = self._clock.now_ns() - asked_ns >= timeout_ns
        return timeout_ns if is_whole else 0
