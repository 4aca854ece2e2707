"""Dispatches requests to targets, with retries and key-holder lookup."""

import collections
import dataclasses
import enum
import functools
import logging

from primrosecross.domain import errors
from primrosecross.domain.membership import fleet_state
from primrosecross.domain.ownership import key_map as key_map_module
from primrosecross.domain.requests import body as body_module
from primrosecross.domain.requests import body_memory
from primrosecross.domain.requests import forwards
from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import replies
from primrosecross.domain.requests import request
from primrosecross.domain.requests import retry
from primrosecross.domain.requests import routes
from primrosecross.domain.requests import target_balancer
from primrosecross.domain.requests import target_gate
from primrosecross.ports import clock as clock_port
from primrosecross.ports import peers as peers_port

NS_PER_MS = 1_000_000
MAX_VMS_TRIED = 3  # VMs tried for one attempt while none has run it
MOVE_WAIT_MS = 900  # receiver heartbeat, store write and transit of both
MOVE_WAIT_SHARE = 0.5  # of the remaining time; leaves time to retry a refusal
MOVE_POLL_MS = 150
NO_TARGET_RETRY_MS = 500
OWNER_UNREACHABLE_RETRY_MS = 2000  # reassigning a lost VM's keys takes seconds
ANSWER_MARGIN_MS = 25  # between the target's deadline and the route's timeout
RETRY_SHARE = 0.09  # half of the fleet's budget: nested calls retry too
RETRY_RESERVE = 4.0
FAILED_RUN_TOKENS = 3.0  # a rerun repeats the nested calls of the failed run
AVERAGE_WEIGHT = 0.05

_logger = logging.getLogger(__name__)


class _NextStep(enum.Enum):
    """Next step after an attempt."""

    RETURN = enum.auto()
    ELSEWHERE = enum.auto()
    REPEAT = enum.auto()
    FOLLOW_KEY = enum.auto()


# Next step after a refusal, which proves that the request did not run.
_AFTER_REFUSAL = {
    outcome.Reason.OVERLOADED: _NextStep.ELSEWHERE,
    outcome.Reason.NO_TARGET: _NextStep.ELSEWHERE,
    outcome.Reason.LEAVING: _NextStep.ELSEWHERE,
    outcome.Reason.OWNER_UNREACHABLE: _NextStep.ELSEWHERE,
    outcome.Reason.BODY_CUT: _NextStep.ELSEWHERE,
    outcome.Reason.NOT_OWNER: _NextStep.FOLLOW_KEY,
    outcome.Reason.NO_OWNER: _NextStep.FOLLOW_KEY,
    outcome.Reason.TARGET_REFUSED: _NextStep.REPEAT,
    outcome.Reason.KEY_REFUSED: _NextStep.REPEAT,
}
# Overrides for keyed requests, which only the key's holder can run.
_AFTER_KEYED_REFUSAL = {
    outcome.Reason.NO_TARGET: _NextStep.FOLLOW_KEY,
    outcome.Reason.LEAVING: _NextStep.FOLLOW_KEY,
    outcome.Reason.OWNER_UNREACHABLE: _NextStep.FOLLOW_KEY,
    outcome.Reason.OVERLOADED: _NextStep.RETURN,
    outcome.Reason.BODY_CUT: _NextStep.RETURN,
}
# Next step after an unknown outcome of an idempotent request.
_AFTER_UNKNOWN = {
    outcome.Reason.ANSWER_LOST: _NextStep.REPEAT,
    outcome.Reason.TARGET_CRASHED: _NextStep.REPEAT,
}


@dataclasses.dataclass(slots=True)
class _AttemptHistory:
    """Outcomes of one request's attempts so far.

    Attributes:
        runs: Attempts that a target may have started or that it refused.
        tried: VMs tried.
        follow_until_ns: When to stop waiting for the key's next holder.
        first_unknown: First unknown outcome.
        first_failure: First answer that reported a failure of the target.
        last_refusal: Last refusal by a target or its gate.
    """

    runs: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    follow_until_ns: int = 0
    first_unknown: outcome.Unknown | None = None
    first_failure: outcome.Answered | None = None
    last_refusal: outcome.NotRun | None = None

    def record(self, result: outcome.Outcome) -> None:
        """Records an outcome; a possible run rules out a final NotRun."""
        if isinstance(result, outcome.Unknown) and self.first_unknown is None:
            self.first_unknown = result
        if isinstance(result, outcome.Answered) and self.first_failure is None:
            self.first_failure = result
        if isinstance(result, outcome.NotRun):
            self.last_refusal = result


class Dispatcher:
    """Selects a target, forwards the request, and retries it when safe.

    Args:
        vm: This VM's name.
        place: Its availability zone.
        state: Key map, plan and directory in force on this VM.
        gate: Gate of the local target.
        peers: Other daemons.
        clock: Clock that includes time spent suspended.
        bodies: Memory for the bodies of answers.
    """

    def __init__(
        self,
        *,
        vm: str,
        place: str,
        state: fleet_state.FleetState,
        gate: target_gate.TargetGate,
        peers: peers_port.Peers,
        clock: clock_port.Clock,
        bodies: body_memory.BodyMemory,
    ) -> None:
        self._bodies = bodies
        self._vm = vm
        self._state = state
        self._gate = gate
        self._peers = peers
        self._clock = clock
        self._balancer = target_balancer.TargetBalancer(
            place=place, clock=clock
        )
        self._budgets: dict[str, retry.RetryBudget] = collections.defaultdict(
            functools.partial(
                retry.RetryBudget,
                share=RETRY_SHARE,
                reserve=RETRY_RESERVE,
                tokens=RETRY_RESERVE,
            )
        )
        self._current_weights: dict[str, dict[str, float]] = {}
        self._average_ms: dict[str, float] = {}

    def choose_service(self, route: routes.Route) -> str:
        """Returns the service for the next request of a route, by weight.

        Smooth weighted round robin: each request adds every service's weight
        to its current weight; the service with the highest is chosen, and the
        sum of all weights is subtracted from it.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        current_weights = self._current_weights.setdefault(route.name, {})
        total = sum(s.weight for s in route.shares)
        for share in route.shares:
            current_weights[share.service] = (
                current_weights.get(share.service, 0.0) + share.weight
            )
        chosen = max(
            (s.service for s in route.shares if s.weight),
            key=lambda name: current_weights[name],
        )
        current_weights[chosen] -= total
        return chosen

    def run(
        self, req: request.Request, *, max_run_attempts: int
    ) -> outcome.Outcome:
        """Returns the outcome of a request, at the latest at its deadline.

        Args:
            req: The request.
            max_run_attempts: Maximum number of attempts that may run it.
        """
        budget = self._budgets[req.service]
        budget.deposit()
        wait_ms = min(MOVE_WAIT_MS, self._remaining_ms(req) * MOVE_WAIT_SHARE)
        history = _AttemptHistory(
            follow_until_ns=self._clock.now_ns() + int(wait_ms * NS_PER_MS)
        )
        while True:
            vm = self._select_vm(req, history)
            if not vm and history.last_refusal is not None:
                return _final_outcome(history.last_refusal, history)
            may_repeat = (
                history.runs + 1 < max_run_attempts and budget.tokens >= 1
            )
            result = self._attempt(vm, req, may_repeat=may_repeat)
            history.record(result)
            self._log_attempt(req, vm, result)
            step = self._next_step(req, vm, result, history, max_run_attempts)
            if step is _NextStep.REPEAT and not self._may_retry(
                req, result, budget
            ):
                step = _NextStep.RETURN
            if step is _NextStep.RETURN or self._remaining_ms(req) <= 0:
                return _final_outcome(result, history)
            is_keyed_refusal = req.key and isinstance(result, outcome.NotRun)
            if step is _NextStep.FOLLOW_KEY or is_keyed_refusal:
                self._state.wait(MOVE_POLL_MS / 1000)
            history.tried.add(vm)

    def _may_retry(
        self,
        req: request.Request,
        result: outcome.Outcome,
        budget: retry.RetryBudget,
    ) -> bool:
        """Returns whether a retry fits the deadline and the retry budget."""
        average_ms = self._average_ms.get(req.service, 0.0)
        has_run = isinstance(result, outcome.Answered)
        cost = FAILED_RUN_TOKENS if has_run else 1.0
        return self._remaining_ms(req) > average_ms and budget.withdraw(cost)

    def _record_duration(self, service: str, duration_ms: float) -> None:
        previous_ms = self._average_ms.get(service, duration_ms)
        self._average_ms[service] = previous_ms + AVERAGE_WEIGHT * (
            duration_ms - previous_ms
        )

    def _select_vm(self, req: request.Request, history: _AttemptHistory) -> str:
        if req.key:
            _, holder = self._state.key_map.find(req.service, int(req.key))
            return "" if holder is None else holder.vm
        return self._balancer.choose(
            self._state.entries,
            req.service,
            avoid=frozenset(history.tried),
            size_bytes=len(req.body),
        )

    def _log_attempt(
        self, req: request.Request, vm: str, result: outcome.Outcome
    ) -> None:
        if isinstance(result, outcome.Answered):
            return
        _logger.warning(
            "request attempt failed: %s",
            result.reason.value,
            extra={
                "request_id": req.request_id,
                "service": req.service,
                "tried": vm,
                "detail": result.detail,
                "map_version": self._state.key_map.version,
            },
        )

    def _remaining_ms(self, req: request.Request) -> int:
        remaining_ns = req.deadline_ns - self._clock.now_ns()
        return remaining_ns // NS_PER_MS - ANSWER_MARGIN_MS

    def _attempt(
        self, vm: str, req: request.Request, *, may_repeat: bool
    ) -> outcome.Outcome:
        if not vm:
            return outcome.NotRun(
                outcome.Reason.NO_OWNER,
                f"no target of {req.service} is available for the request",
                NO_TARGET_RETRY_MS,
            )
        refusal = self._gate.refuse_quarantined(req)
        if refusal is not None:
            return refusal
        started_ns = self._clock.now_ns()
        self._balancer.record_start(vm)
        result: outcome.Outcome = outcome.Unknown(
            outcome.Reason.ANSWER_LOST,
            "internal error in the router during the attempt",
        )
        try:
            if vm == self._vm:
                result = self._gate.run(req)
            else:
                result = self._forward(vm, req, may_repeat=may_repeat)
            result = self._read_body(result, req)
            return result
        finally:
            duration_ms = (self._clock.now_ns() - started_ns) / NS_PER_MS
            self._balancer.record_end(vm, result, duration_ms)
            if isinstance(result, outcome.Answered):
                self._record_duration(req.service, duration_ms)

    def _forward(
        self, vm: str, req: request.Request, *, may_repeat: bool
    ) -> outcome.Outcome:
        remaining_ms = self._remaining_ms(req)
        if remaining_ms <= 0:
            return outcome.NotRun(
                outcome.Reason.DEADLINE,
                "the deadline passed before the request was sent",
            )
        message = forwards.to_message(
            req,
            timeout_ms=remaining_ms,
            plan_revision=self._state.plan_revision,
            body=body_module.stream_if_large(req.body),
        )
        try:
            reply = self._peers.call(
                vm,
                message,
                timeout_ms=remaining_ms,
                patience=forwards.patience_for(req, may_repeat=may_repeat),
            )
        except errors.MessageNotSentError as error:
            return outcome.NotRun(
                outcome.Reason.OWNER_UNREACHABLE,
                str(error),
                OWNER_UNREACHABLE_RETRY_MS if req.key else NO_TARGET_RETRY_MS,
            )
        except errors.ReplyLostError as error:
            deadline_passed = self._remaining_ms(req) <= 0
            return outcome.Unknown(
                outcome.Reason.DEADLINE
                if deadline_passed
                else outcome.Reason.ANSWER_LOST,
                str(error),
            )
        return replies.outcome_of(reply, req.request_id)

    def _read_body(
        self, result: outcome.Outcome, req: request.Request
    ) -> outcome.Outcome:
        """Returns the outcome with its body, if any, read to the end."""
        content = outcome.body_of(result)
        if body_module.is_repeatable(content):
            return result
        size_bytes = len(content)
        timeout_s = self._remaining_ms(req) / 1000
        try:
            if not self._bodies.await_answer(size_bytes, timeout_s=timeout_s):
                return outcome.Unknown(
                    outcome.Reason.ANSWER_LOST,
                    f"no memory for an answer of {size_bytes} bytes",
                )
            try:
                return dataclasses.replace(
                    result, body=body_module.read_all(content)
                )
            finally:
                self._bodies.give_back(size_bytes)
        except errors.BodyError as error:
            return outcome.Unknown(outcome.Reason.ANSWER_LOST, str(error))
        finally:
            body_module.close(content)

    def _next_step(
        self,
        req: request.Request,
        vm: str,
        result: outcome.Outcome,
        history: _AttemptHistory,
        max_run_attempts: int,
    ) -> _NextStep:
        """Returns the next step after an attempt."""
        step = _step_after(result, req)
        if step is _NextStep.REPEAT:
            history.runs += 1
            return step if history.runs < max_run_attempts else _NextStep.RETURN
        if step is _NextStep.ELSEWHERE:
            tried = frozenset(history.tried | {vm})
            may_try_another = len(tried) < MAX_VMS_TRIED and vm
            if result.reason is outcome.Reason.OVERLOADED:
                # Targets in a backoff have just refused such requests, too.
                may_try_another = may_try_another and (
                    self._balancer.has_available(
                        self._state.entries, req.service, avoid=tried
                    )
                )
            return step if may_try_another else _NextStep.RETURN
        if step is _NextStep.FOLLOW_KEY and req.key:
            before_limit = self._clock.now_ns() < history.follow_until_ns
            may_become_available = before_limit and self._may_become_available(
                req, vm, result
            )
            return step if may_become_available else _NextStep.RETURN
        return _NextStep.RETURN

    def _may_become_available(
        self, req: request.Request, vm: str, result: outcome.Outcome
    ) -> bool:
        """Returns whether the key's holder is alive or about to change.

        Args:
            req: The request.
            vm: VM of the last attempt.
            result: Outcome of the last attempt.
        """
        key_range, holder = self._state.key_map.find(req.service, int(req.key))
        if holder is None:
            return bool(self._state.key_map.tables)
        if holder.state is key_map_module.HolderState.REVOKING:
            return False
        if holder.vm == vm and _is_unreachable(result):
            return False
        entry = self._state.entries.get(holder.vm)
        is_lost = entry is None or entry.state in ("lost", "silent")
        return not is_lost or bool(key_range.receiver)


@functools.singledispatch
def _step_after(result: object, req: request.Request) -> _NextStep:
    """Returns the next step after an outcome, before limits are applied."""
    raise TypeError(f"no step after {type(result).__name__}")


@_step_after.register
def _(result: outcome.Answered, req: request.Request) -> _NextStep:
    is_retryable = result.status >= 500 and req.idempotent
    return _NextStep.REPEAT if is_retryable else _NextStep.RETURN


@_step_after.register
def _(result: outcome.NotRun, req: request.Request) -> _NextStep:
    table = (
        _AFTER_KEYED_REFUSAL
        if req.key and result.reason in _AFTER_KEYED_REFUSAL
        else _AFTER_REFUSAL
    )
    return table.get(result.reason, _NextStep.RETURN)


@_step_after.register
def _(result: outcome.Unknown, req: request.Request) -> _NextStep:
    if not req.idempotent:
        return _NextStep.RETURN
    return _AFTER_UNKNOWN.get(result.reason, _NextStep.RETURN)


def _is_unreachable(result: outcome.Outcome) -> bool:
    return (
        isinstance(result, outcome.NotRun)
        and result.reason is outcome.Reason.OWNER_UNREACHABLE
    )


def _final_outcome(
    result: outcome.Outcome, history: _AttemptHistory
) -> outcome.Outcome:
    """Returns the caller's outcome; NotRun only if no attempt may have run."""
    if isinstance(result, outcome.NotRun):
        return history.first_failure or history.first_unknown or result
    return result
