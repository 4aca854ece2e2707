"""A short seeded soak, the soak's own checks, and seeds that once failed."""

import unittest

from soak import checks
from soak import day


def _run(request_id: str, key: str, generation: int, life: str, at: int):
    return {
        "id": request_id,
        "key": key,
        "generation": generation,
        "instance": life,
        "began_ns": at,
    }


class ChecksTest(unittest.TestCase):
    """The checks find what they are for."""

    def test_a_second_run_of_what_may_run_once(self):
        told = [checks.Told("r", False, 200, True)]
        runs = [_run("r", "1", 2, "a", 1), _run("r", "1", 2, "a", 2)]
        self.assertEqual(checks.problems(told, runs), ["r ran 2 times"])

    def test_a_false_not_run(self):
        told = [checks.Told("r", False, 503, False)]
        found = checks.problems(told, [_run("r", "1", 2, "a", 1)])
        self.assertEqual(found, ["r ran and was told 503"])

    def test_an_answer_of_another_request(self):
        told = [checks.Told("r", True, 200, False)]
        found = checks.problems(told, [_run("r", "", 0, "a", 1)])
        self.assertEqual(found, ["r got another answer"])

    def test_two_holders_and_an_old_one(self):
        beside = [_run("r", "1", 2, "a", 1), _run("s", "1", 2, "b", 2)]
        older = [_run("r", "1", 3, "a", 1), _run("s", "1", 2, "b", 2)]
        self.assertEqual(len(checks.problems([], beside)), 1)
        self.assertEqual(len(checks.problems([], older)), 1)


class SoakTest(unittest.TestCase):
    """One short day."""

    def test_a_short_day_breaks_no_promise(self):
        played = day.Day(seed=1, length_s=6.0, vms=4)
        self.assertEqual(played.play(), [], played.directory)
