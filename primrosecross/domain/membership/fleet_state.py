"""Key map, plan and VM directory of a daemon; older versions are ignored."""

import collections
import logging
from collections.abc import Callable

import gevent
from gevent import event as gevent_event

from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.requests import routes
from primrosecross.ports import fleet_repository

MAX_PAST_MAPS = 32  # lets daemons a few versions behind get changes only

_logger = logging.getLogger(__name__)


class FleetState:
    """Newest key map, plan and VM directory."""

    def __init__(self) -> None:
        self.key_map = key_map_module.KeyMap()
        self.past_maps: collections.OrderedDict[int, key_map_module.KeyMap] = (
            collections.OrderedDict()
        )
        self.plan_document: fleet_repository.PlanDocument | None = None
        # Time before which no plan was accepted that is newer than this one.
        self.plan_confirmed_ns = 0
        self.entries: dict[str, fleet_messages.VmEntry] = {}
        self._change_event = gevent_event.Event()
        self._listeners: list[Callable[[], None]] = []

    @property
    def plan(self) -> routes.RoutePlan | None:
        """Newest route plan, None until one is received."""
        return None if self.plan_document is None else self.plan_document.plan

    @property
    def plan_revision(self) -> int:
        """Revision of the newest route plan, 0 until one is received."""
        return 0 if self.plan is None else self.plan.revision

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls a function after each change; it must not block."""
        self._listeners.append(listener)

    def update_map(self, new_map: key_map_module.KeyMap) -> None:
        """Replaces the key map if the given one is newer."""
        if new_map.version <= self.key_map.version:
            return
        self.past_maps[self.key_map.version] = self.key_map
        while len(self.past_maps) > MAX_PAST_MAPS:
            self.past_maps.popitem(last=False)
        self.key_map = new_map
        _logger.info(
            "key map %d in force, ranges %d",
            new_map.version,
            sum(len(t.ranges) for t in new_map.tables.values()),
        )
        self._notify()

    def update_plan(self, document: fleet_repository.PlanDocument) -> None:
        """Replaces the plan if the given one is newer."""
        current_plan = self.plan
        if (
            current_plan is not None
            and document.plan.revision <= current_plan.revision
        ):
            return
        self.plan_document = document
        _logger.info(
            "plan %d in force, revision %d",
            document.plan.version,
            document.plan.revision,
        )
        self._notify()

    def confirm_plan(self, revision: int, asked_ns: int) -> None:
        """Records that a plan was the newest when a question was sent.

        Args:
            revision: Revision of the plan; nothing is recorded if it is newer
                than the one in force here.
            asked_ns: When the question was sent whose answer showed no newer
                plan.
        """
        plan = self.plan
        if plan is not None and plan.revision >= revision:
            self.plan_confirmed_ns = max(self.plan_confirmed_ns, asked_ns)

    def update_entries(
        self, entries: tuple[fleet_messages.VmEntry, ...], *, replace_all: bool
    ) -> None:
        """Updates directory entries, or replaces all of them.

        Args:
            entries: New entries.
            replace_all: Whether VMs without a new entry are removed.
        """
        if replace_all:
            self.entries = {}
        for entry in entries:
            self.entries[entry.vm] = entry
        if entries:
            self._notify()

    def _notify(self) -> None:
        self._change_event.set()
        self._change_event.clear()
        for listener in self._listeners:
            listener()

    def wait(self, timeout_s: float) -> None:
        """Waits for the next change."""
        with gevent.Timeout(timeout_s, False):
            self._change_event.wait()
