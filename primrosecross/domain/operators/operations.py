"""Operator calls, independent of the transport."""

import contextlib
import dataclasses
from collections.abc import Callable

from primrosecross.domain import errors
from primrosecross.domain import fanout
from primrosecross.domain import messages
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import events
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.operators import plan
from primrosecross.domain.operators import status as status_module
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import (
    coordinator_client as coordinator_client_module,
)
from primrosecross.domain.requests import quarantine as quarantine_module
from primrosecross.ports import peers as peers_port
from primrosecross.ports import repository as repository_port

COORDINATOR_TIMEOUT_MS = 1500
COMMAND_ATTEMPTS = 5
PROBE_TIMEOUT_MS = 1000
ALL_PROBES_TIMEOUT_MS = 3000
MAX_PLANS_LISTED = 9


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Owner of a key.

    Attributes:
        shard: Shard that holds the key.
        grant: Ownership grant of the shard.
        moving_to: VM that the shard is handed over to, empty if none.
        reason: How the key maps to the shard, as text for operators.
    """

    shard: int
    grant: assignment.Grant
    moving_to: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlanSummary:
    """A retained plan version.

    Attributes:
        version: Version of the plan.
        author: Who applied it.
        changes: Differences from the previous version.
    """

    version: int
    author: str
    changes: tuple[str, ...]


class Operations:
    """Implements the operator calls.

    Args:
        vm: This VM's name.
        state: Plan and assignment in force at this daemon.
        repository: Stores the plan.
        coordinator_client: Sends messages to the coordinator.
        peers: Other daemons.
        local_probe: Returns this daemon's own probe report.
        timeline: Records applied plans.
        quarantine: Tracks requests that crash targets.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: state_module.ClusterState,
        repository: repository_port.Repository,
        coordinator_client: coordinator_client_module.CoordinatorClient,
        peers: peers_port.Peers,
        local_probe: Callable[
            [operator_messages.Probe], operator_messages.ProbeReport
        ],
        timeline: events.Timeline,
        quarantine: quarantine_module.Quarantine,
    ) -> None:
        self._vm = vm
        self._state = state
        self._repository = repository
        self._coordinator_client = coordinator_client
        self._peers = peers
        self._local_probe = local_probe
        self._timeline = timeline
        self._quarantine = quarantine

    def read_stored_plan(self) -> plan.Plan:
        """Returns the stored plan, plan.EMPTY if none is stored."""
        stored, _ = self._repository.read_plan()
        return stored or plan.EMPTY

    def get_plan(self, version: int) -> plan.Plan:
        """Returns a plan version; 0 selects the stored plan.

        Raises:
            errors.NotFoundError: The version is not retained.
        """
        current = self.read_stored_plan()
        if version in (0, current.version):
            return current
        past = self._repository.read_past_plan(version)
        if past is None:
            raise errors.NotFoundError(
                f"plan version {version} is not retained",
                remedy="list the plans for the retained versions",
            )
        return past

    def list_plans(self) -> list[PlanSummary]:
        """Returns the retained plan versions, newest first."""
        newer = self.read_stored_plan()
        summaries = []
        while newer.version and len(summaries) < MAX_PLANS_LISTED:
            older = self._read_past_plan(newer.version - 1)
            changes = ()
            if older is not None:
                changes = tuple(plan.differences(older, newer))
            summaries.append(PlanSummary(newer.version, newer.author, changes))
            if older is None:
                break
            newer = older
        return summaries

    def _read_past_plan(self, version: int) -> plan.Plan | None:
        if version <= 0:
            return plan.EMPTY if version == 0 else None
        return self._repository.read_past_plan(version)

    def preview_plan(self, candidate: plan.Plan) -> list[str]:
        """Returns the changes that a plan would make, without applying it.

        Raises:
            errors.PlanConflictError: The stored plan is not the version that
                the candidate is based on.
        """
        current = self.read_stored_plan()
        if current.version != candidate.version - 1:
            raise self._conflict_error(current, candidate)
        return plan.differences(current, candidate)

    def apply_plan(self, candidate: plan.Plan) -> list[str]:
        """Stores a plan if it is based on the stored version.

        Saves the replaced plan first, so that it can be applied again.

        Returns:
            Differences from the replaced plan.

        Raises:
            errors.PlanConflictError: The stored plan is not the version that
                the candidate is based on.
            errors.StoreError: The store does not respond.
        """
        stored, version = self._repository.read_plan()
        current = stored or plan.EMPTY
        if current.version != candidate.version - 1:
            raise self._conflict_error(current, candidate)
        if stored is not None:
            self._repository.save_past_plan(stored)
        stamp = self._timeline.next_stamp()
        try:
            self._repository.write_plan(candidate, version)
        except errors.StoreConflictError as error:
            raise self._conflict_error(
                self.read_stored_plan(), candidate
            ) from error
        self._timeline.record(
            events.PlanApplied(candidate.version, candidate.author),
            stamp=stamp,
        )
        self._state.update_plan(candidate)
        return plan.differences(current, candidate)

    def _conflict_error(
        self, current: plan.Plan, candidate: plan.Plan
    ) -> errors.PlanConflictError:
        """Returns an error that lists the changes made in the meantime."""
        base_version = candidate.version - 1
        return errors.PlanConflictError(
            f"the plan is based on version {base_version}, but the stored plan "
            f"is version {current.version} "
            f"({self._changes_text(base_version)})",
            remedy="get the stored plan, repeat the change and apply it with "
            f"--expected-version {current.version}; nothing was changed",
        )

    def _changes_text(self, base_version: int) -> str:
        texts = [
            f"version {p.version} by {p.author or 'nobody'}: "
            + (", ".join(p.changes) or "no difference")
            for p in self.list_plans()
            if p.version > base_version
        ]
        return "; ".join(texts) or "an earlier version"

    def locate(self, service: str, key: str) -> Location:
        """Returns the owner of a key.

        Raises:
            errors.NotFoundError: The keyed service does not exist.
        """
        table = self._state.assignment.tables.get(service)
        if table is None:
            raise errors.NotFoundError(
                f"no keyed service {service!r} is in force",
                remedy="see the plan for the services' names",
            )
        shard = table.shard_of(key)
        grant = table.grant_of(shard)
        is_split_key = bool(shard & assignment.KEY_SHARD_BIT)
        reason = "key set apart" if is_split_key else f"hash partition {shard}"
        return Location(shard, grant, table.moves.get(shard, ""), reason)

    def drain(self, vm: str) -> None:
        """Drains a member: hands over its shards and stops new requests.

        Raises:
            errors.NotFoundError: No such member.
        """
        self._check_member(vm)
        self._call_with_retries(operator_messages.Drain(vm))

    def undrain(self, vm: str) -> None:
        """Cancels the drain of a member.

        Raises:
            errors.NotFoundError: No such member.
        """
        self._check_member(vm)
        self._call_with_retries(operator_messages.Undrain(vm))

    def move(self, service: str, key: str, vm: str) -> None:
        """Pins a key to a VM; an empty vm returns it to the balancer.

        Raises:
            errors.NotFoundError: The keyed service does not exist, or the VM
                is not a member or has no target of the service.
        """
        self.locate(service, key)
        if vm:
            self._check_member(vm)
            member = self._state.assignment.members[vm]
            if not member.offers_service(service):
                raise errors.NotFoundError(
                    f"VM {vm} has no target of service {service!r}",
                    remedy="see the targets for the VMs that have one",
                )
        self._call_with_retries(operator_messages.Move(service, key, vm))

    def _call_with_retries(self, message: messages.Message) -> messages.Message:
        """Sends an idempotent command to the coordinator.

        Retries, since the coordinator may have changed just before the call.

        Raises:
            errors.StoreError: The coordinator cannot be read from the store.
            errors.PeerError: The coordinator did not reply.
        """
        for _ in range(COMMAND_ATTEMPTS - 1):
            with contextlib.suppress(errors.PeerError):
                return self._coordinator_client.call_coordinator(
                    message, timeout_ms=COORDINATOR_TIMEOUT_MS
                )
        return self._coordinator_client.call_coordinator(
            message, timeout_ms=COORDINATOR_TIMEOUT_MS
        )

    def _check_member(self, vm: str) -> None:
        if vm not in self._state.assignment.members:
            raise errors.NotFoundError(
                f"no member {vm!r}", remedy="see the status for the members"
            )

    def status(
        self, *, probe: bool = False, late_for_plan: int = 0
    ) -> status_module.ClusterView:
        """Returns the state of the cluster.

        Args:
            probe: Whether to probe the members.
            late_for_plan: If set, probes only members that have not confirmed
                this plan version.
        """
        view = status_module.cluster_view(
            self._state.assignment, self.list_confirmed()
        )
        if not probe:
            return view
        probed_vms = [
            m.member.vm
            for m in view.members
            if not late_for_plan or m.plan_version < late_for_plan
        ]
        replies = self._probe_members(probed_vms)
        members = tuple(
            status_module.with_probe_reply(m, replies[m.member.vm])
            if m.member.vm in replies
            else m
            for m in view.members
        )
        return dataclasses.replace(view, members=members)

    def _probe_members(self, vms: list[str]) -> dict[str, fanout.Reply]:
        probe = operator_messages.Probe()
        replies = fanout.call_all(
            self._peers,
            {vm: probe for vm in vms if vm != self._vm},
            timeout_ms=PROBE_TIMEOUT_MS,
            total_timeout_ms=ALL_PROBES_TIMEOUT_MS,
        )
        if self._vm in vms:
            replies[self._vm] = self._local_probe(probe)
        return replies

    def list_quarantined(self) -> list[quarantine_module.SuspectRequest]:
        """Returns the requests suspected of crashing targets."""
        return self._quarantine.suspects()

    def release_quarantined(self, fingerprint: str) -> None:
        """Releases a suspected request on all daemons, so that it runs again.

        Raises:
            errors.NotFoundError: The request is not suspected.
        """
        self._quarantine.release(fingerprint)

    def list_confirmed(self) -> operator_messages.Confirmed:
        """Returns what each member last confirmed.

        Empty if the coordinator cannot be reached.
        """
        try:
            reply = self._coordinator_client.call_coordinator(
                operator_messages.ListConfirmed(),
                timeout_ms=COORDINATOR_TIMEOUT_MS,
            )
        except (errors.StoreError, errors.PeerError):
            return operator_messages.Confirmed("", ())
        if isinstance(reply, operator_messages.Confirmed):
            return reply
        return operator_messages.Confirmed("", ())
