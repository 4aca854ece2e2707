"""Stand-in for the network: TCP links between daemons, and to the platform.

Each link is a port that forwards to one address. The side that connects is
known by its port (the platform's links, one for each VM) or by the VM name in
the greeting of the daemons' protocol. A cut link forwards nothing and ends no
connection, as a lost network path does; connections stay silent after it
heals, as something on the path has lost track of them.
"""

from gevent import monkey

monkey.patch_all()

import dataclasses  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import socket  # noqa: E402

import gevent  # noqa: E402
import msgpack  # noqa: E402
import typer  # noqa: E402
from gevent import server as gevent_server  # noqa: E402
from gevent import socket as gevent_socket  # noqa: E402

RECEIVE_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """A port and where it leads.

    Attributes:
        port: Port to listen on.
        to_port: Port to forward to.
        source: Who connects, empty to learn it from the greeting.
        target: Who is connected to.
    """

    port: int
    to_port: int
    source: str
    target: str


class Relay:
    """Forwards connections, except on links that are cut.

    Args:
        links: The links.
    """

    def __init__(self, links: list[Link]) -> None:
        self._links = links
        self._names = {link.target for link in links}
        self._cut: set[frozenset[str]] = set()

    def start(self) -> None:
        """Listens on all links."""
        for link in self._links:
            gevent_server.StreamServer(
                ("127.0.0.1", link.port),
                lambda sock, _, link=link: self._serve(sock, link),
            ).start()

    def set_cut(self, pairs: list[list[str]]) -> None:
        """Cuts the links between these pairs of names and no others."""
        self._cut = {frozenset(pair) for pair in pairs}

    def _serve(self, sock: gevent_socket.socket, link: Link) -> None:
        first = sock.recv(RECEIVE_BYTES)
        source = link.source or self._source_of(first)
        pair = frozenset((source, link.target))
        while pair in self._cut:
            gevent.sleep(0.1)
        try:
            onward = gevent_socket.create_connection(
                ("127.0.0.1", link.to_port)
            )
        except OSError:
            sock.close()
            return
        onward.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        onward.sendall(first)
        back = gevent.spawn(self._pump, onward, sock, pair)
        self._pump(sock, onward, pair)
        back.join()

    def _source_of(self, data: bytes) -> str:
        """Returns the first VM name in the greeting."""
        unpacker = msgpack.Unpacker(raw=False)
        unpacker.feed(data)
        for part in next(iter(unpacker), ()):
            if part in self._names:
                return part
        return ""

    def _pump(
        self,
        source: gevent_socket.socket,
        sink: gevent_socket.socket,
        pair: frozenset[str],
    ) -> None:
        dropped = False
        try:
            while data := source.recv(RECEIVE_BYTES):
                dropped = dropped or pair in self._cut
                if not dropped:
                    sink.sendall(data)
        except OSError:
            pass
        if not dropped:
            source.close()
            sink.close()

    def control(self, sock: gevent_socket.socket, _: object) -> None:
        """Takes lines of JSON, each a list of pairs to cut."""
        for line in sock.makefile("r"):
            self.set_cut(json.loads(line))
            sock.sendall(b"ok\n")


def run(
    links: pathlib.Path = typer.Argument(help="Links, JSON."),  # noqa: B008
    control_port: int = typer.Option(..., help="Port for control."),
) -> None:
    """Forwards TCP on loopback until killed."""
    relay = Relay([Link(**item) for item in json.loads(links.read_text())])
    relay.start()
    gevent_server.StreamServer(
        ("127.0.0.1", control_port), relay.control
    ).serve_forever()


if __name__ == "__main__":
    typer.run(run)
