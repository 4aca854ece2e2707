"""The timeline: causal order, bounds and rendering."""

import json
import unittest
from xml.etree import ElementTree

from primrosecross.adapters import object_store
from primrosecross.adapters import timeline_svg
from primrosecross.adapters import timeline_text
from primrosecross.adapters.http import http_server
from primrosecross.domain import stamp
from primrosecross.domain.membership import state
from primrosecross.domain.operators import collector
from primrosecross.domain.operators import events
from primrosecross.domain.operators import meter
from primrosecross.domain.operators import observer
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.ownership import assignment
from primrosecross.domain.requests import outcome
from standins import platform
from standins import ports
from tests import fakes

HOUR_MS = 3_600_000
MEMBERS = ("a", "b", "gone")


class Process:
    """One daemon's timeline, with its own clock."""

    def __init__(self, vm: str, *, ahead_ms: int, peers: fakes.MemoryPeers):
        self.clock = fakes.ManualClock()
        self.clock.advance(HOUR_MS + ahead_ms)
        self.stamps = stamp.StampClock(clock=self.clock)
        self.timeline = events.Timeline(
            vm=vm, clock=self.clock, stamps=self.stamps
        )
        self.state = state.ClusterState(vm=vm, timeline=self.timeline)
        self.collector = self.make_collector(vm, "first", peers)
        self.state.update_assignment(_members(*MEMBERS))

    def make_collector(self, vm: str, incarnation: str, peers):
        """Serves this timeline under a given VM and incarnation ID."""
        timeline_collector = collector.TimelineCollector(
            vm=vm,
            incarnation=incarnation,
            state=self.state,
            peers=peers,
            timeline=self.timeline,
        )
        peers.handlers[vm] = timeline_collector.read_timeline
        return timeline_collector


def _members(*vms: str) -> assignment.Assignment:
    return assignment.Assignment(
        version=len(vms),
        members={
            vm: assignment.Member(vm, "p", "r", "", "", 1, ()) for vm in vms
        },
    )


def _kinds(collected: collector.CollectedEvents) -> list[tuple[str, str]]:
    return [(event.vm, event.kind) for event in collected.events]


class CausalOrderTest(unittest.TestCase):
    """Two processes; the second's clock is one hour behind the first's."""

    def setUp(self) -> None:
        self.peers = fakes.MemoryPeers()
        self.ahead = Process("a", ahead_ms=HOUR_MS, peers=self.peers)
        self.behind = Process("b", ahead_ms=0, peers=self.peers)

    def test_message_from_process_with_clock_ahead(self):
        self.ahead.timeline.record(events.MemberDraining("b", 1))
        sent = self.ahead.stamps.now()
        self.behind.stamps.observe(sent)
        self.behind.timeline.record(events.LeaseLost(1))
        for process in (self.ahead, self.behind):
            self.assertEqual(
                _kinds(process.collector.collect()),
                [("a", "MemberDraining"), ("b", "LeaseLost")],
            )

    def test_read_of_store_write_is_ordered_after_it(self):
        port = ports.choose_free(1)[0]
        server = http_server.NoDelayWsgiServer(
            ("127.0.0.1", port), platform.Platform().serve, log=None
        )
        server.start()
        self.addCleanup(server.stop)
        stores = {
            process: object_store.ObjectStore(
                url=f"http://127.0.0.1:{port}",
                clock=process.clock,
                timeline=process.timeline,
                stamps=process.stamps,
            )
            for process in (self.ahead, self.behind)
        }
        self.ahead.timeline.record(events.PlanApplied(1, "petra"))
        stores[self.ahead].create("plans", "current", {"version": 1})
        stores[self.behind].read("plans", "current")
        self.behind.timeline.record(events.PlanInForce(1, "petra"))
        self.assertEqual(
            _kinds(self.behind.collector.collect()),
            [("a", "PlanApplied"), ("b", "PlanInForce")],
        )

    def test_decision_recorded_after_its_effect(self):
        decision_stamp = self.ahead.timeline.next_stamp()
        self.behind.stamps.observe(self.ahead.stamps.now())
        self.behind.timeline.record(events.LeaseLost(1))
        self.ahead.stamps.observe(self.behind.stamps.now())
        self.ahead.timeline.record(
            events.MemberRevoked("b", 1, 7), stamp=decision_stamp
        )
        self.assertEqual(
            _kinds(self.ahead.collector.collect()),
            [("a", "MemberRevoked"), ("b", "LeaseLost")],
        )


class BoundsTest(unittest.TestCase):
    """Events from many, restarted and departed processes."""

    def setUp(self) -> None:
        self.peers = fakes.MemoryPeers()
        self.queried = Process("a", ahead_ms=0, peers=self.peers)
        self.other = Process("b", ahead_ms=0, peers=self.peers)

    def test_departed_member_is_reported_missing(self):
        result = self.queried.collector.collect()
        self.assertEqual([m.vm for m in result.missing], ["gone"])
        self.queried.state.update_assignment(_members("a", "b", "c", "d"))
        result = self.queried.collector.collect()
        problems = {m.vm: m.problem for m in result.missing}
        self.assertEqual(set(problems), {"gone", "c", "d"})
        self.assertIn("no longer a member", problems["gone"])

    def test_reader_gets_only_new_events(self):
        self.other.timeline.record(events.LeaseGained(1))
        first = self.queried.collector.collect()
        self.other.timeline.record(events.LeaseLost(1))
        second = self.queried.collector.collect(cursors=first.cursors)
        self.assertEqual(_kinds(second), [("b", "LeaseLost")])

    def test_restarted_process_is_read_from_start(self):
        for epoch in range(3):
            self.other.timeline.record(events.LeaseGained(epoch))
        first = self.queried.collector.collect()
        restarted = Process("b", ahead_ms=0, peers=self.peers)
        restarted.make_collector("b", "second", self.peers)
        restarted.timeline.record(events.LeaseGained(9))
        second = self.queried.collector.collect(cursors=first.cursors)
        self.assertEqual(_kinds(second), [("b", "LeaseGained")])

    def test_buffer_and_replies_are_bounded(self):
        for epoch in range(5000):
            self.other.timeline.record(events.LeaseGained(epoch))
        self.assertEqual(len(self.other.timeline.entries()), 4096)
        result = self.queried.collector.collect(limit=100)
        self.assertEqual(len(result.events), 33)
        self.assertEqual(result.dropped, 5000 - 33)
        self.assertEqual(
            json.loads(result.events[-1].detail_json), {"epoch": 4999}
        )

    def test_read_timeline_message_is_handled(self):
        part = self.other.collector.read_timeline(
            operator_messages.ReadTimeline(
                operator_messages.EventCursor("b", "", 0), 5
            )
        )
        self.assertEqual((part.cursor.vm, part.events), ("b", ()))


class RefusalBurstTest(unittest.TestCase):
    """Bursts of refusals record few events."""

    def setUp(self) -> None:
        self.process = Process("a", ahead_ms=0, peers=fakes.MemoryPeers())
        self.meter = meter.Meter(timeline=self.process.timeline)

    def _record_refusals(self, count: int, pause_ms: int) -> list[events.Event]:
        request_labels = meter.labels_of(
            outcome.NotRun(outcome.Reason.OVERLOADED, "")
        )
        for _ in range(count):
            now_ns = self.process.clock.now_ns()
            self.meter.record(
                "rezervace", request_labels, took_ns=1000, now_ns=now_ns
            )
            self.process.clock.advance(pause_ms)
        return [e.event for e in self.process.timeline.entries()]

    def test_isolated_refusals_record_no_event(self):
        self.assertEqual(self._record_refusals(100, pause_ms=500), [])

    def test_burst_records_one_event_in_ten_seconds(self):
        bursts = self._record_refusals(5000, pause_ms=3)
        self.assertEqual(len(bursts), 2)
        self.assertEqual(bursts[0].refused, meter.BURST_REFUSALS)
        self.assertGreater(bursts[1].refused, 3000)
        self.assertEqual(bursts[0].reason, "overloaded")


class RenderingTest(unittest.TestCase):
    """Text and pictures of the loss of one member."""

    def setUp(self) -> None:
        services = [{"service": "s", "owned": 4, "gained": 4, "lost": 0}]
        rows = [
            ("a", "LeaseGained", {"epoch": 1}),
            ("a", "OwnersChanged", {"services": services}),
            ("b", "MemberRevoking", {"vm": "a", "epoch": 1}),
            ("b", "MemberRevoked", {"vm": "a", "epoch": 1, "shards": 4}),
            ("b", "RefusalBurst", {"service": "x" * 90, "reason": "<&"}),
        ]
        self.events = [
            timeline_text.Event(
                vm=vm,
                sequence=number,
                stamp=(1_000_000 + 700 * number) << stamp.COUNTER_BITS,
                wall_ms=0,
                kind=kind,
                detail=detail,
            )
            for number, (vm, kind, detail) in enumerate(rows)
        ]

    def test_text_shows_event_fields(self):
        line = timeline_text.format_event(self.events[1])
        self.assertIn("OwnersChanged services=s/4/4/0", line)
        for event in self.events[:4]:
            self.assertLessEqual(len(timeline_text.format_event(event)), 80)

    def test_picture_has_a_lane_for_each_vm(self):
        picture = ElementTree.fromstring(timeline_svg.render_svg(self.events))
        texts = [e.text for e in picture.iter() if e.tag.endswith("text")]
        self.assertLessEqual({"a", "b"}, set(texts))
        titles = [e.text for e in picture.iter() if e.tag.endswith("title")]
        self.assertIn("lease held", titles)
        self.assertTrue(any("MemberRevoked" in text for text in titles))

    def test_page_is_self_contained(self):
        page = timeline_svg.render_html(self.events)
        self.assertNotIn("<script", page)
        self.assertNotIn("src=", page)
        self.assertIn("reason=&lt;&amp;", page)

    def test_no_events_render_empty_picture(self):
        ElementTree.fromstring(timeline_svg.render_svg([]))


class ObserverTest(unittest.TestCase):
    """Membership changes, recorded by witnesses as well."""

    def setUp(self) -> None:
        self.process = Process("a", ahead_ms=0, peers=fakes.MemoryPeers())
        observer.MembershipObserver(
            state=self.process.state, timeline=self.process.timeline
        )
        self.version = 10

    def _update_member_state(
        self, vm_state: assignment.MemberState | None
    ) -> None:
        self.version += 1
        members = {"a": assignment.Member("a", "p", "r", "", "", 1, ())}
        for vm, witnesses in (("b", ("a",)), ("c", ("b",))):
            if vm_state is not None:
                members[vm] = assignment.Member(
                    vm, "p", "r", "", "", 1, witnesses, (), vm_state
                )
        self.process.state.update_assignment(
            assignment.Assignment(self.version, members)
        )

    def test_witness_records_changes_of_its_member(self):
        states = assignment.MemberState
        for vm_state in (
            states.ACTIVE,
            states.LEAVING,
            states.ACTIVE,
            states.REVOKING,
            None,
        ):
            self._update_member_state(vm_state)
        recorded = [e.event for e in self.process.timeline.entries()]
        self.assertEqual(
            recorded,
            [
                events.MemberDraining("b", 1),
                events.MemberUndrained("b", 1),
                events.MemberRevoking("b", 1),
                events.MemberRevoked("b", 1, 0),
            ],
        )

    def test_duplicate_events_are_dropped(self):
        duplicates = observer.DuplicateFilter()
        detail = {"vm": "b", "epoch": 1}
        reports = [
            *("MemberDraining", "MemberDraining"),
            *("MemberUndrained", "MemberUndrained", "MemberDraining"),
        ]
        duplicate_flags = [
            duplicates.is_duplicate(kind, detail) for kind in reports
        ]
        self.assertEqual(duplicate_flags, [False, True, False, True, False])
        self.assertFalse(duplicates.is_duplicate("LeaseLost", {"epoch": 1}))
        self.assertFalse(duplicates.is_duplicate("LeaseLost", {"epoch": 1}))
