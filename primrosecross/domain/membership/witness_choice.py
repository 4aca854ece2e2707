"""Chooses the witnesses that vote on each member's lease."""

import xxhash

from primrosecross.domain.ownership import assignment


class WitnessChooser:
    """Chooses witnesses by rendezvous hashing.

    Witnesses come from the member's region, one from each other availability
    zone in turn and its own zone last, so that losing one zone takes no
    majority. Current witnesses that still qualify are kept.

    Args:
        members: All members; only active ones qualify.
    """

    def __init__(self, members: dict[str, assignment.Member]) -> None:
        self._regions: dict[str, dict[str, list[str]]] = {}
        for member in members.values():
            if member.state is assignment.MemberState.ACTIVE:
                places = self._regions.setdefault(member.region, {})
                places.setdefault(member.place, []).append(member.vm)

    def choose(
        self, member: assignment.Member, *, count: int
    ) -> tuple[str, ...]:
        """Returns an odd number of VM names, or none if no other VM qualifies.

        Args:
            member: The member that needs witnesses.
            count: Witnesses wanted; a small cluster yields fewer.
        """
        places = self._regions.get(member.region, {})
        by_place = {
            place: _ranked(member, vms, limit=count)
            for place, vms in places.items()
        }
        ordered_places = sorted(
            (place for place, vms in by_place.items() if vms),
            key=lambda place: (
                place == member.place,
                not set(by_place[place]) & set(member.witnesses),
                _rank(member.vm, place),
            ),
        )
        chosen = [
            by_place[place][depth]
            for depth in range(count)
            for place in ordered_places
            if depth < len(by_place[place])
        ][:count]
        if chosen and len(chosen) % 2 == 0:
            chosen.pop()
        return tuple(chosen)


def _ranked(
    member: assignment.Member, vms: list[str], *, limit: int
) -> list[str]:
    ranked = sorted(
        (vm for vm in vms if vm != member.vm),
        key=lambda vm: (vm not in member.witnesses, _rank(member.vm, vm)),
    )
    return ranked[:limit]


def _rank(vm: str, other: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{vm}/{other}".encode())
