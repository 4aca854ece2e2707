"""Models of the daemon's settings file."""

import json
import pathlib
from typing import Annotated

import pydantic

from primrosecross.domain import errors
from primrosecross.models import addresses

_Address = Annotated[
    str,
    pydantic.Field(pattern=r"^[0-9.]+:[0-9]{1,5}$"),
    pydantic.AfterValidator(addresses.check),
]
_NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"


class Listen(pydantic.BaseModel):
    """An address to listen on.

    Attributes:
        host: IP number.
        port: TCP port.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    host: pydantic.IPvAnyAddress = pydantic.Field(
        default="127.0.0.1", validate_default=True
    )
    port: int = pydantic.Field(ge=1, le=65535)

    @property
    def address(self) -> str:
        """Returns "ip:port"."""
        return f"{self.host}:{self.port}"


class OperatorListen(Listen):
    """Where operators' calls arrive, and who may make them.

    Token files hold one token a line; certificates and keys are PEM. All are
    read again when they change.

    Attributes:
        read_token_file: Tokens that permit reading.
        write_token_file: Tokens that permit reading and changing.
        certificate_file: Certificate chain shown to callers.
        key_file: The certificate's private key.
    """

    read_token_file: pathlib.Path | None = None
    write_token_file: pathlib.Path | None = None
    certificate_file: pathlib.Path | None = None
    key_file: pathlib.Path | None = None

    @pydantic.model_validator(mode="after")
    def _check_access_files(self) -> "OperatorListen":
        if (self.certificate_file is None) != (self.key_file is None):
            raise ValueError(
                "certificate_file and key_file must be set together"
            )
        has_access_files = self.write_token_file and self.certificate_file
        if not self.host.is_loopback and not has_access_files:
            raise ValueError(
                f"{self.host} is not a loopback address, so write_token_file, "
                "certificate_file and key_file are required"
            )
        return self


class PeerListen(Listen):
    """Where other daemons connect, and how daemons know each other.

    Attributes:
        authority_file: Certificate of the authority that signs daemons', PEM.
        certificate_file: This daemon's certificate; it names the VM.
        key_file: The certificate's private key.
    """

    authority_file: pathlib.Path | None = None
    certificate_file: pathlib.Path | None = None
    key_file: pathlib.Path | None = None

    @pydantic.model_validator(mode="after")
    def _check_tls_files(self) -> "PeerListen":
        files = (self.authority_file, self.certificate_file, self.key_file)
        if None in files and any(files):
            raise ValueError(
                "authority_file, certificate_file and key_file must be set "
                "together"
            )
        if not self.host.is_loopback and None in files:
            raise ValueError(
                f"{self.host} is not a loopback address, so authority_file, "
                "certificate_file and key_file are required"
            )
        return self


class Settings(pydantic.BaseModel):
    """Settings of one daemon.

    Attributes:
        cluster: Name shared by all daemons that work together.
        vm: Name of this VM, unique in the cluster.
        place: Availability zone of this VM.
        region: Region of the zone.
        peer: Where other daemons connect.
        caller: Where callers send HTTP requests.
        operator: Where operators' calls arrive.
        announce: Where the targets on this VM announce themselves.
        store_url: Base URL of the platform's object API, by IP number.
        advertise: Peer address that other daemons are to use, "ip:port", when
            they cannot use the one listened on.
        seeds: Peer addresses to ask for state while the store is down.
        stop_limit_ms: Longest wait for requests in flight when told to stop.
        log_level: Least severe level that is logged.
        metrics: Where GET /metrics is answered; nowhere by default.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    cluster: str = pydantic.Field(pattern=_NAME_PATTERN)
    vm: str = pydantic.Field(pattern=_NAME_PATTERN)
    place: str = pydantic.Field(pattern=_NAME_PATTERN)
    region: str = pydantic.Field(pattern=_NAME_PATTERN)
    peer: PeerListen
    caller: Listen
    operator: OperatorListen
    announce: Listen
    store_url: str = pydantic.Field(pattern=r"^http://[0-9.]+:\d+$")
    stop_limit_ms: int = pydantic.Field(default=30_000, ge=0, le=3_600_000)
    advertise: _Address | None = None
    seeds: tuple[_Address, ...] = ()
    log_level: str = pydantic.Field(
        default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )
    metrics: Listen | None = None

    @property
    def peer_address(self) -> str:
        """Address at which other daemons reach this one, "ip:port"."""
        return self.advertise or self.peer.address


RESTART_NOTE = (
    "Every setting takes effect at a restart. Token and certificate files "
    "named here are read again when they change; the plan needs no restart."
)


def schema() -> str:
    """Returns the JSON Schema of the settings file."""
    document = {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        **Settings.model_json_schema(),
        "$comment": RESTART_NOTE,
    }
    return json.dumps(document, indent=2) + "\n"


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        errors.SettingsError: The file cannot be read or is invalid.
    """
    try:
        return Settings.model_validate_json(path.read_bytes())
    except OSError as error:
        raise errors.SettingsError(
            f"settings {path}: {error.strerror}",
            remedy="give the path of a readable JSON file",
        ) from error
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            f"settings {path}: {describe(error)}",
            remedy="correct the field and start again; "
            "primrosecrossd --schema prints the valid fields",
        ) from error


def describe(error: pydantic.ValidationError) -> str:
    """Formats a validation error as one line that names the fields."""
    parts = []
    for item in error.errors(include_url=False):
        field = ".".join(str(part) for part in item["loc"]) or "document"
        parts.append(f"{field}: {item['msg']}")
    return "; ".join(parts)
