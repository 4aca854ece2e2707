"""Routing daemon that runs beside the target on each VM."""

from primrosecross.adapters import process_start

if __name__ == "__main__":
    process_start.prepare()

from gevent import monkey

monkey.patch_all()

import logging  # noqa: E402
import pathlib  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import uuid  # noqa: E402
from collections.abc import Callable  # noqa: E402
from typing import NoReturn  # noqa: E402

import gevent  # noqa: E402
import typer  # noqa: E402
from gevent import event as gevent_event  # noqa: E402
from grpc.experimental import gevent as grpc_gevent  # noqa: E402

from primrosecross.adapters import boot_clock  # noqa: E402
from primrosecross.adapters import json_log  # noqa: E402
from primrosecross.adapters import listeners  # noqa: E402
from primrosecross.adapters import object_repository  # noqa: E402
from primrosecross.adapters import object_store  # noqa: E402
from primrosecross.adapters import operator_access  # noqa: E402
from primrosecross.adapters import operator_rpc  # noqa: E402
from primrosecross.adapters import settings_watch  # noqa: E402
from primrosecross.adapters.http import announce_http  # noqa: E402
from primrosecross.adapters.http import caller_http  # noqa: E402
from primrosecross.adapters.http import metrics_http  # noqa: E402
from primrosecross.adapters.http import target_http  # noqa: E402
from primrosecross.adapters.peers import peer_streams  # noqa: E402
from primrosecross.adapters.peers import peer_tls  # noqa: E402
from primrosecross.domain import errors  # noqa: E402
from primrosecross.domain import node as node_module  # noqa: E402
from primrosecross.domain import stamp  # noqa: E402
from primrosecross.domain import stream_messages  # noqa: E402
from primrosecross.domain.membership import lease  # noqa: E402
from primrosecross.domain.membership import membership  # noqa: E402
from primrosecross.domain.operators import events  # noqa: E402
from primrosecross.models import settings as settings_model  # noqa: E402

SEED_RETRY_INTERVAL_S = 1.0
EXIT_INVALID = 2
EXIT_PORT_IN_USE = 3
PORT_LIMIT_S = 5.0  # for a predecessor that has not ended yet
EXIT_REQUESTS_ABORTED = 4

_logger = logging.getLogger(__name__)


class Daemon:
    """Wires the adapters to the domain.

    Args:
        settings: Validated settings.
    """

    def __init__(self, settings: settings_model.Settings) -> None:
        self._seeds = settings.seeds
        clock = boot_clock.BootClock()
        identity = membership.DaemonIdentity(
            vm=settings.vm,
            place=settings.place,
            region=settings.region,
            peer_address=settings.peer_address,
            incarnation=uuid.uuid4().hex,
        )
        stamps = stamp.StampClock(clock=clock)
        self.timeline = events.Timeline(
            vm=settings.vm, clock=clock, stamps=stamps
        )
        store = object_store.ObjectStore(
            url=settings.store_url,
            clock=clock,
            timeline=self.timeline,
            stamps=stamps,
        )
        self.peers = peer_streams.PeerStreams(
            hello=stream_messages.Hello(
                protocol=peer_streams.PROTOCOL,
                cluster=settings.cluster,
                vm=settings.vm,
                incarnation=identity.incarnation,
                lane=stream_messages.Lane.CONTROL,
            ),
            listen=_host_and_port(settings.peer),
            stamps=stamps,
            record=self.timeline.record,
            tls=_peer_tls(settings.peer),
        )
        ports = node_module.Ports(
            clock=clock,
            repository=object_repository.ObjectRepository(store=store),
            codec=object_repository.JsonStateCodec(),
            peers=self.peers,
            targets=target_http.HttpTargets(clock=clock),
        )
        self.node = node_module.Node(
            identity=identity,
            ports=ports,
            timeline=self.timeline,
            timing=lease.LeaseTiming(),
        )
        self.peers.handler = self.node.handle
        self.peers.is_removed = self.node.state.is_removed
        self._announce_server = announce_http.AnnounceServer(
            listen=_host_and_port(settings.announce),
            on_announcement=self.node.record_announcement,
        )
        self._caller_server = caller_http.CallerServer(
            listen=_host_and_port(settings.caller),
            router=self.node.metered_router,
            state=self.node.state,
            clock=clock,
        )
        self._metrics = self._make_metrics(store)
        self._metrics_server: metrics_http.MetricsServer | None = None
        if settings.metrics is not None:
            self._metrics_server = metrics_http.MetricsServer(
                listen=_host_and_port(settings.metrics), metrics=self._metrics
            )
        self._operator_server = self._make_operator_server(settings, store)

    def _make_metrics(
        self, store: object_store.ObjectStore
    ) -> metrics_http.Metrics:
        return metrics_http.Metrics(
            metrics_http.DaemonCollector(
                meter=self.node.meter,
                state=self.node.state,
                lease=self.node.lease,
                election=self.node.election,
                executor=self.node.executor,
                counters=self._counters(store),
                peer_counts=self.peers.counts,
            )
        )

    def _make_operator_server(
        self, settings: settings_model.Settings, store: object_store.ObjectStore
    ) -> operator_rpc.OperatorServer:
        return operator_rpc.OperatorServer(
            address=settings.operator.address,
            access=operator_access.Access(_access_files(settings.operator)),
            servicer=operator_rpc.OperatorServicer(
                vm=settings.vm,
                operations=self.node.operations,
                state=self.node.state,
                lease=self.node.lease,
                collector=self.node.collector,
                metrics=self._metrics.text,
                store_calls=lambda: store.calls,
                traffic=self.peers.traffic,
            ),
        )

    def _counters(
        self, store: object_store.ObjectStore
    ) -> dict[str, tuple[str, Callable[[], int]]]:
        traffic = self.peers.traffic
        return {
            "store_calls": ("Calls to the store.", lambda: store.calls),
            "peer_sent_bytes": (
                "Bytes sent to other daemons.",
                lambda: traffic.sent_bytes,
            ),
            "peer_received_bytes": (
                "Bytes received from other daemons.",
                lambda: traffic.received_bytes,
            ),
            "events": (
                "Events recorded in the time line.",
                lambda: self.timeline.sequence,
            ),
        }

    def start(self) -> None:
        """Starts the servers and the background tasks.

        Raises:
            OSError: A port is already in use.
            errors.SettingsError: A certificate file cannot be read.
        """
        servers = {
            "other daemons": self.peers,
            "targets": self._announce_server,
            "operators": self._operator_server,
            "callers": self._caller_server,
        }
        if self._metrics_server is not None:
            servers["scrapes of the metrics"] = self._metrics_server
        for purpose, server in servers.items():
            listeners.start(server.start, purpose=purpose, limit_s=PORT_LIMIT_S)
        try:
            self.node.sync.read_store()
        except errors.StoreError as error:
            _logger.warning(
                "starting without the store: %s; this daemon owns no keys and "
                "tries again until the store answers",
                error.problem,
            )
            gevent.spawn(self._start_from_seeds)
        self.node.start()

    def _start_from_seeds(self) -> None:
        while not self.node.sync.start_from_seeds(self._seeds):
            gevent.sleep(SEED_RETRY_INTERVAL_S)

    def drain(self, *, limit_ms: int, should_abort: Callable[[], bool]) -> int:
        """Stops accepting callers and waits for the requests in flight.

        Returns:
            Number of requests still in flight, which stop() aborts.
        """
        self._caller_server.stop_listening()
        return self.node.shutdown(self._in_flight).run(
            limit_ms=limit_ms, should_abort=should_abort
        )

    def _in_flight(self) -> int:
        return self._caller_server.in_flight + self.peers.requests_in_flight()

    def stop(self) -> None:
        """Stops all servers and closes their connections."""
        self._caller_server.stop()
        self._operator_server.stop()
        if self._metrics_server is not None:
            self._metrics_server.stop()
        self._announce_server.stop()
        self.peers.stop()


def _peer_tls(peer: settings_model.PeerListen) -> peer_tls.PeerTls | None:
    if peer.authority_file is None:
        return None
    return peer_tls.PeerTls(
        peer_tls.PeerFiles(
            authority=peer.authority_file,
            certificate=peer.certificate_file,
            key=peer.key_file,
        )
    )


def _access_files(
    operator: settings_model.OperatorListen,
) -> operator_access.AccessFiles:
    return operator_access.AccessFiles(
        read_tokens=operator.read_token_file,
        write_tokens=operator.write_token_file,
        certificate=operator.certificate_file,
        key=operator.key_file,
    )


def _host_and_port(listen: settings_model.Listen) -> tuple[str, int]:
    return str(listen.host), listen.port


def run(
    settings: pathlib.Path | None = typer.Argument(  # noqa: B008
        None, help="Settings file, JSON."
    ),
    check: bool = typer.Option(
        False, "--check", help="Validate the settings and exit."
    ),
    schema: bool = typer.Option(
        False, "--schema", help="Print the settings' JSON Schema and exit."
    ),
) -> None:
    """Routes each request to the exclusive owner of its key."""
    if schema:
        typer.echo(settings_model.schema(), nl=False)
        return
    if settings is None:
        _exit_with_error(EXIT_INVALID, "no settings file given; see --help")
    try:
        loaded = settings_watch.load_at_start(
            lambda: settings_model.load(settings),
            limit_s=0.0 if check else settings_watch.START_LIMIT_S,
        )
        operator_access.Access(_access_files(loaded.operator)).check()
        _peer_tls(loaded.peer)
    except errors.SettingsError as error:
        _exit_with_error(EXIT_INVALID, str(error))
    if check:
        typer.echo(f"{settings}: valid. {settings_model.RESTART_NOTE}")
        return
    _serve(loaded)


def _serve(settings: settings_model.Settings) -> None:
    json_log.configure(vm=settings.vm, level=settings.log_level)
    grpc_gevent.init_gevent()
    stop_requested = gevent_event.Event()
    abort_requested = gevent_event.Event()

    def on_signal() -> None:
        (abort_requested if stop_requested.is_set() else stop_requested).set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, on_signal)
    gevent.signal_handler(signal.SIGHUP, _log_hangup)
    process_start.deliver_signals(*process_start.HELD_SIGNALS)
    daemon = Daemon(settings)
    try:
        daemon.start()
    except OSError as error:
        _exit_with_error(
            EXIT_PORT_IN_USE,
            f"cannot listen: {error}; free the port or change the settings",
        )
    except errors.SettingsError as error:
        _exit_with_error(EXIT_INVALID, str(error))
    stop_requested.wait()
    aborted_count = daemon.drain(
        limit_ms=settings.stop_limit_ms, should_abort=abort_requested.is_set
    )
    daemon.stop()
    sys.exit(EXIT_REQUESTS_ABORTED if aborted_count else 0)


def _log_hangup() -> None:
    _logger.warning(
        "SIGHUP changes nothing; restart the daemon to apply new settings"
    )


def _exit_with_error(code: int, text: str) -> NoReturn:
    """Prints a one-line error and exits with the code."""
    typer.echo(text, err=True)
    raise typer.Exit(code)


def main() -> None:
    """Entry point of primrosecrossd."""
    app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)
    app.command()(run)
    app()


if __name__ == "__main__":
    main()
