"""Owner's side of a request: checks ownership, then runs it on a target."""

import collections

import gevent

from primrosecross.domain import assignment
from primrosecross.domain import attempts as attempts_module
from primrosecross.domain import errors
from primrosecross.domain import holders
from primrosecross.domain import identity
from primrosecross.domain import lease as lease_module
from primrosecross.domain import messages
from primrosecross.domain import office as office_module
from primrosecross.domain import outcome
from primrosecross.domain import plan
from primrosecross.domain import request
from primrosecross.domain import state as state_module
from primrosecross.ports import clock as clock_port
from primrosecross.ports import target as target_port

RELEASE_PAUSE_MS = 50
RELEASE_TIMEOUT_MS = 2000
NOT_OWNER_RETRY_MS = 100


class Executor:
    """Runs requests on the targets beside this daemon.

    Args:
        vm: This VM's name.
        state: Assignment in force here.
        lease: This daemon's lease.
        office: Reaches the coordinator.
        attempts: Keeps identified requests to one run.
        targets: Targets on this VM.
        clock: Clock that counts time spent suspended.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: state_module.State,
        lease: lease_module.Lease,
        office: office_module.Office,
        attempts: attempts_module.Attempts,
        targets: target_port.Targets,
        clock: clock_port.Clock,
    ) -> None:
        self._vm = vm
        self._state = state
        self._lease = lease
        self._office = office
        self._attempts = attempts
        self._targets = targets
        self._clock = clock
        self._in_flight: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.announced: dict[str, target_port.Announcement] = {}

    def execute(self, req: request.Request) -> outcome.Outcome:
        """Runs a request if this daemon owns its key now."""
        announcement = self._find(req.service)
        if announcement is None:
            return outcome.NotRun(
                outcome.Reason.NO_TARGET,
                f"no target of {req.service} on {self._vm}",
            )
        service = self._state.plan.services.get(req.service)
        if service is None:
            return _not_owner(f"{self._vm} knows no service {req.service}")
        if req.idempotent or not req.identified:
            return self._execute_here(service, announcement, req)
        return self._attempts.run_once(
            service,
            req,
            lambda: self._execute_here(service, announcement, req),
        )

    def _execute_here(
        self,
        service: plan.Service,
        announcement: target_port.Announcement,
        req: request.Request,
    ) -> outcome.Outcome:
        if service.keyed:
            return self._execute_owned(announcement, req)
        if not req.idempotent and req.identified:
            refusal = self._check_holder(service, req)
            if refusal is not None:
                return refusal
        return self._targets.run(announcement, req, target_port.Fence(0, 0))

    def _check_holder(
        self, service: plan.Service, req: request.Request
    ) -> outcome.NotRun | None:
        """Refuses an identified request that another member must run."""
        holder = holders.holder_of(
            self._state.assignment, service, identity.identity_of(req)
        )
        if holder is None or holder.vm != self._vm:
            return _not_owner(f"the request belongs to another than {self._vm}")
        return self._check_lease()

    def _check_lease(self) -> outcome.NotRun | None:
        if self._lease.held():
            return None
        return outcome.NotRun(
            outcome.Reason.LEASE_LAPSED,
            f"the lease of {self._vm} has lapsed",
            NOT_OWNER_RETRY_MS,
        )

    def in_flight(self) -> int:
        """Returns the keyed requests that run on targets now."""
        return self._in_flight.total()

    def _find(self, service: str) -> target_port.Announcement | None:
        for announcement in self.announced.values():
            if announcement.service == service:
                return announcement
        return None

    def _execute_owned(
        self, announcement: target_port.Announcement, req: request.Request
    ) -> outcome.Outcome:
        shard, grant = self._state.assignment.grant_for(req.service, req.key)
        if grant.vm != self._vm:
            return _not_owner(f"{self._vm} does not own the key")
        if shard in self._state.assignment.tables[req.service].moves:
            return _not_owner("the key is being handed over")
        refusal = self._check_lease()
        if refusal is not None:
            return refusal
        fence = target_port.Fence(grant.generation, self._lease.expires_ns())
        self._in_flight[req.service, shard] += 1
        try:
            return self._targets.run(announcement, req, fence)
        finally:
            self._in_flight[req.service, shard] -= 1

    def hand_over(self) -> None:
        """Releases shards that are to move, once they are idle."""
        while True:
            self._clock.sleep(RELEASE_PAUSE_MS)
            member = self._state.member()
            if member is None or member.epoch != self._lease.epoch:
                continue
            for table in self._state.assignment.tables.values():
                idle = tuple(
                    shard
                    for shard in table.moves
                    if table.grant_of(shard).vm == self._vm
                    and not self._in_flight[table.service, shard]
                )
                if idle:
                    self._release(member.epoch, table, idle)

    def _release(
        self,
        epoch: int,
        table: assignment.OwnerTable,
        shards: tuple[int, ...],
    ) -> None:
        release = messages.Release(
            vm=self._vm,
            epoch=epoch,
            service=table.service,
            shards=shards,
            generations=tuple(table.grant_of(s).generation for s in shards),
        )
        try:
            self._office.tell(release, timeout_ms=RELEASE_TIMEOUT_MS)
        except (errors.StoreError, errors.PeerError):
            gevent.sleep(RELEASE_PAUSE_MS / 1000)


def _not_owner(detail: str) -> outcome.NotRun:
    return outcome.NotRun(outcome.Reason.NOT_OWNER, detail, NOT_OWNER_RETRY_MS)
