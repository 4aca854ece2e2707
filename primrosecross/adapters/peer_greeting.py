"""The first message on a peer connection: who the other side says it is."""

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages

PROTOCOL = 2


def check(
    message: messages.Message,
    *,
    mine: stream_messages.Hello,
    names: frozenset[str] | None,
) -> stream_messages.Hello:
    """Returns a greeting that this daemon accepts.

    Args:
        message: The first message received.
        mine: What this side says of itself.
        names: VM names the other side proved; None without TLS.

    Raises:
        errors.PeerProtocolError: It is none, or of a daemon that this one may
            not talk to.
    """
    if not isinstance(message, stream_messages.Hello):
        raise errors.PeerProtocolError(
            "the first message was no greeting",
            remedy="connect only daemons to the peer port",
        )
    if (message.protocol, message.cluster) != (PROTOCOL, mine.cluster):
        raise errors.PeerProtocolError(
            f"peer {message.vm} of cluster {message.cluster} speaks "
            f"protocol {message.protocol}",
            remedy=f"use protocol {PROTOCOL} and cluster {mine.cluster}",
        )
    if names is not None and message.vm not in names:
        raise errors.PeerProtocolError(
            f"the certificate shown does not name {message.vm}",
            remedy="give each daemon a certificate with its VM's name",
        )
    return message
