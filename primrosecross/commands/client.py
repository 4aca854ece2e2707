"""RPC client through which commands call a daemon."""

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
_TRANSPORT_ERROR_TEXTS = (
    "failed to connect",
    "connections to all backends failing",
    "Socket closed",
    "Connection reset",
    "handshake",
    "recvmsg",
)

_DaemonOption = Annotated[
    str,
    typer.Option(
        "--daemon",
        envvar="PRIMROSECROSS_DAEMON",
        help="Operator address of any daemon, ip:port.",
    ),
]
_TokenFileOption = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--token-file",
        envvar="PRIMROSECROSS_TOKEN_FILE",
        help="File whose first line is the access token.",
    ),
]
_CaFileOption = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--ca-file",
        envvar="PRIMROSECROSS_CA_FILE",
        help="CA certificates that verify the daemon; enables TLS.",
    ),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """Address and credentials for a daemon.

    Attributes:
        daemon: Operator address, "ip:port".
        token_file: File with the access token, None for no token.
        ca_file: CA certificates that verify the daemon, None for no TLS.
    """

    daemon: str = DEFAULT_DAEMON
    token_file: pathlib.Path | None = None
    ca_file: pathlib.Path | None = None


class Client:
    """Calls the operator API of one daemon.

    Args:
        access: Address and credentials.
    """

    def __init__(self, access: Access) -> None:
        self._access = access
        self._metadata = ()
        if access.token_file is not None:
            token = (
                _read_file(access.token_file).decode().split("\n")[0].strip()
            )
            self._metadata = (("authorization", f"Bearer {token}"),)
        options = [("grpc.max_receive_message_length", MAX_REPLY_BYTES)]
        if access.ca_file is None:
            channel = grpc.insecure_channel(access.daemon, options=options)
        else:
            credentials = grpc.ssl_channel_credentials(
                _read_file(access.ca_file)
            )
            channel = grpc.secure_channel(
                access.daemon, credentials, options=options
            )
        self._stub = operator_pb2_grpc.OperatorStub(channel)

    def call(self, method: str, request: Any) -> Any:
        """Makes one call; on failure prints the error and exits."""
        try:
            return self.attempt(method, request)
        except grpc.RpcError as error:
            code = _EXIT_CODES.get(error.code(), output.EXIT_FAILED)
            raise output.fail(
                f"{method}: {self._error_text(error)}", code
            ) from error

    def attempt(self, method: str, request: Any) -> Any:
        """Makes one call.

        Raises:
            grpc.RpcError: The call failed.
        """
        return getattr(self._stub, method)(
            request, timeout=CALL_TIMEOUT_S, metadata=self._metadata
        )

    def _error_text(self, error: grpc.RpcError) -> str:
        text = error.details() or error.code().name
        if error.code() is grpc.StatusCode.UNIMPLEMENTED:
            return "the daemon does not implement this call; upgrade it"
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            return (
                f"no response from {self._access.daemon} within "
                f"{CALL_TIMEOUT_S:.0f} s; try another daemon"
            )
        if not any(fragment in text for fragment in _TRANSPORT_ERROR_TEXTS):
            return text
        hint = "" if self._access.ca_file else ", and --ca-file if it uses TLS"
        return (
            f"cannot reach a daemon at {self._access.daemon}; check that it "
            f"is running, or give another address with --daemon{hint}"
        )


def _read_file(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise output.fail(
            f"{path}: {error.strerror}; pass the path of a readable file",
            output.EXIT_INVALID,
        ) from error


def with_client(command: Callable) -> Callable:
    """Passes a client to a command as its first argument.

    Adds the connection options to the signature of the command.
    """
    signature = inspect.signature(command)
    _, *own_parameters = signature.parameters.values()
    connection_options = {
        "daemon": _DaemonOption,
        "token_file": _TokenFileOption,
        "ca_file": _CaFileOption,
    }
    defaults = Access()
    connection_parameters = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            default=getattr(defaults, name),
            annotation=option,
        )
        for name, option in connection_options.items()
    ]

    @functools.wraps(command)
    def run(**arguments: Any) -> None:
        access = Access(
            **{name: arguments.pop(name) for name in connection_options}
        )
        command(Client(access), **arguments)

    keyword_parameters = [
        parameter.replace(kind=inspect.Parameter.KEYWORD_ONLY)
        for parameter in own_parameters
    ]
    run.__signature__ = signature.replace(
        parameters=[*keyword_parameters, *connection_parameters]
    )
    run.__annotations__ = {
        parameter.name: parameter.annotation
        for parameter in [*keyword_parameters, *connection_parameters]
    }
    del run.__wrapped__
    return run
