"""Retry policy of requests inside the system.

The budget is a token bucket as in Finagle's RetryBudget: each request adds a
fraction of a token and each retry takes a whole one, so retries never exceed
a share of the traffic.
"""

import dataclasses
import random

from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request

MIN_BACKOFF_MS = 25
MAX_BACKOFF_MS = 400
_NOT_RUN_RETRYABLE = frozenset(
    {
        outcome.Reason.NO_OWNER,
        outcome.Reason.NOT_OWNER,
        outcome.Reason.LEASE_LAPSED,
        outcome.Reason.OWNER_UNREACHABLE,
        outcome.Reason.NO_TARGET,
        outcome.Reason.TARGET_REFUSED,
    }
)
_NOT_RUN_BUDGETED = frozenset(
    {outcome.Reason.NO_TARGET, outcome.Reason.TARGET_REFUSED}
)
_UNKNOWN_RETRYABLE = frozenset(
    {outcome.Reason.ANSWER_LOST, outcome.Reason.TARGET_CRASHED}
)


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Tokens that limit retries to a share of requests.

    Attributes:
        share: Tokens added by each request.
        reserve: Maximum number of tokens.
        tokens: Tokens available now; a new budget starts with a full reserve
            by default.
    """

    share: float = 0.1
    reserve: float = 50.0
    tokens: float = 50.0

    def deposit(self) -> None:
        """Adds the tokens of one request."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def withdraw(self, cost: float = 1.0) -> bool:
        """Takes the tokens of a retry; returns whether enough were left.

        Args:
            cost: Tokens that the retry takes.
        """
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


def is_retryable(
    result: outcome.Outcome, req: request.Request, *, other_member: bool = False
) -> bool:
    """Returns whether a retry is useful and cannot cause a harmful rerun.

    Args:
        result: Outcome of the last attempt.
        req: The request.
        other_member: Whether the next attempt can go to another member.
    """
    if isinstance(result, outcome.Answered):
        return False
    if result.reason is outcome.Reason.NO_OWNER:
        return True
    if not isinstance(req.body, bytes):
        return False
    if isinstance(result, outcome.NotRun):
        overloaded = result.reason is outcome.Reason.OVERLOADED
        return result.reason in _NOT_RUN_RETRYABLE or (
            other_member and overloaded
        )
    return req.idempotent and result.reason in _UNKNOWN_RETRYABLE


def costs_token(result: outcome.Outcome) -> bool:
    """Returns whether a retry causes load that the budget must limit.

    Waiting for a key's next owner causes none.
    """
    if isinstance(result, outcome.Unknown):
        return True
    return result.reason in _NOT_RUN_BUDGETED


def backoff_ms(attempt: int) -> float:
    """Returns the backoff after an attempt: exponential with jitter."""
    max_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2**attempt)
    return max_ms * random.uniform(0.5, 1.0)
