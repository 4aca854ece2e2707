"""The daemon on the platform: wires the adapters to the domain."""

import os
import pathlib
import uuid

import gevent
from gevent import socket as gevent_socket

from primrosecross.adapters import boot_clock
from primrosecross.adapters import fleet_metrics
from primrosecross.adapters import fleet_process
from primrosecross.adapters import fleet_repository
from primrosecross.adapters import fleet_shutdown
from primrosecross.adapters import json_log
from primrosecross.adapters import listeners
from primrosecross.adapters import settings_watch
from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser
from primrosecross.adapters.http import key_calls_http
from primrosecross.adapters.http import ready_http
from primrosecross.adapters.peers import peer_streams
from primrosecross.domain import errors
from primrosecross.domain import fleet_node
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from primrosecross.domain import tasks
from primrosecross.domain.membership import membership
from primrosecross.domain.operators import events
from primrosecross.domain.operators import meter as meter_module
from primrosecross.domain.requests import body_memory
from primrosecross.models import addresses
from primrosecross.platform import heartbeat_http
from primrosecross.platform import ingress as ingress_module
from primrosecross.platform import key_calls
from primrosecross.platform import plan
from primrosecross.platform import settings as settings_module
from primrosecross.platform import store as store_module
from primrosecross.platform import targets

CLUSTER = "platform"
READY_PATH = "/api/readyz"
METRICS_PATH = "/metrics"


class Daemon:
    """One daemon process and its local target.

    Args:
        settings: Settings of the daemon.
        path: Settings file, which is polled for changes.
        bound: Sockets that listen already.
    """

    def __init__(
        self,
        settings: settings_module.PlatformSettings,
        path: pathlib.Path,
        bound: fleet_process.Listeners,
    ) -> None:
        self._settings = settings
        self._settings_watch = settings_watch.SettingsWatch(
            load=lambda: settings_module.load(path),
            settings=settings,
            live_fields=settings_module.LIVE_FIELDS,
            apply=lambda new: self._node.apply_limits(_node_limits(new)),
        )
        self._clock = clock = boot_clock.BootClock()
        identity = membership.DaemonIdentity(
            vm=settings.vm,
            place=settings.place,
            region="",
            peer_address="{}:{}".format(*bound.peers.getsockname()),
            incarnation=uuid.uuid4().hex[:16],
        )
        stamps = stamp.StampClock(clock=clock)
        timeline = events.Timeline(vm=settings.vm, clock=clock, stamps=stamps)
        self._meter = meter_module.Meter(timeline=timeline)
        self._store = store_module.PlatformStore(
            address=settings.store_address, clock=clock
        )
        self._peers = peer_streams.PeerStreams(
            hello=stream_messages.Hello(
                protocol=peer_streams.PROTOCOL,
                cluster=CLUSTER,
                vm=settings.vm,
                incarnation=identity.incarnation,
                lane=stream_messages.Lane.CONTROL,
            ),
            listen=bound.peers,
            stamps=stamps,
            record=timeline.record,
        )
        bodies = body_memory.of_process(clock, settings.memory_bytes)
        self._targets = targets.PlatformTargets(clock=clock, bodies=bodies)
        self._key_calls = key_calls_http.HttpKeyCalls(
            address=settings.target_address, dialect=key_calls.DIALECT
        )
        self._node = fleet_node.FleetNode(
            identity=identity,
            ports=fleet_node.FleetPorts(
                clock=clock,
                store=fleet_repository.ObjectFleetRepository(store=self._store),
                plans=plan.ConfigSource(store=self._store),
                peers=self._peers,
                targets=self._targets,
                key_calls=self._key_calls,
            ),
            timeline=timeline,
            limits=_node_limits(settings),
            bodies=bodies,
        )
        self._peers.handler = self._node.handle
        self._metrics = fleet_metrics.FleetMetrics(
            node=self._node,
            meter=self._meter,
            peers=self._peers,
            store_calls=lambda: self._store.calls_by_kind,
            target_connections=lambda: (
                self._targets.opened + self._key_calls.opened
            ),
        )
        self._create_servers(bound.callers)

    def _create_servers(self, caller_listener: gevent_socket.socket) -> None:
        settings = self._settings
        ingress = ingress_module.Ingress(
            service=settings.service,
            state=self._node.state,
            lookup=self._node.route_lookup,
            dispatcher=self._node.dispatcher,
            clock=self._clock,
            meter=self._meter,
        )
        heartbeat_handler = heartbeat_http.HeartbeatHandler(
            service=settings.service,
            address=settings.target_address,
            watch=self._node.local_target_watch,
        )
        self._caller_server = http_connection.HttpServer(
            listen=caller_listener,
            handle=ingress.handle,
            limits=ingress.limits,
            may_overlap=ingress.may_overlap,
            bodies=self._node.bodies,
        )
        self._control_server = http_connection.HttpServer(
            listen=addresses.parse(settings.heartbeat_address),
            handle=heartbeat_handler.handle,
            limits=lambda: http_parser.ServerLimits(
                max_body_bytes=heartbeat_http.MAX_BODY_BYTES
            ),
        )
        self._ready_server = http_connection.HttpServer(
            listen=addresses.parse(settings.ready_address),
            handle=ready_http.ReadyHandler(
                ready_path=READY_PATH,
                metrics_path=METRICS_PATH,
                is_ready=self._node.is_ready,
                metrics_text=self._metrics.text,
            ).handle,
        )

    def start(self) -> None:
        """Starts all tasks, and each server once its port can be had."""
        self._peers.start()
        self._caller_server.start()
        for server, purpose in (
            (self._ready_server, "readiness checks"),
            (self._control_server, "the target"),
        ):
            gevent.spawn(listeners.start, server.start, purpose=purpose)
        self._node.start()
        loops = (self._settings_watch.run, self._metrics.log_periodically)
        tasks.start(loops, clock=self._clock)

    def reload(self) -> None:
        """Reads the settings again."""
        self._settings_watch.reload()

    def stop(self) -> None:
        """Stops admission, waits for requests in flight, stops listening."""
        fleet_shutdown.run(
            node=self._node,
            callers=self._caller_server,
            peers=self._peers,
            limit_ms=self._settings_watch.settings.stop_limit_ms,
            clock=self._clock,
        )


def _node_limits(
    settings: settings_module.PlatformSettings,
) -> fleet_node.NodeLimits:
    return fleet_node.NodeLimits(
        max_hold_ms=settings.max_hold_ms,
        drain_ms=settings.drain_ms,
        plan_in_force_ms=settings.plan_in_force_ms,
        processor_share=settings.processor_share,
        grant_way=settings.grant_way,
    )


def main() -> int:
    """Runs the daemon until SIGTERM; returns the exit code."""
    path = pathlib.Path(os.environ.get(settings_module.FILE_VARIABLE, ""))
    try:
        settings = settings_watch.load_at_start(
            lambda: settings_module.load(path)
        )
    except errors.SettingsError as error:
        print(error, flush=True)
        return 2
    handler = json_log.BufferedHandler(1)
    json_log.configure(
        vm=settings.vm,
        level="INFO",
        handler=handler,
        limits=json_log.FLEET_LIMITS,
    )
    fleet_process.run(
        lambda bound: Daemon(settings, path, bound),
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
        last_peer_address=settings.last_peer_address,
    )
    handler.flush()
    return 0
