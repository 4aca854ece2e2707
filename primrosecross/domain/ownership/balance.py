"""Assigns shards to owners by slots, observed load and operators' pins."""

import dataclasses

from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import member_messages
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import demand as demand_module
from primrosecross.domain.ownership import hot_keys
from primrosecross.domain.ownership import shares as shares_module
from primrosecross.ports import clock as clock_port

KEY_HASH_MASK = assignment.KEY_SHARD_BIT - 1
REBALANCE_START_BAND = 0.10  # share of the mean load per slot
REBALANCE_STOP_BAND = 0.04  # share of the mean load per slot
MOVE_COOLDOWN_MS = 30_000
RECHECK_INTERVAL_MS = 5000
MIN_MOVE_LIMIT = 16  # concurrent moves per service
PARTITIONS_PER_MOVE = 32


@dataclasses.dataclass(slots=True)
class _ServiceContext:
    """One service in one balancing round."""

    service: str
    table: assignment.OwnerTable
    members: dict[str, assignment.Member]
    shares: shares_module.Shares
    weights: demand_module.Weights
    version: int

    def plan_move(self, shard: int, receiver: str) -> None:
        self.table.moves[shard] = receiver


class Balancer:
    """Decides which member owns each shard and which shards move.

    Args:
        clock: Clock for the cooldown between moves of a shard.
    """

    def __init__(self, *, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._demand: dict[str, demand_module.Demand] = {}
        self._hot_keys: dict[str, hot_keys.HotKeys] = {}
        self._last_moved_ns: dict[tuple[str, int], int] = {}
        self._rebalancing: set[str] = set()
        self._mean_member_loads: dict[str, float] = {}
        self._next_check_ns = 0
        self._plan_version = -1

    def is_due(self, plan_version: int) -> bool:
        """Returns whether to check owners even if no member changed.

        It is due for a new plan version, after a key was reported hot, and
        every RECHECK_INTERVAL_MS for slower changes of load.
        """
        now_ns = self._clock.now_ns()
        if plan_version == self._plan_version and now_ns < self._next_check_ns:
            return False
        self._plan_version = plan_version
        self._next_check_ns = (
            now_ns + RECHECK_INTERVAL_MS * lease_module.NS_PER_MS
        )
        return True

    def demand_of(self, service: str) -> demand_module.Demand:
        """Returns the reported load of a service."""
        return self._demand.setdefault(service, demand_module.Demand())

    def record_report(
        self, report: member_messages.LoadReport, current: assignment.Assignment
    ) -> bool:
        """Records an owner's load report; returns whether it names a hot key.

        Rates of shards that the sender no longer owns are ignored.
        """
        table = current.tables.get(report.service)
        if table is None:
            return False
        demand = self.demand_of(report.service)
        has_hot_key = False
        for shard, rate in zip(report.shards, report.rates, strict=False):
            if not shard & assignment.KEY_SHARD_BIT:
                if table.grant_of(shard).vm == report.vm:
                    demand.record(shard, rate)
                continue
            owner = table.grant_of(table.shard_of_hash(shard & KEY_HASH_MASK))
            if owner.vm != report.vm:
                continue
            if rate or shard in table.key_grants:
                demand.record(shard, rate)
                has_hot_key = has_hot_key or shard not in table.key_grants
            else:
                demand.forget(shard)
        if has_hot_key:
            self._next_check_ns = 0
        return has_hot_key

    def assign(
        self, service: plan.Service, draft: assignment.Assignment
    ) -> int:
        """Assigns unowned shards to members and plans moves.

        Args:
            service: The keyed service.
            draft: The next assignment, modified in place; its version is the
                one it is written with.

        Returns:
            Number of changes made.
        """
        table = draft.tables.get(service.name)
        if table is None:
            table = assignment.OwnerTable.empty(
                service.name, service.partitions
            )
            draft.tables[service.name] = table
        slots_by_vm = {
            m.vm: m.slots_for(service.name)
            for m in draft.members.values()
            if m.state is assignment.MemberState.ACTIVE
            and m.offers_service(service.name)
        }
        if not slots_by_vm:
            return 0
        changed = self._update_key_shards(
            service.name, table, slots_by_vm, draft
        )
        context = self._make_context(service.name, table, slots_by_vm, draft)
        changed += _assign_unowned(context)
        changed += _plan_evacuations(context)
        changed += _plan_pinned(context)
        return changed + self._rebalance(context)

    def _update_key_shards(
        self,
        service: str,
        table: assignment.OwnerTable,
        slots_by_vm: dict[str, int],
        draft: assignment.Assignment,
    ) -> int:
        service_hot_keys = self._hot_keys.setdefault(
            service, hot_keys.HotKeys(clock=self._clock)
        )
        demand = self.demand_of(service)
        mean_load = hot_keys.mean_member_load(
            demand, table, members=len(slots_by_vm)
        )
        self._mean_member_loads[service] = mean_load
        return service_hot_keys.update_key_shards(
            table, demand, mean_member_load=mean_load, version=draft.version
        )

    def hot_rate(self, service: str) -> float:
        """Returns the key rate from which owners report a key as hot.

        In requests per second; 0 while the mean member load is not known.
        """
        return hot_keys.SPLIT_LOAD_SHARE * self._mean_member_loads.get(
            service, 0.0
        )

    def _make_context(
        self,
        service: str,
        table: assignment.OwnerTable,
        slots_by_vm: dict[str, int],
        draft: assignment.Assignment,
    ) -> _ServiceContext:
        weights = demand_module.Weights(
            self.demand_of(service),
            partitions=table.partitions,
            members=len(slots_by_vm),
        )
        shares = {
            vm: shares_module.Share(vm, slots)
            for vm, slots in slots_by_vm.items()
        }
        for vm, shards in table.shards_by_vm().items():
            for shard in shards:
                move = table.moves.get(shard)
                share = shares.get(move or vm)
                if share is not None:
                    share.add(shard, weights.weight_of(shard))
        return _ServiceContext(
            service=service,
            table=table,
            members=draft.members,
            shares=shares_module.Shares(shares.values()),
            weights=weights,
            version=draft.version,
        )

    def _rebalance(self, context: _ServiceContext) -> int:
        """Moves shards from the most to the least loaded member.

        Starts when a member is outside REBALANCE_START_BAND around the mean
        load per slot and continues until all are within the narrower
        REBALANCE_STOP_BAND.
        """
        max_moves = max(
            MIN_MOVE_LIMIT, context.table.partitions // PARTITIONS_PER_MOVE
        )
        move_budget = max_moves - len(context.table.moves)
        mean = context.shares.mean_load_per_slot
        rebalancing = context.service in self._rebalancing
        band = REBALANCE_STOP_BAND if rebalancing else REBALANCE_START_BAND
        self._rebalancing.discard(context.service)
        planned = 0
        while planned < move_budget:
            donor = context.shares.most_loaded()
            recipient = context.shares.least_loaded()
            if donor is None or _is_balanced(
                donor.load_per_slot, recipient.load_per_slot, mean, band
            ):
                return planned
            band = REBALANCE_STOP_BAND
            shard = self._pick_shard(context, donor, recipient, mean)
            if shard is None:
                context.shares.exclude(donor)
                continue
            context.shares.move_shard(
                donor, recipient, shard, context.weights.weight_of(shard)
            )
            context.plan_move(shard, recipient.vm)
            self._last_moved_ns[context.service, shard] = self._clock.now_ns()
            self._rebalancing.add(context.service)
            planned += 1
        self._rebalancing.add(context.service)
        return planned

    def _pick_shard(
        self,
        context: _ServiceContext,
        donor: shares_module.Share,
        recipient: shares_module.Share,
        mean: float,
    ) -> int | None:
        """Returns the best shard for the donor to hand over, None if none fits.

        Prefers the shard whose weight is closest to the excess of the donor.
        No move may leave the recipient with a higher load per slot than the
        donor.
        """
        total_capacity = donor.capacity + recipient.capacity
        max_weight = (
            donor.load * recipient.capacity - recipient.load * donor.capacity
        )
        max_weight /= total_capacity
        excess = donor.load - mean * donor.capacity
        ideal_weight = min(max_weight, max(excess, context.weights.average))
        best = None
        best_distance = 0.0
        for shard in donor.shards:
            weight = context.weights.weight_of(shard)
            distance = abs(weight - ideal_weight)
            if not 0 < weight <= max_weight or not self._is_movable(
                context, shard
            ):
                continue
            if best is None or distance < best_distance:
                best, best_distance = shard, distance
        return best

    def _is_movable(self, context: _ServiceContext, shard: int) -> bool:
        if shard in context.table.moves or shard in context.table.pins:
            return False
        last_moved_ns = self._last_moved_ns.get((context.service, shard))
        if last_moved_ns is None:
            return True
        since_move_ns = self._clock.now_ns() - last_moved_ns
        if since_move_ns < MOVE_COOLDOWN_MS * lease_module.NS_PER_MS:
            return False
        del self._last_moved_ns[context.service, shard]
        return True


def _is_balanced(
    donor: float, recipient: float, mean: float, band: float
) -> bool:
    return donor <= mean * (1 + band) and recipient >= mean * (1 - band)


def _assign_unowned(context: _ServiceContext) -> int:
    shards_by_vm = context.table.shards_by_vm()
    unowned = [
        shard
        for vm, shards in shards_by_vm.items()
        if vm not in context.members
        for shard in shards
    ]
    for shard in sorted(unowned):
        share = context.shares.least_loaded()
        context.shares.add_shard(share, shard, context.weights.weight_of(shard))
        context.table.set_owner(shard, share.vm, context.version)
    return len(unowned)


def _plan_evacuations(context: _ServiceContext) -> int:
    """Plans moves away from members that may no longer own shards."""
    planned = _replan_ineligible_moves(context)
    for vm, shards in context.table.shards_by_vm().items():
        member = context.members.get(vm)
        if member is None or vm in context.shares.by_vm:
            continue
        if member.state is assignment.MemberState.REVOKING:
            continue
        for shard in sorted(shards - context.table.moves.keys()):
            share = context.shares.least_loaded()
            context.shares.add_shard(
                share, shard, context.weights.weight_of(shard)
            )
            context.plan_move(shard, share.vm)
            planned += 1
    return planned


def _replan_ineligible_moves(context: _ServiceContext) -> int:
    """Replaces receivers that may no longer own shards, or cancels the move."""
    changed = 0
    for shard, receiver in list(context.table.moves.items()):
        if receiver in context.shares.by_vm:
            continue
        owner = context.table.grant_of(shard).vm
        changed += 1
        if owner in context.shares.by_vm:
            del context.table.moves[shard]
            share = context.shares.by_vm[owner]
        else:
            share = context.shares.least_loaded()
            context.plan_move(shard, share.vm)
        context.shares.add_shard(share, shard, context.weights.weight_of(shard))
    return changed


def _plan_pinned(context: _ServiceContext) -> int:
    planned = 0
    for shard, vm in context.table.pins.items():
        owner = context.table.grant_of(shard).vm
        if (
            shard not in context.table.key_grants
            or shard in context.table.moves
        ):
            continue
        if owner == vm or vm not in context.shares.by_vm:
            continue
        if owner not in context.shares.by_vm:
            continue
        weight = context.weights.weight_of(shard)
        shares = context.shares.by_vm
        context.shares.move_shard(shares[owner], shares[vm], shard, weight)
        context.plan_move(shard, vm)
        planned += 1
    return planned
