"""Log lines for the outcomes of requests."""

import logging

from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request

_logger = logging.getLogger(__name__)


def log_unknown(req: request.Request, result: outcome.Outcome) -> None:
    """Logs why the outcome of a request is unknown, if it is."""
    if isinstance(result, outcome.Unknown):
        _logger.warning(
            "the outcome at the target is unknown: %s",
            result.detail,
            extra={"request_id": req.request_id, "service": req.service},
        )


def log_outcome(
    request_id: str, service: str, result: outcome.Outcome, took_ms: int
) -> None:
    """Logs the outcome of a request, failures at a higher level."""
    extra = {"request_id": request_id, "service": service, "took_ms": took_ms}
    if isinstance(result, outcome.Answered):
        if result.status < 500:
            _logger.info("answered %d", result.status, extra=extra)
        else:
            _logger.warning("answered %d", result.status, extra=extra)
    elif isinstance(result, outcome.NotRun):
        _logger.warning(
            "refused, not run: %s", result.reason.value, extra=extra
        )
    else:
        _logger.error("outcome unknown: %s", result.reason.value, extra=extra)
