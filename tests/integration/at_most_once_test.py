"""At-most-once requests with resends, kills and pauses, checked against the workers' journals."""

import unittest

from measure.at_most_once import run

REQUESTS = 600
CALLERS = 12


class AtMostOnceTest(unittest.TestCase):

    def test_no_double_and_no_false_not_run(self):
        """Guards against a second execution through a resend by another node, by a paused node that resumes or by a
        restarted one, and against a not-run response for a request that was executed."""
        result = run(REQUESTS, CALLERS, seed=3)
        self.assertEqual([], result.doubles, result)
        self.assertEqual([], result.false_not_run, result)
        self.assertEqual(REQUESTS, sum(result.outcomes.values()), result)
        # Enough requests must complete despite the faults for the checks to be meaningful.
        self.assertGreater(result.outcomes.get("completed", 0), REQUESTS // 2, result)

    def test_all_complete_without_faults(self):
        """Guards against resends that lose the response of the first attempt."""
        result = run(200, CALLERS, seed=4, with_faults=False)
        self.assertEqual({"completed": 200}, result.outcomes, result)
        self.assertEqual(200, result.executions, result)


if __name__ == "__main__":
    unittest.main()
