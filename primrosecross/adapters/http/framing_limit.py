"""Limit for the bytes of HTTP messages that belong to no body.

llhttp accepts empty lines before a message, reason phrases, header lines and
chunk extensions of any length, and httptools buffers a header line until its
end. The limits for complete headers do not apply to any of these.

Source: the limit for chunk framing in Go's net/http/internal/chunked.go.
"""

FRAMING_BYTES_PER_BODY_BYTE = 8  # a chunk of one byte has five of them


class FramingLimit:
    """Counts the received bytes that belong to no body.

    Args:
        max_bytes: Bytes allowed besides those that frame the body.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._received_bytes = 0
        self._body_bytes = 0

    def record_received(self, byte_count: int) -> None:
        """Counts received bytes, of a body or not."""
        self._received_bytes += byte_count

    def record_body(self, byte_count: int) -> None:
        """Counts bytes of a body; they are counted as received, too."""
        self._body_bytes += byte_count

    def is_exceeded(self) -> bool:
        """Returns whether too many bytes belong to no body."""
        framing_bytes = self._received_bytes - self._body_bytes
        allowed_for_body = self._body_bytes * FRAMING_BYTES_PER_BODY_BYTE
        return framing_bytes > self.max_bytes + allowed_for_body

    def reset(self) -> None:
        """Starts counting anew, for the next message."""
        self._received_bytes = self._body_bytes = 0
