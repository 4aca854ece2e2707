"""Tells responses to a request from those to earlier ones, by echoed IDs."""

import logging

from primrosecross.adapters.http import http_response

MAX_REFUSED_IDS = 4096

_logger = logging.getLogger(__name__)


class RequestEcho:
    """Matches responses of a server that returns the ID of each request.

    Args:
        header: Name of the header with the ID.
    """

    def __init__(self, header: str) -> None:
        self._header = header.lower()
        # In order of the refusals.
        self._refused_ids: dict[str, None] = {}

    def matches(
        self, response: http_response.HttpResponse, request_id: str
    ) -> bool:
        """Returns False for a response that may be to an earlier request.

        A response without an ID counts only as the first one on its
        connection: a faulty server may write an earlier response once more.
        """
        response_ids = set(response.values(self._header))
        if response_ids == {request_id}:
            return True
        if not response_ids and response.is_first:
            return True
        _logger.info(
            "discarding a response to another request: status %d, %s",
            response.status,
            "other ID" if response_ids else "no ID on a reused connection",
            extra={"request_id": request_id},
        )
        return False

    def has_id(self, response: http_response.HttpResponse) -> bool:
        """Returns whether later responses can be told apart."""
        return bool(response.get(self._header))

    def record_refusal(self, request_id: str) -> None:
        """Remembers the ID of a request that the server refused to run."""
        self._refused_ids[request_id] = None
        if len(self._refused_ids) > MAX_REFUSED_IDS:
            del self._refused_ids[next(iter(self._refused_ids))]

    def was_refused(self, request_id: str) -> bool:
        """Returns whether a request was refused not long ago.

        Sent again, it needs a new connection: on the old one the server may
        repeat the first refusal, with the request's own ID.
        """
        return request_id in self._refused_ids
