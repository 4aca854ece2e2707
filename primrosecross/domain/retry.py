"""When a request is sent again inside the system, and how often.

The budget is a token bucket as in Finagle's RetryBudget: each request adds a
part of a token and each retry takes a whole one, so retries never exceed a
share of the traffic.
"""

import dataclasses
import random

from primrosecross.domain import outcome
from primrosecross.domain import request

FIRST_PAUSE_MS = 25
MAX_PAUSE_MS = 400
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
_LIMITED = frozenset({outcome.Reason.NO_TARGET, outcome.Reason.TARGET_REFUSED})
_UNKNOWN_RETRYABLE = frozenset(
    {outcome.Reason.ANSWER_LOST, outcome.Reason.TARGET_CRASHED}
)


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Tokens that limit retries to a share of requests.

    Attributes:
        share: Retries allowed for each request.
        reserve: Tokens at the start, and the most that are kept.
    """

    share: float = 0.1
    reserve: float = 50.0
    tokens: float = 50.0

    def deposit(self) -> None:
        """Counts a request."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def withdraw(self, cost: float = 1.0) -> bool:
        """Takes a retry; returns whether one was left.

        Args:
            cost: How many plain retries it counts for.
        """
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


def is_safe(
    result: outcome.Outcome, req: request.Request, *, elsewhere: bool = False
) -> bool:
    """Tells whether sending again cannot run a request twice, and may help.

    Args:
        result: Outcome of the last attempt.
        req: The request.
        elsewhere: Whether the next attempt can go to another member.
    """
    if isinstance(result, outcome.Answered):
        return False
    if result.reason is outcome.Reason.NO_OWNER:
        return True
    if not isinstance(req.body, bytes):
        return False
    if isinstance(result, outcome.NotRun):
        overloaded = result.reason is outcome.Reason.OVERLOADED
        return result.reason in _NOT_RUN_RETRYABLE or (elsewhere and overloaded)
    return req.idempotent and result.reason in _UNKNOWN_RETRYABLE


def costs_token(result: outcome.Outcome) -> bool:
    """Tells whether a retry makes work that the budget must limit.

    Waiting for a key's next owner makes none.
    """
    if isinstance(result, outcome.Unknown):
        return True
    return result.reason in _LIMITED


def pause_ms(attempt: int) -> float:
    """Returns the pause after an attempt: exponential with jitter."""
    longest = min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2**attempt)
    return longest * random.uniform(0.5, 1.0)
