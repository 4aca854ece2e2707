"""What operators can ask for, independent of how the calls arrive."""

import dataclasses

from primrosecross.domain import assignment
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import office as office_module
from primrosecross.domain import plan
from primrosecross.domain import state as state_module
from primrosecross.ports import archive as archive_port

COORDINATOR_TIMEOUT_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Who owns a key."""

    shard: int
    grant: assignment.Grant
    moving_to: str
    reason: str


class Operations:
    """Operators' calls.

    Args:
        state: Plan and assignment in force here.
        archive: Where the plan is stored.
        office: Reaches the coordinator.
    """

    def __init__(
        self,
        *,
        state: state_module.State,
        archive: archive_port.Archive,
        office: office_module.Office,
    ) -> None:
        self._state = state
        self._archive = archive
        self._office = office

    def plan_in_store(self) -> plan.Plan:
        """Returns the stored plan, or the empty one."""
        stored, _ = self._archive.read_plan()
        return stored or plan.EMPTY

    def apply_plan(self, candidate: plan.Plan) -> None:
        """Stores a plan if it follows the version that is stored now.

        Raises:
            errors.PlanConflictError: Another operator was faster.
            errors.StoreError: The store does not answer.
        """
        stored, version = self._archive.read_plan()
        present = stored or plan.EMPTY
        if present.version != candidate.version - 1:
            raise conflict(present, candidate)
        try:
            self._archive.write_plan(candidate, version)
        except errors.StoreConflictError as error:
            raise conflict(self.plan_in_store(), candidate) from error
        self._state.offer_plan(candidate)

    def where(self, service: str, key: str) -> Location:
        """Tells who owns a key.

        Raises:
            errors.NotFoundError: No such keyed service.
        """
        table = self._state.assignment.tables.get(service)
        if table is None:
            raise errors.NotFoundError(
                f"no keyed service {service!r} is in force",
                remedy="see the plan for the services' names",
            )
        shard = table.shard_of(key)
        grant = table.grant_of(shard)
        set_apart = bool(shard & assignment.KEY_SHARD_BIT)
        reason = "key set apart" if set_apart else f"hash partition {shard}"
        return Location(shard, grant, table.moves.get(shard, ""), reason)

    def drain(self, vm: str) -> None:
        """Has a member hand over its shards and take no new work.

        Raises:
            errors.NotFoundError: No such member.
        """
        if vm not in self._state.assignment.members:
            raise errors.NotFoundError(
                f"no member {vm!r}", remedy="see the status for members"
            )
        self._office.tell(messages.Drain(vm), timeout_ms=COORDINATOR_TIMEOUT_MS)

    def confirmed(self) -> messages.Confirmed:
        """Returns what each member last confirmed; empty if unknown."""
        try:
            answer = self._office.tell(
                messages.ListConfirmed(), timeout_ms=COORDINATOR_TIMEOUT_MS
            )
        except (errors.StoreError, errors.PeerError):
            return messages.Confirmed("", ())
        if isinstance(answer, messages.Confirmed):
            return answer
        return messages.Confirmed("", ())


def conflict(present: plan.Plan, candidate: plan.Plan) -> errors.RouterError:
    """Returns the error for a plan that does not follow the present one."""
    return errors.PlanConflictError(
        f"the plan is at version {present.version}, applied by "
        f"{present.author or 'nobody'}, and you changed version "
        f"{candidate.version - 1}",
        remedy="get the plan, redo your change on it and apply it again",
    )
