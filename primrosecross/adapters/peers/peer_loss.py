"""Why a connection to another daemon ended, and what that cost."""

import collections
import dataclasses
import enum
import logging
from collections.abc import Sequence

from primrosecross.adapters.peers import peer_writer

MAX_LOGGED_IDS = 20

_logger = logging.getLogger(__name__)


class Cause(enum.StrEnum):
    """Why a connection ended."""

    PEER_SILENT = "peer-silent"
    REPLACED = "replaced"
    PEER_STOPS = "peer-stops"
    PEER_RESTARTED = "peer-restarted"
    PEER_GONE = "peer-gone"
    ADDRESS_CHANGED = "address-changed"
    STOPPED = "stopped"
    PEER_CLOSED = "peer-closed"
    READ_FAILED = "read-failed"
    WRITE_FAILED = "write-failed"
    PROTOCOL_ERROR = "protocol-error"
    HANDSHAKE_FAILED = "handshake-failed"
    IDLE = "idle"
    TASK_ENDED = "task-ended"


_PROBLEMS = {
    Cause.PEER_SILENT: "the peer was silent for {silent_ms} ms",
    Cause.REPLACED: "the peer did not respond on it in time and responds on a "
    "newer one",
    Cause.PEER_STOPS: "the peer stops",
    Cause.PEER_RESTARTED: "the peer has restarted",
    Cause.PEER_GONE: "the peer refuses connections: {reason}",
    Cause.ADDRESS_CHANGED: "the peer's address changed from {reason}",
    Cause.STOPPED: "this daemon stops",
    Cause.PEER_CLOSED: "the peer closed it",
    Cause.READ_FAILED: "reading from it failed: {reason}",
    Cause.WRITE_FAILED: "writing to it failed: {reason}",
    Cause.PROTOCOL_ERROR: "the peer violated the protocol: {reason}",
    Cause.HANDSHAKE_FAILED: "the handshake failed: {reason}",
    Cause.IDLE: "it was idle",
    Cause.TASK_ENDED: "its task ended on an unexpected error",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """The other side of a connection.

    Attributes:
        vm: VM of the peer; empty before the handshake.
        lane: Lane of the connection.
        accepted: Whether the peer opened the connection.
    """

    vm: str
    lane: str
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Losses:
    """What was in flight on a connection when it ended.

    Attributes:
        calls_lost: Calls to the peer without a reply.
        inbound_lost: Calls from the peer that were in progress.
        answers_cut: Streamed answers that were being received.
        answers_unsent: Answers not yet passed to the socket as a whole.
        request_ids: IDs of the requests among all these.
    """

    calls_lost: int
    inbound_lost: int
    answers_cut: int
    answers_unsent: int
    request_ids: tuple[str, ...]

    def __bool__(self) -> bool:
        """Returns whether anything was in flight."""
        return bool(
            self.calls_lost
            or self.inbound_lost
            or self.answers_cut
            or self.answers_unsent
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """End of a connection.

    Attributes:
        peer: The peer.
        cause: Why the connection ended.
        reason: Error or other detail of the cause; may be empty.
        age_ms: Time since the connection was opened.
        silent_ms: Time since the peer's last byte, or since the oldest call in
            flight began if that is later.
        backlog: What had not been passed to the socket.
        unacknowledged_bytes: Bytes sent that the peer's host did not
            acknowledge; None if unknown.
        unread_bytes: Bytes received that this daemon did not read; None if
            unknown.
        losses: What was in flight.
    """

    peer: Peer
    cause: Cause
    reason: str
    age_ms: int
    silent_ms: int
    backlog: peer_writer.Backlog
    unacknowledged_bytes: int | None
    unread_bytes: int | None
    losses: Losses

    @property
    def problem(self) -> str:
        """The cause and the facts that bear on it, for errors and logs."""
        text = _PROBLEMS[self.cause].format(
            silent_ms=self.silent_ms, reason=self.reason
        )
        return f"the connection was closed as {text}"


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """Silence of a peer on a connection that stays open.

    Attributes:
        peer: The peer.
        silent: Whether the silence lasts.
        silent_ms: Time since the peer's last byte, or since the oldest call in
            flight began if that is later.
        blocked_ms: Time since the send in progress last passed any bytes.
        request_ids: IDs of the requests that wait for a reply.
    """

    peer: Peer
    silent: bool
    silent_ms: int
    blocked_ms: int
    request_ids: tuple[str, ...]


def record_silence(silence: Silence) -> None:
    """Logs that a peer became silent, or that it responds again."""
    if silence.silent:
        _logger.warning(
            "peer %s is silent for %d ms; its calls in flight wait",
            silence.peer.vm,
            silence.silent_ms,
            extra=_silence_fields(silence, silence.request_ids),
        )
    else:
        _logger.warning(
            "peer %s responds again",
            silence.peer.vm,
            extra=_silence_fields(silence, silence.request_ids),
        )


def record_given_up(
    silence: Silence,
    request_ids: Sequence[str],
    counts: collections.Counter[str],
) -> None:
    """Counts and logs calls that end as the peer is silent."""
    counts[f"calls_lost/{Cause.PEER_SILENT}"] += len(request_ids)
    _logger.warning(
        "gave up %d calls to %s: the peer was silent for %d ms",
        len(request_ids),
        silence.peer.vm,
        silence.silent_ms,
        extra={
            "cause": Cause.PEER_SILENT,
            "calls_lost": len(request_ids),
            **_silence_fields(silence, [i for i in request_ids if i]),
        },
    )


def _silence_fields(
    silence: Silence, request_ids: Sequence[str]
) -> dict[str, object]:
    return {
        "lane": silence.peer.lane,
        "silent_ms": silence.silent_ms,
        "blocked_ms": silence.blocked_ms,
        "request_ids": tuple(request_ids[:MAX_LOGGED_IDS]),
    }


def record(ending: Ending, counts: collections.Counter[str]) -> None:
    """Counts and logs the end of a connection, as a warning if it cost any.

    Args:
        ending: End of the connection.
        counts: Counters by name and cause.
    """
    losses = ending.losses
    counts[f"connections_closed/{ending.cause}"] += 1
    for name in ("calls_lost", "inbound_lost"):
        if lost := getattr(losses, name):
            counts[f"{name}/{ending.cause}"] += lost
    _logger.log(
        logging.WARNING if losses else logging.INFO,
        "peer connection %s %s: %s",
        "from" if ending.peer.accepted else "to",
        ending.peer.vm or "unknown",
        ending.problem,
        extra={
            "cause": ending.cause,
            "lane": ending.peer.lane,
            "calls_lost": losses.calls_lost,
            "inbound_lost": losses.inbound_lost,
            "answers_cut": losses.answers_cut,
            "answers_unsent": losses.answers_unsent,
            "age_ms": ending.age_ms,
            "silent_ms": ending.silent_ms,
            "blocked_ms": ending.backlog.blocked_ms,
            "queued_frames": ending.backlog.frames,
            "queued_bytes": ending.backlog.bytes,
            "unacknowledged_bytes": ending.unacknowledged_bytes,
            "unread_bytes": ending.unread_bytes,
            "requests_lost": len(losses.request_ids),
            "request_ids": losses.request_ids[:MAX_LOGGED_IDS],
        },
    )
