"""Tests of load measurement, load reports and release of idle shards."""

import collections
import random
import unittest

from primrosecross.domain import messages
from primrosecross.domain import stamp
from primrosecross.domain import stream_messages
from primrosecross.domain.membership import lease
from primrosecross.domain.membership import member_messages
from primrosecross.domain.membership import state
from primrosecross.domain.operators import events
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import decisions
from primrosecross.domain.ownership import handover
from primrosecross.domain.ownership import load_meter
from primrosecross.domain.ownership import load_reports
from tests import assignments
from tests import fakes

PARTITIONS = 64
VM = "vm-0"
SEED = 20


class _FakeCoordinatorClient:
    """A coordinator client that records the messages sent."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def call_coordinator(
        self, message: messages.Message, *, timeout_ms: int
    ) -> messages.Message:
        del timeout_ms
        self.sent.append(message)
        if isinstance(message, member_messages.LoadReport):
            return member_messages.LoadAck(coordinator="vm-1/1", hot_rate=100)
        return stream_messages.Done()


class OwnerCase(unittest.TestCase):
    """One member that owns all shards."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.fake_client = _FakeCoordinatorClient()
        timeline = events.Timeline(
            vm=VM, clock=self.clock, stamps=stamp.StampClock(clock=self.clock)
        )
        self.state = state.ClusterState(vm=VM, timeline=timeline)
        self.current_assignment = assignments.cluster(2)
        table = assignment.OwnerTable.empty(assignments.SERVICE, PARTITIONS)
        for partition in range(PARTITIONS):
            table.set_owner(partition, VM, 1)
        self.current_assignment.tables[assignments.SERVICE] = table
        self.state.update_assignment(self.current_assignment)

    @property
    def table(self) -> assignment.OwnerTable:
        return self.current_assignment.tables[assignments.SERVICE]

    def advance_version(self) -> None:
        self.current_assignment = assignments.next_version(
            self.current_assignment
        )


class MeterTest(OwnerCase):
    """Rates and hot keys in bounded memory."""

    def test_rates_and_hot_keys_of_a_sampled_stream(self):
        random.seed(SEED)
        meter = load_meter.LoadMeter()
        hot = assignment.hash_key(assignments.SERVICE, "hawser-24mm")
        for _ in range(5):
            for number in range(18_000):
                meter.record(random.getrandbits(63))
                if number % 9 == 0:
                    meter.record(hot)
            meter.tick(self.table, VM, 1.0)
        total = sum(meter.shard_rates().values())
        self.assertAlmostEqual(total / 20_000, 1, delta=0.03)
        reported_rates = meter.hot_keys(1000)
        shard = hot | assignment.KEY_SHARD_BIT
        self.assertEqual(list(reported_rates), [shard])
        self.assertAlmostEqual(reported_rates[shard] / 2000, 1, delta=0.2)

    def test_guaranteed_counts_do_not_exceed_true_counts(self):
        sketch = load_meter.SpaceSaving(counters=8)
        true_counts = collections.Counter()
        rng = random.Random(SEED)
        for _ in range(5000):
            key = min(rng.getrandbits(10), rng.getrandbits(4))
            sketch.add(key, 1)
            true_counts[key] += 1
        for key, count in sketch.guaranteed_counts().items():
            self.assertLessEqual(count, true_counts[key])


class ReportTest(OwnerCase):
    """Load reports sent to the coordinator."""

    def setUp(self) -> None:
        super().setUp()
        self.reporter = load_reports.LoadReporter(
            vm=VM,
            state=self.state,
            coordinator_client=self.fake_client,
            clock=self.clock,
        )

    def serve(self, seconds: int, *, hot: int = 0, each: int = 20) -> None:
        hot_hash = assignment.hash_key(assignments.SERVICE, "hot")
        for _ in range(seconds):
            for partition in range(PARTITIONS):
                for _ in range(each):
                    self.reporter.record(assignments.SERVICE, partition)
            for _ in range(hot):
                self.reporter.record(assignments.SERVICE, hot_hash)
            self.clock.advance(1000)
            self.reporter.tick(1.0)

    def test_steady_load_is_reported_once(self):
        self.serve(20)
        self.assertEqual(len(self.fake_client.sent), 1)
        self.assertEqual(len(self.fake_client.sent[0].shards), PARTITIONS)

    def test_key_that_becomes_hot_is_reported_within_two_seconds(self):
        self.serve(10)
        before = len(self.fake_client.sent)
        self.serve(2, hot=500)
        reports = self.fake_client.sent[before:]
        shard = (
            assignment.hash_key(assignments.SERVICE, "hot")
            | assignment.KEY_SHARD_BIT
        )
        self.assertTrue(any(shard in report.shards for report in reports))

    def test_reports_stay_within_their_share_of_the_budget(self):
        for number in range(2, 620):
            member = assignments.member(number)
            self.current_assignment.members[member.vm] = member
        for second in range(60):
            self.serve(1, each=10 + 30 * (second % 2))
        sent_bytes = sum(
            load_reports.HEADER_BYTES
            + load_reports.ROW_BYTES * len(report.shards)
            for report in self.fake_client.sent
        )
        max_report_bytes = (
            load_reports.HEADER_BYTES
            + load_reports.ROW_BYTES * load_reports.MAX_ROWS
        )
        budget_bytes = load_reports.CLUSTER_BYTES_PER_S / 620 * 60
        self.assertGreater(len(self.fake_client.sent), 1)
        self.assertLessEqual(sent_bytes, budget_bytes + max_report_bytes)


class HandOverTest(OwnerCase):
    """Shards are released only when none of their requests run."""

    def setUp(self) -> None:
        super().setUp()
        held_lease = lease.Lease(clock=self.clock, timing=lease.LeaseTiming())
        held_lease.start(epoch=1, witnesses=("vm-1",), read_sent_ns=0)
        self.hand_over = handover.HandOver(
            vm=VM,
            state=self.state,
            lease=held_lease,
            coordinator_client=self.fake_client,
            clock=self.clock,
        )
        self.key_hash = assignment.hash_key(assignments.SERVICE, "booking-1")
        self.partition = self.key_hash % PARTITIONS

    def released(self) -> set[int]:
        self.fake_client.sent.clear()
        self.hand_over.release_idle()
        return {
            shard for sent in self.fake_client.sent for shard in sent.shards
        }

    def test_busy_partition_waits_for_its_request(self):
        self.advance_version()
        self.table.moves = {self.partition: "vm-1", 1: "vm-1", 2: "vm-1"}
        self.state.update_assignment(self.current_assignment)
        with self.hand_over.track_request(assignments.SERVICE, self.key_hash):
            self.assertEqual(self.released(), {1, 2})
        self.assertEqual(self.released(), {self.partition, 1, 2})

    def test_long_request_keeps_only_its_own_key(self):
        self.advance_version()
        self.table.moves = {self.partition: "vm-1"}
        self.state.update_assignment(self.current_assignment)
        shard = self.key_hash | assignment.KEY_SHARD_BIT
        with self.hand_over.track_request(assignments.SERVICE, self.key_hash):
            self.assertEqual(self.released(), set())
            self.clock.advance(handover.IDLE_WAIT_LIMIT_MS)
            self.assertEqual(self.released(), {self.partition})
            self.advance_version()
            draft = decisions.Draft(self.current_assignment)
            decisions.apply(self.fake_client.sent[0], draft)
            self.state.update_assignment(self.current_assignment)
            self.assertEqual(self.table.grant_of(self.partition).vm, "vm-1")
            self.assertEqual(self.table.grant_of(shard).vm, VM)
            self.assertEqual(self.table.moves, {shard: "vm-1"})
            self.assertEqual(self.released(), set())
        self.assertEqual(self.released(), {shard})

    def test_key_that_is_split_off_while_its_request_runs(self):
        """The request started before the split; its key must not move yet."""
        shard = self.key_hash | assignment.KEY_SHARD_BIT
        with self.hand_over.track_request(assignments.SERVICE, self.key_hash):
            self.advance_version()
            self.table.split_key(shard)
            self.state.update_assignment(self.current_assignment)
            self.advance_version()
            self.table.moves = {shard: "vm-1"}
            self.state.update_assignment(self.current_assignment)
            self.assertEqual(self.released(), set())
        self.assertEqual(self.released(), {shard})
