"""Routes requests to the owner of their key and returns the outcomes."""

import dataclasses
import itertools
import re

from gevent import event as gevent_event

from primrosecross.domain import errors
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.membership import state_sync as state_sync_module
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import assignment_history
from primrosecross.domain.requests import deduplicator
from primrosecross.domain.requests import executor as executor_module
from primrosecross.domain.requests import forwards
from primrosecross.domain.requests import (
    member_balancer as member_balancer_module,
)
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import replies
from primrosecross.domain.requests import request
from primrosecross.domain.requests import request_identity
from primrosecross.domain.requests import resend_detector
from primrosecross.domain.requests import retry
from primrosecross.ports import clock as clock_port
from primrosecross.ports import peers as peers_port

MIN_ATTEMPT_MS = 5
IMMEDIATE_RETRIES = 2
NO_OWNER_RETRY_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class _Destination:
    """Destination of an attempt.

    Attributes:
        vm: The VM, or an empty string if there is none.
        generation: Generation of its grant of the key, 0 if unkeyed.
        any_member: Whether any other member may be tried instead.
    """

    vm: str
    generation: int = 0
    any_member: bool = False


class Router:
    """Finds the owner, forwards the request, and retries it when safe.

    Args:
        vm: This VM's name.
        state: Plan and assignment in force on this VM.
        sync: Fetches newer state.
        executor: Runs requests owned by this daemon.
        peers: Other daemons.
        clock: Clock that includes time spent suspended.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: state_module.ClusterState,
        sync: state_sync_module.StateSync,
        executor: executor_module.Executor,
        peers: peers_port.Peers,
        clock: clock_port.Clock,
    ) -> None:
        self._vm = vm
        self._state = state
        self._sync = sync
        self._executor = executor
        self._peers = peers
        self._clock = clock
        self._retry_budget = retry.RetryBudget()
        self._resend_detector = resend_detector.ResendDetector(clock=clock)
        self._balancers: dict[str, member_balancer_module.MemberBalancer] = {}
        self._assignment_changed = gevent_event.Event()
        state.subscribe(self._assignment_changed.set)

    def route(self, req: request.Request) -> outcome.Outcome:
        """Returns the outcome of a request, at the latest at its deadline."""
        service = self._state.plan.services.get(req.service)
        refusal = _validate(service, req)
        if refusal is not None:
            return refusal
        self._retry_budget.deposit()
        if req.idempotent or not req.identified:
            return self._route(service, req)
        req = self._resend_detector.mark_resend(req, service.resend_window_ms)
        result = self._route(service, req)
        self._resend_detector.record_outcome(req, result)
        return deduplicator.account_for_earlier_attempts(service, req, result)

    def _route(
        self, service: plan.Service, req: request.Request
    ) -> outcome.Outcome:
        tried: set[str] = set()
        last_unknown: outcome.Unknown | None = None
        for attempt in itertools.count():
            destination = self._select_destination(
                service, req, frozenset(tried)
            )
            tried.add(destination.vm)
            result = self._attempt(destination, req)
            if isinstance(result, outcome.Answered):
                return result
            if isinstance(result, outcome.Unknown):
                last_unknown = result
            backoff_ms = retry.backoff_ms(attempt)
            if not self._may_retry(destination, req, result, backoff_ms):
                return last_unknown or result
            if not destination.any_member or attempt >= IMMEDIATE_RETRIES:
                self._wait_for_assignment(backoff_ms)
        raise AssertionError("unreachable")

    def _may_retry(
        self,
        destination: _Destination,
        req: request.Request,
        result: outcome.NotRun | outcome.Unknown,
        backoff_ms: float,
    ) -> bool:
        if not retry.is_retryable(
            result, req, other_member=destination.any_member
        ):
            return False
        if self._remaining_ms(req) <= backoff_ms + MIN_ATTEMPT_MS:
            return False
        return not retry.costs_token(result) or self._retry_budget.withdraw()

    def _wait_for_assignment(self, backoff_ms: float) -> None:
        """Waits for a newer assignment, at most for the backoff."""
        self._assignment_changed.clear()
        self._assignment_changed.wait(backoff_ms / 1000)

    def _remaining_ms(self, req: request.Request) -> int:
        remaining_ns = req.deadline_ns - self._clock.now_ns()
        return remaining_ns // lease_module.NS_PER_MS

    def _attempt(
        self, destination: _Destination, req: request.Request
    ) -> outcome.Outcome:
        if not destination.vm:
            return outcome.NotRun(
                outcome.Reason.NO_OWNER,
                f"no owner for {req.service} is known; retry later",
                NO_OWNER_RETRY_MS,
            )
        if not destination.any_member:
            return self._send(destination, req)
        balancer = self._balancer(req.service)
        started_ns = self._clock.now_ns()
        balancer.record_start(destination.vm)
        result: outcome.Outcome = outcome.Unknown(
            outcome.Reason.ANSWER_LOST,
            "internal error in the router during the attempt",
        )
        try:
            result = self._send(destination, req)
        finally:
            duration_ns = self._clock.now_ns() - started_ns
            balancer.record_end(
                destination.vm, result, duration_ns / lease_module.NS_PER_MS
            )
        return result

    def _send(
        self, destination: _Destination, req: request.Request
    ) -> outcome.Outcome:
        if destination.vm == self._vm:
            return self._executor.execute(req)
        return self._forward(destination, req)

    def _select_destination(
        self, service: plan.Service, req: request.Request, tried: frozenset[str]
    ) -> _Destination:
        current_assignment = self._state.assignment
        if service.keyed:
            _, grant = current_assignment.grant_for(req.service, req.key)
            return _Destination(grant.vm, grant.generation)
        if req.identified and not req.idempotent:
            holder = assignment_history.holder_of(
                current_assignment, service, request_identity.identity_of(req)
            )
            return _Destination(holder.vm if holder else "")
        balancer = self._balancer(service.name)
        return _Destination(
            balancer.choose(current_assignment, avoid=tried), any_member=True
        )

    def _balancer(self, service: str) -> member_balancer_module.MemberBalancer:
        balancer = self._balancers.get(service)
        if balancer is None:
            balancer = member_balancer_module.MemberBalancer(
                service=service, clock=self._clock
            )
            self._balancers[service] = balancer
        return balancer

    def _forward(
        self, destination: _Destination, req: request.Request
    ) -> outcome.Outcome:
        timeout_ms = self._remaining_ms(req)
        if timeout_ms <= 0:
            return outcome.NotRun(
                outcome.Reason.DEADLINE,
                "the deadline passed before the request was sent",
            )
        message = forwards.to_message(
            req,
            timeout_ms=timeout_ms,
            generation=destination.generation,
        )
        try:
            reply = self._peers.call(
                destination.vm,
                message,
                timeout_ms=timeout_ms,
                patience=forwards.patience_for(req),
            )
        except errors.MessageNotSentError as error:
            return outcome.NotRun(
                outcome.Reason.OWNER_UNREACHABLE, str(error), NO_OWNER_RETRY_MS
            )
        except errors.ReplyLostError as error:
            return outcome.Unknown(outcome.Reason.ANSWER_LOST, str(error))
        return replies.outcome_of(reply, req.request_id)


def _validate(
    service: plan.Service | None, req: request.Request
) -> outcome.NotRun | None:
    if service is None:
        return outcome.NotRun(
            outcome.Reason.UNKNOWN_SERVICE,
            f"the plan has no service {req.service!r}",
        )
    if service.keyed and not re.fullmatch(service.key_pattern, req.key):
        return outcome.NotRun(
            outcome.Reason.BAD_REQUEST,
            f"the key does not match {service.key_pattern!r}",
        )
    if len(req.body) > service.max_body_bytes:
        return outcome.NotRun(
            outcome.Reason.BODY_TOO_LARGE,
            f"the body exceeds {service.max_body_bytes} bytes",
        )
    return None
