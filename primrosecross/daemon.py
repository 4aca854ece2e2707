"""The daemon: one beside each target VM."""

from gevent import monkey

monkey.patch_all()

import logging  # noqa: E402
import pathlib  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import uuid  # noqa: E402

import gevent  # noqa: E402
import typer  # noqa: E402
from gevent import event as gevent_event  # noqa: E402
from grpc.experimental import gevent as grpc_gevent  # noqa: E402

from primrosecross.adapters import announce_http  # noqa: E402
from primrosecross.adapters import boot_clock  # noqa: E402
from primrosecross.adapters import caller_http  # noqa: E402
from primrosecross.adapters import json_log  # noqa: E402
from primrosecross.adapters import object_archive  # noqa: E402
from primrosecross.adapters import object_store  # noqa: E402
from primrosecross.adapters import operator_rpc  # noqa: E402
from primrosecross.adapters import peer_streams  # noqa: E402
from primrosecross.adapters import target_http  # noqa: E402
from primrosecross.domain import errors  # noqa: E402
from primrosecross.domain import events  # noqa: E402
from primrosecross.domain import lease  # noqa: E402
from primrosecross.domain import membership  # noqa: E402
from primrosecross.domain import messages  # noqa: E402
from primrosecross.domain import node as node_module  # noqa: E402
from primrosecross.domain import stamp  # noqa: E402
from primrosecross.models import settings as settings_model  # noqa: E402

EXIT_INVALID = 2
EXIT_PORT_TAKEN = 3

_logger = logging.getLogger(__name__)


class Daemon:
    """Wires the adapters to the domain.

    Args:
        settings: Validated settings.
    """

    def __init__(self, settings: settings_model.Settings) -> None:
        clock = boot_clock.BootClock()
        identity = membership.Identity(
            vm=settings.vm,
            place=settings.place,
            region=settings.region,
            peer_address=settings.peer.address,
            incarnation=uuid.uuid4().hex,
        )
        stamps = stamp.StampClock(clock=clock)
        self.timeline = events.Timeline(
            vm=settings.vm, clock=clock, stamps=stamps
        )
        store = object_store.ObjectStore(
            url=settings.store_url, clock=clock, timeline=self.timeline
        )
        self.peers = peer_streams.PeerStreams(
            hello=messages.Hello(
                protocol=peer_streams.PROTOCOL,
                cluster=settings.cluster,
                vm=settings.vm,
                incarnation=identity.incarnation,
                lane=messages.Lane.CONTROL,
            ),
            listen=_pair(settings.peer),
            stamps=stamps,
            record=self.timeline.record,
        )
        ports = node_module.Ports(
            clock=clock,
            archive=object_archive.ObjectArchive(store=store),
            codec=object_archive.JsonStateCodec(),
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
        self._announce = announce_http.AnnounceServer(
            listen=_pair(settings.announce), announced=self.node.announced
        )
        self._caller = caller_http.CallerServer(
            listen=_pair(settings.caller),
            router=self.node.router,
            state=self.node.state,
            clock=clock,
        )
        self._operator = operator_rpc.OperatorServer(
            address=settings.operator.address,
            servicer=operator_rpc.OperatorServicer(
                vm=settings.vm,
                operations=self.node.operations,
                state=self.node.state,
                lease=self.node.lease,
                timeline=self.timeline,
                store_calls=lambda: store.calls,
                traffic=self.peers.traffic,
            ),
        )

    def start(self) -> None:
        """Listens and starts all tasks; raises OSError for a taken port."""
        self.peers.start()
        self._announce.start()
        self._operator.start()
        self._caller.start()
        try:
            self.node.sync.read_store()
        except errors.StoreError as error:
            _logger.warning("starting without the store: %s", error)
        self.node.start()

    def stop(self) -> None:
        """Stops listening and ends all connections."""
        self._caller.stop()
        self._operator.stop()
        self._announce.stop()
        self.peers.stop()


def _pair(listen: settings_model.Listen) -> tuple[str, int]:
    return str(listen.host), listen.port


def run(
    settings: pathlib.Path = typer.Argument(help="Settings file, JSON."),  # noqa: B008
    check: bool = typer.Option(
        False, "--check", help="Validate the settings and exit."
    ),
) -> None:
    """Routes requests to the one owner of their keys."""
    try:
        loaded = settings_model.load(settings)
    except errors.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_INVALID) from error
    if check:
        typer.echo(f"{settings}: valid")
        return
    json_log.configure(vm=loaded.vm, level=loaded.log_level)
    grpc_gevent.init_gevent()
    daemon = Daemon(loaded)
    try:
        daemon.start()
    except OSError as error:
        typer.echo(
            f"cannot listen: {error}; free the port or change the settings",
            err=True,
        )
        raise typer.Exit(EXIT_PORT_TAKEN) from error
    stopping = gevent_event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    stopping.wait()
    daemon.stop()
    sys.exit(0)


def main() -> None:
    """Entry point of primrosecrossd."""
    typer.run(run)


if __name__ == "__main__":
    main()
