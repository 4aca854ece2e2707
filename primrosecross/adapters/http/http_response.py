"""HTTP/1.1 response parser with limits, on llhttp."""

import dataclasses
from collections.abc import Callable

import httptools

from primrosecross.adapters.http import framing_limit

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 << 20
SMALL_BODY_BYTES = 256 * 1024
MEMORY_DIVISOR = 4  # 1/4 of the memory may hold responses being read


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """Complete response.

    Attributes:
        status: Status code.
        headers: Names in lower case, with their values in order.
        body: Complete body.
        has_framing: Whether Content-Length or chunks delimit the body.
        is_first: Whether no other response precedes it on its connection,
            apart from interim ones. Only such a response is known to be to the
            request that was sent, whatever it says.
    """

    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    has_framing: bool = False
    is_first: bool = False

    def get(self, name: str) -> str:
        """Returns a header by its lower-case name, empty if absent."""
        return next(iter(self.values(name)), "")

    def values(self, name: str) -> list[str]:
        """Returns all values of a header by its lower-case name."""
        return [value for key, value in self.headers if key == name]


@dataclasses.dataclass(slots=True)
class BodyBudget:
    """Memory for the bodies of responses that are being read.

    Attributes:
        max_bytes: Size of all these bodies beyond which one of more than
            SMALL_BODY_BYTES is not read further.
        used_bytes: Their size now.
    """

    max_bytes: int = MAX_BODY_BYTES
    used_bytes: int = 0

    @classmethod
    def of_memory(cls, memory_bytes: int) -> "BodyBudget":
        """Returns a budget for a memory limit of the process, 0 if not set."""
        return cls(memory_bytes // MEMORY_DIVISOR or MAX_BODY_BYTES)


class ResponseParser:
    """Parses the response to one request; detects bytes that follow it.

    A late response to an earlier request is skipped.

    Args:
        matches_request: Returns whether a response answers the request.
        reused: Whether the connection served another request before.
        budget: Memory for bodies.
        ends_at_line: Whether the first line of the body completes the response.

    Attributes:
        response: The response, once it is complete.
        complete: Whether the response is complete.
        has_excess: Whether bytes follow it.
    """

    def __init__(
        self,
        matches_request: Callable[[HttpResponse], bool],
        *,
        reused: bool,
        budget: BodyBudget,
        ends_at_line: bool = False,
        ends_at_head: bool = False,
    ) -> None:
        self._ends_at_line = ends_at_line
        self._ends_at_head = ends_at_head
        self._budget = budget
        self.response = HttpResponse(is_first=not reused)
        self.complete = False
        self._matches_request = matches_request
        self._in_body = False
        self.has_excess = False
        self._keep_alive = False
        self._body = bytearray()
        # Both count the responses that are skipped, too.
        self._body_bytes = 0
        self._framing = framing_limit.FramingLimit(MAX_HEAD_BYTES)
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            httptools.HttpParserError: The bytes are no response.
            httptools.HttpParserUpgrade: The server switched protocols.
            ValueError: A limit is exceeded.
        """
        if self.complete:
            self.has_excess = True
            return
        self._framing.record_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, ValueError):
                raise error.__context__ from None
            raise
        if not self.complete and self._framing.is_exceeded():
            raise ValueError("the bytes outside of bodies are too many")

    def on_message_begin(self) -> None:
        """Handles the start of a response."""
        if self.complete:
            self.has_excess = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles one header or trailer."""
        if not self.complete and not self._in_body:  # Discards trailers.
            self.response.headers.append(
                (name.decode("latin-1").lower(), value.decode("latin-1"))
            )

    def on_headers_complete(self) -> None:
        """Handles the end of the headers; raises ValueError."""
        if self.complete:
            return
        response = self.response
        self._in_body = True
        response.status = self._parser.get_status_code()
        transfer_encoding = response.get("transfer-encoding").lower()
        response.has_framing = "chunked" in transfer_encoding or bool(
            response.get("content-length")
        )
        length = response.get("content-length")
        if self._ends_at_head:
            self._complete_at_head()
        elif length.isdigit() and int(length) > MAX_BODY_BYTES:
            raise ValueError("the response body is too long")

    def _complete_at_head(self) -> None:
        """Completes the response to a HEAD request, whose length is no body's.

        The connection is not reused, as the parser expects a body.
        """
        if self.response.status >= 200 and self._matches_request(self.response):
            self.complete = self.has_excess = True

    def on_body(self, piece: bytes) -> None:
        """Handles a part of the body; raises ValueError."""
        if self.complete:
            return
        self._body += piece
        self._body_bytes += len(piece)
        self._framing.record_body(len(piece))
        self._budget.used_bytes += len(piece)
        if self._body_bytes > MAX_BODY_BYTES:
            raise ValueError("the response body is too long")
        if (
            self._budget.used_bytes > self._budget.max_bytes
            and self._body_bytes > SMALL_BODY_BYTES
        ):
            raise ValueError("too many response bodies are being read")
        if self._ends_at_line and b"\n" in piece:
            self.response.body = bytes(self._body.partition(b"\n")[0])
            self.complete = self.has_excess = True

    def release(self) -> None:
        """Returns the memory for bodies to the budget."""
        self._budget.used_bytes -= self._body_bytes
        self._body_bytes = 0

    def on_message_complete(self) -> None:
        """Completes or skips a response."""
        if self.complete:
            return
        is_interim = self.response.status < 200
        if is_interim or not self._matches_request(self.response):
            is_first = is_interim and self.response.is_first
            self.response = HttpResponse(is_first=is_first)
            self._body.clear()
            self._in_body = False
            return
        self.response.body = bytes(self._body)
        self._keep_alive = self._parser.should_keep_alive()
        self.complete = True

    def handle_close(self) -> None:
        """Handles the end of the connection, which may end the body."""
        close_ends_body = self._in_body and not self.response.has_framing
        if (
            close_ends_body
            and not self.complete
            and self._matches_request(self.response)
        ):
            self.response.body = bytes(self._body)
            self.complete = True

    def is_reusable(self) -> bool:
        """Returns whether the connection may serve another request."""
        return (
            self.complete
            and not self.has_excess
            and self.response.has_framing
            and self._keep_alive
        )
