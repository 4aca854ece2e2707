"""Exceptions; each message names the problem and the remedy."""


class RouterError(Exception):
    """Base class of all errors.

    Args:
        problem: What is wrong, with the field or object concerned.
        remedy: What the reader can do.
    """

    def __init__(self, problem: str, *, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class SettingsError(RouterError):
    """The daemon's settings do not validate."""


class PlanError(RouterError):
    """A plan does not validate."""


class PlanConflictError(RouterError):
    """The plan changed since the operator read it."""


class RequestError(RouterError):
    """A caller's request is malformed."""


class NotAllowedError(RouterError):
    """The operator's credentials do not permit the call."""


class NotFoundError(RouterError):
    """A named object does not exist."""


class StoreError(RouterError):
    """Base class of platform store errors."""


class StoreUnavailableError(StoreError):
    """The store did not respond; reads are safe to retry."""


class StoreResponseLostError(StoreError):
    """The result of a write is unknown; only a read shows its effect."""


class StoreConflictError(StoreError):
    """A conditional write found a version other than the expected one."""


class StoreObjectError(StoreError):
    """An object in the store is corrupt or of an unknown format.

    Args:
        problem: What is wrong with it.
        remedy: What the reader can do.
        version: The object's version in the store, empty if unknown.
    """

    def __init__(self, problem: str, *, remedy: str, version: str = "") -> None:
        super().__init__(problem, remedy=remedy)
        self.version = version


class PeerError(RouterError):
    """Base class of errors in calls to another daemon."""


class MessageNotSentError(PeerError):
    """The message was never written to a connection, so it had no effect."""


class ReplyLostError(PeerError):
    """The connection closed or timed out after the message was sent."""


class PeerProtocolError(PeerError):
    """The peer violated the protocol."""


class BodyError(RouterError):
    """A body arrived incomplete or corrupted."""


class RequestNotSentError(RouterError):
    """The request was never sent to the server."""


class ServerRefusedError(RequestNotSentError):
    """Nothing listens at the server's address."""


class ResponseLostError(RouterError):
    """The request was sent, but the response did not arrive completely."""


class ConnectionClosedError(ResponseLostError):
    """A keep-alive connection closed before any byte of the response."""


class DocumentError(RouterError):
    """An external document does not validate."""
