"""Seeds of the soak that found a fault, as regression cases."""

import shutil
import unittest

from soak import scenario


class SeedTest(unittest.TestCase):
    """Each case plays the faults of one seed; their timing varies."""

    # A target restarted within half a second took a grant meant for its earlier
    # life, and ran a request under the same generation.
    def test_seed_33224_restarted_target_takes_no_earlier_grant(self):
        soak_run = scenario.Scenario(seed=33224, length_s=10.0)
        self.addCleanup(shutil.rmtree, soak_run.directory, ignore_errors=True)
        self.assertEqual(soak_run.execute(), [])
