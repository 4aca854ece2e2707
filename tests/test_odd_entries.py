"""Entries and check-ins of other writers, on the users' platform.

One that is nested too deeply, out of range or of another type is refused with a
log line; the last good value holds and nothing ends.
"""

import copy
import json
import unittest
import zlib
from unittest import mock

from primrosecross.adapters.http import http_parser
from primrosecross.adapters.http import http_response
from primrosecross.adapters.peers import peer_codec
from primrosecross.domain import errors
from primrosecross.domain.membership import fleet_messages
from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import proof
from primrosecross.domain.ownership import target_watch
from primrosecross.domain.requests import routes
from primrosecross.models import bounds
from primrosecross.platform import heartbeat_http
from primrosecross.platform import plan
from primrosecross.platform import store
from tests import fakes
from tests import fleet_fakes

DEEP = b"[" * 100_000 + b"]" * 100_000
ADDRESS = "127.0.0.1:1"
CONFIG = {
    "Version": 9,
    "Listeners": [
        {
            "Host": "h.example",
            "Rules": [
                {
                    "Match": {"PathPrefix": "/a/"},
                    "Action": {
                        "WeightedServices": [
                            {"Service": "desk", "Weight": 1},
                            {"Service": "files", "Weight": 3},
                        ],
                        "TimeoutMs": 1000,
                        "MaxAttempts": 2,
                    },
                    "Kind": "safe",
                }
            ],
        }
    ],
    "Clusters": [{"Name": "desk", "Sharded": True}, {"Name": "files"}],
}


def with_member(document: dict, name: str, value: bytes) -> bytes:
    """Returns a document as JSON with one more member, given as JSON."""
    encoded = json.dumps(document).encode()
    return encoded[:-1] + f', "{name}": '.encode() + value + b"}"


class HeartbeatTest(unittest.TestCase):
    """The heartbeat handler beside a target that holds keys 0 to 99."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.lease = proof.ProofLease(clock=self.clock)
        self.map = fleet_fakes.make_map(
            key_map.KeyRange(0, 99, "i-1@1000", 3),
            key_map.KeyRange(100, key_map.LAST_KEY, "i-2@1000", 3),
            vms={"i-1@1000": "a", "i-2@1000": "b"},
        )
        self.watch = target_watch.TargetWatch(
            lease=self.lease,
            key_map=lambda: self.map,
            max_hold_ms=10_000,
            clock=self.clock,
            on_change=lambda: None,
        )
        self.handler = heartbeat_http.HeartbeatHandler(
            service="desk", address=ADDRESS, watch=self.watch
        )
        self.sequence = 0

    def document(self, **changed: object) -> dict:
        self.sequence += 1
        self.clock.advance(100)
        self.lease.record_proof(
            proof.Proof(1, self.clock.now_ns()), map_version=self.map.version
        )
        return {
            "Service": "desk",
            "Address": ADDRESS,
            "Slots": 4,
            "State": "ready",
            "Sequence": self.sequence,
            "born": 1000,
            **changed,
        }

    def send(self, body: bytes, instance: str = "i-1") -> int:
        reply = self.handler.handle(
            http_parser.HttpRequest(
                "POST", f"/api/instances/{instance}/heartbeat", [], body
            )
        )
        return reply.status

    def assert_refused(self, body: bytes, instance: str = "i-1") -> None:
        """Checks that a body is refused and that the target keeps its keys."""
        self.assertEqual(self.send(json.dumps(self.document()).encode()), 200)
        with self.assertLogs(heartbeat_http.__name__, "WARNING") as logs:
            self.assertEqual(self.send(body, instance), 400)
        self.assertEqual(len(logs.records), 1)
        self.assertIn(instance[:20], logs.output[0])
        self.assertEqual(self.send(json.dumps(self.document()).encode()), 200)
        self.assertTrue(self.watch.holds(99))

    def deregister(self, body: bytes) -> str:
        """Returns the status of the reply and the target's state."""
        reply = self.handler.handle(
            http_parser.HttpRequest(
                "POST", "/api/instances/i-1/deregister", [], body
            )
        )
        return f"{reply.status} {self.watch.local_target.state}"

    # The target of a new incarnation under the same ID was drained for good.
    def test_only_a_deregistration_of_this_incarnation_drains(self):
        self.assertEqual(self.send(json.dumps(self.document()).encode()), 200)
        self.assertEqual(self.deregister(b'{"born":999}'), "200 ready")
        with self.assertLogs(heartbeat_http.__name__, "WARNING"):
            for odd in (b'{"born":"1000"}', b'{"born":-1}', b"[]", b"{", DEEP):
                body = odd if isinstance(odd, bytes) else odd.encode()
                self.assertEqual(self.deregister(body), "400 ready")
        self.assertEqual(self.deregister(b'{"born":1000}'), "200 draining")

    def test_a_deregistration_that_names_no_incarnation_drains(self):
        for body in (b"", b"{}"):
            self.setUp()
            document = json.dumps(self.document()).encode()
            self.assertEqual(self.send(document), 200)
            self.assertEqual(self.deregister(body), "200 draining")

    # The handler fails with RecursionError and the target gets 502.
    def test_deep_nesting_is_refused(self):
        self.assert_refused(with_member(self.document(), "Odd", DEEP))

    # A number beyond 64 bits fails in each report to the coordinator, a huge
    # sequence or start makes all later heartbeats of the target stale, and huge
    # slots admit all requests at once.
    def test_numbers_out_of_range_are_refused(self):
        for name in ("Sequence", "born", "Slots"):
            for value in (-1, 2**53, 2**63, 2**70, 10**400):
                with self.subTest(name=name, value=value):
                    self.assert_refused(
                        json.dumps(self.document(**{name: value})).encode()
                    )
        self.assert_refused(json.dumps(self.document(Slots=0)).encode())

    # A held range with such keys or generation is compared with all others.
    def test_rows_out_of_range_are_refused(self):
        rows = (
            [-1, 5, 1],
            [0, 65_536, 1],
            [6, 5, 1],
            [0, 5, -1],
            [0, 5, 2**64],
            [0, 5],
            [0, 5, 1, 1],
            [0, 5, "x" * 1000],
            {"from": 0},
            None,
        )
        for name in ("Holds", "Freed"):
            for row in rows:
                with self.subTest(name=name, row=row):
                    self.assert_refused(
                        json.dumps(self.document(**{name: [row]})).encode()
                    )

    # Floats beyond the range of a double would fail when made integers.
    def test_members_of_another_type_or_missing_are_refused(self):
        for name, value in (
            ("ColdRemainingMs", b"1e400"),
            ("ColdRemainingMs", b"1e300"),
            ("ColdRemainingMs", b"NaN"),
            ("Sequence", b"1.5"),
            ("Slots", b'"4"'),
            ("Holds", b"{}"),
            ("State", b'"silent"'),
            ("State", b'"odd"'),
            ("Service", b'"files"'),
            ("Address", b'"127.0.0.1:99999"'),
            ("Freed", b'[[0, 5, "\xff"]]'),
        ):
            with self.subTest(name=name, value=value):
                document = self.document()
                document.pop(name, None)
                self.assert_refused(with_member(document, name, value))
        for name in ("Sequence", "Slots", "State", "Service", "Address"):
            with self.subTest(missing=name):
                document = self.document()
                del document[name]
                self.assert_refused(json.dumps(document).encode())

    # The ID becomes part of the key map, whose size the store limits.
    def test_odd_target_ids_are_refused(self):
        for instance in ("", "i" * 10_000, "i-1/x"):
            with self.subTest(instance=instance[:10]):
                self.assert_refused(
                    json.dumps(self.document()).encode(), instance
                )

    # A heartbeat at the bounds that it may have is accepted and reported.
    def test_heartbeat_at_the_bounds_can_be_reported(self):
        document = self.document(
            Sequence=bounds.MAX_COUNT,
            born=bounds.MAX_UNIX_MS,
            Slots=bounds.MAX_SLOTS,
            ColdRemainingMs=bounds.MAX_COUNT,
            Holds=[[0, 65_535, bounds.MAX_VERSION]],
            Freed=[[0, 0, "x" * bounds.MAX_NAME_LENGTH]],
        )
        self.assertEqual(
            self.send(json.dumps(document).encode(), "i" * 128), 200
        )
        heartbeat = self.watch.local_target.last_heartbeat
        report = fleet_messages.TargetReport(
            heartbeat.incarnation_id,
            heartbeat.born_ms,
            heartbeat.service,
            heartbeat.slots,
            heartbeat.state.value,
            True,
            0,
            0,
            (fleet_messages.GivenBack(0, 0, bounds.MAX_VERSION, "x"),),
        )
        peer_codec.encode(
            peer_codec.Frame(1, False, 1, fleet_fakes.sync("a", report))
        )


class _Store(store.PlatformStore):
    """The client of the platform's store with prepared responses."""

    def __init__(self) -> None:
        super().__init__(address=ADDRESS, clock=fakes.ManualClock())
        self.paths: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self._client = self._watch_client = mock.Mock(exchange=self._exchange)

    def _exchange(
        self, *, head: bytes, **_: object
    ) -> http_response.HttpResponse:
        path = head.split()[1].decode()
        self.paths.append(path)
        for part, body in self.bodies.items():
            if part in path:
                return http_response.HttpResponse(status=200, body=body)
        return http_response.HttpResponse(status=404)


class StoreTest(unittest.TestCase):
    """Responses of the store that hold an odd object."""

    def setUp(self) -> None:
        self.store = _Store()

    # The task that reads the object ends and is started again and again.
    def test_deeply_nested_object_is_reported_as_malformed(self):
        self.store.bodies["/n"] = with_member(
            {"Metadata": {"Name": "n", "Revision": 1}}, "Spec", DEEP
        )
        with self.assertRaises(errors.StoreObjectError):
            self.store.read("k", "n")

    # A watch from such a revision never returns a change.
    def test_revisions_out_of_range_are_malformed(self):
        for revision in (-1, 2**63, 2**400, 1.5, "1", None):
            metadata = {"Name": "n", "Revision": revision}
            self.store.bodies = {
                "/n": json.dumps({"Metadata": metadata, "Spec": {}}).encode(),
                "k?": json.dumps(
                    {"CurrentRev": revision, "events": [], "items": []}
                ).encode(),
            }
            with self.subTest(revision=revision):
                with self.assertRaises(errors.StoreObjectError):
                    self.store.read("k", "n")
                with (
                    self.assertLogs(store.__name__, "WARNING"),
                    self.assertRaises(errors.StoreObjectError),
                ):
                    self.store.wait_for_change("k", "5", 1000)

    # The watch fails at the same change for ever; only polling finds the next.
    def test_watch_goes_on_after_a_change_that_cannot_be_decoded(self):
        self.store.bodies = {
            "Watch=5": with_member({"CurrentRev": 7}, "events", DEEP),
            "after=~": b'{"items": [], "HasMore": false, "CurrentRev": 8}',
            "Watch=8": b'{"events": [], "CurrentRev": 9}',
        }
        with self.assertLogs(store.__name__, "WARNING") as logs:
            self.assertTrue(self.store.wait_for_change("k", "5", 1000))
        self.assertEqual(len(logs.records), 1)
        self.assertFalse(self.store.wait_for_change("k", "5", 1000))
        self.assertEqual(len(self.store.paths), 3)


class ConfigTest(unittest.TestCase):
    """The operators' configuration object."""

    def decode(self, content: bytes) -> routes.RoutePlan:
        source = plan.ConfigSource(store=fleet_fakes.MemoryStore())
        return source.decode_plan(1, zlib.compress(content)).plan

    # A daemon that receives the plan from another one ends the task.
    def test_deep_nesting_is_refused(self):
        with self.assertRaises(errors.DocumentError):
            self.decode(with_member(CONFIG, "Odd", DEEP))

    # An object just within the decoder's limit fails when it is encoded again.
    def test_nesting_near_the_limit_is_refused(self):
        spec = dict(CONFIG)
        nested: list = []
        for _ in range(5000):
            nested = [nested]
        spec["Odd"] = nested
        objects = fleet_fakes.MemoryStore()
        objects.create(plan.KIND, plan.NAME, spec)
        with self.assertRaises(errors.StoreObjectError):
            plan.ConfigSource(store=objects).read_plan()

    def changed(self, part: str, name: str, value: object) -> bytes:
        document = copy.deepcopy(CONFIG)
        rule = document["Listeners"][0]["Rules"][0]
        parts = {
            "config": document,
            "limits": document.setdefault("Limits", {}),
            "rule": rule,
            "action": rule["Action"],
            "share": rule["Action"]["WeightedServices"][0],
        }
        parts[part][name] = value
        return json.dumps(document).encode()

    # Priority and objective are sent with each forwarded request: beyond 64
    # bits they fail there, and all requests of the route get 502.
    def test_numbers_out_of_range_are_refused(self):
        members = (
            ("config", "Version"),
            ("limits", "MaxBodyBytes"),
            ("limits", "IdleTimeoutMs"),
            ("rule", "Priority"),
            ("rule", "TargetLatencyMs"),
            ("action", "TimeoutMs"),
            ("action", "MaxAttempts"),
            ("share", "Weight"),
        )
        for part, name in members:
            for value in (-1, 2**64, 1e300, "5", None):
                with (
                    self.subTest(name=name, value=value),
                    self.assertRaises(errors.DocumentError),
                ):
                    self.decode(self.changed(part, name, value))

    # Weights below one became zero: choosing a service failed, with 502.
    def test_fractional_and_zero_weights_choose_a_service(self):
        fraction = self.decode(self.changed("share", "Weight", 0.5))
        shares = fraction.routes["h.example"]["/a/"].shares
        self.assertEqual([s.weight for s in shares], [0.5, 3])
        zero = self.decode(
            self.changed(
                "action",
                "WeightedServices",
                [
                    {"Service": "desk", "Weight": 0},
                    {"Service": "files", "Weight": 0},
                ],
            )
        )
        shares = zero.routes["h.example"]["/a/"].shares
        self.assertEqual([s.service for s in shares], [""])


if __name__ == "__main__":
    unittest.main()
