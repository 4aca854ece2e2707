"""Header names of the platform's HTTP requests and responses.

Source: PROTOCOL.md, "Ingress", "Answers", "Workers" and "Keys that workers
hold".
"""

from primrosecross.adapters.http import http_headers

REQUEST_ID = "Request-Id"
DEADLINE_MS = "Deadline-Ms"  # remaining time, not a point in time
SHARD_KEY = "Shard-Key"
CALLER_SERVICE = "Caller-Service"  # service whose daemon first received it
EXPECT_INSTANCE = "Expect-Instance"
SERVER_STAMP = "Server-Stamp"  # proves that the target itself responded
NOT_RUN = "Not-Executed"
HANDOVER = "Handover"  # token in the answer to a release

_SET_BY_DAEMON = frozenset(
    n.lower() for n in (DEADLINE_MS, CALLER_SERVICE, EXPECT_INSTANCE)
)


def end_to_end(
    headers: list[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers to forward, except those that the daemon sets."""
    return http_headers.end_to_end(headers, without=_SET_BY_DAEMON)
