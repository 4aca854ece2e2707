"""Memory that the bodies of requests and answers may fill in one process.

Requests may fill a part of it only, so that answers to them always find room.
Small bodies have a reserve that large ones cannot use.
"""

import enum

import gevent
from gevent import event as gevent_event

from primrosecross.ports import clock as clock_port

MEMORY_SHARE = 0.5  # of the process's memory limit
DEFAULT_MAX_BYTES = 96 << 20  # without a memory limit
REQUEST_SHARE = 2 / 3
RESERVE_SHARE = 1 / 8  # in addition to the maximum
SMALL_BODY_BYTES = 256 * 1024
SCARCE_SHARE = 0.5  # of the requests' part
MIN_RETRY_MS = 200
MAX_RETRY_MS = 5000
DEFAULT_HOLD_MS = 1000  # before any body was released
_AVERAGED_BYTES = 256 << 20  # older holds count half
_NS_PER_MS = 1_000_000


class Kind(enum.Enum):
    """What a body belongs to."""

    REQUEST = enum.auto()
    ANSWER = enum.auto()


class BodyMemory:
    """Counts the bytes of bodies that a process holds, and limits them.

    Args:
        clock: Clock that measures how long bodies are held.
        max_bytes: Limit of all bodies, apart from the reserve.
        max_request_bytes: Limit beyond which no request's body is taken.
        reserve_bytes: Memory beyond the limits for small bodies alone.
        small_bytes: Size of a small body.

    Attributes:
        used_bytes: Bytes held now.
        refused: Number of bodies for which there was no room.
    """

    def __init__(
        self,
        *,
        clock: clock_port.Clock,
        max_bytes: int = DEFAULT_MAX_BYTES,
        max_request_bytes: int | None = None,
        reserve_bytes: int | None = None,
        small_bytes: int = SMALL_BODY_BYTES,
    ) -> None:
        if max_request_bytes is None:
            max_request_bytes = int(max_bytes * REQUEST_SHARE)
        if reserve_bytes is None:
            reserve_bytes = int(max_bytes * RESERVE_SHARE)
        self._clock = clock
        self.max_bytes = max_bytes
        self._limits = {Kind.REQUEST: max_request_bytes, Kind.ANSWER: max_bytes}
        self._max_small_bytes = max_bytes + reserve_bytes
        self.small_bytes = small_bytes
        self.used_bytes = 0
        self.refused = 0
        self._changed_ns = clock.now_ns()
        self._held_byte_ms = 0.0
        self._released_bytes = 0
        self._released = gevent_event.Event()

    def take(self, byte_count: int, *, body_bytes: int, kind: Kind) -> bool:
        """Takes memory for bytes of a body; returns False if there is none.

        Args:
            byte_count: Bytes to take now.
            body_bytes: Size of the whole body, as far as it is known.
            kind: What the body belongs to.
        """
        if self._has_room(byte_count, body_bytes, kind):
            self.charge(byte_count)
            return True
        self.refused += 1
        return False

    def _has_room(self, byte_count: int, body_bytes: int, kind: Kind) -> bool:
        is_small = body_bytes <= self.small_bytes
        limit = self._max_small_bytes if is_small else self._limits[kind]
        return self.used_bytes + byte_count <= limit

    def await_answer(self, byte_count: int, *, timeout_s: float) -> bool:
        """Takes memory for an answer, waiting for other bodies to be released.

        Returns:
            Whether it was taken within the time limit.
        """
        with gevent.Timeout(max(0.0, timeout_s), False):
            while not self._has_room(byte_count, byte_count, Kind.ANSWER):
                self._released.clear()
                self._released.wait()
        return self.take(byte_count, body_bytes=byte_count, kind=Kind.ANSWER)

    def charge(self, byte_count: int) -> None:
        """Counts bytes that are held whether or not there is room."""
        self._advance()
        self.used_bytes += byte_count

    def give_back(self, byte_count: int) -> None:
        """Returns memory that was taken or charged."""
        self._advance()
        self.used_bytes -= byte_count
        self._released_bytes += byte_count
        if self._released_bytes > _AVERAGED_BYTES:
            self._released_bytes //= 2
            self._held_byte_ms /= 2
        self._released.set()

    def _advance(self) -> None:
        now_ns = self._clock.now_ns()
        passed_ms = (now_ns - self._changed_ns) / _NS_PER_MS
        self._held_byte_ms += self.used_bytes * passed_ms
        self._changed_ns = now_ns

    def is_scarce(self) -> bool:
        """Returns whether a body that comes slowly keeps others out."""
        return self.used_bytes > SCARCE_SHARE * self._limits[Kind.REQUEST]

    def retry_after_ms(self, byte_count: int) -> int:
        """Returns when a refused request's body is expected to find room.

        By Little's law the bytes held now are released within the mean time
        for which a byte is held.
        """
        hold_ms: float = DEFAULT_HOLD_MS
        if self._released_bytes:
            hold_ms = self._held_byte_ms / self._released_bytes
        excess = self.used_bytes + byte_count - self._limits[Kind.REQUEST]
        share = min(1.0, max(0.0, excess / max(1, self.used_bytes)))
        return int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, share * hold_ms)))


def of_process(clock: clock_port.Clock, memory_bytes: int) -> BodyMemory:
    """Returns the memory for a limit of the process, 0 if not set."""
    max_bytes = int(memory_bytes * MEMORY_SHARE) or DEFAULT_MAX_BYTES
    return BodyMemory(clock=clock, max_bytes=max_bytes)
