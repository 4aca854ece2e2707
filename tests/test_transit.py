"""Time that messages from another daemon spend queued on their way."""

import unittest

from primrosecross.adapters.peers import peer_transit

OFFSET_MS = -7_000_000  # between the clocks of two VMs


class TransitMeterTest(unittest.TestCase):
    """Messages of a peer whose clock has an unknown offset."""

    def setUp(self) -> None:
        self.meter = peer_transit.TransitMeter()
        self.now_ms = 1000

    def record(self, queued_ms: int, after_ms: int = 10) -> int:
        self.now_ms += after_ms
        sent_ms = self.now_ms + OFFSET_MS - queued_ms
        return self.meter.record(sent_ms, self.now_ms)

    def test_time_in_queues_exceeds_the_shortest_time_seen(self):
        self.assertEqual(self.record(3), 0)
        self.assertEqual(self.record(1), 0)
        self.assertEqual(self.record(2001), 2000)
        self.assertEqual(self.record(1), 0)

    def test_first_message_counts_as_not_queued(self):
        self.assertEqual(self.record(2000), 0)
        self.assertEqual(self.record(0), 0)

    def test_clocks_that_drift_apart_are_measured_anew(self):
        self.record(0)
        drifted_ms = 300
        for _ in range(3):
            queued_ms = self.record(
                drifted_ms, after_ms=peer_transit.HISTORY_MS
            )
        self.assertEqual(queued_ms, 0)

    def test_base_outlasts_one_span(self):
        self.record(0)
        self.assertEqual(
            self.record(500, after_ms=peer_transit.HISTORY_MS + 1), 500
        )


if __name__ == "__main__":
    unittest.main()
