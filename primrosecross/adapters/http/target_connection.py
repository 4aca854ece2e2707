"""Pooled connections to a target, and the responses on them."""

import weakref

import gevent
from geventhttpclient import connectionpool
from geventhttpclient import response as http_response

from primrosecross.adapters import sockets
from primrosecross.adapters.http import framing_limit

REQUEST_ID_HEADER = "Primrosecross-Request-Id"
NOT_RUN_HEADER = "Primrosecross-Not-Run"
CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
MAX_SKIPPED_BYTES = 16 << 20


class Pool(connectionpool.ConnectionPool):
    """Connections to one target.

    Attributes:
        echoes_ids: Whether the first response on the last connection opened
            had the ID of its request.
    """

    def __init__(self, address: str, *, size: int) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(
            host,
            int(port),
            host,
            int(port),
            size=size,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=None,
        )
        self._unused: weakref.WeakSet[gevent.socket.socket] = weakref.WeakSet()
        self.echoes_ids = False

    def after_connect(self, sock: gevent.socket.socket) -> None:
        """Records a new connection."""
        self._unused.add(sock)

    def return_socket(self, sock: gevent.socket.socket) -> None:
        """Makes a connection available to other requests."""
        self._unused.discard(sock)
        super().return_socket(sock)

    def is_reused(self, sock: gevent.socket.socket) -> bool:
        """Returns whether a connection served another request before."""
        return sock not in self._unused

    def get_new_socket(self) -> gevent.socket.socket:
        """Opens a connection; an idle one makes room for it.

        Blocks until fewer connections than the pool's size are in use.
        """
        self._semaphore.acquire()
        try:
            if not self._socket_queue.empty():
                self._socket_queue.get(block=False).close()
            return self._create_socket()
        except BaseException:
            self._semaphore.release()
            raise


class Response(http_response.HTTPSocketPoolResponse):
    """Response to one request; skips those to earlier requests.

    A target should return the ID of a request in Primrosecross-Request-Id. A
    response with another ID is skipped. So is one without an ID on a reused
    connection, if the target is known to return IDs.

    Args:
        sock: Connection on which the request was sent.
        pool: Pool of the connection.
        method: Method of the request.
        request_id: ID of the request.
        reused: Whether the connection served another request before.

    Attributes:
        request_id: ID of the request.
        skipped: Number of responses skipped.
        identified: Whether the response is certainly that to the request: it
            has its ID, or none and is the first one on its connection.

    Raises:
        http_response.HTTPConnectionClosed: The connection closed before the
            first byte.
        http_response.HTTPParseError: No response arrived.
    """

    def __init__(
        self,
        sock: gevent.socket.socket,
        pool: Pool,
        *,
        method: str,
        request_id: str,
        reused: bool,
    ) -> None:
        self._connection_pool = pool
        self.request_id = request_id
        self._reused = reused
        self._skipping = False
        self._skipped_bytes = 0
        self._has_excess = False
        self._final = False
        self._framing = framing_limit.FramingLimit(MAX_HEAD_BYTES)
        self._share = sockets.LoopShare()
        self.skipped = 0
        self.identified = False
        super().__init__(sock, pool, block_size=READ_BYTES, method=method)

    def __repr__(self) -> str:
        """Returns a description without what the target said."""
        return f"<{type(self).__name__} status={self.status_code}>"

    @property
    def is_refusal(self) -> bool:
        """Whether the response says that the request was not run."""
        return self.status_code == 503 and self.get(NOT_RUN_HEADER) == "true"

    def should_close(self) -> bool:
        """Returns whether the connection may not be used again.

        That of a refusal is closed: if the request is sent again, a faulty
        target may repeat the refusal, with the request's own ID.
        """
        return self._has_excess or self.is_refusal or super().should_close()

    def feed(self, data: bytes) -> None:
        """Parses received bytes; ignores those after the response."""
        self._framing.record_received(len(data))
        try:
            super().feed(data)
        except http_response.HTTPParseError:
            if not self._final:
                raise
            self._has_excess = True
        if self._final:
            self.message_complete = True
            self.release()
            return
        if self._framing.is_exceeded():
            raise http_response.HTTPParseError(
                "the bytes outside of bodies are too many"
            )
        self._share.record(len(data))

    def _on_message_begin(self) -> None:
        if self._final:
            raise http_response.HTTPProtocolViolationError(
                "bytes follow the response"
            )
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        ends_here = super()._on_headers_complete()
        if self.status_code >= 200:
            self._check_request_id()
        return ends_here

    def _check_request_id(self) -> None:
        response_id = self.get(REQUEST_ID_HEADER)
        is_first = not self._reused and not self.skipped
        pool = self._connection_pool
        self.identified = response_id == self.request_id or (
            response_id is None and is_first
        )
        if is_first:
            pool.echoes_ids = response_id is not None
        if not self.identified and (response_id is not None or pool.echoes_ids):
            self._skipping = True
            self.headers_complete = False

    def _on_body(self, buf: bytearray) -> None:
        self._framing.record_body(len(buf))
        if not self._skipping:
            super()._on_body(buf)
            return
        self._skipped_bytes += len(buf)
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise http_response.HTTPProtocolViolationError(
                "responses to other requests are too long"
            )

    def _on_message_complete(self) -> None:
        # The base class returns the connection to the pool here, before it is
        # known what follows the response, and after interim responses, too.
        self.message_complete = True
        if self._skipping:
            self._skipping = False
            self.skipped += 1
        elif self.status_code >= 200:
            self._final = True
