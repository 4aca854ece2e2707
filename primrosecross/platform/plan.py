"""Decodes the operators' configuration object into a route plan.

Source: PROTOCOL.md, "The operator's API" and "Ingress".
"""

import logging
import zlib

import msgspec

from primrosecross.adapters import documents
from primrosecross.domain import errors
from primrosecross.domain.requests import routes
from primrosecross.models import bounds
from primrosecross.models import compressed
from primrosecross.ports import fleet_repository
from primrosecross.ports import store as store_port

KIND = "config"
NAME = "main"
DEFAULT_TIMEOUT_MS = 5000.0
COMPRESSION_LEVEL = 1  # names repeat, so higher levels gain little
MAX_PLAN_BYTES = 32 << 20  # several hundred thousand routes
_logger = logging.getLogger(__name__)
_GRANT_WAYS = {way.value: way for way in routes.GrantWay}


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: bounds.Number = 16_384.0
    max_body_bytes: bounds.Number = 67_108_864.0
    header_timeout_ms: bounds.Number = 3000.0
    idle_timeout_ms: bounds.Number = 15_000.0


class _WeightedService(msgspec.Struct, rename="pascal"):
    service: str
    weight: bounds.Number


class _Match(msgspec.Struct, rename="pascal"):
    path_prefix: str


class _Action(msgspec.Struct, rename="pascal"):
    service: str = ""
    weighted_services: list[_WeightedService] = msgspec.field(
        default_factory=list
    )
    timeout_ms: bounds.Number = DEFAULT_TIMEOUT_MS
    max_attempts: bounds.Number = 1.0


class _Rule(msgspec.Struct, rename="pascal"):
    match: _Match
    action: _Action
    name: str = ""
    kind: str = "unsafe"
    target_latency_ms: bounds.Number = 0.0  # latency objective
    priority: bounds.Number = 0.0


class _Listener(msgspec.Struct, rename="pascal"):
    host: str
    rules: list[_Rule] = msgspec.field(default_factory=list)


class _Cluster(msgspec.Struct, rename="pascal"):
    """A service, not a group of VMs; if sharded, its targets hold keys."""

    name: str
    sharded: bool = False
    grants: str = ""


class _Config(msgspec.Struct, rename="pascal"):
    version: bounds.Number
    listeners: list[_Listener]
    clusters: list[_Cluster]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class ConfigSource:
    """Reads the configuration object from the platform's store.

    Args:
        store: The platform's store.
    """

    def __init__(self, *, store: store_port.Store) -> None:
        self._store = store

    def read_plan(self) -> fleet_repository.PlanDocument | None:
        """Returns the current route plan, None if there is none."""
        stored = self._store.read(KIND, NAME)
        if stored is None:
            return None
        try:
            content = documents.encode_json(stored.spec)
            plan = _decode(int(stored.version), content)
        except ValueError as error:
            raise errors.StoreObjectError(
                f"configuration of revision {stored.version}: {error}",
                remedy="write a valid one; the last valid one stays in force",
            ) from error
        compressed = zlib.compress(content, level=COMPRESSION_LEVEL)
        return fleet_repository.PlanDocument(plan, compressed)

    def wait_for_plan(self, revision: int, timeout_ms: int) -> bool:
        """Waits until the plan changes after a revision."""
        return self._store.wait_for_change(KIND, str(revision), timeout_ms)

    def decode_plan(
        self, revision: int, data: bytes
    ) -> fleet_repository.PlanDocument:
        """Decodes a plan received from another daemon.

        Raises:
            errors.DocumentError: The data is malformed.
        """
        try:
            content = compressed.inflate(data, max_bytes=MAX_PLAN_BYTES)
            plan = _decode(revision, content)
        except ValueError as error:
            raise errors.DocumentError(
                f"configuration of revision {revision}: {error}",
                remedy="run the same version of the daemon on all VMs",
            ) from error
        return fleet_repository.PlanDocument(plan, data)


def _decode(revision: int, content: bytes) -> routes.RoutePlan:
    """Decodes a plan; raises ValueError if the content is malformed."""
    config = documents.decode_json(content, _Config)
    by_host: dict[str, dict[str, routes.Route]] = {}
    for listener in config.listeners:
        host = listener.host.lower()
        by_prefix = by_host.setdefault(host, {})
        for rule in listener.rules:
            by_prefix[rule.match.path_prefix] = _to_route(host, rule)
    limits = config.limits
    return routes.RoutePlan(
        revision=revision,
        version=int(config.version),
        routes=by_host,
        services={
            c.name: routes.RoutedService(
                name=c.name,
                keyed=c.sharded,
                grant_way=_to_grant_way(c),
            )
            for c in config.clusters
        },
        limits=routes.CallerLimits(
            max_head_bytes=int(limits.max_header_bytes),
            max_body_bytes=int(limits.max_body_bytes),
            head_timeout_ms=int(limits.header_timeout_ms),
            idle_timeout_ms=int(limits.idle_timeout_ms),
        ),
    )


def _to_grant_way(cluster: _Cluster) -> routes.GrantWay | None:
    way = _GRANT_WAYS.get(cluster.grants)
    if cluster.grants and way is None:
        _logger.warning("unknown way to grant keys: %.40s", cluster.grants)
    return way


def _to_route(host: str, rule: _Rule) -> routes.Route:
    action = rule.action
    shares = tuple(
        routes.Share(w.service, w.weight)
        for w in action.weighted_services
        if w.weight > 0
    ) or (routes.Share(action.service, 1),)
    return routes.Route(
        name=f"{host}{rule.match.path_prefix}",
        host=host,
        prefix=rule.match.path_prefix,
        kind=routes.RequestKind(rule.kind),
        shares=shares,
        timeout_ms=int(action.timeout_ms),
        max_attempts=max(1, int(action.max_attempts)),
        objective_ms=int(rule.target_latency_ms),
        priority=int(rule.priority),
    )
