"""Short seeded soak: real nodes under overlapping faults. Long runs: python3 -m soak.run --help"""

import tempfile
import unittest

from soak.fleet import Settings
from soak.run import run_seed

SETTINGS = {"nodes": 6, "clients": 4, "duration_s": 12, "calm_s": 8}
# The schedule of a seed is fixed; the moments at which processes are hit vary a little.
RUNS = (("all", 1), ("connections", 5), ("planned", 3), ("crashes", 602), ("accounts", 701), ("returns", 801))


class SoakTest(unittest.TestCase):
    def test_the_users_rules_hold_under_overlapping_faults(self):
        for profile, seed in RUNS:
            with self.subTest(profile=profile, seed=seed), tempfile.TemporaryDirectory() as folder:
                violations, summary = run_seed(seed, Settings(profile=profile, **SETTINGS), folder)
                print("soak", profile, seed, summary)
                self.assertEqual(violations, [])
                self.assertGreater(summary["by_status"].get("200", 0), summary["requests"] / 3)


if __name__ == "__main__":
    unittest.main()
