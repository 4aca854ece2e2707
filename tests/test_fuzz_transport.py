"""Input from peers or callers causes no crash and no unbounded memory."""

import contextlib
import copy
import dataclasses
import json
import tracemalloc
import typing
import unittest
from collections.abc import Callable
from unittest import mock

import gevent
import hypothesis
import msgpack
from gevent import socket as gevent_socket
from hypothesis import strategies

from primrosecross.adapters import boot_clock
from primrosecross.adapters import fleet_repository
from primrosecross.adapters.http import caller_http
from primrosecross.adapters.http import http_parser
from primrosecross.adapters.peers import peer_codec
from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from primrosecross.domain.membership import state as state_module
from primrosecross.domain.operators import events
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import target_heartbeat
from primrosecross.domain.requests import outcome
from primrosecross.platform import heartbeat_http
from primrosecross.platform import plan
from primrosecross.platform import store
from standins import ports
from tests import fleet_fakes

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None
)
MAX_GROWTH_BYTES = 4 << 20
HELLO = stream_messages.Hello(3, "c", "vm", "i", "control")
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.text(max_size=20)
    | strategies.binary(max_size=20)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=5)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=10,
)
NAMES = strategies.sampled_from(
    [kind.__name__ for kind in typing.get_args(messages.Message)]
)
FIELDS = {
    int: strategies.integers(0, 2**62),
    bool: strategies.booleans(),
    str: strategies.text(max_size=20),
    bytes: strategies.binary(max_size=50),
}


def make_greeted_decoder() -> peer_codec.Decoder:
    """Returns a decoder that has accepted the greeting."""
    decoder = peer_codec.Decoder()
    for _ in decoder.feed(
        peer_codec.encode(peer_codec.Frame(0, False, 1, HELLO))
    ):
        decoder.accept_messages()
    return decoder


class CodecTest(unittest.TestCase):
    """Decoding of arbitrary bytes from another daemon."""

    def feed(self, decoder: peer_codec.Decoder, data: bytes) -> list:
        try:
            return list(decoder.feed(data))
        except errors.PeerProtocolError:
            return []

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes(self, data):
        self.feed(make_greeted_decoder(), data)
        self.feed(peer_codec.Decoder(), data)

    @SETTINGS
    @hypothesis.given(NAMES, strategies.lists(VALUES, max_size=12))
    def test_any_fields(self, name, values):
        self.feed(
            make_greeted_decoder(), msgpack.packb([1, False, 1, name, *values])
        )

    @SETTINGS
    @hypothesis.given(strategies.data())
    def test_messages_decode_across_any_split(self, data):
        simple = [
            kind
            for kind in typing.get_args(messages.Message)
            if all(
                hint in FIELDS for hint in typing.get_type_hints(kind).values()
            )
        ]
        kind = data.draw(strategies.sampled_from(simple))
        hints = typing.get_type_hints(kind)
        message = kind(
            *(
                data.draw(FIELDS[hints[f.name]])
                for f in dataclasses.fields(kind)
            )
        )
        encoded = peer_codec.encode(peer_codec.Frame(3, True, 9, message))
        split_at = data.draw(strategies.integers(0, len(encoded)))
        decoder = make_greeted_decoder()
        frames = [
            *decoder.feed(encoded[:split_at]),
            *decoder.feed(encoded[split_at:]),
        ]
        self.assertEqual([frame.message for frame in frames], [message])

    def test_large_claimed_lengths_allocate_little(self):
        claims = (
            b"\xdd\xff\xff\xff\xff",
            b"\xdf\xff\xff\xff\xff",
            b"\xc6\xff\xff\xff\xff",
            b"\xc9\xff\xff\xff\xff\x01",
        )
        for claim in claims:
            for make_decoder in (make_greeted_decoder, peer_codec.Decoder):
                decoder = make_decoder()
                tracemalloc.start()
                self.feed(decoder, claim * 50)
                _, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLess(
                    peak_bytes, MAX_GROWTH_BYTES, (claim, make_decoder)
                )


VALID_HEARTBEAT = {
    "Service": "desk",
    "Address": "127.0.0.1:1",
    "Slots": 2,
    "State": "ready",
    "Sequence": 1,
    "born": 1000,
    "ColdRemainingMs": 0,
    "Holds": [[0, 5, 1]],
    "Freed": [[6, 9, "token"]],
}
VALID_MAP = {
    "version": 5,
    "holders": [["i-1@5", "a", "desk", "active", 0]],
    "tables": {"desk": [[0, 65_535, 1, 3, "", 0]]},
}
VALID_TERM = {"vm": "a", "peer_address": "", "number": 1, "beat": 1}
VALID_CONFIG = {"Version": 9, "Listeners": [], "Clusters": [], "Limits": {}}
LIMITS = strategies.sampled_from(
    [-1, 65_535, 65_536, 2**53, 2**63 - 1, 2**63, 2**64, 2**400, 1e300]
)
DOCUMENTS = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | LIMITS
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.sampled_from(["ready", "desk", "127.0.0.1:1", "/a/", "safe"])
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=3), inner, max_size=3
        )
    ),
    max_leaves=20,
)


@strategies.composite
def changed_documents(draw: Callable, valid: dict) -> dict:
    """Returns a valid document with one or two members replaced or missing."""
    document = copy.deepcopy(valid)
    names = strategies.sampled_from([*valid])
    for name in draw(strategies.sets(names, min_size=1, max_size=2)):
        rows = document[name]
        if isinstance(rows, list) and rows and draw(strategies.booleans()):
            row = rows[0]
            index = draw(strategies.integers(0, len(row) - 1))
            row[index] = draw(LIMITS | DOCUMENTS)
        elif draw(strategies.integers(0, 3)):
            document[name] = draw(LIMITS | DOCUMENTS)
        else:
            del document[name]
    return document


class DocumentTest(unittest.TestCase):
    """Arbitrary documents of other writers on the users' platform."""

    def send(self, document: object) -> int:
        watch = mock.Mock()
        watch.handle_heartbeat.return_value = target_heartbeat.HeartbeatAnswer()
        handler = heartbeat_http.HeartbeatHandler(
            service="desk", address="127.0.0.1:1", watch=watch
        )
        body = json.dumps(document).encode()
        reply = handler.handle(
            http_parser.HttpRequest(
                "POST", "/api/instances/i-1/heartbeat", [], body
            )
        )
        if reply.status == 200:
            (heartbeat,) = watch.handle_heartbeat.call_args.args
            msgpack.packb(dataclasses.asdict(heartbeat))
        return reply.status

    # An exception is answered 502; a number beyond 64 bits fails each report.
    @SETTINGS
    @hypothesis.given(changed_documents(VALID_HEARTBEAT))
    def test_any_heartbeat_is_accepted_or_refused(self, document):
        self.assertIn(self.send(document), (200, 400))

    # Any other error than that of the store ends the task that reads, and a
    # number beyond 64 bits fails each message to other daemons.
    @SETTINGS
    @hypothesis.given(
        changed_documents(VALID_MAP),
        changed_documents(VALID_TERM),
        changed_documents(VALID_CONFIG) | DOCUMENTS,
    )
    def test_any_stored_object_is_decoded_or_malformed(
        self, stored_map, term, config
    ):
        objects = fleet_fakes.MemoryStore()
        for kind, name, document in (
            (fleet_repository.MAPS, fleet_repository.NAME, stored_map),
            (fleet_repository.TERMS, fleet_repository.NAME, term),
            (plan.KIND, plan.NAME, config),
        ):
            objects._put(kind, name, document)
            metadata = {"Name": document, "Revision": document}
            body = json.dumps({"Metadata": metadata, "Spec": document}).encode()
            with contextlib.suppress(errors.StoreError):
                store._to_stored_object("GET", "k", "n", body)
        repository = fleet_fakes.repository(objects)
        with contextlib.suppress(errors.StoreObjectError):
            decoded_map, _ = repository.read_map()
            repository.encode_change(key_map.diff(None, decoded_map))
        with contextlib.suppress(errors.StoreObjectError):
            decoded_term, _ = repository.read_term()
            msgpack.packb(dataclasses.asdict(decoded_term))
        with contextlib.suppress(errors.StoreObjectError):
            document = plan.ConfigSource(store=objects).read_plan()
            msgpack.packb(document.plan.version)


class _Router:
    def route(self, req) -> outcome.Outcome:
        return outcome.Answered(200, (), b"ok")


class CallerTest(unittest.TestCase):
    """Arbitrary bytes from a caller."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.port = ports.choose_free(1)[0]
        clock = boot_clock.BootClock()
        timeline = events.Timeline(
            vm="vm", clock=clock, stamps=stamp.StampClock(clock=clock)
        )
        cls.server = caller_http.CallerServer(
            listen=("127.0.0.1", cls.port),
            router=_Router(),
            state=state_module.ClusterState(vm="vm", timeline=timeline),
            clock=clock,
        )
        cls.server.start()

    @classmethod
    def tearDownClass(cls) -> None:
        cls.server.stop()

    def send(self, data: bytes) -> bytes:
        sock = gevent_socket.create_connection(("127.0.0.1", self.port))
        with gevent.Timeout(10):
            try:
                sock.sendall(data)
                sock.shutdown(gevent_socket.SHUT_WR)
                received = b""
                while piece := sock.recv(65536):
                    received += piece
                return received
            except OSError:
                return b""
            finally:
                sock.close()

    def assert_serves(self) -> None:
        answer = self.send(b"GET /s HTTP/1.1\r\nConnection: close\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes(self, data):
        self.assertNotIn(b"HTTP/1.1 500", self.send(data + b"\r\n\r\n"))

    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from(["GET", "POST", "PUT", "HEAD", "X", "\x7f"]),
        strategies.text(max_size=30),
        strategies.dictionaries(
            strategies.sampled_from(
                [
                    "Content-Length",
                    "Transfer-Encoding",
                    "Primrosecross-Timeout-Ms",
                    "Idempotency-Key",
                    "Expect",
                    "Connection",
                ]
            ),
            strategies.sampled_from(
                ["-1", "0", "5", "99999999999", "chunked", "x", "100-continue"]
            )
            | strategies.text(max_size=12),
            max_size=4,
        ),
        strategies.binary(max_size=40),
    )
    def test_any_request(self, method, path, headers, content):
        lines = [f"{method} /{path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode("utf-8", "replace")
        self.assertNotIn(b"HTTP/1.1 500", self.send(head + content))

    def tearDown(self) -> None:
        self.assert_serves()
        self.assertEqual(self.server.in_flight, 0)


if __name__ == "__main__":
    unittest.main()
