"""The daemon on the platform: wires the adapters to the domain."""

import logging
import os
import pathlib
import signal
import uuid

import gevent
from gevent import event as gevent_event

from primrosecross.adapters import boot_clock
from primrosecross.adapters import fleet_repository
from primrosecross.adapters import json_log
from primrosecross.adapters.http import http_connection
from primrosecross.adapters.http import http_parser
from primrosecross.adapters.peers import peer_streams
from primrosecross.domain import errors
from primrosecross.domain import fleet_node
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from primrosecross.domain.membership import membership
from primrosecross.domain.operators import events
from primrosecross.domain.operators import meter as meter_module
from primrosecross.domain.requests import outcome
from primrosecross.models import addresses
from primrosecross.platform import heartbeat_http
from primrosecross.platform import ingress as ingress_module
from primrosecross.platform import plan
from primrosecross.platform import settings as settings_module
from primrosecross.platform import store as store_module
from primrosecross.platform import targets

CLUSTER = "platform"
BODY_BUFFER_MEMORY_DIVISOR = 6  # 1/6 of the memory may hold request bodies
DEFAULT_MAX_BUFFERED_BYTES = 32 << 20
READY_PATH = "/api/readyz"
METRICS_PATH = "/metrics"
SETTINGS_POLL_INTERVAL_S = 2.0
STATS_LOG_INTERVAL_S = 10.0
IDLE_POLL_INTERVAL_S = 0.1
MIN_IDLE_POLLS = 2  # responses to other daemons may still be in transit
MAX_ANSWER_POLLS = 4  # for answers to requests that the stop cuts off
# The platform takes a VM out after two failed readiness checks 1 s apart.
UNREADY_DELAY_MS = 2200
STOP_MARGIN_MS = 800
# Log lines per window; failures are never dropped before successes are.
LOG_LIMITS = {
    logging.DEBUG: 0,
    logging.INFO: 200,
    logging.WARNING: 1000,
    logging.ERROR: 1000,
}

_logger = logging.getLogger(__name__)


class Daemon:
    """One daemon process and its local target.

    Args:
        settings: Settings of the daemon.
        path: Settings file, which is polled for changes.
    """

    def __init__(
        self, settings: settings_module.PlatformSettings, path: pathlib.Path
    ) -> None:
        self._settings = settings
        self._path = path
        self._clock = clock = boot_clock.BootClock()
        identity = membership.DaemonIdentity(
            vm=settings.vm,
            place=settings.place,
            region="",
            peer_address=settings.peer_address,
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
            listen=addresses.parse(settings.peer_address),
            stamps=stamps,
            record=timeline.record,
        )
        self._targets = targets.PlatformTargets(
            clock=clock, memory_bytes=settings.memory_bytes
        )
        self._node = fleet_node.FleetNode(
            identity=identity,
            ports=fleet_node.FleetPorts(
                clock=clock,
                store=fleet_repository.ObjectFleetRepository(store=self._store),
                plans=plan.ConfigSource(store=self._store),
                peers=self._peers,
                targets=self._targets,
            ),
            timeline=timeline,
            max_hold_ms=settings.max_hold_ms,
            drain_ms=settings.drain_ms,
            processor_share=settings.processor_share,
        )
        self._peers.handler = self._node.handle
        self._create_servers()

    def _create_servers(self) -> None:
        settings = self._settings
        ingress = ingress_module.Ingress(
            service=settings.service,
            state=self._node.state,
            dispatcher=self._node.dispatcher,
            clock=self._clock,
            record=self._record,
            max_buffered_bytes=settings.memory_bytes
            // BODY_BUFFER_MEMORY_DIVISOR
            or DEFAULT_MAX_BUFFERED_BYTES,
        )
        heartbeat_handler = heartbeat_http.HeartbeatHandler(
            service=settings.service,
            address=settings.target_address,
            watch=self._node.local_target_watch,
        )
        self._caller_server = http_connection.HttpServer(
            listen=addresses.parse(settings.caller_address),
            handle=ingress.handle,
            limits=ingress.limits,
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
            handle=self._handle_ready,
        )

    def _record(
        self, service: str, result: outcome.Outcome, took_ns: int
    ) -> None:
        self._meter.record(
            service,
            meter_module.labels_of(result),
            took_ns=took_ns,
            now_ns=self._clock.now_ns(),
        )

    def _handle_ready(
        self, http_request: http_parser.HttpRequest
    ) -> http_connection.HttpReply:
        path = http_request.target.partition("?")[0]
        if path == READY_PATH:
            status = 200 if self._node.is_ready() else 503
            return http_connection.HttpReply(status)
        if path == METRICS_PATH:
            return http_connection.HttpReply(200, [], self._metrics_text())
        return http_connection.HttpReply(404)

    def _metrics_text(self) -> bytes:
        # Imported at the first scrape, as most daemons are never scraped.
        from primrosecross.adapters.http import metrics_http

        node = self._node
        collector = metrics_http.RequestCollector(
            meter=self._meter,
            peer_counts=self._peers.counts,
            counters={
                "store_calls": (
                    "Calls to the store.",
                    lambda: self._store.calls,
                ),
                "target_connections": (
                    "Connections opened to the target.",
                    lambda: self._targets.opened,
                ),
                "peer_sent_bytes": (
                    "Bytes sent to other daemons.",
                    lambda: self._peers.traffic.sent_bytes,
                ),
            },
            gauges={
                "map_version": (
                    "Key map in force here.",
                    lambda: node.state.key_map.version,
                ),
                "proof_age_ms": (
                    "Age of the proof under which keys are granted.",
                    node.lease.age_ms,
                ),
                "coordinator": (
                    "1 while in office.",
                    lambda: node.election.is_coordinator,
                ),
                "running": (
                    "Requests at the target.",
                    lambda: node.gate.queue.running,
                ),
                "waiting": (
                    "Requests that wait for the target.",
                    lambda: node.gate.queue.waiting,
                ),
            },
        )
        return metrics_http.Metrics(collector).text()

    def start(self) -> None:
        """Starts the servers and all tasks.

        Raises:
            OSError: A port is in use.
        """
        self._peers.start()
        self._ready_server.start()
        self._control_server.start()
        self._caller_server.start()
        self._node.start()
        gevent.spawn(self._watch_settings)
        gevent.spawn(self._log_stats)

    def _log_stats(self) -> None:
        """Logs counters periodically, so that the logs alone show the load."""
        while True:
            gevent.sleep(STATS_LOG_INTERVAL_S)
            _logger.info(
                "requests %s, store calls %s, running %d, waiting %d, "
                "proof %.0f ms old, target connections %d, peers %s, "
                "event loop late by at most %d ms",
                {"/".join(k): n for k, n in self._meter.counts().items()},
                self._store.calls_by_kind,
                self._node.gate.queue.running,
                self._node.gate.queue.waiting,
                self._node.lease.age_ms(),
                self._targets.opened,
                dict(self._peers.counts),
                self._peers.lateness.take_worst_ms(),
            )

    def _watch_settings(self) -> None:
        """Polls the settings file, as a change may come without a signal."""
        while True:
            gevent.sleep(SETTINGS_POLL_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Reads the settings again; invalid ones are logged and ignored."""
        try:
            reloaded = settings_module.load(self._path)
        except errors.SettingsError as error:
            _logger.error("settings were not reloaded: %s", error)
            return
        if reloaded != self._settings:
            self._settings = reloaded
            _logger.warning(
                "settings have changed; addresses take effect at the next start"
            )

    def stop(self) -> None:
        """Stops admission, waits for requests in flight, stops listening."""
        started_ns = self._clock.now_ns()
        limit_ms = self._settings.stop_limit_ms - STOP_MARGIN_MS
        _logger.info("stopping within at most %d ms", limit_ms)
        self._node.begin_stop()
        self._caller_server.closing = True
        gevent.sleep(UNREADY_DELAY_MS / 1000)
        self._node.gate.stopping = True
        self._caller_server.stop_reading()
        elapsed_ms = UNREADY_DELAY_MS
        idle_polls = 0
        while idle_polls < MIN_IDLE_POLLS and elapsed_ms < limit_ms:
            gevent.sleep(IDLE_POLL_INTERVAL_S)
            elapsed_ms = (self._clock.now_ns() - started_ns) // 10**6
            idle_polls = idle_polls + 1 if self._is_idle() else 0
        _logger.info(
            "stopped after %d ms, idle: %s", elapsed_ms, idle_polls > 0
        )
        self._peers.stop()
        for _ in range(MAX_ANSWER_POLLS):
            if self._caller_server.in_flight:
                gevent.sleep(IDLE_POLL_INTERVAL_S)

    def _is_idle(self) -> bool:
        """Returns whether no request is in flight."""
        return not (
            self._caller_server.in_flight
            or self._node.gate.in_flight
            or self._peers.requests_in_flight()
        )


def main() -> int:
    """Runs the daemon until SIGTERM; returns the exit code."""
    path = pathlib.Path(os.environ.get(settings_module.FILE_VARIABLE, ""))
    try:
        settings = settings_module.load(path)
    except errors.SettingsError as error:
        print(error, flush=True)
        return 2
    handler = json_log.BufferedHandler(1)
    json_log.configure(
        vm=settings.vm, level="INFO", handler=handler, limits=LOG_LIMITS
    )
    daemon = Daemon(settings, path)
    daemon.start()
    _logger.info(
        "started on VM %s for a target of service %s",
        settings.vm,
        settings.service,
    )
    stopping = gevent_event.Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    gevent.signal_handler(signal.SIGHUP, daemon.reload)
    stopping.wait()
    daemon.stop()
    handler.flush()
    return 0
