"""The ring of all members for anti-entropy."""

import unittest

from primrosecross.domain.membership import anti_entropy
from primrosecross.domain.ownership import assignment


def _members(*regions: str) -> assignment.Assignment:
    members = {
        f"vm-{n}": assignment.Member(
            vm=f"vm-{n}",
            place=f"{region}1",
            region=region,
            peer_address="127.0.0.1:1",
            incarnation="i",
            epoch=1,
            witnesses=(),
        )
        for n, region in enumerate(regions)
    }
    return assignment.Assignment(version=1, members=members)


class SuccessorsTest(unittest.TestCase):
    """The ring includes every member, whatever its region."""

    def test_successors_form_one_cycle(self):
        current = _members(*"aaaaabbb")
        visited = []
        vm = "vm-0"
        while vm not in visited:
            visited.append(vm)
            vm = anti_entropy.successors(vm, current)[0]
        self.assertEqual(sorted(visited), sorted(current.members))
        self.assertEqual(vm, "vm-0")

    def test_single_member_has_no_successors(self):
        self.assertEqual(anti_entropy.successors("vm-0", _members("a")), [])
