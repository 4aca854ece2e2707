"""Runs each non-idempotent request with an Idempotency-Key at most once.

An attempt runs only if no earlier attempt with the same Idempotency-Key ran:
neither on this VM, nor at an owner that the key had within the resend window.
Earlier owners that are still members are asked. What a lost owner ran cannot
be known, so the outcome is unknown unless the caller marks the attempt as the
first.
"""

from collections.abc import Callable

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain.membership import lease as lease_module
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import plan
from primrosecross.domain.ownership import (
    assignment_history as assignment_history_module,
)
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import outcome_cache as outcome_cache_module
from primrosecross.domain.requests import replies
from primrosecross.domain.requests import request
from primrosecross.domain.requests import (
    request_identity as request_identity_module,
)
from primrosecross.domain.requests import request_messages
from primrosecross.ports import clock as clock_port
from primrosecross.ports import peers as peers_port

ASK_TIMEOUT_MS = 1000
FIRST_ATTEMPT = 1
_REFUSED_BEFORE_LOOKUP = frozenset(
    {
        outcome.Reason.NO_OWNER,
        outcome.Reason.NOT_OWNER,
        outcome.Reason.LEASE_LAPSED,
        outcome.Reason.OWNER_UNREACHABLE,
        outcome.Reason.DEADLINE,
    }
)


class Deduplicator:
    """Runs each identified non-idempotent request at most once.

    Args:
        vm: This VM's name.
        state: Plan in force, for resend windows.
        outcomes: Outcomes of requests that ran here.
        assignment_history: Earlier holders that may have run a request.
        peers: Other daemons.
        clock: Clock that deadlines refer to.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: state_module.ClusterState,
        outcomes: outcome_cache_module.OutcomeCache,
        assignment_history: assignment_history_module.AssignmentHistory,
        peers: peers_port.Peers,
        clock: clock_port.Clock,
    ) -> None:
        self._vm = vm
        self._state = state
        self._outcomes = outcomes
        self._assignment_history = assignment_history
        self._peers = peers
        self._clock = clock

    def run_once(
        self,
        service: plan.Service,
        req: request.Request,
        run: Callable[[], outcome.Outcome],
    ) -> outcome.Outcome:
        """Runs a request, or returns the outcome of an earlier attempt."""
        identity = request_identity_module.identity_of(req)
        fingerprint = request_identity_module.fingerprint(req)
        earlier_outcome = self._outcomes.find(
            identity, fingerprint, deadline_ns=req.deadline_ns
        )
        if earlier_outcome is None and not _is_first_attempt(service, req):
            earlier_outcome = self._ask_earlier_owners(
                service,
                identity,
                fingerprint,
                asked=(self._vm,),
                deadline_ns=req.deadline_ns,
            )
        if earlier_outcome is not None:
            return earlier_outcome
        return self._outcomes.run_once(
            identity,
            fingerprint,
            window_ms=service.resend_window_ms,
            deadline_ns=req.deadline_ns,
            run=run,
        )

    def _ask_earlier_owners(
        self,
        service: plan.Service,
        identity: request_identity_module.RequestIdentity,
        fingerprint: str,
        *,
        asked: tuple[str, ...],
        deadline_ns: int,
    ) -> outcome.Outcome | None:
        """Returns the outcome known to earlier owners, None if none ran it."""
        earlier = self._assignment_history.earlier_holders(service, identity)
        for holder, holder_status in earlier.items():
            if holder_status is assignment_history_module.HolderStatus.LOST:
                return _unknown(
                    f"an earlier owner was lost: {holder.vm or 'unknown VM'}"
                )
        vms = {holder.vm for holder in earlier} - set(asked)
        asked += tuple(sorted(vms))
        for vm in sorted(vms):
            query = request_messages.AskAnswer(
                request_id=identity.request_id,
                service=identity.service,
                key=identity.key,
                fingerprint=fingerprint,
                asked=asked,
                timeout_ms=self._ask_timeout_ms(deadline_ns),
            )
            earlier_outcome = self._ask_owner(vm, query)
            if earlier_outcome is not None:
                return earlier_outcome
        return None

    def _ask_timeout_ms(self, deadline_ns: int) -> int:
        remaining_ns = deadline_ns - self._clock.now_ns()
        return max(
            1, min(ASK_TIMEOUT_MS, remaining_ns // lease_module.NS_PER_MS)
        )

    def _ask_owner(
        self, vm: str, query: request_messages.AskAnswer
    ) -> outcome.Outcome | None:
        try:
            reply = self._peers.call(vm, query, timeout_ms=query.timeout_ms)
        except errors.PeerError as error:
            return _unknown(f"the earlier owner {vm} does not answer: {error}")
        if reply == request_messages.AnswerAbsent(query.request_id):
            return None
        return replies.outcome_of(reply, query.request_id)

    def answer_ask(self, query: request_messages.AskAnswer) -> messages.Message:
        """Returns to a later owner the outcome of a request on this VM."""
        identity = request_identity_module.RequestIdentity(
            query.service, query.key, query.request_id
        )
        service = self._state.plan.services.get(query.service)
        if service is None:
            return replies.reply_of(
                _unknown("an earlier owner's plan has no such service"),
                query.request_id,
            )
        deadline_ns = (
            self._clock.now_ns() + query.timeout_ms * lease_module.NS_PER_MS
        )
        earlier_outcome = self._outcomes.find(
            identity, query.fingerprint, deadline_ns=deadline_ns
        )
        if earlier_outcome is None:
            self._outcomes.record_outcome(
                identity,
                query.fingerprint,
                window_ms=service.resend_window_ms,
                result=_handled_by_later_owner(),
            )
        if (
            earlier_outcome is None
            or earlier_outcome == _handled_by_later_owner()
        ):
            earlier_outcome = self._ask_earlier_owners(
                service,
                identity,
                query.fingerprint,
                asked=query.asked,
                deadline_ns=deadline_ns,
            )
        if earlier_outcome is None:
            return request_messages.AnswerAbsent(query.request_id)
        return replies.reply_of(earlier_outcome, query.request_id)


def account_for_earlier_attempts(
    service: plan.Service, req: request.Request, result: outcome.Outcome
) -> outcome.Outcome:
    """Returns the outcome of a request, given that of its last attempt.

    An attempt refused before the owner looked up earlier outcomes did not
    run, but an earlier attempt may have.
    """
    if not isinstance(result, outcome.NotRun) or _is_first_attempt(
        service, req
    ):
        return result
    if result.reason in _REFUSED_BEFORE_LOOKUP:
        return _unknown(result.detail)
    return result


def _is_first_attempt(service: plan.Service, req: request.Request) -> bool:
    unmarked_first = service.attempts_marked and req.attempt == 0
    return req.attempt == FIRST_ATTEMPT or unmarked_first


def _handled_by_later_owner() -> outcome.NotRun:
    return outcome.NotRun(
        outcome.Reason.NOT_OWNER, "a later owner of the key handles the request"
    )


def _unknown(detail: str) -> outcome.Unknown:
    return outcome.Unknown(
        outcome.Reason.EARLIER_ATTEMPT,
        f"an earlier attempt may have run: {detail}; this attempt did not run; "
        "mark first attempts with Primrosecross-Attempt: 1",
    )
