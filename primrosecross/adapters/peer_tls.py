"""Mutual TLS between daemons.

A daemon belongs to the cluster if its certificate is signed by the cluster's
own authority and names its VM. Files are read again when they change.
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
        authority: Certificate of the authority that signs all daemons'.
        certificate: This daemon's certificate; it names the VM.
        key: The certificate's private key.
    """

    authority: pathlib.Path
    certificate: pathlib.Path
    key: pathlib.Path


class PeerTls:
    """Wraps connections between daemons.

    Args:
        files: Certificates and key.

    Raises:
        errors.SettingsError: A file cannot be used.
    """

    def __init__(self, files: PeerFiles) -> None:
        self._files = files
        self._stamps = self._read_stamps()
        self._contexts = self._load()

    def _read_stamps(self) -> tuple[int, ...]:
        try:
            return tuple(
                path.stat().st_mtime_ns
                for path in dataclasses.astuple(self._files)
            )
        except OSError as error:
            raise errors.SettingsError(
                f"peer certificate {error.filename}: {error.strerror}",
                remedy="give the path of a readable PEM file",
            ) from error

    def _load(self) -> tuple[ssl.SSLContext, ssl.SSLContext]:
        try:
            return (
                self._context(ssl.PROTOCOL_TLS_SERVER),
                self._context(ssl.PROTOCOL_TLS_CLIENT),
            )
        except (OSError, ValueError) as error:
            raise errors.SettingsError(
                f"peer certificates cannot be used: {error}",
                remedy="check that key, certificate and authority match",
            ) from error

    def _context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(str(self._files.authority))
        context.load_cert_chain(
            str(self._files.certificate), str(self._files.key)
        )
        return context

    def _refresh(self) -> None:
        """Reads the files again if they changed; keeps the old on a fault."""
        try:
            stamps = self._read_stamps()
            if stamps != self._stamps:
                self._contexts = self._load()
                self._stamps = stamps
        except errors.SettingsError as error:
            _logger.error("the earlier peer certificates stay: %s", error)

    def wrap(
        self, sock: gevent_socket.socket, *, accepted: bool
    ) -> ssl.SSLSocket:
        """Returns the socket after the handshake.

        Raises:
            OSError: The other side has no certificate of the cluster.
        """
        self._refresh()
        server, client = self._contexts
        sock.settimeout(HANDSHAKE_TIMEOUT_S)
        context = server if accepted else client
        return context.wrap_socket(sock, server_side=accepted)

    @staticmethod
    def names_of(sock: ssl.SSLSocket) -> frozenset[str]:
        """Returns the VM names in the other side's certificate."""
        certificate = sock.getpeercert() or {}
        return frozenset(
            value
            for kind, value in certificate.get("subjectAltName", ())
            if kind == "DNS"
        )
