"""Body of a target's response, buffered if short and streamed otherwise."""

import logging

import gevent
from geventhttpclient import response as http_response

from primrosecross.adapters.http import target_connection
from primrosecross.domain import errors
from primrosecross.domain.requests import body
from primrosecross.ports import clock as clock_port

MAX_BUFFERED_BYTES = 64 * 1024
PIECE_BYTES = 32 * 1024

_logger = logging.getLogger(__name__)


class ResponseStream(body.Stream):
    """Body of a target's response.

    A response must be framed by Content-Length or by chunks: one that ends with
    its connection is rejected, since truncation could not be detected.

    Args:
        response: Response whose headers have been read.
        deadline_ns: Time after which reading is abandoned.
        clock: Clock that the deadline refers to.
    """

    def __init__(
        self,
        response: target_connection.Response,
        *,
        deadline_ns: int,
        clock: clock_port.Clock,
    ) -> None:
        length = response.content_length
        super().__init__(body.UNKNOWN_LENGTH if length is None else length)
        self._response = response
        self._deadline_ns = deadline_ns
        self._clock = clock
        self._buffered = b""

    def buffer_if_short(self) -> body.Body:
        """Returns a short body as bytes, and a long one as this stream.

        Raises:
            errors.BodyError: The response is unframed or a short body was
                truncated.
        """
        self._check_framing()
        if (
            self.length > MAX_BUFFERED_BYTES
            and not self._response.message_complete
        ):
            return self
        pieces = []
        size = 0
        while size <= MAX_BUFFERED_BYTES:
            piece = self._receive()
            if not piece:
                self.finish()
                return b"".join(pieces)
            pieces.append(piece)
            size += len(piece)
        self._buffered = b"".join(pieces)
        return self

    def _check_framing(self) -> None:
        response = self._response
        transfer_encoding = str(response.get("transfer-encoding", "")).lower()
        if response.message_complete or "chunked" in transfer_encoding:
            return
        if response.content_length is None:
            self.close()
            raise errors.BodyError(
                "the response has neither Content-Length nor chunked encoding",
                remedy="have the target send a Content-Length header",
            )

    def read(self) -> bytes:
        """Returns the next piece, or no bytes at the end."""
        try:
            return self._read()
        except errors.BodyError as error:
            _logger.warning(
                "a streamed response ended early: %s",
                error.problem,
                extra={"request_id": self._response.request_id},
            )
            raise

    def _read(self) -> bytes:
        if self._buffered:
            piece, self._buffered = self._buffered, b""
            return piece
        remaining_s = (self._deadline_ns - self._clock.now_ns()) / 1e9
        with gevent.Timeout(max(0.0, remaining_s), False):
            return self._receive()
        self.close()
        raise errors.BodyError(
            "the deadline passed while the response was being read",
            remedy="increase the timeout of the request",
        )

    def _receive(self) -> bytes:
        response = self._response
        try:
            piece = response.read(PIECE_BYTES)
        except (OSError, http_response.HTTPParseError) as error:
            self.close()
            raise _truncated(error) from error
        if not piece:
            if not response.message_complete:
                self.close()
                raise _truncated("the connection closed")
            self.finish()
        return piece

    def close(self) -> None:
        """Discards the unread rest and releases the connection."""
        self._buffered = b""
        self._response.release()
        self.finish()


def _truncated(problem: object) -> errors.BodyError:
    return errors.BodyError(
        f"the target's response was truncated: {problem}",
        remedy="check the target's log",
    )
