"""The platform's settings file.

Source: DEPLOY.md, "Settings of a process".
"""

import dataclasses
import pathlib

import msgspec

from primrosecross.adapters import documents
from primrosecross.domain import errors
from primrosecross.domain.requests import routes
from primrosecross.models import addresses
from primrosecross.models import bounds

FILE_VARIABLE = "PRIMROSECROSS_NODE_FILE"
# Fields of PlatformSettings that take effect without a restart.
LIVE_FIELDS = frozenset(
    {
        "drain_ms",
        "grant_way",
        "max_hold_ms",
        "plan_in_force_ms",
        "processor_share",
        "stop_limit_ms",
    }
)


class _Limits(msgspec.Struct, rename="pascal"):
    memory_mb: bounds.Number = 0.0
    cpu_share: bounds.Number = 1.0
    cores: bounds.Number = 1.0  # speed relative to one core, not a count


class _Self(msgspec.Struct, rename="pascal"):
    node: str
    ip: str
    zone: str
    app: str  # address of the local target
    service: str
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Listen(msgspec.Struct, rename="pascal"):
    outbound: str
    ready: str
    control: str


class _Network(msgspec.Struct, rename="pascal"):
    port_range: tuple[int, int]
    listen: _Listen


class _Store(msgspec.Struct, rename="pascal"):
    address: str


class _Platform(msgspec.Struct, rename="pascal"):
    platform: _Store


class _Bounds(msgspec.Struct, rename="pascal"):
    grace_s: bounds.Number = 6.0  # from SIGTERM to SIGKILL
    hold_max_ms: bounds.Number = 10_000.0
    drain_ms: bounds.Number = 2000.0
    config_ms: bounds.Number = 2000.0


class _Terms(msgspec.Struct, rename="pascal"):
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class _File(msgspec.Struct):
    own: _Self = msgspec.field(name="Self")
    network: _Network = msgspec.field(name="Network")
    platform: _Platform = msgspec.field(name="Platform")
    terms: _Terms = msgspec.field(name="Terms", default_factory=_Terms)
    grants: str = msgspec.field(
        name="Grants", default=routes.GrantWay.HEARTBEAT.value
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one daemon.

    Attributes:
        vm: This VM's name.
        place: Its availability zone.
        service: Service of the local target.
        target_address: Where that target accepts requests.
        caller_address: Where callers on this VM, and the target, send requests.
        ready_address: Where readiness and metrics are served.
        heartbeat_address: Where the target sends its heartbeats.
        peer_address: Where other daemons connect, if the port is free.
        last_peer_address: The last of those that may be used instead.
        store_address: Address of the platform's store.
        stop_limit_ms: Time from SIGTERM to SIGKILL.
        max_hold_ms: Longest duration of a key grant.
        drain_ms: Time from a confirmed deregistration to the last request.
        plan_in_force_ms: Time within which a confirmed plan takes effect.
        memory_bytes: Memory limit of the process, 0 if not set.
        processor_share: Processor limit of the process, 1.0 for a whole core.
        grant_way: How targets are granted keys unless the plan says otherwise.
    """

    vm: str
    place: str
    service: str
    target_address: str
    caller_address: str
    ready_address: str
    heartbeat_address: str
    peer_address: str
    last_peer_address: str
    store_address: str
    stop_limit_ms: int
    max_hold_ms: int
    drain_ms: int
    plan_in_force_ms: int
    memory_bytes: int
    processor_share: float
    grant_way: routes.GrantWay


def load(path: pathlib.Path) -> PlatformSettings:
    """Reads the settings file.

    Raises:
        errors.SettingsError: The file cannot be read or is invalid.
    """
    try:
        settings = _to_settings(documents.decode_toml(path.read_bytes(), _File))
        for name, value in dataclasses.asdict(settings).items():
            if name.endswith("_address"):
                addresses.parse(value)
        return settings
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            f"{path}: {error}",
            remedy=f"set {FILE_VARIABLE} to the platform's settings file",
        ) from error


def _to_settings(document: _File) -> PlatformSettings:
    return PlatformSettings(
        vm=document.own.node,
        place=document.own.zone,
        service=document.own.service,
        target_address=document.own.app,
        caller_address=document.network.listen.outbound,
        ready_address=document.network.listen.ready,
        heartbeat_address=document.network.listen.control,
        peer_address=f"{document.own.ip}:{document.network.port_range[0]}",
        last_peer_address=f"{document.own.ip}:{document.network.port_range[1]}",
        store_address=document.platform.platform.address,
        stop_limit_ms=int(document.terms.bounds.grace_s * 1000),
        max_hold_ms=int(document.terms.bounds.hold_max_ms),
        drain_ms=int(document.terms.bounds.drain_ms),
        plan_in_force_ms=int(document.terms.bounds.config_ms),
        memory_bytes=int(document.own.limits.memory_mb) << 20,
        processor_share=document.own.limits.cpu_share
        * document.own.limits.cores,
        grant_way=routes.GrantWay(document.grants),
    )
