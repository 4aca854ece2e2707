"""A coordinator's decisions on a fleet whose targets release at once."""

import collections
from collections.abc import Callable

from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.ownership import key_load
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import range_balance
from primrosecross.domain.ownership import range_decisions
from tests import fleet_fakes

SLOTS = 10  # of fleet_fakes.target


class Fleet:
    """Targets "i-0@1000" and so on, one on each VM, and their key map.

    Args:
        ranges: All key ranges.
        live: Number of targets that report; they are the first ones.
        load: Request rates by key, None if there are none.
        typical_ms: Returns the time that a target takes for a request.
    """

    def __init__(
        self,
        ranges: list[key_map.KeyRange],
        *,
        live: int,
        load: key_load.KeyLoad | None,
        typical_ms: Callable[[], int] = lambda: 100,
    ) -> None:
        self.load = load
        self.live = [f"i-{n}@1000" for n in range(live)]
        self._lost: set[str] = set()
        self._typical_ms = {life: typical_ms() for life in self.live}
        held_by = {r.holder for r in ranges} | {r.receiver for r in ranges}
        vms = {life: _vm(life) for life in held_by if life}
        self.map = fleet_fakes.make_map(
            *ranges, version=max(r.generation for r in ranges) + 1, vms=vms
        )

    @property
    def table(self) -> key_map.RangeTable:
        """Key ranges of the only service."""
        return self.map.tables["desk"]

    def lose(self, life: str) -> None:
        """Loses the VM of a target, whose revocation is over at once."""
        self.live.remove(life)
        self._lost.add(life)

    def restore_all(self) -> None:
        """Brings all lost VMs back, with targets that hold no keys."""
        self.live += sorted(self._lost)
        self._lost.clear()

    def decide(self) -> bool:
        """Decides once; returns whether anything changed."""
        lost = {
            life for life in self.map.holders if life not in self.live
        } | self._lost
        new_map = range_decisions.decide(
            self.map,
            fleet_fakes.decision_inputs(
                *(
                    fleet_fakes.vm_view(_vm(life), self._report(life))
                    for life in self.live
                ),
                loads={} if self.load is None else {"desk": self.load},
                expired_ids=frozenset(lost),
                movable_version=self.map.version,
            ),
        )
        if new_map is None:
            return False
        self.map = new_map
        return True

    def _report(self, life: str) -> fleet_messages.TargetReport:
        return fleet_fakes.target(
            life,
            typical_ms=self._typical_ms[life],
            given_back=tuple(
                fleet_messages.GivenBack(r.first, r.last, r.generation, "t")
                for r in self.table.held_by(life)
                if r.receiver
            ),
        )

    def settle(
        self,
        max_decisions: int = 400,
        on_change: Callable[[key_map.RangeTable], None] = lambda table: None,
    ) -> int:
        """Decides until nothing changes; returns the number of moves.

        Raises:
            AssertionError: It still changes after max_decisions.
        """
        moves = 0
        for _ in range(max_decisions):
            if not self.decide():
                return moves
            on_change(self.table)
            moves += sum(r.receiver != "" for r in self.table.ranges)
        raise AssertionError(f"not settled after {max_decisions} decisions")

    def owners(self) -> set[str]:
        """Returns the targets that hold keys."""
        return {r.holder for r in self.table.ranges}

    def range_counts(self) -> dict[str, int]:
        """Returns how many ranges each target holds."""
        return dict(collections.Counter(r.holder for r in self.table.ranges))

    def balance(self) -> range_balance.Balance:
        """Returns the targets with the load of what they hold."""
        balance = range_balance.Balance(
            candidates=[
                range_balance.Candidate(
                    life, _vm(life), SLOTS * 1000 / self._typical_ms[life]
                )
                for life in self.live
            ],
            load=self.load,
            movable_version=self.map.version,
        )
        balance.update_loads(self.table)
        return balance

    def utilizations(self) -> list[float]:
        """Returns the utilization of each live target."""
        return [c.utilization for c in self.balance().candidates.values()]

    def mean(self) -> float:
        """Returns the load of all keys by the capacity of all live targets."""
        targets = self.balance().candidates.values()
        return sum(t.load for t in targets) / sum(t.capacity for t in targets)


def _vm(life: str) -> str:
    return f"vm-{life.partition('@')[0]}"
