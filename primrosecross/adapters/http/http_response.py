"""HTTP/1.1 response parser with limits, on llhttp."""

import collections
import dataclasses
from collections.abc import Callable

import httptools

from primrosecross.adapters.http import framing_limit
from primrosecross.domain.requests import body as body_module
from primrosecross.domain.requests import body_memory

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 << 20


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """Complete response.

    Attributes:
        status: Status code.
        headers: Names in lower case, with their values in order.
        body: Complete body, or a stream of one that is still being read.
        has_framing: Whether Content-Length or chunks delimit the body.
        is_first: Whether no other response precedes it on its connection,
            apart from interim ones. Only such a response is known to be to the
            request that was sent, whatever it says.
    """

    status: int = 0
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: body_module.Body = b""
    has_framing: bool = False
    is_first: bool = False

    def get(self, name: str) -> str:
        """Returns a header by its lower-case name, empty if absent."""
        return next(iter(self.values(name)), "")

    def values(self, name: str) -> list[str]:
        """Returns all values of a header by its lower-case name."""
        return [value for key, value in self.headers if key == name]


class ResponseParser:
    """Parses the response to one request; detects bytes that follow it.

    A late response to an earlier request is skipped.

    Args:
        matches_request: Returns whether a response answers the request.
        reused: Whether the connection served another request before.
        bodies: Memory for bodies.
        ends_at_line: Whether the first line of the body completes the response.
        ends_at_head: Whether the response has no body, as to HEAD.
        stream_above_bytes: Declared length beyond which a body is not buffered;
            None for no length.

    Attributes:
        response: The response, once it is complete.
        complete: Whether the response is complete.
        has_excess: Whether bytes follow it.
        is_streamed: Whether its body goes to `pieces` instead.
        pieces: Parts of a streamed body that were not taken yet.
    """

    def __init__(
        self,
        matches_request: Callable[[HttpResponse], bool],
        *,
        reused: bool,
        bodies: body_memory.BodyMemory,
        ends_at_line: bool = False,
        ends_at_head: bool = False,
        stream_above_bytes: int | None = None,
    ) -> None:
        self._stream_above_bytes = stream_above_bytes
        self.is_streamed = False
        self.pieces: collections.deque[bytes] = collections.deque()
        self._ends_at_line = ends_at_line
        self._ends_at_head = ends_at_head
        self._bodies = bodies
        self.response = HttpResponse(is_first=not reused)
        self.complete = False
        self._matches_request = matches_request
        self._in_body = False
        self.has_excess = False
        self._keep_alive = False
        self._body = body_module.BodyBuffer()
        self._held_bytes = 0
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
        elif length.isdigit():
            if int(length) > MAX_BODY_BYTES:
                raise ValueError("the response body is too long")
            self.is_streamed = self._may_stream(int(length))

    def _may_stream(self, length: int) -> bool:
        return (
            self._stream_above_bytes is not None
            and length > self._stream_above_bytes
            and self.response.status >= 200
            and self._matches_request(self.response)
        )

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
        self._body_bytes += len(piece)
        self._framing.record_body(len(piece))
        if self._body_bytes > MAX_BODY_BYTES:
            raise ValueError("the response body is too long")
        if self.is_streamed:
            self.pieces.append(piece)
            return
        if not self._bodies.take(
            len(piece),
            body_bytes=self._body_bytes,
            kind=body_memory.Kind.ANSWER,
        ):
            raise ValueError("too many response bodies are being read")
        self._held_bytes += len(piece)
        self._body.write(piece)
        if self._ends_at_line and b"\n" in piece:
            self.response.body = self._body.take().partition(b"\n")[0]
            self.complete = self.has_excess = True

    def release(self) -> None:
        """Ends the parsing and returns the memory for bodies.

        The parser of the library refers to this one, whose functions refer to
        the request; without the end of this cycle the bodies of both would stay
        until the next collection.
        """
        self._parser = None
        self._bodies.give_back(self._held_bytes)
        self._held_bytes = 0

    def on_message_complete(self) -> None:
        """Completes or skips a response."""
        if self.complete:
            return
        if self.is_streamed:
            self._complete()
            return
        is_interim = self.response.status < 200
        if is_interim or not self._matches_request(self.response):
            is_first = is_interim and self.response.is_first
            self.response = HttpResponse(is_first=is_first)
            self._body = body_module.BodyBuffer()
            self._in_body = False
            return
        self.response.body = self._body.take()
        self._complete()

    def _complete(self) -> None:
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
            self.response.body = self._body.take()
            self.complete = True

    def is_reusable(self) -> bool:
        """Returns whether the connection may serve another request."""
        return (
            self.complete
            and not self.has_excess
            and self.response.has_framing
            and self._keep_alive
        )
