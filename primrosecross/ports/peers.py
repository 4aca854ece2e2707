"""Port to the other daemons."""

import enum
from collections.abc import Callable
from typing import Protocol

from primrosecross.domain import messages

Handler = Callable[[messages.Message], messages.Message]


class Patience(enum.Enum):
    """How long a call waits for a peer that has become silent.

    A silent peer may only be slow, and may handle the call yet. A call always
    ends at its timeout, and at once if the peer is shown to be gone.

    Attributes:
        UNTIL_SILENT: Until the peer is silent.
        UNTIL_REMOVED: Until the peer is silent and removed from the fleet.
    """

    UNTIL_SILENT = enum.auto()
    UNTIL_REMOVED = enum.auto()


class Peers(Protocol):
    """Other daemons, addressed by VM name."""

    def call(
        self,
        vm: str,
        message: messages.Message,
        *,
        timeout_ms: int,
        patience: Patience = Patience.UNTIL_SILENT,
    ) -> messages.Message:
        """Sends a message and waits for the reply.

        Raises:
            errors.MessageNotSentError: The message was never written to a
                connection, or the peer reports that it will not handle it.
            errors.ReplyLostError: The message was sent, but no reply came.
        """

    def set_address(self, vm: str, address: str) -> None:
        """Sets the "ip:port" address of a VM's daemon."""
