"""Tells other daemons of changes before they ask for them."""

import logging
from collections.abc import Callable
from collections.abc import Iterable

import gevent

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.ports import peers as peers_port

MAX_NOTIFIED_VMS = 24  # larger fleets notify only the VMs that a change affects
NOTICE_TIMEOUT_MS = 300

_logger = logging.getLogger(__name__)


class FleetNotices:
    """Sends a coordinator's notices and plans to other daemons.

    A lost one is made up for by the answer to its receiver's next report.

    Args:
        vm: This VM's name.
        address: Address on which this daemon listens for others.
        state: This daemon's view of the fleet.
        peers: Other daemons.
        reporting_vms: Returns the VMs that report to this daemon.
    """

    def __init__(
        self,
        *,
        vm: str,
        address: str,
        state: fleet_state.FleetState,
        peers: peers_port.Peers,
        reporting_vms: Callable[[], list[str]],
    ) -> None:
        self._vm = vm
        self._address = address
        self._state = state
        self._peers = peers
        self._reporting_vms = reporting_vms
        self._sent_revision = 0

    def notify(self, vms: Iterable[str], term: int) -> None:
        """Asks daemons to report, and so to fetch updates, immediately."""
        notice = fleet_messages.Notice(self._vm, self._address, term)
        self._send(vms, notice)

    def notify_of_map(
        self, change: key_map_module.MapChange, term: int
    ) -> None:
        """Notifies daemons of a new map.

        In a fleet of more than MAX_NOTIFIED_VMS only the VMs whose keys or
        holders change are notified; the others get the map with their next
        report.
        """
        reporting_vms = self._reporting_vms()
        if len(reporting_vms) <= MAX_NOTIFIED_VMS:
            self.notify(reporting_vms, term)
            return
        holders = self._state.key_map.holders
        incarnation_ids = {
            incarnation_id
            for ranges in change.ranges.values()
            for key_range in ranges
            for incarnation_id in (key_range.holder, key_range.receiver)
        }
        incarnation_ids.update(holder.life for holder in change.holders)
        affected_vms = {
            holders[incarnation_id].vm
            for incarnation_id in incarnation_ids
            if incarnation_id in holders
        }
        self.notify(affected_vms, term)

    def send_plan(self) -> None:
        """Sends a new plan to all daemons.

        A daemon whose answers come late would wait twice as long if it had to
        ask for the plan.
        """
        document = self._state.plan_document
        if document is None or document.plan.revision == self._sent_revision:
            return
        self._sent_revision = document.plan.revision
        update = fleet_messages.PlanUpdate(
            document.plan.revision, document.content
        )
        self._send(self._reporting_vms(), update)

    def _send(self, vms: Iterable[str], message: messages.Message) -> None:
        for vm in vms:
            if vm != self._vm:
                gevent.spawn(self._send_to, vm, message)

    def _send_to(self, vm: str, message: messages.Message) -> None:
        try:
            self._peers.call(vm, message, timeout_ms=NOTICE_TIMEOUT_MS)
        except errors.PeerError as error:
            _logger.debug("could not notify VM %s: %s", vm, error)
