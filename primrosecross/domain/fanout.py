"""Concurrent calls to many daemons, bounded in number and time."""

import gevent
from gevent import pool as gevent_pool

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.ports import peers as peers_port

MAX_CONCURRENT_CALLS = 64

Reply = messages.Message | errors.PeerError


def call_all(
    peers: peers_port.Peers,
    requests: dict[str, messages.Message],
    *,
    timeout_ms: int,
    total_timeout_ms: int,
) -> dict[str, Reply]:
    """Returns each VM's reply, or the error of the call.

    Args:
        peers: Other daemons.
        requests: Message to send, by VM.
        timeout_ms: Timeout of one call.
        total_timeout_ms: Timeout of all calls; a VM without a reply by then
            gets an errors.ReplyLostError.
    """
    replies: dict[str, Reply] = {}

    def call_one(vm: str) -> None:
        try:
            replies[vm] = peers.call(vm, requests[vm], timeout_ms=timeout_ms)
        except errors.PeerError as error:
            replies[vm] = error

    tasks = gevent_pool.Pool(MAX_CONCURRENT_CALLS)
    spawner = gevent.spawn(
        lambda: [tasks.spawn(call_one, vm) for vm in requests]
    )
    gevent.joinall([spawner], timeout=total_timeout_ms / 1000)
    tasks.join(timeout=total_timeout_ms / 1000)
    spawner.kill()
    tasks.kill()
    timeout_error = errors.ReplyLostError(
        f"no reply within {total_timeout_ms} ms",
        remedy="check the peer and the network to it",
    )
    return {vm: replies.get(vm, timeout_error) for vm in requests}
