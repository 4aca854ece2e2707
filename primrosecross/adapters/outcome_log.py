"""Log line for a request whose outcome at its target is unknown."""

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
