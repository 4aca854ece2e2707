"""Connection of the command line to one daemon."""

import dataclasses
import functools
import inspect
import pathlib
from collections.abc import Callable
from typing import Annotated
from typing import Any

import grpc
import typer

from primrosecross.commands import output
from primrosecross.rpc import operator_pb2_grpc

CALL_TIMEOUT_S = 10.0
MAX_REPLY_BYTES = 64 << 20
DEFAULT_DAEMON = "127.0.0.1:7200"

_EXIT_CODES = {
    grpc.StatusCode.INVALID_ARGUMENT: output.EXIT_INVALID,
    grpc.StatusCode.NOT_FOUND: output.EXIT_INVALID,
    grpc.StatusCode.ABORTED: output.EXIT_CONFLICT,
    grpc.StatusCode.UNAVAILABLE: output.EXIT_UNAVAILABLE,
    grpc.StatusCode.DEADLINE_EXCEEDED: output.EXIT_UNAVAILABLE,
    grpc.StatusCode.UNAUTHENTICATED: output.EXIT_NOT_PERMITTED,
    grpc.StatusCode.PERMISSION_DENIED: output.EXIT_NOT_PERMITTED,
}
_TRANSPORT = (
    "failed to connect",
    "connections to all backends failing",
    "Socket closed",
    "Connection reset",
    "handshake",
    "recvmsg",
)

_Daemon = Annotated[
    str,
    typer.Option(
        "--daemon",
        envvar="PRIMROSECROSS_DAEMON",
        help="Operator ip:port of any daemon.",
    ),
]
_TokenFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--token-file",
        envvar="PRIMROSECROSS_TOKEN_FILE",
        help="File whose first line is your token.",
    ),
]
_CaFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--ca-file",
        envvar="PRIMROSECROSS_CA_FILE",
        help="Certificates that vouch for the daemon; turns TLS on.",
    ),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """How to reach a daemon.

    Attributes:
        daemon: Operator "ip:port".
        token_file: File with the token, None for no token.
        ca_file: Certificates that vouch for the daemon, None for no TLS.
    """

    daemon: str = DEFAULT_DAEMON
    token_file: pathlib.Path | None = None
    ca_file: pathlib.Path | None = None


class Client:
    """Calls one daemon.

    Args:
        access: How to reach it.
    """

    def __init__(self, access: Access) -> None:
        self._access = access
        self._metadata = ()
        if access.token_file is not None:
            token = _read(access.token_file).decode().split("\n")[0].strip()
            self._metadata = (("authorization", f"Bearer {token}"),)
        options = [("grpc.max_receive_message_length", MAX_REPLY_BYTES)]
        if access.ca_file is None:
            channel = grpc.insecure_channel(access.daemon, options=options)
        else:
            credentials = grpc.ssl_channel_credentials(_read(access.ca_file))
            channel = grpc.secure_channel(
                access.daemon, credentials, options=options
            )
        self._stub = operator_pb2_grpc.OperatorStub(channel)

    def call(self, method: str, request: Any) -> Any:
        """Makes one call; exits with a message when it fails."""
        try:
            return self.attempt(method, request)
        except grpc.RpcError as error:
            code = _EXIT_CODES.get(error.code(), output.EXIT_FAILED)
            raise output.fail(
                f"{method}: {self._explain(error)}", code
            ) from error

    def attempt(self, method: str, request: Any) -> Any:
        """Makes one call.

        Raises:
            grpc.RpcError: It failed.
        """
        return getattr(self._stub, method)(
            request, timeout=CALL_TIMEOUT_S, metadata=self._metadata
        )

    def _explain(self, error: grpc.RpcError) -> str:
        text = error.details() or error.code().name
        if error.code() is grpc.StatusCode.UNIMPLEMENTED:
            return "this daemon does not know the call; upgrade it"
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            return (
                f"no answer from {self._access.daemon} within "
                f"{CALL_TIMEOUT_S:.0f} s; try another daemon"
            )
        if not any(sign in text for sign in _TRANSPORT):
            return text
        hint = "" if self._access.ca_file else ", and --ca-file if it has TLS"
        return (
            f"cannot reach a daemon at {self._access.daemon}; check that it "
            f"runs, give another one's address with --daemon{hint}"
        )


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise output.fail(
            f"{path}: {error.strerror}; give the path of a readable file",
            output.EXIT_INVALID,
        ) from error


def connected(command: Callable) -> Callable:
    """Gives a command a client as its first argument.

    The options that say how to reach the daemon are added to its signature.
    """
    signature = inspect.signature(command)
    _, *rest = signature.parameters.values()
    kinds = {"daemon": _Daemon, "token_file": _TokenFile, "ca_file": _CaFile}
    defaults = Access()
    added = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            default=getattr(defaults, name),
            annotation=kind,
        )
        for name, kind in kinds.items()
    ]

    @functools.wraps(command)
    def run(**arguments: Any) -> None:
        access = Access(**{name: arguments.pop(name) for name in kinds})
        command(Client(access), **arguments)

    keyword = [p.replace(kind=inspect.Parameter.KEYWORD_ONLY) for p in rest]
    run.__signature__ = signature.replace(parameters=[*keyword, *added])
    run.__annotations__ = {p.name: p.annotation for p in [*keyword, *added]}
    del run.__wrapped__
    return run
