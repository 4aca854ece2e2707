"""The daemon's settings file."""

import pathlib

import pydantic

from primrosecross.domain import errors

_NAME = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"


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
        seeds: Peer addresses to ask for state while the store is down.
        log_level: Least severe level that is logged.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    cluster: str = pydantic.Field(pattern=_NAME)
    vm: str = pydantic.Field(pattern=_NAME)
    place: str = pydantic.Field(pattern=_NAME)
    region: str = pydantic.Field(pattern=_NAME)
    peer: Listen
    caller: Listen
    operator: Listen
    announce: Listen
    store_url: str = pydantic.Field(pattern=r"^http://[0-9.]+:\d+$")
    seeds: tuple[str, ...] = ()
    log_level: str = pydantic.Field(
        default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        errors.SettingsError: The file is missing or does not validate.
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
            remedy="correct the field and start again",
        ) from error


def describe(error: pydantic.ValidationError) -> str:
    """Returns a validation error as one line that names the fields."""
    parts = []
    for item in error.errors(include_url=False):
        field = ".".join(str(part) for part in item["loc"]) or "document"
        parts.append(f"{field}: {item['msg']}")
    return "; ".join(parts)
