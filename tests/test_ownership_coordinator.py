"""How the coordinator reads and writes the store, with fakes."""

import unittest

from primrosecross.domain import errors
from primrosecross.domain import stamp
from primrosecross.domain.membership import lease
from primrosecross.domain.operators import events
from primrosecross.domain.operators import operator_messages
from primrosecross.domain.ownership import assignment
from primrosecross.domain.ownership import coordinator
from tests import fakes
from tests import test_ownership_decisions
from tests import test_ownership_store


class FakeElection:
    """An election that this daemon has won."""

    is_coordinator = True
    term_number = 1


class FakeRepository:
    """One assignment with conditional writes."""

    def __init__(self) -> None:
        self.stored: assignment.Assignment | None = None
        self.writes = 0

    def read_assignment(self) -> tuple[assignment.Assignment | None, str]:
        """Returns the assignment; its version is the number of writes."""
        return self.stored, str(self.writes) if self.stored else ""

    def write_assignment(
        self, value: assignment.Assignment, version: str
    ) -> str:
        """Writes if the version is the current one."""
        if version != (str(self.writes) if self.stored else ""):
            raise errors.StoreConflictError("changed", remedy="read again")
        self.writes += 1
        self.stored = value
        return str(self.writes)


class CoordinatorTest(unittest.TestCase):
    """A coordinator with a store and no peers."""

    def setUp(self) -> None:
        clock = fakes.ManualClock()
        self.state = test_ownership_store.make_state()
        self.repository = FakeRepository()
        self.election = FakeElection()
        self.coordinator = coordinator.Coordinator(
            vm="me",
            election=self.election,
            state=self.state,
            repository=self.repository,
            peers=None,
            refuse_locally=None,
            clock=clock,
            timing=lease.LeaseTiming(),
            timeline=events.Timeline(
                vm="me", clock=clock, stamps=stamp.StampClock(clock=clock)
            ),
        )

    def test_first_coordinator_creates_the_assignment(self):
        self.coordinator._decide()
        self.assertEqual(self.repository.stored.version, 1)

    def test_deleted_or_older_assignment_stops_decisions(self):
        self.state.update_assignment(assignment.Assignment(version=9))
        for stored in (None, assignment.Assignment(version=8)):
            with self.subTest(stored=stored):
                self.repository.stored = stored
                with self.assertRaises(errors.StoreObjectError):
                    self.coordinator._decide()
                self.assertEqual(self.repository.writes, 0)

    def test_message_of_an_earlier_term_is_dropped(self):
        members = {"a": test_ownership_decisions.member("a")}
        self.repository.stored = assignment.Assignment(2, members)
        self.coordinator._decide()
        self.coordinator.handle(operator_messages.Drain("a"))
        self.election.term_number = 3
        self.coordinator._decide()
        self.assertEqual(self.repository.writes, 0)
        self.coordinator.handle(operator_messages.Drain("a"))
        self.coordinator._decide()
        self.assertEqual(
            self.repository.stored.members["a"].state,
            assignment.MemberState.LEAVING,
        )
