"""Route plan declared by operators: routes, services and limits."""

import dataclasses
import enum


class RequestKind(enum.StrEnum):
    """Which requests of a route may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


class GrantWay(enum.StrEnum):
    """How targets are granted keys."""

    HEARTBEAT = "heartbeat"
    CALL = "call"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight among the services of a route.

    Attributes:
        service: Name of the service.
        weight: Share of requests, relative to the other weights of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rule for requests of a host whose path has a prefix.

    Attributes:
        name: Name of the route.
        host: Host in lower case, without port.
        prefix: Path prefix; begins and ends with a slash.
        kind: Which requests may be repeated.
        shares: Services that get the requests.
        timeout_ms: Longest time from a request to its final answer.
        max_attempts: Maximum number of targets tried for a caller's attempt.
        objective_ms: Latency objective; later answers are worth less.
        priority: Priority; 0 is the most urgent.
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
        """Whether a request may run more than once."""
        return self.kind is RequestKind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedService:
    """A service named by routes.

    Attributes:
        name: Name of the service.
        keyed: Whether its targets hold keys exclusively.
        grant_way: How its targets are granted keys; None if as the settings
            say.
    """

    name: str
    keyed: bool
    grant_way: "GrantWay | None" = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of size and time for callers."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePlan:
    """One accepted version of the route plan.

    Attributes:
        revision: The store's revision; newer plans have higher ones.
        version: The operators' version number.
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
        """Returns the route with the longest prefix of a path, None if none."""
        by_prefix = self.routes.get(host)
        if by_prefix is None:
            return None
        slash_index = path.rfind("/")
        while slash_index >= 0:
            route = by_prefix.get(path[: slash_index + 1])
            if route is not None:
                return route
            slash_index = path.rfind("/", 0, slash_index)
        return None
