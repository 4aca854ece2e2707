"""What operators declare for callers' requests: routes, services, limits."""

import dataclasses
import enum


class RequestKind(enum.StrEnum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service's share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share relative to the other weights of the route.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host below a path prefix go.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without port.
        prefix: Path prefix; begins and ends with a slash.
        kind: What may be repeated.
        shares: Services that take the requests.
        timeout_ms: Longest time until a request has its final answer.
        max_attempts: Most targets to which one attempt of a caller is sent.
        objective_ms: Time within which an answer is worth its full benefit.
        priority: Rank; 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    timeout_ms: int
    max_attempts: int
    objective_ms: int
    priority: int

    @property
    def idempotent(self) -> bool:
        """Whether running a request twice is harmless."""
        return self.kind is RequestKind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedService:
    """A service that routes name.

    Attributes:
        name: Name of the service.
        keyed: Whether its targets hold keys exclusively.
    """

    name: str
    keyed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send and how long they may take."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePlan:
    """One accepted configuration.

    Attributes:
        revision: The store's revision; newer configurations have higher ones.
        version: The operators' number of it.
        routes: Routes by host and prefix.
        services: Services by name.
        limits: Limits for callers.
    """

    revision: int
    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, RoutedService]
    limits: CallerLimits

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins a path."""
        by_prefix = self.routes.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = by_prefix.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None
