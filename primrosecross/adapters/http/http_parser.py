"""HTTP/1.1 request parser, strict about framing.

llhttp rejects input about whose request boundaries two parsers could disagree.

Source: RFC 9112, sections 2.2, 5, 6.3 and 7; RFC 9110, section 15.
"""

import dataclasses
import re
import time

import httptools

from primrosecross.adapters.http import framing_limit
from primrosecross.domain.requests import body
from primrosecross.domain.requests import body_memory

HEADS_PER_MESSAGE = 2  # the second allows for what is not in a header
SLOW_BODY_S = 5.0  # then a large body must have come at the least rate
MIN_BODY_BYTES_PER_S = 64 * 1024
_SUPPORTED_VERSIONS = frozenset({"1.0", "1.1"})
_REQUEST_TARGET = re.compile(r"[!-~]+")


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """Complete request.

    Attributes:
        method: Method as sent.
        target: Path and query as sent.
        headers: Names as sent, with their values in order.
        body: Complete body.
        keep_alive: Whether the caller allows the connection to be reused.
    """

    method: str = ""
    target: str = ""
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True

    def get(self, name: str) -> str:
        """Returns the first header with a lower-case name, empty if absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""

    def count(self, name: str) -> int:
        """Returns the number of headers with a lower-case name."""
        return sum(key.lower() == name for key, _ in self.headers)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Size and time limits for requests.

    Attributes:
        max_head_bytes: Size of request line and headers; 431 beyond it.
        max_body_bytes: Size of a body; 413 beyond it.
        head_timeout_ms: Time from the first byte of a request to the end of
            its head, and for each later read of its body; 408 beyond it.
        idle_timeout_ms: Time that a connection may stay open without a request.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 << 20
    head_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class RequestRejectedError(Exception):
    """The request is not handled; the connection closes with this status.

    Args:
        status: Status of the response.
        problem: What is wrong.
        retry_after_ms: When to send it again; 0 if not stated.
    """

    def __init__(
        self, status: int, problem: str, retry_after_ms: int = 0
    ) -> None:
        super().__init__(problem)
        self.status = status
        self.retry_after_ms = retry_after_ms


class RequestParser:
    """Parses the requests of one connection.

    Args:
        limits: Limits for requests.
        bodies: Memory for the bodies of all connections.
    """

    def __init__(
        self, limits: ServerLimits, bodies: body_memory.BodyMemory
    ) -> None:
        self.limits = limits
        self._bodies = bodies
        self._held_bytes = 0
        self.complete_requests: list[HttpRequest] = []
        self.rejected: RequestRejectedError | None = None
        self.in_body = False
        self._request = HttpRequest()
        self._target_pieces: list[bytes] = []
        self._body = body.BodyBuffer()
        self._body_started_s = 0.0
        self._head_bytes = 0
        self._body_bytes = 0
        self._taken_bytes = 0
        self._framing = framing_limit.FramingLimit(limits.max_head_bytes)
        self._boundary_passed = False
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            RequestRejectedError: The request is invalid. If complete requests
                precede it, the error is stored in `rejected` instead.
        """
        try:
            self._feed(data)
        except RequestRejectedError as error:
            if not self.complete_requests:
                raise
            self.rejected = error

    def _feed(self, data: bytes) -> None:
        self._boundary_passed = False
        self._parse(data)
        if self._boundary_passed:  # The position in `data` is not known.
            self._framing.reset()
            return
        self._framing.max_bytes = HEADS_PER_MESSAGE * self.limits.max_head_bytes
        self._framing.record_received(len(data))
        if not self._framing.is_exceeded():
            return
        if self.in_body:
            raise RequestRejectedError(400, "the chunk framing is too long")
        raise RequestRejectedError(
            431, "the request line and headers are too long"
        )

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, RequestRejectedError):
                raise error.__context__ from None
            raise RequestRejectedError(400, "malformed request") from error
        except httptools.HttpParserUpgrade:
            raise RequestRejectedError(
                400, "protocol upgrades are not supported"
            ) from None
        except httptools.HttpParserError as error:
            raise RequestRejectedError(400, str(error)) from error

    def on_message_begin(self) -> None:
        """Handles the start of a request."""
        self._boundary_passed = True
        self._request = HttpRequest()
        self._target_pieces.clear()
        self._body = body.BodyBuffer()
        self._head_bytes = self._body_bytes = self._taken_bytes = 0
        self.in_body = False

    def on_url(self, url: bytes) -> None:
        """Handles a part of the request target."""
        self._target_pieces.append(url)
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles one header or trailer."""
        self._add_head_bytes(len(name) + len(value) + 4)  # ": " and CRLF
        if self.in_body:  # Trailers are discarded.
            return
        self._request.headers.append(
            (name.decode("latin-1"), value.decode("latin-1"))
        )

    def _add_head_bytes(self, byte_count: int) -> None:
        self._head_bytes += byte_count
        if self._head_bytes > self.limits.max_head_bytes:
            raise RequestRejectedError(
                431, "the request line and headers are too long"
            )

    def on_headers_complete(self) -> None:
        """Checks the complete head; raises RequestRejectedError."""
        self.in_body = True
        request = self._request
        request.method = self._parser.get_method().decode("latin-1")
        request.target = b"".join(self._target_pieces).decode("latin-1")
        if self._parser.get_http_version() not in _SUPPORTED_VERSIONS:
            raise RequestRejectedError(
                400, "only HTTP/1.0 and HTTP/1.1 are supported"
            )
        if not _REQUEST_TARGET.fullmatch(request.target):
            raise RequestRejectedError(
                400, "the request target has invalid characters"
            )
        if request.count("host") != 1:
            raise RequestRejectedError(
                400, "exactly one Host header is required"
            )
        self._check_transfer_encoding(request)
        length = request.get("content-length")
        if length.isdigit():
            if int(length) > self.limits.max_body_bytes:
                raise RequestRejectedError(413, "the body is too long")
            self._take_memory(int(length))
        self._body_started_s = time.monotonic()

    def _take_memory(self, byte_count: int) -> None:
        """Takes memory for a body; raises RequestRejectedError."""
        if not self._bodies.take(
            byte_count,
            body_bytes=self._taken_bytes + byte_count,
            kind=body_memory.Kind.REQUEST,
        ):
            raise RequestRejectedError(
                503,
                "the server buffers too many request bodies",
                self._bodies.retry_after_ms(byte_count),
            )
        self._taken_bytes += byte_count
        self._held_bytes += byte_count

    def _check_transfer_encoding(self, request: HttpRequest) -> None:
        transfer_encodings = [
            v for n, v in request.headers if _is_transfer_encoding(n)
        ]
        if not transfer_encodings:
            return
        if [v.strip().lower() for v in transfer_encodings] != ["chunked"]:
            raise RequestRejectedError(
                400, "only the chunked transfer coding is supported"
            )
        if self._parser.get_http_version() == "1.0":
            raise RequestRejectedError(
                400, "HTTP/1.0 does not define transfer codings"
            )

    def on_body(self, piece: bytes) -> None:
        """Handles a part of the body; raises RequestRejectedError."""
        self._framing.record_body(len(piece))
        self._body_bytes += len(piece)
        if self._body_bytes > self.limits.max_body_bytes:
            raise RequestRejectedError(413, "the body is too long")
        if self._body_bytes > self._taken_bytes:  # a chunked body
            self._take_memory(self._body_bytes - self._taken_bytes)
        self._check_rate()
        self._body.write(piece)

    def _check_rate(self) -> None:
        """Rejects a large body that comes slowly and keeps others out."""
        elapsed_s = time.monotonic() - self._body_started_s
        if (
            elapsed_s > SLOW_BODY_S
            and self._taken_bytes > self._bodies.small_bytes
            and self._body_bytes < elapsed_s * MIN_BODY_BYTES_PER_S
            and self._bodies.is_scarce()
        ):
            raise RequestRejectedError(408, "the body comes too slowly")

    def release(self, byte_count: int) -> None:
        """Returns the memory of a request's body."""
        self._held_bytes -= byte_count
        self._bodies.give_back(byte_count)

    def release_all(self) -> None:
        """Ends the parsing and returns the memory of all bodies.

        The parser of the library refers to this one; without the end of this
        cycle bodies would stay until the next collection.
        """
        self._parser = None
        self._body = body.BodyBuffer()
        self._bodies.give_back(self._held_bytes)
        self._held_bytes = 0

    def on_message_complete(self) -> None:
        """Completes the request."""
        self._boundary_passed = True
        self._request.body = self._body.take()
        self._request.keep_alive = self._parser.should_keep_alive()
        self.in_body = False
        self.complete_requests.append(self._request)
        self._request = HttpRequest()


def _is_transfer_encoding(name: str) -> bool:
    return name.lower() == "transfer-encoding"
