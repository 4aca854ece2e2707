"""Owner side of a request: checks ownership, then runs it on a target."""

import functools

from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import assignment_history
from primrosecross.domain.ownership import handover
from primrosecross.domain.ownership import load_reports
from primrosecross.domain.requests import admission as admission_module
from primrosecross.domain.requests import admission_queue
from primrosecross.domain.requests import body
from primrosecross.domain.requests import deduplicator as deduplicator_module
from primrosecross.domain.requests import long_work
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import quarantine as quarantine_module
from primrosecross.domain.requests import request
from primrosecross.domain.requests import request_identity
from primrosecross.ports import clock as clock_port
from primrosecross.ports import target as target_port

NOT_OWNER_RETRY_MS = 100


_INTERNAL_ERROR = outcome.Unknown(
    outcome.Reason.ANSWER_LOST,
    "internal error in the router during the attempt",
)


class Executor:
    """Runs requests on the targets of this VM.

    Args:
        vm: This VM's name.
        state: Assignment in force on this VM.
        lease: This daemon's lease.
        hand_over: Counts running requests, and releases shards.
        load_reporter: Measures the load.
        deduplicator: Runs identified requests at most once.
        quarantine: Requests suspected of crashing targets.
        targets: Client of the targets on this VM.
        clock: Clock that includes time spent suspended.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: state_module.ClusterState,
        lease: lease_module.Lease,
        hand_over: handover.HandOver,
        load_reporter: load_reports.LoadReporter,
        deduplicator: deduplicator_module.Deduplicator,
        quarantine: quarantine_module.Quarantine,
        targets: target_port.Targets,
        clock: clock_port.Clock,
    ) -> None:
        self._vm = vm
        self._state = state
        self._lease = lease
        self._hand_over = hand_over
        self._load_reporter = load_reporter
        self._deduplicator = deduplicator
        self._quarantine = quarantine
        self._targets = targets
        self._admission = admission_module.Admission(clock=clock)
        self._long_work = long_work.LongWorkTracker()
        self._clock = clock
        self.announced_targets: dict[str, target_port.Announcement] = {}

    def execute(self, req: request.Request) -> outcome.Outcome:
        """Runs a request if this daemon owns its key."""
        service = self._state.plan.services.get(req.service)
        if service is None:
            return _not_owner(
                f"the plan on {self._vm} has no service {req.service}"
            )
        if req.idempotent or not req.identified:
            return self._execute_locally(service, req)
        return self._deduplicator.run_once(
            service, req, lambda: self._execute_locally(service, req)
        )

    def _execute_locally(
        self, service: plan.Service, req: request.Request
    ) -> outcome.Outcome:
        refusal = self._check_ownership(service, req)
        refusal = refusal or self._quarantine.check(req)
        if refusal is not None:
            return refusal
        target = self._select_target(service)
        if target is None:
            return outcome.NotRun(
                outcome.Reason.NO_TARGET,
                f"no target of {req.service} runs on {self._vm}",
            )
        announcement, gate = target
        long = self._long_work.is_long(service, req)
        permit = gate.acquire(long=long, deadline_ns=req.deadline_ns)
        if isinstance(permit, outcome.NotRun):
            return permit
        result: outcome.Outcome = _INTERNAL_ERROR
        try:
            result = self._run(service, announcement, req)
            result = self._check_crash(announcement, req, result)
            return result
        finally:
            body.add_done_callback(
                outcome.body_of(result),
                lambda: self._release(service, req, gate, permit, result),
            )

    def _check_crash(
        self,
        announcement: target_port.Announcement,
        req: request.Request,
        result: outcome.Outcome,
    ) -> outcome.Outcome:
        """Records a crash if the target vanished while running the request."""
        if isinstance(result, outcome.Answered):
            self._quarantine.record_answer(req)
            return result
        is_lost = result.reason is outcome.Reason.ANSWER_LOST
        if not is_lost or self._targets.is_listening(announcement):
            return result
        self._quarantine.record_crash(req, announcement.address)
        return outcome.Unknown(
            outcome.Reason.TARGET_CRASHED,
            "the target vanished while running the request",
        )

    def _run(
        self,
        service: plan.Service,
        announcement: target_port.Announcement,
        req: request.Request,
    ) -> outcome.Outcome:
        """Sends a request to the target; from then on it may have run."""
        refusal = self._check_ownership(service, req)
        if refusal is not None:
            return refusal
        if not service.keyed:
            fence = target_port.Fence(0, 0)
            return self._targets.run(announcement, req, fence)
        _, grant = self._state.assignment.grant_for(req.service, req.key)
        fence = target_port.Fence(grant.generation, self._lease.expires_ns())
        key_hash = assignment.hash_key(req.service, req.key)
        self._load_reporter.record(req.service, key_hash)
        self._hand_over.start_request(req.service, key_hash)
        result = None
        try:
            result = self._targets.run(announcement, req, fence)
            return result
        finally:
            body.add_done_callback(
                outcome.body_of(result),
                functools.partial(
                    self._hand_over.finish_request, req.service, key_hash
                ),
            )

    def _release(
        self,
        service: plan.Service,
        req: request.Request,
        gate: admission_module.Gate,
        permit: admission_queue.Permit,
        result: outcome.Outcome,
    ) -> None:
        """Returns the permit and records the run time of the request."""
        gate.release(permit, result)
        duration_ns = self._clock.now_ns() - permit.started_ns
        self._long_work.record(
            service, req, duration_ns / lease_module.NS_PER_MS
        )

    def _select_target(
        self, service: plan.Service
    ) -> tuple[target_port.Announcement, admission_module.Gate] | None:
        """Returns the least utilized target of a service and its gate."""
        candidates = [
            (a, self._admission.gate(service, a.address, a.slots))
            for a in self.announced_targets.values()
            if a.service == service.name
        ]
        return min(
            candidates, key=lambda target: target[1].utilization, default=None
        )

    def _check_ownership(
        self, service: plan.Service, req: request.Request
    ) -> outcome.NotRun | None:
        """Refuses a request that this daemon must not run now."""
        if service.keyed:
            return self._check_grant(req)
        if req.identified and not req.idempotent:
            return self._check_holder(service, req)
        return None

    def _check_grant(self, req: request.Request) -> outcome.NotRun | None:
        shard, grant = self._state.assignment.grant_for(req.service, req.key)
        if grant.vm != self._vm:
            return _not_owner(f"{self._vm} does not own the key")
        if shard in self._state.assignment.tables[req.service].moves:
            return _not_owner("the key is being handed over")
        return self._check_lease()

    def _check_holder(
        self, service: plan.Service, req: request.Request
    ) -> outcome.NotRun | None:
        """Refuses an identified request assigned to another member."""
        holder = assignment_history.holder_of(
            self._state.assignment, service, request_identity.identity_of(req)
        )
        if holder is None or holder.vm != self._vm:
            return _not_owner(f"{self._vm} is not the holder of the request")
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
        """Returns the number of keyed requests that run on targets now."""
        return self._hand_over.running_requests()


def _not_owner(detail: str) -> outcome.NotRun:
    return outcome.NotRun(outcome.Reason.NOT_OWNER, detail, NOT_OWNER_RETRY_MS)
