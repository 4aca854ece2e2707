"""Port to the targets on this VM."""

import dataclasses
from typing import Protocol

from primrosecross.domain.requests import outcome
from primrosecross.domain.requests import request

DEFAULT_MAX_CONNECTIONS = 110


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Self-description of a target.

    Attributes:
        service: Service of the target.
        address: "ip:port" that accepts requests.
        slots: Maximum number of concurrent requests.
        checks_generation: Whether it refuses out-of-date generations.
        connections: Maximum number of connections from this daemon.
        cancel_path: Path for cancellations, empty if not supported.
        health_path: Path of the readiness check, empty if there is none.
        load_path: Path that reports the load, empty if there is none.
        instance: Instance ID that the target checks, empty if it has none.
    """

    service: str
    address: str
    slots: int
    checks_generation: bool
    connections: int = DEFAULT_MAX_CONNECTIONS
    cancel_path: str = ""
    health_path: str = ""
    load_path: str = ""
    instance: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Fencing data by which a target refuses a request that arrives too late.

    Attributes:
        generation: Generation under which the request runs, 0 if unkeyed.
        lease_expires_ns: Expiry of the grant on the VM's boot clock.
    """

    generation: int
    lease_expires_ns: int


class Targets(Protocol):
    """Targets on this VM."""

    def run(
        self,
        announcement: Announcement,
        req: request.Request,
        fence: Fence,
    ) -> outcome.Outcome:
        """Runs a request on a target and returns its outcome."""

    def is_listening(self, announcement: Announcement) -> bool:
        """Returns whether the target accepts connections now."""

    def close_connections(self, announcement: Announcement) -> None:
        """Closes the connections kept open to a removed target."""
