"""Assigns key ranges to targets; pure functions of reports and loads.

A range gets a new holder in one of three cases: the holder was asked to release
it and reports the release; the holder's daemon reports that this incarnation
has ended or that all its grants have expired; or the intent to revoke has been
in the store for longer than any grant can last.
"""

import dataclasses

from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.ownership import key_load
from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.ownership import range_balance
from primrosecross.domain.ownership import range_joining
from primrosecross.domain.ownership import target_heartbeat

DEFAULT_TYPICAL_MS = 100
_READY = target_heartbeat.TargetState.READY.value
_WITHOUT_SIGN_OF_LIFE = (
    target_heartbeat.TargetState.SILENT.value,
    target_heartbeat.TargetState.GONE.value,
)
_KeyRange = key_map_module.KeyRange
_State = key_map_module.HolderState


@dataclasses.dataclass(frozen=True, slots=True)
class VmView:
    """The coordinator's view of one VM.

    Attributes:
        report: Latest report of its daemon.
        lost: Whether its daemon has stopped reporting.
        warmed_up: Whether its daemon has run long enough to know its target.
    """

    report: fleet_messages.Sync
    lost: bool
    warmed_up: bool

    @property
    def target(self) -> fleet_messages.TargetReport | None:
        """Report of the local target, None if there is none."""
        return self.report.targets[0] if self.report.targets else None


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionInputs:
    """Inputs of one decision.

    Attributes:
        vm_views: View of each VM, by VM name.
        keyed_services: Services whose targets hold keys.
        loads: Request rates by key, by service.
        expired_ids: Incarnations whose revocation wait is over.
        may_create_tables: Whether services without a range table get one.
        movable_version: Ranges up to this generation have been with their
            holders long enough to be rebalanced.
    """

    vm_views: dict[str, VmView]
    keyed_services: tuple[str, ...]
    loads: dict[str, key_load.KeyLoad]
    expired_ids: frozenset[str]
    may_create_tables: bool
    movable_version: int


def decide(
    current: key_map_module.KeyMap, inputs: DecisionInputs
) -> key_map_module.KeyMap | None:
    """Returns the next version of the map, None if nothing changes."""
    draft = _Draft(current, inputs)
    draft.update_holders()
    for service in inputs.keyed_services:
        draft.assign_keys(service)
    draft.drop_unused_holders()
    return draft.result()


class _Draft:
    """The next version of the map while it is being decided."""

    def __init__(
        self, current: key_map_module.KeyMap, inputs: DecisionInputs
    ) -> None:
        self._current = current
        self._inputs = inputs
        self._version = current.version + 1
        self._holders = dict(current.holders)
        self._tables = dict(current.tables)
        self._ended_ids = frozenset(
            incarnation_id
            for incarnation_id in self._holders
            if self._has_ended(incarnation_id)
        )

    def result(self) -> key_map_module.KeyMap | None:
        unchanged = self._holders == self._current.holders and all(
            name in self._current.tables
            and table.ranges == self._current.tables[name].ranges
            for name, table in self._tables.items()
        )
        if unchanged and len(self._tables) == len(self._current.tables):
            return None
        return key_map_module.KeyMap(self._version, self._holders, self._tables)

    def _target_of(
        self, incarnation_id: str
    ) -> fleet_messages.TargetReport | None:
        """Returns the target report of a holder's VM, None if there is none."""
        view = self._inputs.vm_views.get(self._holders[incarnation_id].vm)
        return None if view is None else view.target

    def _has_ended(self, incarnation_id: str) -> bool:
        """Returns whether a holder was replaced or its revocation completed."""
        if incarnation_id in self._inputs.expired_ids:
            return True
        target = self._target_of(incarnation_id)
        return (
            target is not None
            and target.life != incarnation_id
            and target.born_ms > _born_ms(incarnation_id)
        )

    def update_holders(self) -> None:
        """Starts revocations and cancels those of holders that report again."""
        for incarnation_id, holder in self._holders.items():
            if incarnation_id in self._ended_ids:
                continue
            wanted_state = (
                _State.REVOKING
                if self._is_missing(incarnation_id)
                else _State.ACTIVE
            )
            if wanted_state is not holder.state:
                self._holders[incarnation_id] = dataclasses.replace(
                    holder, state=wanted_state, since=self._version
                )

    def _is_missing(self, incarnation_id: str) -> bool:
        view = self._inputs.vm_views.get(self._holders[incarnation_id].vm)
        if view is None or view.lost:
            return True
        target = view.target
        if target is None or target.life != incarnation_id:
            return view.warmed_up
        return target.state in _WITHOUT_SIGN_OF_LIFE

    def assign_keys(self, service: str) -> None:
        """Frees, hands over, assigns, joins and rebalances keys."""
        balance = range_balance.Balance(
            candidates=self._candidates(service),
            load=self._inputs.loads.get(service),
            movable_version=self._inputs.movable_version,
        )
        table = self._tables.get(service)
        if table is None:
            if not balance.candidates or not self._inputs.may_create_tables:
                return
            table = key_map_module.RangeTable.unassigned()
        table = self._free_ranges(table, balance)
        table = self._complete_hand_overs(table, balance)
        if balance.candidates:
            table = self._reassign_draining(table, balance)
            table = self._assign_free_ranges(table, balance)
            table = range_joining.join_neighbors(table, balance, self._version)
            table = balance.rebalance(table)
            table = range_joining.gather(table, balance)
        self._tables[service] = table
        self._add_holders(table, balance, service)

    def _candidates(self, service: str) -> list[range_balance.Candidate]:
        eligible = []
        for vm, view in self._inputs.vm_views.items():
            target = view.target
            if target is None or view.lost or view.report.stopping:
                continue
            if target.service != service or target.state != _READY:
                continue
            typical_ms = target.typical_ms or DEFAULT_TYPICAL_MS
            capacity = max(1, target.slots) * 1000.0 / typical_ms
            eligible.append(range_balance.Candidate(target.life, vm, capacity))
        return eligible

    def _free_ranges(
        self, table: key_map_module.RangeTable, balance: range_balance.Balance
    ) -> key_map_module.RangeTable:
        """Frees the ranges of holders that can no longer serve them.

        A new incarnation of the same VM's target gets them immediately.
        """
        changes = []
        for key_range in table.ranges:
            if key_range.holder not in self._holders:
                continue
            if key_range.holder in self._ended_ids or self._is_forfeited(
                key_range
            ):
                changes.append(self._freed_range(key_range, balance))
        return table.with_ranges(changes) if changes else table

    def _freed_range(
        self, key_range: _KeyRange, balance: range_balance.Balance
    ) -> _KeyRange:
        vm = self._holders[key_range.holder].vm
        successor_ids = [
            c.incarnation_id for c in balance.candidates.values() if c.vm == vm
        ]
        if not successor_ids:
            return dataclasses.replace(
                key_range, holder=key_map_module.NO_HOLDER, token=""
            )
        return dataclasses.replace(
            key_range,
            holder=successor_ids[0],
            receiver=key_map_module.NO_HOLDER,
            generation=self._version,
            token="",
        )

    def _is_forfeited(self, key_range: _KeyRange) -> bool:
        target = self._target_of(key_range.holder)
        return (
            target is not None
            and target.life == key_range.holder
            and key_range.generation <= target.forfeited
        )

    def _complete_hand_overs(
        self, table: key_map_module.RangeTable, balance: range_balance.Balance
    ) -> key_map_module.RangeTable:
        """Assigns released ranges to their receivers."""
        changes = []
        for key_range in table.ranges:
            if key_range.receiver == key_map_module.NO_HOLDER:
                continue
            token = self._released_token(key_range)
            if token is None:
                continue
            receiver = (
                key_range.receiver
                if key_range.receiver in balance.candidates
                else ""
            )
            changes.append(
                dataclasses.replace(
                    key_range,
                    holder=receiver,
                    receiver=key_map_module.NO_HOLDER,
                    generation=self._version,
                    token=token,
                )
            )
        return table.with_ranges(changes) if changes else table

    def _released_token(self, key_range: _KeyRange) -> str | None:
        """Returns the hand-over token, None if the range is not released."""
        if key_range.holder == key_map_module.NO_HOLDER:
            return key_range.token
        target = self._target_of(key_range.holder)
        if target is None or target.life != key_range.holder:
            return None
        for released in target.given_back:
            covers = (
                released.first <= key_range.first
                and key_range.last <= released.last
            )
            if covers and released.generation == key_range.generation:
                return released.token
        return None

    def _reassign_draining(
        self,
        table: key_map_module.RangeTable,
        balance: range_balance.Balance,
    ) -> key_map_module.RangeTable:
        """Chooses receivers for the ranges of draining targets."""
        balance.update_loads(table)
        changes: list[_KeyRange] = []
        for key_range in table.ranges:
            holder_draining = key_range.holder != "" and self._is_draining(
                key_range.holder
            )
            receiver_lost = (
                key_range.receiver != ""
                and key_range.receiver not in balance.candidates
            )
            if key_range.receiver in balance.candidates or not (
                holder_draining or receiver_lost
            ):
                continue
            if receiver_lost and key_range.holder in balance.candidates:
                # Returns the range to its holder, which may have released it.
                changes.append(
                    dataclasses.replace(key_range, receiver=key_range.holder)
                )
                continue
            for piece, incarnation_id in balance.divide(
                key_range, table.neighbor_ids(key_range)
            ):
                changes.append(
                    dataclasses.replace(piece, receiver=incarnation_id)
                )
        return table.with_ranges(changes) if changes else table

    def _is_draining(self, incarnation_id: str) -> bool:
        holder = self._holders.get(incarnation_id)
        if holder is None:  # It gets its first keys in this decision.
            return False
        view = self._inputs.vm_views.get(holder.vm)
        if (
            view is None
            or view.target is None
            or view.target.life != incarnation_id
        ):
            return False
        draining = target_heartbeat.TargetState.DRAINING.value
        return view.target.state == draining or view.report.stopping

    def _assign_free_ranges(
        self,
        table: key_map_module.RangeTable,
        balance: range_balance.Balance,
    ) -> key_map_module.RangeTable:
        """Assigns free ranges to targets by their headroom."""
        table = table.with_free_ranges_joined()
        balance.update_loads(table)
        changes: list[_KeyRange] = []
        for key_range in table.ranges:
            if key_range.holder != key_map_module.NO_HOLDER:
                continue
            for piece, incarnation_id in balance.divide(
                key_range, table.neighbor_ids(key_range)
            ):
                changes.append(
                    dataclasses.replace(
                        piece,
                        holder=incarnation_id,
                        receiver=key_map_module.NO_HOLDER,
                        generation=self._version,
                    )
                )
        return table.with_ranges(changes) if changes else table

    def _add_holders(
        self,
        table: key_map_module.RangeTable,
        balance: range_balance.Balance,
        service: str,
    ) -> None:
        """Adds the holders and receivers that are new in the table."""
        for key_range in table.ranges:
            for incarnation_id in (key_range.holder, key_range.receiver):
                assignee = balance.candidates.get(incarnation_id)
                if assignee is not None and incarnation_id not in self._holders:
                    self._holders[incarnation_id] = key_map_module.Holder(
                        life=incarnation_id, vm=assignee.vm, service=service
                    )

    def drop_unused_holders(self) -> None:
        """Drops holders that neither hold nor receive a range."""
        used_ids = {
            incarnation_id
            for table in self._tables.values()
            for key_range in table.ranges
            for incarnation_id in (key_range.holder, key_range.receiver)
        }
        self._holders = {
            incarnation_id: holder
            for incarnation_id, holder in self._holders.items()
            if incarnation_id in used_ids
        }


def _born_ms(incarnation_id: str) -> int:
    """Returns the start time in an ID; see TargetHeartbeat.incarnation_id."""
    digits = incarnation_id.rpartition("@")[2]
    return int(digits) if digits.isascii() and digits.isdigit() else 0
