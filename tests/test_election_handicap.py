"""VMs with more processor time are elected first.

Without a handicap, in grown fleets that lost their coordinator (node_kill), a
daemon with two fifths of a core is elected, answers reports too late and is
replaced by another like it.
"""

import unittest
from unittest import mock

from primrosecross.domain import errors
from primrosecross.domain import fleet_node
from primrosecross.domain import stamp
from primrosecross.domain.operators import events
from primrosecross.domain.ownership import election
from primrosecross.ports import repository as repository_port
from tests import fakes
from tests import fleet_fakes

STEP_MS = 100


class HandicapTest(unittest.TestCase):
    """A strong and a weak VM campaign for one term."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.repository = fleet_fakes.repository(fleet_fakes.MemoryStore())
        self.observed_coordinators: list[str] = []
        self.weak = self._make("weak", fleet_node.ELECTION_HANDICAP_MS)
        self.strong = self._make("strong", 0)

    def _make(self, vm: str, handicap_ms: int) -> election.Election:
        stamps = stamp.StampClock(clock=self.clock)
        return election.Election(
            vm=vm,
            peer_address=f"{vm}:1",
            may_campaign=lambda: True,
            repository=self.repository,
            clock=self.clock,
            timeline=events.Timeline(vm=vm, clock=self.clock, stamps=stamps),
            timing=election.TermTiming(
                renew_ms=STEP_MS,
                term_ms=1500,
                takeover_ms=1000,
                handicap_ms=handicap_ms,
            ),
            on_term_read=lambda term: self.observed_coordinators.append(
                term.vm
            ),
        )

    def _campaign(self, *campaigning: election.Election) -> None:
        for candidate_election in campaigning:
            candidate_election.campaign()
        self.clock.advance(STEP_MS)

    def _write_lost_term(self) -> None:
        lost = repository_port.Term("lost", "lost:1", 1, 1)
        self.repository.write_term(lost, "")

    def test_strong_vm_succeeds_a_lost_coordinator(self):
        self._write_lost_term()
        while not self.strong.is_coordinator:
            self._campaign(self.weak, self.strong)
            self.assertFalse(self.weak.is_coordinator)
        self._campaign(self.weak)
        self.assertEqual(self.observed_coordinators[-1], "strong")

    def test_strong_vm_starts_the_first_term(self):
        self._campaign(self.weak)
        self.assertFalse(self.weak.is_coordinator)
        self._campaign(self.strong)
        self.assertTrue(self.strong.is_coordinator)

    def test_term_that_cannot_be_renewed_is_succeeded_at_once(self):
        """The store fails for the coordinator only (platform_down, leader)."""
        self._write_lost_term()
        self._campaign(self.strong)
        self.assertFalse(self.strong.is_coordinator)
        self.strong.mark_term_lost(1)
        self._campaign(self.strong)
        self.assertTrue(self.strong.is_coordinator)

    def test_candidates_back_off_while_the_store_fails(self):
        """The store is down for all for 8 s (platform_down)."""
        self._campaign(self.strong)
        self.assertTrue(self.strong.is_coordinator)
        self._campaign(self.weak)
        self.assertEqual(self.weak._interval_ms(True), STEP_MS)
        down = errors.StoreUnavailableError("down", remedy="wait")
        with (
            mock.patch.object(self.repository, "read_term", side_effect=down),
            mock.patch.object(self.repository, "write_term", side_effect=down),
        ):
            for _ in range(4):
                self.weak._try_campaign()
                self.strong._try_campaign()
        self.assertEqual(self.weak._interval_ms(True), 4 * STEP_MS)
        self.assertEqual(self.strong._interval_ms(True), STEP_MS)
        self.weak._try_campaign()
        self.assertEqual(self.weak._interval_ms(True), STEP_MS)

    def test_weak_vm_is_elected_when_it_is_alone(self):
        self._write_lost_term()
        for _ in range(30):
            self._campaign(self.weak)
        self.assertTrue(self.weak.is_coordinator)
