"""At-most-once requests with resends, kills and pauses, judged by the workers' journals."""

import unittest

from measure.at_most_once import run

REQUESTS = 600
CALLERS = 12


class AtMostOnceTest(unittest.TestCase):

    def test_no_double_and_no_false_not_run(self):
        """Guards against a second execution by a resend through another node, by a paused node that wakes up or
        by a replaced one, and against a not-run answer for a request that ran."""
        result = run(REQUESTS, CALLERS, seed=3)
        self.assertEqual([], result.doubles, result)
        self.assertEqual([], result.false_not_run, result)
        self.assertEqual(REQUESTS, sum(result.outcomes.values()), result)
        # The faults must leave enough completed requests for the check to mean something.
        self.assertGreater(result.outcomes.get("completed", 0), REQUESTS // 2, result)

    def test_all_complete_without_faults(self):
        """Guards against resends that lose the answer of the first attempt."""
        result = run(200, CALLERS, seed=4, with_faults=False)
        self.assertEqual({"completed": 200}, result.outcomes, result)
        self.assertEqual(200, result.executions, result)


if __name__ == "__main__":
    unittest.main()
