"""Port to the targets beside this daemon."""

import dataclasses
from typing import Protocol

from primrosecross.domain import outcome
from primrosecross.domain import request


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What a target says of itself.

    Attributes:
        service: Service it belongs to.
        address: "ip:port" where it takes requests.
        slots: Requests it runs at once.
        checks_generation: Whether it refuses out-of-date generations.
    """

    service: str
    address: str
    slots: int
    checks_generation: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """What lets a checking target refuse a request that comes too late.

    Attributes:
        generation: Grant under which the request is run, 0 if unkeyed.
        lease_expires_ns: Time on the VM's boot clock when the grant ends.
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

    def listens(self, announcement: Announcement) -> bool:
        """Tells whether the target takes connections now."""
