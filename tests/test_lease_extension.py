"""Lease extensions without the store, and how successors wait for them."""

import dataclasses
import unittest

from primrosecross.domain.ownership import key_map
from primrosecross.domain.ownership import lease_extension
from primrosecross.domain.ownership import proof
from tests import fakes
from tests import fleet_fakes

_NS_PER_MS = proof.NS_PER_MS


def _map(*vms: str) -> key_map.KeyMap:
    holders = {
        f"i-{vm}": key_map.Holder(life=f"i-{vm}", vm=vm, service="desk")
        for vm in vms
    }
    return key_map.KeyMap(version=1, holders=holders)


class ExtensionGrantTest(unittest.TestCase):
    """VM "a" was the coordinator, five VMs hold keys, the store is down."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.clock.advance(60_000)
        self.extensions = lease_extension.LeaseExtensions(
            vm="a", clock=self.clock
        )
        self.extensions.begin_term(1, None)
        self.newest_map = _map(*"abcde")
        self._write_map()
        self.renewed_ns = self.clock.now_ns()
        self._report("b", "c", "d", "e")
        self.clock.advance(2500)

    def _write_map(self) -> None:
        self.extensions.note_write(self.newest_map)
        self.extensions.note_written(self.newest_map)

    def _report(self, *vms: str, **changed: object) -> None:
        for vm in vms:
            report = fleet_fakes.sync(vm, term=1, echo_ns=self.clock.now_ns())
            self.extensions.note_report(
                dataclasses.replace(report, **changed),
                renewed_ns=self.renewed_ns,
            )

    def _extension_ms(self) -> int:
        return self.extensions.extension_ms(
            self.newest_map, renewed_ns=self.renewed_ns
        )

    def test_most_holders_must_report(self):
        self._report("b")
        self.assertEqual(self._extension_ms(), 0)
        self._report("c")
        self.assertEqual(self._extension_ms(), lease_extension.EXTENSION_MS)

    def test_report_age_counts_from_the_echoed_time(self):
        """A coordinator that was frozen reads reports that have waited."""
        self._report("b", "c", echo_ns=self.clock.now_ns() - 2001 * _NS_PER_MS)
        self.assertEqual(self._extension_ms(), 0)

    def test_a_restarted_process_does_not_count(self):
        """Before the restart it may have reported to a newer coordinator."""
        self._report("b", "c", incarnation="p2")
        self.assertEqual(self._extension_ms(), 0)

    def test_reports_under_another_term_do_not_count(self):
        self._report("b", "c", term=2)
        self.assertEqual(self._extension_ms(), 0)

    def test_a_map_that_may_have_been_written_counts_too(self):
        """The answer to a write was lost in the outage."""
        self._report("b", "c")
        self.extensions.note_write(_map(*"abcdefghijk"))
        self.assertEqual(self._extension_ms(), 0)
        self._report("d", "e")
        self.assertEqual(self._extension_ms(), 0)

    def test_a_lost_term_extends_no_lease(self):
        self._report("b", "c")
        self.assertEqual(
            self.extensions.extension_ms(self.newest_map, renewed_ns=None), 0
        )


class TakeoverWaitTest(unittest.TestCase):
    """VM "b" replaces another coordinator."""

    def setUp(self) -> None:
        self.clock = fakes.ManualClock()
        self.extensions = lease_extension.LeaseExtensions(
            vm="b", clock=self.clock
        )

    def _replace(self, *, settled: bool, resigned: bool) -> None:
        predecessor = lease_extension.PredecessorTerm(
            settled, resigned, self.clock.now_ns()
        )
        self.extensions.begin_term(2, predecessor)
        self.extensions.note_write(_map(*"abcd"))
        self.extensions.note_written(_map(*"abcd"))

    def _report(self, *vms: str) -> None:
        for vm in vms:
            self.extensions.note_report(
                fleet_fakes.sync(vm, term=2), renewed_ns=self.clock.now_ns()
            )

    def test_the_first_coordinator_does_not_wait(self):
        self.extensions.begin_term(1, None)
        self.assertTrue(self.extensions.earlier_expired())

    def test_half_of_the_holders_shorten_the_wait(self):
        self._replace(settled=True, resigned=False)
        self._report("b", "c")
        self.clock.advance(lease_extension.majority_wait_ms())
        self.assertFalse(self.extensions.earlier_expired())
        self.clock.advance(1)
        self.assertTrue(self.extensions.earlier_expired())

    def test_without_them_the_wait_is_the_longest_extension(self):
        self._replace(settled=True, resigned=False)
        self._report("b")
        self.clock.advance(lease_extension.takeover_wait_ms())
        self.assertFalse(self.extensions.earlier_expired())
        self.clock.advance(1)
        self.assertTrue(self.extensions.earlier_expired())

    def test_an_unsettled_predecessor_requires_the_longest_wait(self):
        """The coordinator is lost twice within seconds."""
        self._replace(settled=False, resigned=False)
        self._report(*"abcd")
        self.clock.advance(lease_extension.takeover_wait_ms())
        self.assertFalse(self.extensions.earlier_expired())

    def test_a_predecessor_that_resigned_requires_no_wait(self):
        """All daemons are restarted one after another (roll_term)."""
        self._replace(settled=True, resigned=True)
        self.assertTrue(self.extensions.earlier_expired())

    def test_extensions_expire_before_a_revocation_wait_is_over(self):
        self.assertLess(
            lease_extension.majority_wait_ms(), proof.revocation_wait_ms()
        )
