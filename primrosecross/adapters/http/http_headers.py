"""Which headers an intermediary forwards.

Source: RFC 9110, section 7.6.1.
"""

# The length is set again for each hop.
_HOP_BY_HOP = frozenset(
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


def end_to_end(
    headers: list[tuple[str, str]], *, without: frozenset[str] = frozenset()
) -> tuple[tuple[str, str], ...]:
    """Returns the headers to forward with a request or response.

    Args:
        headers: Names and values as received.
        without: Further names that are left out, in lower case.
    """
    connection_options = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for part in value.split(",")
    }
    dropped = _HOP_BY_HOP | without | connection_options
    return tuple((n, v) for n, v in headers if n.lower() not in dropped)
