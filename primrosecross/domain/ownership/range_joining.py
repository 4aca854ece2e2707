"""Joins neighboring key ranges, so that no target has too many.

Neighboring ranges of one holder become one, under the version of the map that
joins them as generation. It is above all with which any target had one of the
keys, as a new holder's would be, and any later holder's is above it. The holder
takes the joined range as a grant of what it has and keeps its keys meanwhile.
"""

import dataclasses

from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.ownership import range_balance

JOIN_ABOVE_RANGES = 24  # a target with fewer keeps its generations
GATHER_ABOVE_RANGES = 32
GATHER_MARGIN_RANGES = 2  # below the limit, for the parts of a cut range
_Balance = range_balance.Balance
_Candidate = range_balance.Candidate
_KeyRange = key_map_module.KeyRange
_Table = key_map_module.RangeTable


def join_neighbors(table: _Table, balance: _Balance, version: int) -> _Table:
    """Joins neighboring ranges of targets that have many ranges.

    Args:
        table: All ranges.
        balance: Targets that may get keys.
        version: Version of the map that is being decided.
    """
    balance.update_loads(table)
    joined: list[_KeyRange] = []
    for key_range in table.ranges:
        if joined and _may_join(joined[-1], key_range, balance):
            joined[-1] = dataclasses.replace(
                joined[-1], last=key_range.last, generation=version, token=""
            )
        else:
            joined.append(key_range)
    return table if len(joined) == len(table.ranges) else _Table(joined)


def _may_join(left: _KeyRange, right: _KeyRange, balance: _Balance) -> bool:
    holder = balance.candidates.get(left.holder)
    return (
        holder is not None
        and left.holder == right.holder
        and left.receiver == right.receiver == key_map_module.NO_HOLDER
        and holder.range_count > JOIN_ABOVE_RANGES
        and _is_joinable(left, balance, holder)
        and _is_joinable(right, balance, holder)
    )


def _is_joinable(
    key_range: _KeyRange, balance: _Balance, holder: _Candidate
) -> bool:
    """Returns whether a range may lose its hand-over token.

    Its holder has used it, or has more ranges than can surely be granted.
    """
    return (
        not key_range.token
        or balance.is_movable(key_range)
        or holder.range_count > range_balance.MAX_RANGES_PER_TARGET
    )


def gather(table: _Table, balance: _Balance) -> _Table:
    """Moves ranges with little load to the holders of the ranges beside them.

    Each of these moves lowers the number of ranges: what is moved is joined
    with what the receiver has. Targets over the limit give up all that they
    have too many at once, others as many as may move at a time.
    """
    balance.update_loads(table)
    moving = sum(r.receiver != "" for r in table.ranges)
    exhausted_ids: set[str] = set()
    while True:
        sources = [
            c
            for c in balance.candidates.values()
            if c.range_count > GATHER_ABOVE_RANGES
            and c.incarnation_id not in exhausted_ids
        ]
        source = max(sources, key=lambda c: c.range_count, default=None)
        if source is None or (
            source.range_count <= range_balance.MAX_RANGES_PER_TARGET
            and moving >= balance.max_moves
        ):
            return table
        change = _range_to_gather(table, balance, source)
        if change is None:
            exhausted_ids.add(source.incarnation_id)
            continue
        balance.record_move(table, source, change)
        table = table.with_ranges([change])
        moving += 1


def _range_to_gather(
    table: _Table, balance: _Balance, source: _Candidate
) -> _KeyRange | None:
    """Returns the range with the least load that may move to a neighbor."""
    limit = range_balance.MAX_RANGES_PER_TARGET - GATHER_MARGIN_RANGES
    must_give = source.range_count > limit
    best: tuple[float, _KeyRange] | None = None
    for key_range in table.held_by(source.incarnation_id):
        if key_range.receiver or not balance.is_movable(key_range):
            continue
        load = balance.load_of(key_range)
        if best is not None and load >= best[0]:
            continue
        receivers = [
            balance.candidates[i]
            for i in table.neighbor_ids(key_range)
            if i in balance.candidates and i != source.incarnation_id
        ]
        receiver = min(receivers, key=lambda c: c.utilization, default=None)
        if receiver is not None and (
            must_give or balance.stays_even(receiver, load)
        ):
            best = (
                load,
                dataclasses.replace(
                    key_range, receiver=receiver.incarnation_id
                ),
            )
    return None if best is None else best[1]
