"""Handshake of a peer connection: checks the peer's greeting."""

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages

PROTOCOL = 4


def check(
    message: messages.Message,
    *,
    local_hello: stream_messages.Hello,
    certificate_names: frozenset[str] | None,
) -> stream_messages.Hello:
    """Returns the peer's greeting if it is acceptable.

    Args:
        message: The first message received.
        local_hello: Greeting of this daemon.
        certificate_names: VM names in the peer's certificate; None without TLS.

    Raises:
        errors.PeerProtocolError: The message is not a greeting, or the peer
            has another protocol version, cluster or certificate name.
    """
    if not isinstance(message, stream_messages.Hello):
        raise errors.PeerProtocolError(
            "the first message is not a greeting",
            remedy="connect only daemons to the peer port",
        )
    if (message.protocol, message.cluster) != (PROTOCOL, local_hello.cluster):
        raise errors.PeerProtocolError(
            f"peer {message.vm} is in cluster {message.cluster} and uses "
            f"protocol {message.protocol}",
            remedy=f"use protocol {PROTOCOL} and cluster {local_hello.cluster}",
        )
    if certificate_names is not None and message.vm not in certificate_names:
        raise errors.PeerProtocolError(
            f"the peer's certificate does not name {message.vm}",
            remedy="issue each daemon a certificate that names its VM",
        )
    return message
