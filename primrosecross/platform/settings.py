"""The platform's settings file.

Source: DEPLOY.md, "Settings of a process".
"""

import dataclasses
import pathlib

import msgspec

from primrosecross.domain import errors

FILE_VARIABLE = "PRIMROSECROSS_NODE_FILE"


class _Limits(msgspec.Struct, rename="pascal"):
    memory_mb: float = 0.0
    cpu_share: float = 1.0
    cores: float = 1.0  # how many times as fast as one core, not how many


class _Self(msgspec.Struct, rename="pascal"):
    node: str
    ip: str
    zone: str
    app: str
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
    grace_s: float = 6.0
    hold_max_ms: float = 10_000.0
    drain_ms: float = 2000.0


class _Terms(msgspec.Struct, rename="pascal"):
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class _File(msgspec.Struct):
    own: _Self = msgspec.field(name="Self")
    network: _Network = msgspec.field(name="Network")
    platform: _Platform = msgspec.field(name="Platform")
    terms: _Terms = msgspec.field(name="Terms", default_factory=_Terms)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What a daemon learns of its place on the platform.

    Attributes:
        vm: This VM's name.
        place: Its availability zone.
        service: Service of the target beside the daemon.
        target_address: Where that target takes requests.
        caller_address: Where callers of this VM, and the target, send theirs.
        ready_address: Where readiness and metrics are served.
        announce_address: Where the target sends its heartbeats.
        peer_address: Where other daemons connect.
        store_address: The platform's store.
        stop_limit_ms: Time from SIGTERM to the kill.
        max_hold_ms: Longest time for which keys may be granted.
        drain_ms: Time from a confirmed leave-taking until the last request.
        memory_bytes: Memory that the process may take, 0 if not stated.
        processor_share: Processor that the process may use, 1.0 for a core.
    """

    vm: str
    place: str
    service: str
    target_address: str
    caller_address: str
    ready_address: str
    announce_address: str
    peer_address: str
    store_address: str
    stop_limit_ms: int
    max_hold_ms: int
    drain_ms: int
    memory_bytes: int
    processor_share: float


def load(path: pathlib.Path) -> PlatformSettings:
    """Reads the settings file.

    Raises:
        errors.SettingsError: It cannot be read or does not validate.
    """
    try:
        found = msgspec.toml.decode(path.read_bytes(), type=_File)
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: {error.strerror}",
            remedy=f"set {FILE_VARIABLE} to the platform's settings file",
        ) from error
    except msgspec.DecodeError as error:
        raise errors.SettingsError(
            f"{path}: {error}", remedy="see DEPLOY.md for the fields"
        ) from error
    return PlatformSettings(
        vm=found.own.node,
        place=found.own.zone,
        service=found.own.service,
        target_address=found.own.app,
        caller_address=found.network.listen.outbound,
        ready_address=found.network.listen.ready,
        announce_address=found.network.listen.control,
        peer_address=f"{found.own.ip}:{found.network.port_range[0]}",
        store_address=found.platform.platform.address,
        stop_limit_ms=int(found.terms.bounds.grace_s * 1000),
        max_hold_ms=int(found.terms.bounds.hold_max_ms),
        drain_ms=int(found.terms.bounds.drain_ms),
        memory_bytes=int(found.own.limits.memory_mb) << 20,
        processor_share=found.own.limits.cpu_share * found.own.limits.cores,
    )
