"""Messages of other daemons and documents between them that are odd.

A bad address, number or document costs only the entry that holds it.
"""

import dataclasses
import io
import json
import unittest

import gevent
import pydantic
from gevent import server as gevent_server

from primrosecross.adapters import boot_clock
from primrosecross.adapters import fleet_repository
from primrosecross.adapters.http import announce_http
from primrosecross.adapters.peers import peer_codec
from primrosecross.adapters.peers import peer_streams
from primrosecross.domain import errors
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.membership import member_messages
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import range_decisions
from primrosecross.models import settings as settings_model
from primrosecross.ports import target as target_port
from standins import ports
from tests import fleet_fakes
from tests import test_fuzz_transport

ODD_ADDRESSES = (
    "",
    ":1",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999999",
    "127.0.0.1:\u0661",
    "127.0.0.1:8a",
    "999.999.999.999:1",
    "localhost:1",
    "\udc80:1",
    "a" * 70 + ".x:1",
    "127.0.0.1:" + "9" * 5000,
)


class AddressTest(unittest.TestCase):
    """A daemon that is given addresses of others."""

    def setUp(self) -> None:
        self.peers = peer_streams.PeerStreams(
            hello=stream_messages.Hello(
                peer_streams.PROTOCOL, "test", "a", "a", "control"
            ),
            listen=("127.0.0.1", 0),
            stamps=stamp.StampClock(clock=boot_clock.BootClock()),
        )
        self.failed_tasks: list[object] = []
        hub = gevent.get_hub()
        original = hub.handle_error
        hub.handle_error = lambda *error: self.failed_tasks.append(error)
        self.addCleanup(setattr, hub, "handle_error", original)

    # Dialling fails with ValueError, OverflowError or UnicodeError: the task
    # ends with a traceback, and each call dials again without a backoff.
    def test_odd_address_is_logged_once_and_costs_only_its_entry(self):
        for address in ODD_ADDRESSES:
            with self.subTest(address=address[:30]):
                with self.assertLogs(peer_streams.__name__, "WARNING") as logs:
                    for _ in range(3):
                        self.peers.set_address("b", address)
                self.assertEqual(len(logs.records), 1)
                self.assertIn("VM b", logs.output[0])
                with self.assertRaises(errors.MessageNotSentError):
                    self.peers.call("b", stream_messages.Ping(), timeout_ms=500)
        self.assertEqual(self.failed_tasks, [])

    # A connection in use closes although its address was right.
    def test_last_valid_address_is_kept(self):
        port = ports.choose_free(1)[0]
        accepted = []
        server = gevent_server.StreamServer(
            ("127.0.0.1", port), lambda sock, _: accepted.append(sock.close())
        )
        server.start()
        self.addCleanup(server.stop)
        self.peers.set_address("b", f"127.0.0.1:{port}")
        self.peers.set_address("b", "127.0.0.1:65536")
        with self.assertRaises(errors.MessageNotSentError):
            self.peers.call("b", stream_messages.Ping(), timeout_ms=500)
        self.assertEqual(len(accepted), 1)


class MessageTest(unittest.TestCase):
    """Messages whose numbers enter maps, assignments or terms."""

    def assert_refused(self, message: object) -> None:
        data = peer_codec.encode(peer_codec.Frame(1, False, 1, message))
        with self.assertRaises(errors.PeerProtocolError):
            list(test_fuzz_transport.make_greeted_decoder().feed(data))

    # Slots or a run time out of range draw all keys to one target; keys that do
    # not exist enter the load; a long token makes the map too large to write.
    def test_report_out_of_range_is_refused(self):
        target = fleet_fakes.target()
        given_back = fleet_messages.GivenBack(0, 5, 1, "")
        for changed in (
            {"slots": 0},
            {"slots": 2**63},
            {"typical_ms": -1},
            {"born_ms": 2**63},
            {"forfeited": 2**63},
            {"life": "x" * 1000},
            {"given_back": (dataclasses.replace(given_back, first=6),)},
            {"given_back": (dataclasses.replace(given_back, last=2**20),)},
            {"given_back": (dataclasses.replace(given_back, token="x" * 999),)},
        ):
            with self.subTest(changed=str(changed)[:60]):
                self.assert_refused(
                    fleet_fakes.sync(
                        "a", dataclasses.replace(target, **changed)
                    )
                )
        for key_counts in (((-1, 1),), ((65_536, 1),), ((0, -1),)):
            self.assert_refused(fleet_fakes.sync("a", key_counts=key_counts))
        for term in (-1, 2**63):
            self.assert_refused(fleet_fakes.sync("a", term=term))
            self.assert_refused(fleet_messages.Notice("a", "a:1", term))
            self.assert_refused(fleet_messages.PlanUpdate(term, b""))

    # Such numbers become part of the assignment that all daemons read.
    def test_member_out_of_range_is_refused(self):
        for slots in (0, -1, 2**63):
            offer = member_messages.OfferInfo("s", slots, True)
            self.assert_refused(
                member_messages.Join(
                    "a", "p", "r", "127.0.0.1:1", "i", (offer,)
                )
            )
        for address in ("", "a:1", "127.0.0.1:65536"):
            self.assert_refused(
                member_messages.Join("a", "p", "r", address, "i", ())
            )
        self.assert_refused(
            member_messages.Release("a", 1, "s", (0,), (2**63,))
        )
        self.assert_refused(
            member_messages.Release("a", 1, "s", (0,), (1,), (5,))
        )
        for shard, rate in ((-1, 1), (1, -1), (1, 2**63)):
            self.assert_refused(
                member_messages.LoadReport("a", 1, "s", (shard,), (rate,))
            )


class RepositoryTest(unittest.TestCase):
    """The key map and the term, written by another program or received."""

    def setUp(self) -> None:
        self.store = fleet_fakes.MemoryStore()
        self.repository = fleet_repository.ObjectFleetRepository(
            store=self.store
        )
        self.map = fleet_fakes.make_map(
            key_map.KeyRange(0, 99, "i-1@5", 3, "t", "i-2@6"),
            key_map.KeyRange(100, key_map.LAST_KEY),
            vms={"i-1@5": "a", "i-2@6": "b"},
        )

    def put(self, kind: str, spec: dict) -> None:
        self.store._put(kind, fleet_repository.NAME, spec)

    def map_spec(self) -> dict:
        self.repository.write_map(self.map, "")
        key = (fleet_repository.MAPS, fleet_repository.NAME)
        return self.store.objects.pop(key).spec

    # A version or generation beyond 64 bits is adopted as the newest for ever
    # and cannot be sent to other daemons; each report is answered by a failure.
    def test_map_out_of_range_is_malformed(self):
        last = key_map.LAST_KEY
        spec = self.map_spec()
        holder = ["i-1@5", "a", "desk", "active", 0]
        for changed in (
            {"version": 2**63},
            {"version": -1},
            {"version": 2**400},
            {"tables": {"desk": [[0, last, 1, 2**64, "", 0]]}},
            {"tables": {"desk": [[0, last, 1, -1, "", 0]]}},
            {"tables": {"desk": [[0, last, -1, 1, "", 0]]}},
            {"tables": {"desk": [[0, last, 1, 1, "x" * 1000, 0]]}},
            {"tables": {"desk": [[-5, last, 1, 1, "", 0]]}},
            {
                "tables": {
                    "desk": [[0, 9, 1, 1, "", 0], [10, 2**70, 1, 1, "", 0]]
                }
            },
            {"holders": [["x" * 1000, *holder[1:]]]},
            {"holders": [[*holder[:4], 2**70]]},
        ):
            with self.subTest(changed=str(changed)[:60]):
                self.put(fleet_repository.MAPS, {**spec, **changed})
                with self.assertRaises(errors.StoreObjectError):
                    self.repository.read_map()

    # A term of such a number is never exceeded, so no other is followed.
    def test_term_out_of_range_is_malformed(self):
        spec = {
            "vm": "a",
            "peer_address": "127.0.0.1:1",
            "number": 1,
            "beat": 1,
            "settled": True,
        }
        for changed in (
            {"number": 2**63},
            {"number": -1},
            {"beat": 2**400},
            {"vm": "x" * 10_000},
            {"peer_address": 5},
        ):
            with self.subTest(changed=str(changed)[:60]):
                self.put(fleet_repository.TERMS, {**spec, **changed})
                with self.assertRaises(errors.StoreObjectError):
                    self.repository.read_term()

    # The map gets keys that do not exist, or a version that never passes.
    def test_change_out_of_range_is_malformed(self):
        change = key_map.diff(None, self.map)
        odd_ranges = (
            key_map.KeyRange(-1, 5),
            key_map.KeyRange(0, 70_000),
            key_map.KeyRange(6, 5),
            key_map.KeyRange(0, 5, generation=2**63),
        )
        odd_changes = [
            dataclasses.replace(change, ranges={"desk": (odd_range,)})
            for odd_range in odd_ranges
        ]
        odd_changes.append(dataclasses.replace(change, version=2**63))
        for odd_change in odd_changes:
            data = self.repository.encode_change(odd_change)
            with (
                self.subTest(change=odd_change),
                self.assertRaises(errors.DocumentError),
            ):
                self.repository.decode_change(data)
        for data in (b"", b"\xc1", b"\x91" * 5000, b"\xff" * 50):
            with self.assertRaises(errors.DocumentError):
                self.repository.decode_change(data)

    # isdigit() is true of characters that int() refuses; each decision fails.
    def test_holder_with_an_odd_start_does_not_stop_decisions(self):
        odd_map = fleet_fakes.make_map(
            key_map.KeyRange(0, key_map.LAST_KEY, "i-1@\u00b2", 3),
            vms={"i-1@\u00b2": "a"},
        )
        views = fleet_fakes.vm_view("a", fleet_fakes.target("i-2@1000"))
        decided = range_decisions.decide(
            odd_map, fleet_fakes.decision_inputs(views)
        )
        self.assertEqual(
            {r.holder for r in decided.tables["desk"].ranges}, {"i-2@1000"}
        )


class AnnouncementTest(unittest.TestCase):
    """The endpoint where targets announce themselves."""

    def setUp(self) -> None:
        self.announced: list[target_port.Announcement] = []
        self.server = announce_http.AnnounceServer(
            listen=("127.0.0.1", 0), on_announcement=self.announced.append
        )

    def post(self, body: bytes) -> str:
        statuses: list[str] = []
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/v1/announce",
            "wsgi.input": io.BytesIO(body),
        }
        self.server._serve(environ, lambda status, _: statuses.append(status))
        return statuses[0][:3]

    def body(self, **changed: object) -> bytes:
        document = {"service": "s", "address": "127.0.0.1:80", "slots": 4}
        return json.dumps(document | changed).encode()

    # Requests go to another program: a port is taken modulo 65536.
    def test_odd_announcements_are_refused_and_logged(self):
        bodies = [self.body(address=address) for address in ODD_ADDRESSES]
        bodies += [
            self.body(slots=2**70),
            self.body(connections=0),
            self.body(service="S/"),
            self.body(cancel_path="x"),
            self.body(health_path=5),
            self.body(odd=1),
            b'{"odd": ' + b"[" * 8000 + b"]" * 8000 + b"}",
            b'{"slots": 1e400}',
            b"\xff",
            b"",
            b"[]",
        ]
        for body in bodies:
            with (
                self.subTest(body=body[:80]),
                self.assertLogs(announce_http.__name__, "WARNING") as logs,
            ):
                self.assertEqual(self.post(body), "400")
                self.assertEqual(len(logs.records), 1)
        self.assertEqual(self.announced, [])
        self.assertEqual(self.post(self.body()), "204")

    # An advertised address of this kind reaches all other daemons.
    def test_odd_addresses_in_the_settings_are_refused(self):
        fields = {
            "cluster": "c",
            "vm": "a",
            "place": "p",
            "region": "r",
            "store_url": "http://127.0.0.1:1",
        }
        for name in ("peer", "caller", "operator", "announce"):
            fields[name] = {"port": 1000}
        settings_model.Settings.model_validate(fields)
        for address in ODD_ADDRESSES:
            for odd in ({"advertise": address}, {"seeds": [address]}):
                with (
                    self.subTest(odd=str(odd)[:60]),
                    self.assertRaises(pydantic.ValidationError),
                ):
                    settings_model.Settings.model_validate(fields | odd)


if __name__ == "__main__":
    unittest.main()
