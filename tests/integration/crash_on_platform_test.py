"""A request that crashes every worker that runs it, on the users' platform with real nodes."""

import unittest

from crashing_requests import CrashingRequestFixture


class CrashOnPlatformTest(CrashingRequestFixture):
    def test_a_request_that_crashes_workers_is_not_sent_without_end(self):
        """Guards against a crashing request that reaches one worker after the other (rule BUDGET)."""
        self.check("/read/crash")

    def test_the_same_for_a_request_that_is_not_repeatable(self):
        self.check("/write/crash")


if __name__ == "__main__":
    unittest.main()
