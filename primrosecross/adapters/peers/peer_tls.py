"""Mutual TLS between daemons.

A daemon belongs to the cluster if its certificate is signed by the cluster's
own authority and names its VM. Changed files are reloaded.
"""

import dataclasses
import logging
import pathlib

from gevent import socket as gevent_socket
from gevent import ssl

from primrosecross.domain import errors

HANDSHAKE_TIMEOUT_S = 1.0

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFiles:
    """PEM files of one daemon.

    Attributes:
        authority: Certificate of the authority that signs all daemons.
        certificate: This daemon's certificate; it names the VM.
        key: The certificate's private key.
    """

    authority: pathlib.Path
    certificate: pathlib.Path
    key: pathlib.Path


class PeerTls:
    """Secures connections between daemons with mutual TLS.

    Args:
        files: Certificates and key.

    Raises:
        errors.SettingsError: A file is unreadable or invalid.
    """

    def __init__(self, files: PeerFiles) -> None:
        self._files = files
        self._mtimes_ns = self._read_mtimes_ns()
        self._contexts = self._load_contexts()

    def _read_mtimes_ns(self) -> tuple[int, ...]:
        try:
            return tuple(
                path.stat().st_mtime_ns
                for path in dataclasses.astuple(self._files)
            )
        except OSError as error:
            raise errors.SettingsError(
                f"peer TLS file {error.filename}: {error.strerror}",
                remedy="give the path of a readable PEM file",
            ) from error

    def _load_contexts(self) -> tuple[ssl.SSLContext, ssl.SSLContext]:
        try:
            return (
                self._make_context(ssl.PROTOCOL_TLS_SERVER),
                self._make_context(ssl.PROTOCOL_TLS_CLIENT),
            )
        except (OSError, ValueError) as error:
            raise errors.SettingsError(
                f"invalid peer certificates: {error}",
                remedy="check that key, certificate and authority match",
            ) from error

    def _make_context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(str(self._files.authority))
        context.load_cert_chain(
            str(self._files.certificate), str(self._files.key)
        )
        return context

    def _reload_if_changed(self) -> None:
        """Reloads changed files; keeps the previous ones if that fails."""
        try:
            mtimes_ns = self._read_mtimes_ns()
            if mtimes_ns != self._mtimes_ns:
                self._contexts = self._load_contexts()
                self._mtimes_ns = mtimes_ns
        except errors.SettingsError as error:
            _logger.error("keeping the previous peer certificates: %s", error)

    def wrap(
        self, sock: gevent_socket.socket, *, accepted: bool
    ) -> ssl.SSLSocket:
        """Returns the socket after the TLS handshake.

        Raises:
            OSError: The handshake failed, for example because the peer has no
                certificate of the cluster.
        """
        self._reload_if_changed()
        server, client = self._contexts
        sock.settimeout(HANDSHAKE_TIMEOUT_S)
        context = server if accepted else client
        return context.wrap_socket(sock, server_side=accepted)

    @staticmethod
    def certificate_names_of(sock: ssl.SSLSocket) -> frozenset[str]:
        """Returns the VM names in the peer's certificate."""
        certificate = sock.getpeercert() or {}
        return frozenset(
            value
            for kind, value in certificate.get("subjectAltName", ())
            if kind == "DNS"
        )
