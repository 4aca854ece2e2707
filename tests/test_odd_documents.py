"""Documents of the product's own store and daemons that are odd."""

import array
import base64
import json
import unittest
import zlib
from unittest import mock

from primrosecross.adapters import object_repository
from primrosecross.adapters import object_store
from primrosecross.adapters.http import http_response
from primrosecross.adapters.peers import peer_codec
from primrosecross.domain import errors
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from primrosecross.domain.operators import events
from primrosecross.domain.ownership import assignment
from primrosecross.models import assignment as assignment_model
from primrosecross.models import delta as delta_model
from primrosecross.models import plan as plan_model
from tests import fakes

DEEP = b"[" * 100_000 + b"]" * 100_000


class StampTest(unittest.TestCase):
    """Stamps of other processes."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.stamps = stamp.StampClock(clock=self.clock)

    def send(self) -> None:
        """Sends a message; fails if the stamp has more than 64 bits."""
        peer_codec.encode(
            peer_codec.Frame(
                1, False, self.stamps.now(), stream_messages.Ping()
            )
        )

    # One frame with the last stamp of 64 bits: no message can be sent again.
    def test_stamp_far_ahead_is_ignored_and_logged_once(self):
        before = self.stamps.now()
        with self.assertLogs(stamp.__name__, "WARNING") as logs:
            for odd in (2**64 - 1, 2**63, 2**400):
                self.stamps.observe(odd)
                self.send()
        self.assertEqual(len(logs.records), 1)
        self.assertLess(self.stamps.now(), before + 100)

    # A clock that is ahead by hours still orders its events before later ones.
    def test_stamp_ahead_by_days_is_merged(self):
        ahead = (self.clock.wall_ms() + 30 * 86_400_000) << stamp.COUNTER_BITS
        self.stamps.observe(ahead)
        self.assertGreater(self.stamps.now(), ahead)

    # An annotation of thousands of digits fails each read of the object.
    def test_overlong_stamp_of_an_object_is_ignored(self):
        timeline = events.Timeline(vm="a", clock=self.clock, stamps=self.stamps)
        store = object_store.ObjectStore(
            url="http://127.0.0.1:1",
            clock=self.clock,
            timeline=timeline,
            stamps=self.stamps,
        )
        for text in ("9" * 5000, "9" * 21, "-5", "x", "\u0661"):
            store._observe_stamp(
                {"annotations": {object_store.STAMP_ANNOTATION: text}}
            )
            self.send()


class ObjectStoreTest(unittest.TestCase):
    """Responses of the store that hold an odd object."""

    def setUp(self) -> None:
        clock = fakes.ManualClock()
        stamps = stamp.StampClock(clock=clock)
        self.timeline = events.Timeline(vm="a", clock=clock, stamps=stamps)
        self.store = object_store.ObjectStore(
            url="http://127.0.0.1:1",
            clock=clock,
            timeline=self.timeline,
            stamps=stamps,
        )
        self.body = b""
        self.store._client = mock.Mock(
            exchange=lambda **_: http_response.HttpResponse(
                status=200, body=self.body
            )
        )

    # RecursionError ends the task that reads; other garbage counted as an
    # outage of the store and delayed the calls for all other objects.
    def test_odd_object_is_malformed_and_no_outage(self):
        metadata = b'{"name": "current", "resourceVersion": "1"}'
        for body in (
            DEEP,
            b'{"metadata": ' + metadata + b', "spec": ' + DEEP + b"}",
            b'{"metadata": ' + metadata + b', "spec": {"a": 1e400}}',
            b'{"metadata": ' + metadata + b', "spec": 5}',
            b'{"metadata": 5, "spec": {}}',
            b'{"spec": {}}',
            b"[]",
            b"\xff",
        ):
            self.body = body
            with (
                self.subTest(body=body[:60]),
                self.assertRaises(errors.StoreObjectError),
            ):
                self.store.read("plans", "current")
        self.assertEqual(self.timeline.entries(), [])

    # Whether the write took effect is unknown, so it is read back.
    def test_odd_response_to_a_write_is_lost(self):
        self.body = DEEP
        with self.assertRaises(errors.StoreResponseLostError):
            self.store.create("plans", "current", {})


def _assignment() -> assignment.Assignment:
    """Returns an assignment with one member and one table."""
    member = assignment.Member(
        vm="a",
        place="p",
        region="r",
        peer_address="127.0.0.1:1",
        incarnation="i",
        epoch=1,
        witnesses=(),
    )
    table = assignment.OwnerTable.empty("s", 4)
    table.set_owner(0, "a", 2)
    return assignment.Assignment(3, {"a": member}, {"s": table})


def _pack(typecode: str, values: list[int]) -> str:
    content = zlib.compress(array.array(typecode, values).tobytes())
    return base64.b64encode(content).decode()


class StateTest(unittest.TestCase):
    """Assignments, deltas and plans, stored and sent by other daemons."""

    def setUp(self) -> None:
        self.codec = object_repository.JsonStateCodec()

    # Deep nesting and decompression end the task that fetches, or the process.
    def test_state_that_cannot_be_decoded_is_refused(self):
        bomb = zlib.compress(b" " * (object_repository.MAX_STATE_BYTES + 1))
        for data in (zlib.compress(DEEP), bomb, bomb[:50], b"x", b""):
            for decode in (
                self.codec.decode_plan,
                self.codec.decode_assignment,
                self.codec.decode_delta,
            ):
                with (
                    self.subTest(decode=decode.__name__, data=data[:10]),
                    self.assertRaises(errors.PeerProtocolError),
                ):
                    decode(data)

    # A table without partitions fails each request with ZeroDivisionError; a
    # generation beyond 64 bits fails each message that holds it.
    def test_assignment_out_of_range_is_refused(self):
        spec = assignment_model.to_spec(_assignment())
        bit = assignment.KEY_SHARD_BIT
        for changed in (
            {"owner_index": _pack("H", []), "generations": _pack("Q", [])},
            {"generations": _pack("Q", [2**64 - 1] * 4)},
            {"owner_index": _pack("H", [9] * 4)},
            {"owner_index": _pack("H", [0] * 10**6)},
            {"owner_index": "x"},
            {"vms": []},
            {"key_grants": [{"shard": -1, "vm": "a", "generation": 1}]},
            {"key_grants": [{"shard": 1, "vm": "a", "generation": 1}]},
            {"key_grants": [{"shard": bit, "vm": "a", "generation": 2**63}]},
            {"moves": [{"shard": -1, "vm": "a"}]},
            {"moves": [{"shard": 4, "vm": "a"}]},
            {"pins": [{"shard": 2**70, "vm": "a"}]},
        ):
            table = spec["tables"][0] | changed
            with (
                self.subTest(changed=str(changed)[:60]),
                self.assertRaises(errors.StoreObjectError),
            ):
                assignment_model.from_spec(spec | {"tables": [table]})
        for version in (0, -1, 2**63, 2**400):
            with self.assertRaises(errors.StoreObjectError):
                assignment_model.from_spec(spec | {"version": version})
        assignment_model.from_spec(spec)

    # An index of -1 names the last VM, which becomes the owner.
    def test_delta_out_of_range_is_refused(self):
        rows = {
            "partitions": 4,
            "grants": [],
            "merged": [],
            "moves": [],
            "pins": [],
        }
        spec = {
            "from_version": 3,
            "to_version": 4,
            "vms": ["", "a"],
            "members": [],
            "gone": [],
        }
        for changed in (
            {"grants": [[0, -1, 4]]},
            {"grants": [[0, 2, 4]]},
            {"grants": [[0, 1, 2**64]]},
            {"grants": [[-1, 1, 4]]},
            {"grants": [[2**70, 1, 4]]},
            {"moves": [[0, -1]]},
            {"moves": [[4, 1]]},
            {"pins": [[1, 1]]},
            {"merged": [-5]},
            {"partitions": 10**9},
        ):
            with (
                self.subTest(changed=changed),
                self.assertRaises(errors.PeerProtocolError),
            ):
                delta_model.from_spec(spec | {"tables": {"s": rows | changed}})
        delta_model.from_spec(spec | {"tables": {"s": rows}})

    # RecursionError or OverflowError of the pattern's compiler ends the task
    # that reads the plan, and an operator's call without a remedy.
    def test_odd_pattern_or_version_of_a_plan_is_refused(self):
        store = fakes.MemoryStore()
        repository = object_repository.ObjectRepository(store=store)
        for pattern in ("(" * 5000 + ")" * 5000, "a{99999999999999}", "("):
            service = {
                "name": "s",
                "keyed": True,
                "key_pattern": pattern,
                "policy": {"kind": "waiting"},
            }
            content = {"places": [], "services": [service]}
            spec = {"version": 1, "author": "x", "plan": content}
            store._put(object_repository.PLANS, "current", spec)
            with self.subTest(pattern=pattern[:20]):
                with self.assertRaises(errors.StoreObjectError):
                    repository.read_plan()
                with self.assertRaises(errors.PlanError):
                    plan_model.parse(
                        json.dumps(content).encode(), version=1, author="x"
                    )
        empty = b'{"places": [], "services": []}'
        for version in (-4, 2**63):
            with self.assertRaises(errors.PlanError):
                plan_model.parse(empty, version=version, author="x")

    # A term of such a number is never exceeded, so no other is followed.
    def test_term_and_plan_out_of_range_are_refused(self):
        store = fakes.MemoryStore()
        repository = object_repository.ObjectRepository(store=store)
        term = {"vm": "a", "peer_address": "127.0.0.1:1", "beat": 1}
        store._put(object_repository.TERMS, "current", term | {"number": 2**63})
        with self.assertRaises(errors.StoreObjectError):
            repository.read_term()
        empty = {"places": [], "services": []}
        spec = {"version": 2**63, "author": "x", "plan": empty}
        store._put(object_repository.PLANS, "current", spec)
        with self.assertRaises(errors.StoreObjectError):
            repository.read_plan()


if __name__ == "__main__":
    unittest.main()
