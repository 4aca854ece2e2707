"""Splits hot keys off their partitions and merges them back."""

from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import demand as demand_module
from primrosecross.ports import clock as clock_port

SPLIT_LOAD_SHARE = 0.10
MERGE_LOAD_SHARE = 0.04
MERGE_AFTER_MS = 60_000
MAX_KEY_SHARDS = 1024


def mean_member_load(
    demand: demand_module.Demand,
    table: assignment.OwnerTable,
    *,
    members: int,
) -> float:
    """Returns the mean load of the members, in requests per second."""
    weights = demand_module.Weights(
        demand, partitions=table.partitions, members=members
    )
    keys = weights.total(table.key_grants)
    return (weights.average * table.partitions + keys) / members


class HotKeys:
    """Splits off hot keys of one service and merges cooled ones.

    A key is split off once its rate reaches SPLIT_LOAD_SHARE of the mean
    member load. It is merged only after its rate stayed at or below
    MERGE_LOAD_SHARE for MERGE_AFTER_MS.

    Args:
        clock: Clock for the time a key has been cool.
    """

    def __init__(self, *, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._cool_since_ns: dict[int, int] = {}

    def update_key_shards(
        self,
        table: assignment.OwnerTable,
        demand: demand_module.Demand,
        *,
        mean_member_load: float,
        version: int,
    ) -> int:
        """Splits and merges key shards; returns the number of changes.

        Args:
            table: Owners of the service; modified in place.
            demand: Reported rates; modified in place.
            mean_member_load: Mean load of the members, in requests per second.
            version: Version that the table will be written with.
        """
        changed = _split_pinned(table)
        for key_shard in demand.hot_keys():
            rate = demand.rate_of(key_shard) or 0.0
            if rate < SPLIT_LOAD_SHARE * mean_member_load:
                break
            if _can_split(table, key_shard):
                demand.split_key(key_shard, table.parent_partition(key_shard))
                table.split_key(key_shard)
                changed += 1
        cool_rate = MERGE_LOAD_SHARE * mean_member_load
        for key_shard in list(table.key_grants):
            if self._is_cool(table, demand, key_shard, cool_rate):
                changed += _merge_back(table, demand, key_shard, version)
        return changed

    def _is_cool(
        self,
        table: assignment.OwnerTable,
        demand: demand_module.Demand,
        key_shard: int,
        cool_rate: float,
    ) -> bool:
        if (demand.rate_of(key_shard) or 0.0) > cool_rate or (
            key_shard in table.pins
        ):
            self._cool_since_ns.pop(key_shard, None)
            return False
        now_ns = self._clock.now_ns()
        since_ns = self._cool_since_ns.setdefault(key_shard, now_ns)
        return now_ns - since_ns >= MERGE_AFTER_MS * lease_module.NS_PER_MS


def _split_pinned(table: assignment.OwnerTable) -> int:
    splittable = [s for s in table.pins if _can_split(table, s)]
    for key_shard in splittable:
        table.split_key(key_shard)
    return len(splittable)


def _can_split(table: assignment.OwnerTable, key_shard: int) -> bool:
    """Returns whether a key can be split from its partition now.

    It cannot during a hand-over of the partition: the owner has stopped
    serving the partition and may release it at any moment.
    """
    partition = table.parent_partition(key_shard)
    return (
        key_shard not in table.key_grants
        and len(table.key_grants) < MAX_KEY_SHARDS
        and partition not in table.moves
        and bool(table.grant_of(partition).vm)
    )


def _merge_back(
    table: assignment.OwnerTable,
    demand: demand_module.Demand,
    key_shard: int,
    version: int,
) -> int:
    """Merges a key shard, or first moves it to its partition's owner."""
    partition = table.parent_partition(key_shard)
    if key_shard in table.moves or partition in table.moves:
        return 0
    owner = table.grant_of(partition).vm
    if table.grant_of(key_shard).vm == owner:
        demand.merge_key(key_shard, partition)
        table.merge_key(key_shard, version)
    else:
        table.moves[key_shard] = owner
    return 1
