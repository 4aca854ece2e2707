"""Tokens and certificates of the operators' port.

Token and certificate files are reloaded when they change, so that both can be
replaced without a restart.
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

_METHOD_PREFIX = "/primrosecross.v1.Operator/"
_BEARER_PREFIX = "Bearer "
_TOKEN_REMEDY = (
    "pass a token from the daemon's settings, or ask its operator for one"
)

_logger = logging.getLogger(__name__)


class Role(enum.StrEnum):
    """Permission that a token grants."""

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
_PERMITTED_ROLES = {
    Role.READ: frozenset({Role.READ}),
    Role.WRITE: frozenset({Role.READ, Role.WRITE}),
}


class CachedFile:
    """A small file whose content is cached until the file changes.

    Args:
        path: Path of the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._signature: tuple[int, int, int] = (0, 0, 0)
        self._content = b""

    def read(self) -> bytes:
        """Returns the content.

        Raises:
            errors.SettingsError: The file cannot be read.
        """
        try:
            status = self._path.stat()
            signature = (status.st_mtime_ns, status.st_size, status.st_ino)
            if signature != self._signature:
                self._content = self._path.read_bytes()
                self._signature = signature
        except OSError as error:
            raise errors.SettingsError(
                f"file {self._path}: {error.strerror}",
                remedy="create the file and make it readable for the daemon",
            ) from error
        return self._content


@dataclasses.dataclass(frozen=True, slots=True)
class AccessFiles:
    """Token and certificate files; None for one that is not configured."""

    read_tokens: pathlib.Path | None = None
    write_tokens: pathlib.Path | None = None
    certificate: pathlib.Path | None = None
    key: pathlib.Path | None = None


class Access:
    """Access control of the operators' port.

    Args:
        files: Token and certificate files.
    """

    def __init__(self, files: AccessFiles) -> None:
        self._tokens = {
            role: CachedFile(path)
            for role, path in (
                (Role.READ, files.read_tokens),
                (Role.WRITE, files.write_tokens),
            )
            if path is not None
        }
        self._certificate = files.certificate and CachedFile(files.certificate)
        self._key = files.key and CachedFile(files.key)
        self._served_pair: tuple[bytes, bytes] = (b"", b"")

    def check(self) -> None:
        """Checks all files.

        Raises:
            errors.SettingsError: A file cannot be read, or the key does not
                match the certificate.
        """
        for file in self._tokens.values():
            file.read()
        if self._certificate is not None and self._key is not None:
            self._read_key_pair()

    @property
    def allows_anonymous(self) -> bool:
        """Whether calls are accepted without a token."""
        return not self._tokens

    def role_of(self, token: str) -> Role | None:
        """Returns the role of a token, None for an unknown one.

        All tokens are compared, each in constant time, so that timing does not
        reveal them.
        """
        presented = token.encode()
        matched_role = None
        for role in (Role.READ, Role.WRITE):
            for accepted in self._accepted_tokens(role):
                if hmac.compare_digest(accepted, presented):
                    matched_role = role
        return matched_role

    def _accepted_tokens(self, role: Role) -> list[bytes]:
        file = self._tokens.get(role)
        if file is None:
            return []
        try:
            return file.read().split()
        except errors.SettingsError as error:
            _logger.error("rejecting all %s tokens: %s", role, error)
            return []

    def credentials(self) -> grpc.ServerCredentials | None:
        """Returns the server's credentials, None without a certificate.

        Raises:
            errors.SettingsError: The files cannot be read.
        """
        if self._certificate is None or self._key is None:
            return None
        return grpc.dynamic_ssl_server_credentials(
            self._configuration(self._read_key_pair()), self._reload_certificate
        )

    def _read_key_pair(self) -> tuple[bytes, bytes]:
        key, certificate = self._key.read(), self._certificate.read()
        if not _is_key_pair(key, certificate):
            raise errors.SettingsError(
                "key_file does not match certificate_file, or one of them is "
                "not a PEM file",
                remedy="write both files; until then a running daemon serves "
                "the last certificate",
            )
        self._served_pair = (key, certificate)
        return self._served_pair

    def _configuration(
        self, pair: tuple[bytes, bytes]
    ) -> grpc.ServerCertificateConfiguration:
        return grpc.ssl_server_certificate_configuration([pair])

    def _reload_certificate(self) -> grpc.ServerCertificateConfiguration | None:
        """Returns a new configuration if the files have changed, else None."""
        served_pair = self._served_pair
        try:
            pair = self._read_key_pair()
        except errors.SettingsError as error:
            _logger.error("keeping the last certificate in use: %s", error)
            return None
        return None if pair == served_pair else self._configuration(pair)


def _is_key_pair(key: bytes, certificate: bytes) -> bool:
    try:
        private_key = serialization.load_pem_private_key(key, password=None)
        certificate_key = x509.load_pem_x509_certificate(
            certificate
        ).public_key()
    except (ValueError, TypeError):
        return False
    return private_key.public_key() == certificate_key


class TokenInterceptor(grpc.ServerInterceptor):
    """Rejects calls that their token does not permit.

    Args:
        access: Maps tokens to roles.
    """

    def __init__(self, *, access: Access) -> None:
        self._access = access

    def intercept_service(
        self,
        continuation: Callable,
        handler_call_details: grpc.HandlerCallDetails,
    ) -> grpc.RpcMethodHandler | None:
        """Passes on a permitted call and rejects any other."""
        if self._access.allows_anonymous:
            return continuation(handler_call_details)
        method = handler_call_details.method.removeprefix(_METHOD_PREFIX)
        metadata = dict(handler_call_details.invocation_metadata)
        token = str(metadata.get("authorization", ""))
        role = self._access.role_of(token.removeprefix(_BEARER_PREFIX))
        if role is None:
            return _aborting_handler(
                grpc.StatusCode.UNAUTHENTICATED,
                f"{method} requires a token; {_TOKEN_REMEDY}",
            )
        required = ROLE_OF_METHOD.get(method, Role.WRITE)
        if required not in _PERMITTED_ROLES[role]:
            return _aborting_handler(
                grpc.StatusCode.PERMISSION_DENIED,
                f"{method} requires a {required} token and this one permits "
                f"only {role}; {_TOKEN_REMEDY}",
            )
        return continuation(handler_call_details)


def _aborting_handler(
    code: grpc.StatusCode, text: str
) -> grpc.RpcMethodHandler:
    def abort_call(_: bytes, context: grpc.ServicerContext) -> None:
        context.abort(code, text)

    return grpc.unary_unary_rpc_method_handler(abort_call)
