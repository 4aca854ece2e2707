"""Where a message to a peer is: queued, on the wire or withdrawn.

Nobody says that a message is unsent before it is withdrawn, and a message that
was withdrawn never reaches the socket.
"""

import enum


class State(enum.Enum):
    """Where a message is.

    Attributes:
        QUEUED: In the writer's queue; no byte was passed to the socket.
        ON_THE_WIRE: Any byte of it may have been passed to the socket.
        WITHDRAWN: No byte of it was or will be passed to the socket.
    """

    QUEUED = enum.auto()
    ON_THE_WIRE = enum.auto()
    WITHDRAWN = enum.auto()


_AFTER_TAKE = {
    State.QUEUED: State.ON_THE_WIRE,
    State.ON_THE_WIRE: State.ON_THE_WIRE,
    State.WITHDRAWN: State.WITHDRAWN,
}
_AFTER_WITHDRAWAL = {
    State.QUEUED: State.WITHDRAWN,
    State.ON_THE_WIRE: State.ON_THE_WIRE,
    State.WITHDRAWN: State.WITHDRAWN,
}


class OutgoingMessage:
    """A message to a peer, and the only place that knows where it is.

    A body that is streamed after a message shares its state.

    Args:
        data: The encoded frame.
        answer_id: ID of the request that the message answers; may be empty.
        state: Where the message is.
    """

    __slots__ = ("_data", "_state", "answer_id")

    def __init__(
        self,
        data: bytes,
        *,
        answer_id: str = "",
        state: State = State.QUEUED,
    ) -> None:
        self._data = data
        self._state = state
        self.answer_id = answer_id

    @property
    def state(self) -> State:
        """Where the message is."""
        return self._state

    @property
    def queued_bytes(self) -> int:
        """Number of bytes that are queued."""
        return len(self._data)

    def take(self) -> bytes:
        """Returns the frame for the socket; no bytes unless it is queued."""
        self._state = _AFTER_TAKE[self._state]
        return self._release()

    def withdraw(self) -> bool:
        """Withdraws the message from the queue.

        Returns:
            Whether no byte of it was or will be passed to the socket.
        """
        self._state = _AFTER_WITHDRAWAL[self._state]
        self._release()
        return self._state is State.WITHDRAWN

    def _release(self) -> bytes:
        data, self._data = self._data, b""
        return data
