"""Names of the headers that the platform's requests and answers carry.

Source: PROTOCOL.md, "Ingress", "Answers", "Workers" and "Keys that workers
hold".
"""

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"  # milliseconds left, not a point in time
KEY = "Shard-Key"
ORIGIN = "Caller-Service"  # service beside which the request began
INSTANCE = "Expect-Instance"
STAMP = "Server-Stamp"  # a target's proof that the answer is its own
NOT_RUN = "Not-Executed"

# Concern one connection only (RFC 9110, section 7.6.1), or are set anew.
_OF_CONNECTION = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
_SET_BY_US = frozenset(n.lower() for n in (DEADLINE, ORIGIN, INSTANCE))


def passed_on(
    headers: list[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that travel with a request or an answer."""
    named = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }
    dropped = _OF_CONNECTION | _SET_BY_US | named
    return tuple((n, v) for n, v in headers if n.lower() not in dropped)
