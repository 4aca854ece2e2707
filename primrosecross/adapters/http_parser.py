"""Requests from the bytes of one connection, strict about framing.

llhttp refuses what lets two parsers disagree about where a request ends.

Source: RFC 9112, sections 2.2, 5, 6.3 and 7; RFC 9110, section 15.
"""

import dataclasses
import re

import httptools

_VERSIONS = frozenset({"1.0", "1.1"})
_TARGET = re.compile(r"[!-~]+")


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A whole request.

    Attributes:
        method: Method as sent.
        target: Path and query as sent.
        headers: Names as sent, with their values in order.
        body: The whole body.
        keep_alive: Whether the caller lets the connection go on.
    """

    method: str = ""
    target: str = ""
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True

    def get(self, name: str) -> str:
        """Returns the first header of a lower-case name, empty if absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return ""

    def count(self, name: str) -> int:
        """Returns how many headers have a lower-case name."""
        return sum(key.lower() == name for key, _ in self.headers)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """What callers may send and how long they may take.

    Attributes:
        max_head_bytes: Request line and headers; more is answered 431.
        max_body_bytes: Body; more is answered 413.
        head_timeout_ms: From the first byte of a request to its last; a
            caller who takes longer is answered 408.
        idle_timeout_ms: Longest time without a request.
        max_held_bytes: Bodies of all callers together; a request beyond that
            is answered 503 before it is read.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 << 20
    head_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000
    max_held_bytes: int = 64 << 20


class RefusedError(Exception):
    """The request cannot be read; the connection ends with this status."""

    def __init__(self, status: int, problem: str) -> None:
        super().__init__(problem)
        self.status = status


@dataclasses.dataclass(slots=True)
class HeldBytes:
    """Bytes of bodies that a server holds now."""

    bytes: int = 0


class RequestParser:
    """Collects requests from the bytes of one connection.

    Args:
        limits: What callers may send.
        held: Bytes of bodies that the server holds for all connections.
    """

    def __init__(self, limits: ServerLimits, held: HeldBytes) -> None:
        self.limits = limits
        self._held = held
        self.held_bytes = 0
        self.complete: list[HttpRequest] = []
        self.refused: RefusedError | None = None
        self.in_body = False
        self._request = HttpRequest()
        self._target: list[bytes] = []
        self._pieces: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Takes in bytes.

        Raises:
            RefusedError: They are no acceptable request. It is kept for
                later if whole requests came before.
        """
        try:
            self._feed(data)
        except RefusedError as error:
            if not self.complete:
                raise
            self.refused = error

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, RefusedError):
                raise error.__context__ from None
            raise RefusedError(400, "the request cannot be read") from error
        except httptools.HttpParserUpgrade:
            raise RefusedError(400, "upgrades are not offered") from None
        except httptools.HttpParserError as error:
            raise RefusedError(400, str(error)) from error

    def on_message_begin(self) -> None:
        """Called when a request begins."""
        self._request = HttpRequest()
        self._target.clear()
        self._pieces.clear()
        self._head_bytes = self._body_bytes = 0
        self.in_body = False

    def on_url(self, url: bytes) -> None:
        """Called with a part of the request target."""
        self._target.append(url)
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called with one header or trailer."""
        self._count_head(len(name) + len(value) + 4)
        if self.in_body:  # Trailers are read and not passed on.
            return
        self._request.headers.append(
            (name.decode("latin-1"), value.decode("latin-1"))
        )

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.max_head_bytes:
            raise RefusedError(431, "the head is too long")

    def on_headers_complete(self) -> None:
        """Called when the head is whole; raises RefusedError."""
        self.in_body = True
        request = self._request
        request.method = self._parser.get_method().decode("latin-1")
        request.target = b"".join(self._target).decode("latin-1")
        if self._parser.get_http_version() not in _VERSIONS:
            raise RefusedError(400, "only HTTP/1.0 and HTTP/1.1 are spoken")
        if not _TARGET.fullmatch(request.target):
            raise RefusedError(400, "the request target has stray characters")
        if request.count("host") != 1:
            raise RefusedError(400, "exactly one Host is required")
        self._check_coding(request)
        length = request.get("content-length")
        if length.isdigit() and int(length) > self.limits.max_body_bytes:
            raise RefusedError(413, "the body is too long")

    def _check_coding(self, request: HttpRequest) -> None:
        coding = [v for n, v in request.headers if _is_coding(n)]
        if not coding:
            return
        if [v.strip().lower() for v in coding] != ["chunked"]:
            raise RefusedError(400, "only the chunked coding is understood")
        if self._parser.get_http_version() == "1.0":
            raise RefusedError(400, "HTTP/1.0 has no transfer coding")

    def on_body(self, piece: bytes) -> None:
        """Called with a part of the body; raises RefusedError."""
        self._pieces.append(piece)
        self._body_bytes += len(piece)
        self.held_bytes += len(piece)
        self._held.bytes += len(piece)
        if self._held.bytes > self.limits.max_held_bytes:
            raise RefusedError(503, "too many bodies are held now")
        if self._body_bytes > self.limits.max_body_bytes:
            raise RefusedError(413, "the body is too long")

    def release(self) -> None:
        """Counts the bodies taken in so far as held no more."""
        self._held.bytes -= self.held_bytes
        self.held_bytes = 0

    def on_message_complete(self) -> None:
        """Called when the request is whole."""
        self._request.body = b"".join(self._pieces)
        self._pieces.clear()
        self._request.keep_alive = self._parser.should_keep_alive()
        self.in_body = False
        self.complete.append(self._request)


def _is_coding(name: str) -> bool:
    return name.lower() == "transfer-encoding"
