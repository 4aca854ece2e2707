"""Factories of members, services and assignments for tests."""

from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment

SERVICE = "rezervace"


def service(partitions: int) -> plan.Service:
    """Returns a keyed service."""
    return plan.Service(
        name=SERVICE,
        keyed=True,
        key_pattern=".*",
        partitions=partitions,
        timeout_ms=5000,
        max_body_bytes=1000,
        idempotent_methods=frozenset({"GET"}),
        policy=plan.WaitingPolicy(max_wait_ms=50),
    )


def member(
    number: int, *, slots: int = 16, epoch: int = 1
) -> assignment.Member:
    """Returns an active member in one of four availability zones."""
    return assignment.Member(
        vm=f"vm-{number}",
        place=f"place-{number % 4}",
        region="jihomoravsky",
        peer_address=f"127.0.0.1:{20000 + number}",
        incarnation=f"incarnation-{number}",
        epoch=epoch,
        witnesses=(),
        offers=(assignment.Offer(SERVICE, slots, True),),
    )


def cluster(count: int, *, slots: int = 16) -> assignment.Assignment:
    """Returns an assignment with members and no owners."""
    members = [member(number, slots=slots) for number in range(count)]
    return assignment.Assignment(version=1, members={m.vm: m for m in members})


def next_version(current: assignment.Assignment) -> assignment.Assignment:
    """Returns a draft of the next version."""
    draft = current.copy()
    draft.version += 1
    return draft


def finish_moves(current: assignment.Assignment) -> int:
    """Completes all hand-overs; returns their number."""
    finished = 0
    for table in current.tables.values():
        for shard, vm in list(table.moves.items()):
            table.set_owner(shard, vm, current.version)
            finished += 1
    return finished
