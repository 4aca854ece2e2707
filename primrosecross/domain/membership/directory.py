"""The coordinator's directory of VMs, built from their reports."""

import dataclasses
import logging

from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.ownership import range_decisions
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.ports import clock as clock_port

LOST_AFTER_MS = 1500  # more than three report intervals
WARM_UP_MS = 3000  # covers the first heartbeat of a restarted daemon's target
REMOVE_AFTER_MS = 30_000
LOST = "lost"  # state of an entry whose daemon stopped reporting
STOPPING = "stopping"  # a ready target whose daemon is about to stop
_NS_PER_MS = 1_000_000

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Report:
    """Last report of a VM.

    Attributes:
        report: The report.
        received_ns: When the report arrived.
        since_ns: When the daemon's current process first reported.
        entry: Directory entry sent to other daemons, None before the first.
        number: Number of the directory change that set the entry.
    """

    report: fleet_messages.Sync
    received_ns: int
    since_ns: int
    entry: fleet_messages.VmEntry | None = None
    number: int = 0


class Directory:
    """Directory entries by VM; each change of one is numbered.

    Args:
        state: This daemon's own copy of the entries.
        clock: Clock that includes time spent suspended.
    """

    def __init__(
        self, *, state: fleet_state.FleetState, clock: clock_port.Clock
    ) -> None:
        self._state = state
        self._clock = clock
        self._reports: dict[str, _Report] = {}
        self.number = 0

    @property
    def vms(self) -> list[str]:
        """Names of the VMs that have reported."""
        return list(self._reports)

    def clear(self) -> None:
        """Removes all reports, at the start of a term."""
        self._reports = {}
        self.number = 0

    def record_report(self, sync: fleet_messages.Sync) -> bool:
        """Records a report; returns whether a decision may be needed."""
        now_ns = self._clock.now_ns()
        old = self._reports.get(sync.vm)
        if old is None:
            record = _Report(sync, now_ns, now_ns)
        else:
            is_same_process = old.report.incarnation == sync.incarnation
            record = dataclasses.replace(
                old,
                report=sync,
                received_ns=now_ns,
                since_ns=old.since_ns if is_same_process else now_ns,
            )
        self._reports[sync.vm] = record
        changed = self._update_entry(record, lost=False)
        return changed or old is None or _target_differs(old.report, sync)

    def _update_entry(self, record: _Report, *, lost: bool) -> bool:
        """Updates and numbers a VM's entry; returns whether it changed."""
        entry = _make_entry(record.report, lost=lost)
        if record.entry == entry:
            return False
        self.number += 1
        record.entry = entry
        record.number = self.number
        self._state.update_entries((entry,), replace_all=False)
        return True

    def entries_since(self, number: int) -> tuple[fleet_messages.VmEntry, ...]:
        """Returns the entries that changed after a numbered change."""
        return tuple(
            r.entry for r in self._reports.values() if r.number > number
        )

    def mark_lost(self, *, except_vm: str) -> list[str]:
        """Marks VMs without recent reports as lost.

        VMs without a report for REMOVE_AFTER_MS are removed.

        Args:
            except_vm: This VM, which needs no report.

        Returns:
            Names of the lost VMs.
        """
        lost = []
        for vm, record in list(self._reports.items()):
            silent_ms = (self._clock.now_ns() - record.received_ns) / _NS_PER_MS
            if vm == except_vm or silent_ms <= LOST_AFTER_MS:
                continue
            if self._update_entry(record, lost=True):
                _logger.warning(
                    "VM %s has sent no report for %d ms", vm, silent_ms
                )
            lost.append(vm)
            if silent_ms > REMOVE_AFTER_MS:
                del self._reports[vm]
        return lost

    def vm_views(self) -> dict[str, range_decisions.VmView]:
        """Returns the inputs of decisions, by VM."""
        now_ns = self._clock.now_ns()
        return {
            vm: range_decisions.VmView(
                report=record.report,
                lost=record.entry.state == LOST,
                warmed_up=now_ns - record.since_ns > WARM_UP_MS * _NS_PER_MS,
            )
            for vm, record in self._reports.items()
        }


def _make_entry(
    sync: fleet_messages.Sync, *, lost: bool
) -> fleet_messages.VmEntry:
    target = sync.targets[0] if sync.targets else None
    state = "" if target is None else target.state
    if sync.stopping:
        is_ready = state == target_heartbeat.TargetState.READY.value
        state = STOPPING if is_ready else state
    return fleet_messages.VmEntry(
        vm=sync.vm,
        place=sync.place,
        address=sync.address,
        service="" if target is None else target.service,
        slots=0 if target is None else target.slots,
        state=LOST if lost else state,
        cold=target is not None and target.cold,
    )


def _target_differs(old: fleet_messages.Sync, new: fleet_messages.Sync) -> bool:
    """Returns whether two reports differ in inputs of key decisions."""
    before = old.targets[0] if old.targets else None
    after = new.targets[0] if new.targets else None
    if before is None or after is None:
        return before is not after
    return (before.life, before.forfeited, before.given_back) != (
        after.life,
        after.forfeited,
        after.given_back,
    )
