"""Brings a request to the one owner of its key and its answer back."""

import functools
import random
import re

from primrosecross.domain import errors
from primrosecross.domain import executor as executor_module
from primrosecross.domain import lease as lease_module
from primrosecross.domain import messages
from primrosecross.domain import outcome
from primrosecross.domain import plan
from primrosecross.domain import request
from primrosecross.domain import state as state_module
from primrosecross.domain import sync as sync_module
from primrosecross.ports import clock as clock_port
from primrosecross.ports import peers as peers_port

RETRY_PAUSE_MS = 50
RETRYABLE = frozenset(
    {
        outcome.Reason.NO_OWNER,
        outcome.Reason.NOT_OWNER,
        outcome.Reason.LEASE_LAPSED,
        outcome.Reason.OWNER_UNREACHABLE,
    }
)


class Router:
    """Finds the owner, forwards, and retries what provably did not run.

    Args:
        vm: This VM's name.
        state: Plan and assignment in force here.
        sync: Fetches newer state.
        executor: Runs requests whose owner is this daemon.
        peers: Other daemons.
        clock: Clock that counts time spent suspended.
    """

    def __init__(
        self,
        *,
        vm: str,
        state: state_module.State,
        sync: sync_module.Sync,
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

    def route(self, req: request.Request) -> outcome.Outcome:
        """Returns the outcome of a request, at the latest at its deadline."""
        service = self._state.plan.services.get(req.service)
        refusal = _check(service, req)
        if refusal is not None:
            return refusal
        while True:
            result = self._attempt(service, req)
            if not isinstance(result, outcome.NotRun):
                return result
            if result.reason not in RETRYABLE:
                return result
            if self._left_ms(req) <= RETRY_PAUSE_MS:
                return result
            self._clock.sleep(RETRY_PAUSE_MS * random.uniform(0.5, 1.0))

    def _left_ms(self, req: request.Request) -> int:
        left_ns = req.deadline_ns - self._clock.now_ns()
        return left_ns // lease_module.NS_PER_MS

    def _attempt(
        self, service: plan.Service, req: request.Request
    ) -> outcome.Outcome:
        vm, generation = self._choose(service, req)
        if not vm:
            return outcome.NotRun(
                outcome.Reason.NO_OWNER,
                f"no owner of {req.service} is known",
                RETRY_PAUSE_MS,
            )
        if vm == self._vm:
            return self._executor.execute(req)
        return self._forward(vm, generation, req)

    def _choose(
        self, service: plan.Service, req: request.Request
    ) -> tuple[str, int]:
        if service.keyed:
            _, grant = self._state.assignment.grant_for(req.service, req.key)
            return grant.vm, grant.generation
        vms = [
            m.vm
            for m in self._state.assignment.members.values()
            if m.offers_service(req.service)
        ]
        return (random.choice(vms), 0) if vms else ("", 0)

    def _forward(
        self, vm: str, generation: int, req: request.Request
    ) -> outcome.Outcome:
        timeout_ms = self._left_ms(req)
        if timeout_ms <= 0:
            return outcome.NotRun(
                outcome.Reason.DEADLINE, "the deadline passed before sending"
            )
        message = messages.Forward(
            request_id=req.request_id,
            service=req.service,
            key=req.key,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=req.body,
            idempotent=req.idempotent,
            generation=generation,
            timeout_ms=timeout_ms,
        )
        try:
            answer = self._peers.call(vm, message, timeout_ms=timeout_ms)
        except errors.PeerUnsentError as error:
            return outcome.NotRun(
                outcome.Reason.OWNER_UNREACHABLE, str(error), RETRY_PAUSE_MS
            )
        except errors.PeerLostError as error:
            return outcome.Unknown(outcome.Reason.ANSWER_LOST, str(error))
        return _outcome_of(answer)


def _check(
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


@functools.singledispatch
def _outcome_of(answer: messages.Message) -> outcome.Outcome:
    return outcome.Unknown(
        outcome.Reason.ANSWER_LOST,
        f"the owner answered with {type(answer).__name__}",
    )


@_outcome_of.register
def _(answer: messages.ForwardAnswered) -> outcome.Outcome:
    return outcome.Answered(answer.status, answer.headers, answer.body)


@_outcome_of.register
def _(answer: messages.ForwardNotRun) -> outcome.Outcome:
    return outcome.NotRun(
        outcome.Reason(answer.reason), answer.detail, answer.retry_after_ms
    )


@_outcome_of.register
def _(answer: messages.ForwardUnknown) -> outcome.Outcome:
    return outcome.Unknown(outcome.Reason(answer.reason), answer.detail)


@functools.singledispatch
def answer_of(result: outcome.Outcome) -> messages.Message:
    """Returns the message that carries an outcome back to the sender."""
    raise TypeError(f"no message for {type(result).__name__}")


@answer_of.register
def _(result: outcome.Answered) -> messages.Message:
    return messages.ForwardAnswered(
        status=result.status, headers=result.headers, body=result.body
    )


@answer_of.register
def _(result: outcome.NotRun) -> messages.Message:
    return messages.ForwardNotRun(
        reason=result.reason.value,
        detail=result.detail,
        retry_after_ms=result.retry_after_ms,
    )


@answer_of.register
def _(result: outcome.Unknown) -> messages.Message:
    return messages.ForwardUnknown(
        reason=result.reason.value, detail=result.detail
    )
