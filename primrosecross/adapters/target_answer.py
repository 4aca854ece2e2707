"""A target's answer as a body that is held or streamed."""

import gevent
from geventhttpclient import response as http_response

from primrosecross.domain import body
from primrosecross.domain import errors
from primrosecross.ports import clock as clock_port

HELD_BYTES = 64 * 1024
PIECE_BYTES = 32 * 1024


class AnswerStream(body.Stream):
    """Body of a target's answer.

    It is whole only if the target said how long it is, by a length or by
    chunks with an end: an answer that ends with its connection is refused.

    Args:
        answer: Answer whose headers have been read.
        deadline_ns: Time after which it is given up.
        clock: Clock that the deadline refers to.
    """

    def __init__(
        self,
        answer: http_response.HTTPSocketPoolResponse,
        *,
        deadline_ns: int,
        clock: clock_port.Clock,
    ) -> None:
        length = answer.content_length
        super().__init__(body.UNKNOWN_LENGTH if length is None else length)
        self._answer = answer
        self._deadline_ns = deadline_ns
        self._clock = clock
        self._head = b""

    def hold(self) -> body.Body:
        """Returns a short body as bytes, and a long one as this stream.

        Raises:
            errors.BodyError: A short body was cut.
        """
        self._check_framing()
        if self.length > HELD_BYTES and not self._answer.message_complete:
            return self
        held = []
        size = 0
        while size <= HELD_BYTES:
            piece = self._receive()
            if not piece:
                self.finish()
                return b"".join(held)
            held.append(piece)
            size += len(piece)
        self._head = b"".join(held)
        return self

    def _check_framing(self) -> None:
        answer = self._answer
        coding = str(answer.get("transfer-encoding", "")).lower()
        if answer.message_complete or "chunked" in coding:
            return
        if answer.content_length is None:
            self.close()
            raise errors.BodyError(
                "the answer has neither a length nor chunks",
                remedy="let the target state its Content-Length",
            )

    def read(self) -> bytes:
        """Returns the next piece, or no bytes at the end."""
        if self._head:
            piece, self._head = self._head, b""
            return piece
        left_s = (self._deadline_ns - self._clock.now_ns()) / 1e9
        with gevent.Timeout(max(0.0, left_s), False):
            return self._receive()
        self.close()
        raise errors.BodyError(
            "the deadline passed within the answer",
            remedy="allow the request more time",
        )

    def _receive(self) -> bytes:
        answer = self._answer
        try:
            piece = answer.read(PIECE_BYTES)
        except (OSError, http_response.HTTPParseError) as error:
            self.close()
            raise _cut(error) from error
        if not piece:
            if not answer.message_complete:
                self.close()
                raise _cut("the connection ended")
            self.finish()
        return piece

    def close(self) -> None:
        """Gives up what has not been read and the connection."""
        self._head = b""
        self._answer.release()
        self.finish()


def _cut(problem: object) -> errors.BodyError:
    return errors.BodyError(
        f"the target's answer was cut: {problem}",
        remedy="see the target's log",
    )
