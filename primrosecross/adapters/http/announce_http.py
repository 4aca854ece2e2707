"""HTTP endpoint where the targets of this VM announce themselves."""

import logging
from collections.abc import Callable
from collections.abc import Iterable
from typing import Annotated
from typing import Any

import pydantic

from primrosecross.adapters.http import http_server
from primrosecross.models import addresses
from primrosecross.models import settings as settings_model
from primrosecross.ports import target as target_port

MAX_BODY_BYTES = 16 * 1024
REQUEST_TIMEOUT_S = 5.0
_PATH_PATTERN = r"^(/[!-~]{0,255})?$"

_logger = logging.getLogger(__name__)


class AnnouncementModel(pydantic.BaseModel):
    """Body of POST /v1/announce."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    service: str = pydantic.Field(pattern=r"^[a-z0-9-]{1,63}$")
    address: Annotated[str, pydantic.AfterValidator(addresses.check)]
    slots: int = pydantic.Field(ge=1, le=10_000)
    checks_generation: bool = False
    connections: int = pydantic.Field(
        default=target_port.DEFAULT_MAX_CONNECTIONS, ge=1, le=10_000
    )
    cancel_path: str = pydantic.Field(default="", pattern=_PATH_PATTERN)
    health_path: str = pydantic.Field(default="", pattern=_PATH_PATTERN)
    load_path: str = pydantic.Field(default="", pattern=_PATH_PATTERN)


class _Handler(http_server.Handler):
    """Serves one target's connection."""

    MAX_REQUEST_S = REQUEST_TIMEOUT_S


class AnnounceServer:
    """Receives and validates announcements.

    Args:
        listen: Address to listen on, as (ip, port).
        on_announcement: Called with each announcement.
    """

    def __init__(
        self,
        *,
        listen: tuple[str, int],
        on_announcement: Callable[[target_port.Announcement], None],
    ) -> None:
        self._on_announcement = on_announcement
        self._server = http_server.NoDelayWsgiServer(
            listen,
            self._serve,
            log=None,
            error_log=None,
            handler_class=_Handler,
        )

    def start(self) -> None:
        """Starts listening; raises OSError if the port is in use."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop(timeout=1)

    def _serve(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if route != ("POST", "/v1/announce"):
            start_response("404 Not Found", [])
            return [b"post announcements to /v1/announce\n"]
        try:
            body = environ["wsgi.input"].read(MAX_BODY_BYTES)
            model = AnnouncementModel.model_validate_json(body)
        except pydantic.ValidationError as error:
            problem = settings_model.describe(error)
            _logger.warning("refused an announcement: %s", problem)
            start_response("400 Bad Request", [])
            return [problem.encode() + b"\n"]
        self._on_announcement(target_port.Announcement(**model.model_dump()))
        start_response("204 No Content", [])
        return []
