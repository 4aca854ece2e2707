"""Chooses owners for shards and witnesses for members."""

import dataclasses

import xxhash

from primrosecross.domain import assignment
from primrosecross.domain import plan


def choose_witnesses(
    member: assignment.Member,
    members: dict[str, assignment.Member],
    *,
    count: int,
) -> tuple[str, ...]:
    """Chooses a member's witnesses by rendezvous hashing.

    Witnesses come from the member's region, one from each other place in
    turn, its own place last, so that losing one place takes no majority.
    Present witnesses that still qualify are kept.

    Args:
        member: The member that needs witnesses.
        members: All members; only active ones qualify.
        count: Witnesses wanted; fewer are returned in a small cluster.

    Returns:
        VM names; an odd number of them unless fewer members exist.
    """
    by_place: dict[str, list[str]] = {}
    for other in members.values():
        if other.vm == member.vm or other.region != member.region:
            continue
        if other.state is assignment.MemberState.ACTIVE:
            by_place.setdefault(other.place, []).append(other.vm)
    for vms in by_place.values():
        vms.sort(
            key=lambda vm: (
                vm not in member.witnesses,
                xxhash.xxh3_64_intdigest(f"{member.vm}/{vm}".encode()),
            )
        )
    places = sorted(
        by_place,
        key=lambda place: (
            place == member.place,
            not set(by_place[place]) & set(member.witnesses),
            xxhash.xxh3_64_intdigest(f"{member.vm}/{place}".encode()),
        ),
    )
    chosen: list[str] = []
    depth = 0
    while len(chosen) < count and any(
        len(v) > depth for v in by_place.values()
    ):
        for place in places:
            if depth < len(by_place[place]) and len(chosen) < count:
                chosen.append(by_place[place][depth])
        depth += 1
    if len(chosen) % 2 == 0 and chosen:
        chosen.pop()
    return tuple(chosen)


@dataclasses.dataclass(slots=True)
class _Share:
    vm: str
    capacity: int
    shards: list[int]

    def fill(self) -> float:
        return len(self.shards) / self.capacity


def assign_shards(
    service: plan.Service,
    draft: assignment.Assignment,
    *,
    generation: int,
) -> int:
    """Gives ownerless shards to members and plans moves that even out shares.

    Args:
        service: The keyed service.
        draft: Assignment being prepared; changed in place.
        generation: Version the draft will be written as.

    Returns:
        Number of shards given or planned to move.
    """
    table = draft.tables.get(service.name)
    if table is None or table.partitions != service.partitions:
        table = assignment.OwnerTable.empty(service.name, service.partitions)
        draft.tables[service.name] = table
    shares = _shares(service.name, table, draft.members)
    if not shares:
        return 0
    changed = 0
    owners = {share.vm for share in shares}
    known = set(draft.members)
    for shard in [*range(table.partitions), *table.key_grants]:
        vm = table.grant_of(shard).vm
        if vm in known:
            continue
        share = min(shares, key=_Share.fill)
        share.shards.append(shard)
        table.set_owner(shard, share.vm, generation)
        changed += 1
    changed += _plan_departures(table, draft.members, shares, owners)
    return changed + _plan_moves(table, shares)


def _shares(
    service: str,
    table: assignment.OwnerTable,
    members: dict[str, assignment.Member],
) -> list[_Share]:
    shares = {
        m.vm: _Share(m.vm, m.slots_for(service), [])
        for m in members.values()
        if m.state is assignment.MemberState.ACTIVE
        and m.offers_service(service)
    }
    for shard in [*range(table.partitions), *table.key_grants]:
        vm = table.moves.get(shard) or table.grant_of(shard).vm
        if vm in shares:
            shares[vm].shards.append(shard)
    return list(shares.values())


def _plan_departures(
    table: assignment.OwnerTable,
    members: dict[str, assignment.Member],
    shares: list[_Share],
    owners: set[str],
) -> int:
    planned = 0
    for member in members.values():
        if member.state is not assignment.MemberState.LEAVING:
            continue
        for shard in table.shards_of(member.vm):
            if table.moves.get(shard) in owners:
                continue
            share = min(shares, key=_Share.fill)
            share.shards.append(shard)
            table.moves[shard] = share.vm
            planned += 1
    return planned


def _plan_moves(table: assignment.OwnerTable, shares: list[_Share]) -> int:
    """Moves shards from the fullest to the emptiest member, one at a time."""
    planned = 0
    while True:
        full = max(shares, key=_Share.fill)
        free = min(shares, key=_Share.fill)
        after = (len(free.shards) + 1) / free.capacity
        if not full.shards or after >= full.fill():
            return planned
        shard = full.shards.pop()
        free.shards.append(shard)
        if table.grant_of(shard).vm == free.vm:
            table.moves.pop(shard, None)
        else:
            table.moves[shard] = free.vm
        planned += 1
