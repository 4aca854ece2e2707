"""Which members are candidates, and which coordinator a daemon calls."""

import unittest

from primrosecross.domain import errors
from primrosecross.domain import messages
from primrosecross.domain import stream_messages
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import coordinator_client
from primrosecross.domain.ownership import election
from primrosecross.ports import repository
from tests import fakes
from tests import test_ownership_decisions


class CandidatesTest(unittest.TestCase):
    """Twelve members in four availability zones, sorted by zone."""

    def setUp(self) -> None:
        names = [f"{place}-{n}" for place in "abcd" for n in range(3)]
        self.current = assignment.Assignment(
            members={
                name: test_ownership_decisions.member(name, place=name[0])
                for name in names
            }
        )

    def _candidates(self) -> set[str]:
        return {
            vm
            for vm in self.current.members
            if election.is_candidate(vm, self.current)
        }

    def test_loss_of_a_zone_leaves_candidates(self):
        for place in "abcd":
            remaining = {vm for vm in self._candidates() if vm[0] != place}
            self.assertGreaterEqual(len(remaining), 3)

    def test_all_are_candidates_in_a_new_cluster(self):
        self.current.members.clear()
        self.assertTrue(election.is_candidate("any", self.current))


class FakeTerms:
    """A repository that holds a term."""

    def __init__(self) -> None:
        self.term = repository.Term("a", "127.0.0.1:1", 1, 1)
        self.reads = 0

    def read_term(self) -> tuple[repository.Term, str]:
        """Returns the term."""
        self.reads += 1
        return self.term, "1"


class FakePeers:
    """Peers that answer, except the lost ones."""

    def __init__(self) -> None:
        self.lost: set[str] = set()

    def set_address(self, vm: str, address: str) -> None:
        """Ignores an address."""

    def call(self, vm: str, *_: object, **__: object) -> messages.Message:
        """Answers, unless the peer is lost."""
        if vm in self.lost:
            raise errors.ReplyLostError("lost", remedy="wait")
        return stream_messages.Done()


class CoordinatorClientTest(unittest.TestCase):
    """A daemon that calls the coordinator."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.terms = FakeTerms()
        self.peers = FakePeers()
        self.client = coordinator_client.CoordinatorClient(
            vm="me", repository=self.terms, peers=self.peers, clock=self.clock
        )

    def _call(self) -> None:
        self.client.call_coordinator(
            operator_messages.ListConfirmed(), timeout_ms=100
        )

    def test_coordinator_is_looked_up_once(self):
        for _ in range(10):
            self._call()
        self.assertEqual(self.terms.reads, 1)

    def test_ignored_coordinator_is_not_called_again(self):
        self._call()
        self.client.ignore_term("a")
        with self.assertRaises(errors.MessageNotSentError):
            self._call()
        self.terms.term = repository.Term("b", "127.0.0.1:2", 2, 9)
        self._call()

    def test_coordinator_that_still_renews_is_called_again(self):
        self._call()
        self.client.ignore_term("a")
        self.terms.term = repository.Term("a", "127.0.0.1:1", 1, 99)
        self._call()

    def test_lost_coordinator_is_unreachable_after_a_time(self):
        self._call()
        self.peers.lost.add("a")
        self._fail_call()
        self.assertFalse(self.client.is_unreachable())
        self.clock.advance(coordinator_client.UNREACHABLE_AFTER_MS + 1)
        self._fail_call()
        self.assertTrue(self.client.is_unreachable())
        self.peers.lost.clear()
        self._call()
        self.assertFalse(self.client.is_unreachable())

    def _fail_call(self) -> None:
        with self.assertRaises(errors.PeerError):
            self._call()

    def test_coordinator_is_not_unreachable_without_calls(self):
        self._call()
        self.clock.advance(2 * coordinator_client.UNREACHABLE_AFTER_MS)
        self.assertFalse(self.client.is_unreachable())
