"""Stand-in for the network: TCP links between daemons and to the platform.

Each link is a port that forwards to one address. The connecting side is
identified by the port (links to the platform, one for each VM) or by the VM
name in the Hello of the peer protocol. A cut link drops all data and closes no
connection, as a lost network path does. A direction of a connection that lost
data stays silent after the link is restored, as if a device on the path had
lost its state.
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
    """A listening port and its destination.

    Attributes:
        port: Port to listen on.
        to_port: Port to forward to.
        source: Name of the connecting side; empty to read it from the Hello.
        target: Name of the destination.
    """

    port: int
    to_port: int
    source: str
    target: str


class Relay:
    """Forwards connections, except on links that are cut.

    Args:
        links: Links to serve.
    """

    def __init__(self, links: list[Link]) -> None:
        self._links = links
        self._vm_names = {link.target for link in links}
        self._cut_pairs: set[frozenset[str]] = set()

    def start(self) -> None:
        """Listens on all links."""
        for link in self._links:
            gevent_server.StreamServer(
                ("127.0.0.1", link.port),
                lambda sock, _, link=link: self._serve(sock, link),
            ).start()

    def set_cut(self, pairs: list[list[str]]) -> None:
        """Cuts the links between these pairs of names, restores all others."""
        self._cut_pairs = {frozenset(pair) for pair in pairs}

    def _serve(self, sock: gevent_socket.socket, link: Link) -> None:
        first_data = sock.recv(RECEIVE_BYTES)
        source = link.source or self._source_of(first_data)
        pair = frozenset((source, link.target))
        while pair in self._cut_pairs:
            gevent.sleep(0.1)
        try:
            upstream = gevent_socket.create_connection(
                ("127.0.0.1", link.to_port)
            )
        except OSError:
            sock.close()
            return
        upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        upstream.sendall(first_data)
        return_task = gevent.spawn(self._forward, upstream, sock, pair)
        self._forward(sock, upstream, pair)
        return_task.join()

    def _source_of(self, data: bytes) -> str:
        """Returns the first VM name in the Hello, empty if there is none."""
        unpacker = msgpack.Unpacker(raw=False)
        unpacker.feed(data)
        for field in next(iter(unpacker), ()):
            if field in self._vm_names:
                return field
        return ""

    def _forward(
        self,
        source: gevent_socket.socket,
        sink: gevent_socket.socket,
        pair: frozenset[str],
    ) -> None:
        blackholed = False
        try:
            while data := source.recv(RECEIVE_BYTES):
                blackholed = blackholed or pair in self._cut_pairs
                if not blackholed:
                    sink.sendall(data)
        except OSError:
            pass
        if not blackholed:
            source.close()
            sink.close()

    def control(self, sock: gevent_socket.socket, _: object) -> None:
        """Sets the cut links from JSON lines, each a list of name pairs."""
        for line in sock.makefile("r"):
            self.set_cut(json.loads(line))
            sock.sendall(b"ok\n")


def run(
    links: pathlib.Path = typer.Argument(help="File of links, JSON."),  # noqa: B008
    control_port: int = typer.Option(
        ..., help="Port of the control connection."
    ),
) -> None:
    """Forwards TCP on loopback until killed."""
    relay = Relay([Link(**item) for item in json.loads(links.read_text())])
    relay.start()
    gevent_server.StreamServer(
        ("127.0.0.1", control_port), relay.control
    ).serve_forever()


if __name__ == "__main__":
    typer.run(run)
