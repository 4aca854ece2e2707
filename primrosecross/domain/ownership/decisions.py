"""Changes that the coordinator makes to a draft of the assignment.

Each message to the coordinator is applied by one handler, chosen by its type.
"""

import dataclasses
import functools

from primrosecross.domain.membership import member_messages
from primrosecross.domain.operators import events
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.ownership import assignment


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLapsed:
    """The member's lease is proved lapsed."""

    vm: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberSuspected:
    """A majority of the member's witnesses report it as silent."""

    vm: str
    epoch: int


@dataclasses.dataclass(slots=True)
class Draft:
    """The next assignment and the events that led to it.

    Attributes:
        assignment: The next assignment.
        witness_change_versions: First version in the store with the change of
            witnesses, for each member that has not confirmed its change yet.
        pending_events: Events to record once the assignment is written.
    """

    assignment: assignment.Assignment
    witness_change_versions: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    pending_events: list[events.Event] = dataclasses.field(default_factory=list)


@functools.singledispatch
def apply(message: object, draft: Draft) -> int:
    """Applies a message to the draft; returns the number of changes."""
    raise TypeError(f"no handler registered for {type(message).__name__}")


def is_admitted(
    join: member_messages.Join, member: assignment.Member | None
) -> bool:
    """Returns whether the member record matches the join."""
    return (
        member is not None
        and member.incarnation == join.incarnation
        and member.offers == offers_of(join)
    )


def offers_of(join: member_messages.Join) -> tuple[assignment.Offer, ...]:
    """Returns the targets that a join announces."""
    return tuple(
        assignment.Offer(o.service, o.slots, o.checks_generation)
        for o in join.offers
    )


@apply.register
def _(join: member_messages.Join, draft: Draft) -> int:
    members = draft.assignment.members
    current = members.get(join.vm)
    if is_admitted(join, current):
        return 0
    if current is None:
        members[join.vm] = _new_member(join, draft.assignment.version)
        draft.pending_events.append(
            events.MemberJoined(join.vm, draft.assignment.version)
        )
        return 1
    if current.incarnation == join.incarnation:
        members[join.vm] = dataclasses.replace(current, offers=offers_of(join))
        return 1
    # The new process is admitted only after the earlier one is removed. If the
    # earlier one has stopped, its witnesses report it and its lease is revoked.
    return 0


def _new_member(join: member_messages.Join, epoch: int) -> assignment.Member:
    return assignment.Member(
        vm=join.vm,
        place=join.place,
        region=join.region,
        peer_address=join.peer_address,
        incarnation=join.incarnation,
        epoch=epoch,
        witnesses=(),
        offers=offers_of(join),
    )


def _set_state(draft: Draft, vm: str, state: assignment.MemberState) -> int:
    member = draft.assignment.members[vm]
    if member.state in (state, assignment.MemberState.REVOKING):
        return 0
    draft.assignment.members[vm] = dataclasses.replace(member, state=state)
    return 1


@apply.register
def _(suspected: MemberSuspected, draft: Draft) -> int:
    member = draft.assignment.members.get(suspected.vm)
    if member is None or member.epoch != suspected.epoch:
        return 0
    return _set_state(draft, suspected.vm, assignment.MemberState.REVOKING)


@apply.register
def _(drain: operator_messages.Drain, draft: Draft) -> int:
    if drain.vm not in draft.assignment.members:
        return 0
    changed = _set_state(draft, drain.vm, assignment.MemberState.LEAVING)
    if changed:
        epoch = draft.assignment.members[drain.vm].epoch
        draft.pending_events.append(events.MemberDraining(drain.vm, epoch))
    return changed


@apply.register
def _(undrain: operator_messages.Undrain, draft: Draft) -> int:
    member = draft.assignment.members.get(undrain.vm)
    if member is None or member.state is not assignment.MemberState.LEAVING:
        return 0
    changed = _set_state(draft, undrain.vm, assignment.MemberState.ACTIVE)
    for table in draft.assignment.tables.values():
        for shard in table.shards_of(undrain.vm):
            table.moves.pop(shard, None)
    draft.pending_events.append(
        events.MemberUndrained(undrain.vm, member.epoch)
    )
    return changed


@apply.register
def _(move: operator_messages.Move, draft: Draft) -> int:
    table = draft.assignment.tables.get(move.service)
    if table is None:
        return 0
    key_hash = assignment.hash_key(move.service, move.key)
    shard = key_hash | assignment.KEY_SHARD_BIT
    if table.pins.get(shard, "") == move.vm:
        return 0
    if move.vm:
        table.pins[shard] = move.vm
    else:
        del table.pins[shard]
    return 1


@apply.register
def _(lapsed: LeaseLapsed, draft: Draft) -> int:
    member = draft.assignment.members.get(lapsed.vm)
    if member is None or member.epoch != lapsed.epoch:
        return 0
    del draft.assignment.members[lapsed.vm]
    draft.witness_change_versions.pop(lapsed.vm, None)
    shards = 0
    for table in draft.assignment.tables.values():
        for shard in table.shards_of(lapsed.vm):
            table.set_owner(shard, "", draft.assignment.version)
            shards += 1
        for shard, receiver in list(table.moves.items()):
            if receiver == lapsed.vm:
                del table.moves[shard]
    draft.pending_events.append(
        events.MemberRevoked(lapsed.vm, lapsed.epoch, shards)
    )
    return 1


@apply.register
def _(release: member_messages.Release, draft: Draft) -> int:
    member = draft.assignment.members.get(release.vm)
    table = draft.assignment.tables.get(release.service)
    if table is None or member is None or member.epoch != release.epoch:
        return 0
    completed = 0
    for shard, generation in zip(
        release.shards, release.generations, strict=False
    ):
        receiver = draft.assignment.members.get(table.moves.get(shard, ""))
        released_grant = assignment.Grant(release.vm, generation)
        if receiver is None or table.grant_of(shard) != released_grant:
            continue
        if receiver.state is assignment.MemberState.ACTIVE:
            _retain_busy_keys(table, shard, release.busy_keys)
            table.set_owner(shard, receiver.vm, draft.assignment.version)
            completed += 1
    return completed


def _retain_busy_keys(
    table: assignment.OwnerTable, partition: int, busy: tuple[int, ...]
) -> None:
    """Keeps keys with running requests at the partition's owner.

    They move to the receiver once they are released too; until then requests
    for them are refused.
    """
    for key_shard in busy:
        if key_shard in table.key_grants:
            continue
        if table.parent_partition(key_shard) == partition:
            table.split_key(key_shard)
            table.moves[key_shard] = table.moves[partition]


def renew_generations_after_cancelled_handovers(
    before: assignment.Assignment, draft: assignment.Assignment
) -> int:
    """Renews the generation of shards whose hand-over was cancelled.

    Their owner serves them again, so a release that it sent earlier must not
    complete a later hand-over.

    Returns:
        Number of shards with a new generation.
    """
    renewed = 0
    for service, earlier_table in before.tables.items():
        table = draft.tables.get(service)
        for shard in earlier_table.moves if table else ():
            grant = table.grant_of(shard)
            if shard not in table.moves and grant == earlier_table.grant_of(
                shard
            ):
                table.set_owner(shard, grant.vm, draft.version)
                renewed += 1
    return renewed


@apply.register
def _(confirm: member_messages.Confirm, draft: Draft) -> int:
    member = draft.assignment.members.get(confirm.vm)
    if member is None or member.epoch != confirm.epoch:
        return 0
    if not member.previous_witnesses or member.witnesses != confirm.witnesses:
        return 0
    since_version = draft.witness_change_versions.get(confirm.vm)
    if since_version is None or confirm.assignment_version < since_version:
        return 0  # May have been sent before the last change of witnesses.
    del draft.witness_change_versions[confirm.vm]
    draft.assignment.members[confirm.vm] = dataclasses.replace(
        member, previous_witnesses=()
    )
    return 1
