"""Tokens and certificates of the operators' port.

Token and certificate files are read again when they change, so that both can
be replaced without a restart.
"""

import dataclasses
import enum
import hmac
import logging
import pathlib
from collections.abc import Callable

import grpc
from cryptography import x509
from cryptography.hazmat.primitives import serialization

from primrosecross.domain import errors

_SERVICE = "/primrosecross.v1.Operator/"
_SCHEME = "Bearer "
_REMEDY = "give a token of the daemon's settings, or ask its operator for one"

_logger = logging.getLogger(__name__)


class Role(enum.StrEnum):
    """What a token permits."""

    READ = "read"
    WRITE = "write"


ROLE_OF_METHOD = {
    "ApplyPlan": Role.WRITE,
    "GetPlan": Role.READ,
    "ListPlans": Role.READ,
    "Where": Role.READ,
    "GetStatus": Role.READ,
    "Drain": Role.WRITE,
    "Undrain": Role.WRITE,
    "Move": Role.WRITE,
    "ListQuarantined": Role.READ,
    "ReleaseQuarantined": Role.WRITE,
    "ListEvents": Role.READ,
    "GetMetrics": Role.READ,
}
_PERMITS = {
    Role.READ: frozenset({Role.READ}),
    Role.WRITE: frozenset({Role.READ, Role.WRITE}),
}


class WatchedFile:
    """A small file whose content is kept until the file changes.

    Args:
        path: Where it is.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._seen: tuple[int, int, int] = (0, 0, 0)
        self._content = b""

    def read(self) -> bytes:
        """Returns its content.

        Raises:
            errors.SettingsError: It cannot be read.
        """
        try:
            found = self._path.stat()
            seen = (found.st_mtime_ns, found.st_size, found.st_ino)
            if seen != self._seen:
                self._content = self._path.read_bytes()
                self._seen = seen
        except OSError as error:
            raise errors.SettingsError(
                f"file {self._path}: {error.strerror}",
                remedy="put the file there and make it readable",
            ) from error
        return self._content


@dataclasses.dataclass(frozen=True, slots=True)
class AccessFiles:
    """Files that decide who may call; None where there is none."""

    read_tokens: pathlib.Path | None = None
    write_tokens: pathlib.Path | None = None
    certificate: pathlib.Path | None = None
    key: pathlib.Path | None = None


class Access:
    """Who may call what on the operators' port.

    Args:
        files: Token and certificate files.
    """

    def __init__(self, files: AccessFiles) -> None:
        self._tokens = {
            role: WatchedFile(path)
            for role, path in (
                (Role.READ, files.read_tokens),
                (Role.WRITE, files.write_tokens),
            )
            if path is not None
        }
        self._certificate = files.certificate and WatchedFile(files.certificate)
        self._key = files.key and WatchedFile(files.key)
        self._shown: tuple[bytes, bytes] = (b"", b"")

    def check(self) -> None:
        """Checks all files.

        Raises:
            errors.SettingsError: One cannot be read, or the key is not the
                certificate's.
        """
        for file in self._tokens.values():
            file.read()
        if self._certificate is not None and self._key is not None:
            self._read_pair()

    @property
    def open(self) -> bool:
        """Whether calls need no token."""
        return not self._tokens

    def role_of(self, token: str) -> Role | None:
        """Returns the role of a token, None for an unknown one.

        All tokens are compared, each in constant time.
        """
        given = token.encode()
        found = None
        for role in (Role.READ, Role.WRITE):
            for known in self._known(role):
                if hmac.compare_digest(known, given):
                    found = role
        return found

    def _known(self, role: Role) -> list[bytes]:
        file = self._tokens.get(role)
        if file is None:
            return []
        try:
            return file.read().split()
        except errors.SettingsError as error:
            _logger.error("no %s token is accepted: %s", role, error)
            return []

    def credentials(self) -> grpc.ServerCredentials | None:
        """Returns the server's credentials, None without a certificate.

        Raises:
            errors.SettingsError: The files cannot be read.
        """
        if self._certificate is None or self._key is None:
            return None
        return grpc.dynamic_ssl_server_credentials(
            self._configuration(self._read_pair()), self._fetch
        )

    def _read_pair(self) -> tuple[bytes, bytes]:
        key, certificate = self._key.read(), self._certificate.read()
        if not _belong_together(key, certificate):
            raise errors.SettingsError(
                "key_file is not the key of certificate_file, or one of them "
                "is no PEM",
                remedy="write both; until then a running daemon shows the "
                "last certificate",
            )
        self._shown = (key, certificate)
        return self._shown

    def _configuration(
        self, pair: tuple[bytes, bytes]
    ) -> grpc.ServerCertificateConfiguration:
        return grpc.ssl_server_certificate_configuration([pair])

    def _fetch(self) -> grpc.ServerCertificateConfiguration | None:
        """Returns a new configuration when the files changed, else None."""
        shown = self._shown
        try:
            pair = self._read_pair()
        except errors.SettingsError as error:
            _logger.error("the last certificate stays in use: %s", error)
            return None
        return None if pair == shown else self._configuration(pair)


def _belong_together(key: bytes, certificate: bytes) -> bool:
    try:
        private = serialization.load_pem_private_key(key, password=None)
        public = x509.load_pem_x509_certificate(certificate).public_key()
    except (ValueError, TypeError):
        return False
    return private.public_key() == public


class TokenInterceptor(grpc.ServerInterceptor):
    """Refuses calls whose token does not permit them.

    Args:
        access: Knows the tokens.
    """

    def __init__(self, *, access: Access) -> None:
        self._access = access

    def intercept_service(
        self,
        continuation: Callable,
        handler_call_details: grpc.HandlerCallDetails,
    ) -> grpc.RpcMethodHandler | None:
        """Hands a permitted call on, and refuses any other."""
        if self._access.open:
            return continuation(handler_call_details)
        method = handler_call_details.method.removeprefix(_SERVICE)
        metadata = dict(handler_call_details.invocation_metadata)
        token = str(metadata.get("authorization", ""))
        role = self._access.role_of(token.removeprefix(_SCHEME))
        if role is None:
            return _refusal(
                grpc.StatusCode.UNAUTHENTICATED,
                f"{method} needs a token; {_REMEDY}",
            )
        needed = ROLE_OF_METHOD.get(method, Role.WRITE)
        if needed not in _PERMITS[role]:
            return _refusal(
                grpc.StatusCode.PERMISSION_DENIED,
                f"{method} needs a {needed} token and this one only permits "
                f"{role}; {_REMEDY}",
            )
        return continuation(handler_call_details)


def _refusal(code: grpc.StatusCode, text: str) -> grpc.RpcMethodHandler:
    def refuse(_: bytes, context: grpc.ServicerContext) -> None:
        context.abort(code, text)

    return grpc.unary_unary_rpc_method_handler(refuse)
