"""A request that crashes some workers of its service and completes at the others."""

import unittest

from crashing_requests import CrashingRequestFixture

CRASHED_INSTANCES = ("i-0", "i-1")


class CrashOfSomeWorkersTest(CrashingRequestFixture):
    def is_crashing(self, handler):
        return handler.path.endswith("/crash") and handler.headers["Expected-Instance"] in CRASHED_INSTANCES

    def test_completions_at_other_workers_do_not_clear_a_crashing_request(self):
        """Guards against a crashing request that is sent on because some workers complete it (rule BUDGET)."""
        self.check("/read/crash")

    def test_the_same_for_a_request_that_is_not_repeatable(self):
        self.check("/write/crash")


if __name__ == "__main__":
    unittest.main()
