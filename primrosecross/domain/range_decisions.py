"""Decides who holds which keys; pure, from reports and loads.

A range changes hands in one of three ways: its holder is told to let go and
reports the release; the daemon beside the holder says that this life is over
or that all it was granted has run out; or the intent to revoke has stood in
the store for as long as any grant can last.
"""

import dataclasses

from primrosecross.domain import check_in
from primrosecross.domain import fleet_messages
from primrosecross.domain import key_load
from primrosecross.domain import key_map as key_map_module

BALANCE_SLACK = 0.3  # of a mean target's fill, before keys are moved
BALANCE_MIN_FILL = 0.7  # below that a target refuses nothing
MAX_MOVES = 4  # at once, for each service
MAX_ROWS = 48  # for each target, so that its answers stay small
WIDTH_WEIGHT = 0.15  # share of the load that is spread over all keys alike
DEFAULT_TYPICAL_MS = 100
MIN_PIECE_SHARE = 0.1
_READY = check_in.TargetState.READY.value
_KeyRange = key_map_module.KeyRange
_State = key_map_module.HolderState


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What the coordinator knows of one VM.

    Attributes:
        report: Its last report.
        lost: Whether its daemon has been silent for long.
        settled: Whether its daemon has run long enough to know its target.
    """

    report: fleet_messages.Sync
    lost: bool
    settled: bool

    @property
    def target(self) -> fleet_messages.TargetReport | None:
        """The target beside the daemon."""
        return self.report.targets[0] if self.report.targets else None


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What is decided from.

    Attributes:
        seen: VMs by name.
        keyed_services: Services whose targets hold keys.
        loads: Requests by key, by service.
        expired: Lives whose revocation has waited long enough.
        may_begin: Whether services without any holder may be divided.
        settled_version: Version of the map up to which ranges have been long
            enough with their holders to be moved for balance.
    """

    seen: dict[str, Seen]
    keyed_services: tuple[str, ...]
    loads: dict[str, key_load.KeyLoad]
    expired: frozenset[str]
    may_begin: bool
    settled_version: int


@dataclasses.dataclass(slots=True)
class _Able:
    """A target that may get keys.

    Attributes:
        capacity: Requests a second that it can run.
        load: Requests a second of its keys.
        rows: Ranges that it holds or will get.
    """

    life: str
    vm: str
    capacity: float
    load: float = 0.0
    rows: int = 0

    @property
    def fill(self) -> float:
        """Load as a share of the capacity."""
        return self.load / self.capacity


def decide(
    current: key_map_module.KeyMap, situation: Situation
) -> key_map_module.KeyMap | None:
    """Returns the next version of the map, None if nothing changes."""
    draft = _Draft(current, situation)
    draft.update_holders()
    for service in situation.keyed_services:
        draft.settle(service)
    draft.forget_holders()
    return draft.result()


class _Draft:
    """A version of the map in the making."""

    def __init__(
        self, current: key_map_module.KeyMap, situation: Situation
    ) -> None:
        self._current = current
        self._situation = situation
        self._version = current.version + 1
        self._holders = dict(current.holders)
        self._tables = dict(current.tables)
        self._over = frozenset(
            life for life in self._holders if self._is_over(life)
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

    def _target_of(self, life: str) -> fleet_messages.TargetReport | None:
        """Returns the report of the target beside a holder's daemon."""
        seen = self._situation.seen.get(self._holders[life].vm)
        return None if seen is None else seen.target

    def _is_over(self, life: str) -> bool:
        """Tells whether a life has ended, or its revocation is complete."""
        if life in self._situation.expired:
            return True
        target = self._target_of(life)
        return (
            target is not None
            and target.life != life
            and target.born_ms > _born_ms(life)
        )

    def update_holders(self) -> None:
        """Begins revocations, and calls off those of lives that are back."""
        for life, holder in self._holders.items():
            if life in self._over:
                continue
            wanted = _State.REVOKING if self._is_away(life) else _State.ACTIVE
            if wanted is not holder.state:
                self._holders[life] = dataclasses.replace(
                    holder, state=wanted, since=self._version
                )

    def _is_away(self, life: str) -> bool:
        seen = self._situation.seen.get(self._holders[life].vm)
        if seen is None or seen.lost:
            return True
        target = seen.target
        if target is None or target.life != life:
            return seen.settled
        return target.state == check_in.TargetState.SILENT.value

    def settle(self, service: str) -> None:
        """Frees, hands over, gives out and balances one service's keys."""
        able = self._able(service)
        table = self._tables.get(service)
        if table is None:
            if not able or not self._situation.may_begin:
                return
            table = key_map_module.RangeTable.free()
        table = self._free(table, able)
        table = self._hand_over(table, able)
        table = self._empty_leaving(table, able, service)
        table = self._give_out(table, able, service)
        table = self._balance(table, able, service)
        self._tables[service] = table
        self._name_holders(table, able, service)

    def _able(self, service: str) -> dict[str, _Able]:
        found = {}
        for vm, seen in self._situation.seen.items():
            target = seen.target
            if target is None or seen.lost or seen.report.stopping:
                continue
            if target.service != service or target.state != _READY:
                continue
            typical_ms = target.typical_ms or DEFAULT_TYPICAL_MS
            capacity = max(1, target.slots) * 1000.0 / typical_ms
            found[target.life] = _Able(target.life, vm, capacity)
        return found

    def _free(
        self, table: key_map_module.RangeTable, able: dict[str, _Able]
    ) -> key_map_module.RangeTable:
        """Frees the ranges of lives that can hold them no more.

        The next life of the same target gets them back at once.
        """
        changes = []
        for held in table.ranges:
            if held.holder not in self._holders:
                continue
            if held.holder in self._over or self._is_forfeited(held):
                changes.append(self._freed(held, able))
        return table.replaced(changes) if changes else table

    def _freed(self, held: _KeyRange, able: dict[str, _Able]) -> _KeyRange:
        vm = self._holders[held.holder].vm
        heirs = [a.life for a in able.values() if a.vm == vm]
        if not heirs:
            return dataclasses.replace(
                held, holder=key_map_module.NO_ONE, token=""
            )
        return dataclasses.replace(
            held,
            holder=heirs[0],
            receiver=key_map_module.NO_ONE,
            generation=self._version,
            token="",
        )

    def _is_forfeited(self, held: _KeyRange) -> bool:
        target = self._target_of(held.holder)
        return (
            target is not None
            and target.life == held.holder
            and held.generation <= target.forfeited
        )

    def _hand_over(
        self, table: key_map_module.RangeTable, able: dict[str, _Able]
    ) -> key_map_module.RangeTable:
        """Gives what was released to its receiver."""
        changes = []
        for held in table.ranges:
            if held.receiver == key_map_module.NO_ONE:
                continue
            token = self._released_token(held)
            if token is None:
                continue
            receiver = held.receiver if held.receiver in able else ""
            changes.append(
                dataclasses.replace(
                    held,
                    holder=receiver,
                    receiver=key_map_module.NO_ONE,
                    generation=self._version,
                    token=token,
                )
            )
        return table.replaced(changes) if changes else table

    def _released_token(self, held: _KeyRange) -> str | None:
        """Returns the token of a release, None if there was none yet."""
        if held.holder == key_map_module.NO_ONE:
            return held.token
        target = self._target_of(held.holder)
        if target is None or target.life != held.holder:
            return None
        for back in target.given_back:
            covers = back.first <= held.first and held.last <= back.last
            if covers and back.generation == held.generation:
                return back.token
        return None

    def _empty_leaving(
        self,
        table: key_map_module.RangeTable,
        able: dict[str, _Able],
        service: str,
    ) -> key_map_module.RangeTable:
        """Finds receivers for the keys of targets that leave."""
        if not able:
            return table
        self._measure(table, able, service)
        changes: list[_KeyRange] = []
        for held in table.ranges:
            leaving = held.holder != "" and self._leaves(held.holder)
            stranded = held.receiver != "" and held.receiver not in able
            if held.receiver in able or not (leaving or stranded):
                continue
            if stranded and held.holder in able:
                # Its holder may have let go already and gets it anew.
                changes.append(dataclasses.replace(held, receiver=held.holder))
                continue
            for piece, life in self._divide(held, able, service):
                changes.append(dataclasses.replace(piece, receiver=life))
        return table.replaced(changes) if changes else table

    def _leaves(self, life: str) -> bool:
        holder = self._holders.get(life)
        if holder is None:  # It was given keys in this very decision.
            return False
        seen = self._situation.seen.get(holder.vm)
        if seen is None or seen.target is None or seen.target.life != life:
            return False
        draining = check_in.TargetState.DRAINING.value
        return seen.target.state == draining or seen.report.stopping

    def _give_out(
        self,
        table: key_map_module.RangeTable,
        able: dict[str, _Able],
        service: str,
    ) -> key_map_module.RangeTable:
        """Gives free ranges to targets that have room."""
        if not able:
            return table
        self._measure(table, able, service)
        changes: list[_KeyRange] = []
        for held in table.ranges:
            if held.holder != key_map_module.NO_ONE:
                continue
            for piece, life in self._divide(held, able, service):
                changes.append(
                    dataclasses.replace(
                        piece,
                        holder=life,
                        receiver=key_map_module.NO_ONE,
                        generation=self._version,
                    )
                )
        return table.replaced(changes) if changes else table

    def _weight(self, service: str, first: int, last: int) -> float:
        """Returns the load of keys, part of it spread over all alike."""
        load = self._situation.loads.get(service)
        if load is None:
            return (last - first + 1) / (key_map_module.LAST_KEY + 1)
        spread = max(load.total(), 1.0) * WIDTH_WEIGHT
        width = (last - first + 1) / (key_map_module.LAST_KEY + 1)
        return load.between(first, last) + spread * width

    def _measure(
        self,
        table: key_map_module.RangeTable,
        able: dict[str, _Able],
        service: str,
    ) -> None:
        for one in able.values():
            one.load = 0.0
            one.rows = 0
        for held in table.ranges:
            owner = able.get(held.receiver or held.holder)
            if owner is not None:
                owner.load += self._weight(service, held.first, held.last)
                owner.rows += 1

    def _divide(
        self, free: _KeyRange, able: dict[str, _Able], service: str
    ) -> list[tuple[_KeyRange, str]]:
        """Divides a range over targets, by the room that each has left."""
        total = sum(a.load for a in able.values())
        total += self._weight(service, free.first, free.last)
        mean = total / sum(a.capacity for a in able.values())
        pieces: list[tuple[_KeyRange, str]] = []
        first = free.first
        while first <= free.last:
            taker = max(able.values(), key=lambda a: mean * a.capacity - a.load)
            room = mean * taker.capacity - taker.load
            last = self._cut_at(service, first, free.last, room)
            weight = self._weight(service, first, last)
            rest = self._weight(service, last + 1, free.last)
            if rest < MIN_PIECE_SHARE * mean * taker.capacity:
                weight += rest
                last = free.last
            pieces.append((free.cut(first, last), taker.life))
            taker.load += weight
            taker.rows += 1
            first = last + 1
        return pieces

    def _cut_at(self, service: str, first: int, last: int, room: float) -> int:
        """Returns the key up to which a range weighs no more than the room."""
        low, high = first, last
        while low < high:
            middle = (low + high + 1) // 2
            if self._weight(service, first, middle) <= room:
                low = middle
            else:
                high = middle - 1
        return low

    def _balance(
        self,
        table: key_map_module.RangeTable,
        able: dict[str, _Able],
        service: str,
    ) -> key_map_module.RangeTable:
        """Moves busy keys from the fullest target to the emptiest."""
        load = self._situation.loads.get(service)
        if load is None or len(able) < 2:
            return table
        moving = sum(r.receiver != "" for r in table.ranges)
        while moving < MAX_MOVES:
            self._measure(table, able, service)
            change = self._next_move(table, able, load, service)
            if change is None:
                break
            table = table.replaced([change])
            moving += 1
        return table

    def _next_move(
        self,
        table: key_map_module.RangeTable,
        able: dict[str, _Able],
        load: key_load.KeyLoad,
        service: str,
    ) -> _KeyRange | None:
        mean = sum(a.load for a in able.values()) / sum(
            a.capacity for a in able.values()
        )
        full = max(able.values(), key=lambda a: a.fill)
        empty = min(able.values(), key=lambda a: a.fill)
        idle = empty.rows == 0 and full.rows > 0
        if not idle and (
            full.fill < BALANCE_MIN_FILL
            or full.fill - mean < BALANCE_SLACK * mean
            or full.fill - empty.fill < 2 * BALANCE_SLACK * mean
        ):
            return None
        if empty.rows >= MAX_ROWS or full.rows >= MAX_ROWS:
            return None
        excess = (full.fill - mean) * full.capacity
        room = (mean - empty.fill) * empty.capacity
        at_most = min(max(excess, room / 2 if idle else 0.0), room)
        return self._best_slice(table, full, empty, load, at_most, service)

    def _best_slice(
        self,
        table: key_map_module.RangeTable,
        full: _Able,
        empty: _Able,
        load: key_load.KeyLoad,
        at_most: float,
        service: str,
    ) -> _KeyRange | None:
        """Returns the fewest keys that carry about the load to be moved."""
        best: tuple[float, _KeyRange] | None = None
        for held in table.held_by(full.life):
            moving = held.receiver != key_map_module.NO_ONE
            if moving or held.generation > self._situation.settled_version:
                continue
            found = load.densest(held.first, held.last, at_most=at_most)
            if found is None:
                continue
            first, last, rate = found
            if rate < 0.2 * at_most:
                continue
            worth = rate / (last - first + 64)
            if best is None or worth > best[0]:
                piece = held.cut(first, last)
                best = (worth, dataclasses.replace(piece, receiver=empty.life))
        if best is not None or empty.rows:
            return None if best is None else best[1]
        return self._any_slice(table, full, empty, at_most, service)

    def _any_slice(
        self,
        table: key_map_module.RangeTable,
        full: _Able,
        empty: _Able,
        at_most: float,
        service: str,
    ) -> _KeyRange | None:
        """Returns keys without much load for a target that has none."""
        held = [r for r in table.held_by(full.life) if not r.receiver]
        if not held:
            return None
        widest = max(held, key=lambda r: r.size)
        last = self._cut_at(service, widest.first, widest.last, at_most)
        piece = widest.cut(widest.first, last)
        return dataclasses.replace(piece, receiver=empty.life)

    def _name_holders(
        self,
        table: key_map_module.RangeTable,
        able: dict[str, _Able],
        service: str,
    ) -> None:
        """Adds the lives that the table now names."""
        for held in table.ranges:
            for life in (held.holder, held.receiver):
                if life in able and life not in self._holders:
                    self._holders[life] = key_map_module.Holder(
                        life=life, vm=able[life].vm, service=service
                    )

    def forget_holders(self) -> None:
        """Drops lives that hold nothing and get nothing."""
        named = {
            life
            for table in self._tables.values()
            for held in table.ranges
            for life in (held.holder, held.receiver)
        }
        self._holders = {
            life: holder
            for life, holder in self._holders.items()
            if life in named
        }


def _born_ms(life: str) -> int:
    """Returns when a life began; see check_in.CheckIn.life."""
    digits = life.rpartition("@")[2]
    return int(digits) if digits.isdigit() else 0
