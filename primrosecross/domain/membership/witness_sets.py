"""Replaces witnesses that are lost or share an availability zone."""

import dataclasses

from primrosecross.domain.membership import witness_choice
from primrosecross.domain.ownership import assignment

WITNESS_COUNT = 3


def replace_witnesses(draft: assignment.Assignment) -> int:
    """Replaces witnesses that are lost or share an availability zone.

    Members whose last change of witnesses is unconfirmed, or which are being
    revoked, keep theirs. Previous witnesses are kept until the member
    confirms that its lease depends on the new ones.

    Args:
        draft: Assignment being prepared; changed in place.

    Returns:
        Number of members whose witnesses changed.
    """
    active = {
        vm: member
        for vm, member in draft.members.items()
        if member.state is assignment.MemberState.ACTIVE
    }
    places: dict[str, set[str]] = {}
    for member in active.values():
        places.setdefault(member.region, set()).add(member.place)
    changed = 0
    chooser = witness_choice.WitnessChooser(draft.members)
    for vm, member in list(draft.members.items()):
        region_places = places.get(member.region, set())
        if _keeps_witnesses(member, active, region_places):
            continue
        chosen = chooser.choose(member, count=WITNESS_COUNT)
        if not chosen or set(chosen) == set(member.witnesses):
            continue
        draft.members[vm] = dataclasses.replace(
            member, witnesses=chosen, previous_witnesses=member.witnesses
        )
        changed += 1
    return changed


def _keeps_witnesses(
    member: assignment.Member,
    active: dict[str, assignment.Member],
    places: set[str],
) -> bool:
    """Returns whether a member keeps its witnesses; ranks no candidates."""
    if member.previous_witnesses:
        return True
    if member.state is assignment.MemberState.REVOKING:
        return True
    if len(member.witnesses) < WITNESS_COUNT:
        return False
    if not all(vm in active for vm in member.witnesses):
        return False
    witness_places = {active[vm].place for vm in member.witnesses}
    return len(witness_places) >= min(WITNESS_COUNT, len(places))


def unconfirmed_since(
    current: assignment.Assignment, previous: dict[str, int]
) -> dict[str, int]:
    """Returns the first version that contains each unconfirmed change.

    Args:
        current: The assignment in the store.
        previous: Result for the previous version, empty if unknown.

    Returns:
        Version by VM name, for members with previous witnesses.
    """
    return {
        member.vm: previous.get(member.vm, current.version)
        for member in current.members.values()
        if member.previous_witnesses
    }
