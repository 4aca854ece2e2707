"""Views of the cluster for operators."""

import dataclasses

from primrosecross.domain import errors
from primrosecross.domain import fanout
from primrosecross.domain.membership import member_messages
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.ownership import assignment


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """A target and the number of its service's shards that its VM owns."""

    offer: assignment.Offer
    shards: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberView:
    """A member with its last confirmation and its reply to a probe.

    Attributes:
        member: Entry of the member in the assignment.
        last_confirm: Last confirmation to the coordinator in the current
            epoch, None if there is none.
        targets: Targets on its VM.
        probe_report: Reply to a probe, None if it was not probed or did not
            reply.
        problem: Why the probe failed, empty if it succeeded or was not sent.
    """

    member: assignment.Member
    last_confirm: member_messages.Confirm | None
    targets: tuple[TargetView, ...]
    probe_report: operator_messages.ProbeReport | None = None
    problem: str = ""

    @property
    def shards(self) -> int:
        """Number of shards that its VM owns, of all services."""
        return sum(target.shards for target in self.targets)

    @property
    def plan_version(self) -> int:
        """Newest plan version known to be in force at the member."""
        confirmed = self.last_confirm.plan_version if self.last_confirm else 0
        return max(
            confirmed,
            self.probe_report.plan_version if self.probe_report else 0,
        )

    @property
    def assignment_version(self) -> int:
        """Newest assignment version known to be in force at the member."""
        confirmed = (
            self.last_confirm.assignment_version if self.last_confirm else 0
        )
        reported = (
            self.probe_report.assignment_version if self.probe_report else 0
        )
        return max(confirmed, reported)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """Distribution of a keyed service's shards.

    Attributes:
        name: Name of the service.
        shards: Number of partitions and split keys.
        without_owner: Number of shards that no VM owns.
        moving: Number of shards in hand-over.
        members: Number of VMs with a target of the service.
        imbalance: Ratio of the most shards per slot to the mean; 1 is even.
    """

    name: str
    shards: int
    without_owner: int
    moving: int
    members: int
    imbalance: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterView:
    """All members and keyed services."""

    coordinator: str
    members: tuple[MemberView, ...]
    services: tuple[ServiceView, ...]


def cluster_view(
    current: assignment.Assignment, confirmed: operator_messages.Confirmed
) -> ClusterView:
    """Builds the view from the assignment and the confirmations."""
    confirms = {c.vm: c for c in confirmed.confirms}
    owned = {
        name: {
            vm: len(shards) for vm, shards in _shards_by_owner(table).items()
        }
        for name, table in current.tables.items()
    }
    return ClusterView(
        coordinator=confirmed.coordinator,
        members=tuple(
            _member_view(current.members[vm], confirms.get(vm), owned)
            for vm in sorted(current.members)
        ),
        services=tuple(
            _service_view(current.tables[name], current.members, owned[name])
            for name in sorted(current.tables)
        ),
    )


def _shards_by_owner(table: assignment.OwnerTable) -> dict[str, list[int]]:
    owners: dict[str, list[int]] = {}
    for shard in [*range(table.partitions), *table.key_grants]:
        owners.setdefault(table.grant_of(shard).vm, []).append(shard)
    return owners


def _member_view(
    member: assignment.Member,
    confirm: member_messages.Confirm | None,
    owned: dict[str, dict[str, int]],
) -> MemberView:
    if confirm is not None and confirm.epoch != member.epoch:
        confirm = None
    targets = tuple(
        TargetView(offer, owned.get(offer.service, {}).get(member.vm, 0))
        for offer in member.offers
    )
    return MemberView(member, confirm, targets)


def _service_view(
    table: assignment.OwnerTable,
    members: dict[str, assignment.Member],
    owned: dict[str, int],
) -> ServiceView:
    slots = {
        m.vm: m.slots_for(table.service)
        for m in members.values()
        if m.offers_service(table.service)
    }
    shards = sum(owned.values())
    shards_per_slot = [owned.get(vm, 0) / n for vm, n in slots.items()]
    mean = shards / sum(slots.values()) if slots else 0.0
    return ServiceView(
        name=table.service,
        shards=shards,
        without_owner=owned.get("", 0),
        moving=len(table.moves),
        members=len(slots),
        imbalance=max(shards_per_slot) / mean if mean else 0.0,
    )


def with_probe_reply(member: MemberView, reply: fanout.Reply) -> MemberView:
    """Returns a member's view with the result of its probe."""
    if isinstance(reply, operator_messages.ProbeReport):
        return dataclasses.replace(member, probe_report=reply)
    if isinstance(reply, errors.PeerError):
        return dataclasses.replace(member, problem=reply.problem)
    problem = f"unexpected reply {type(reply).__name__}"
    return dataclasses.replace(member, problem=problem)
