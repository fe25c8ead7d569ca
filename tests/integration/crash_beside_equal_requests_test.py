"""A request that crashes workers, while requests with the same method, path and body complete."""

import unittest

from crashing_requests import WORKERS, CrashingRequestFixture

EQUAL_CLIENTS = 4


class OtherCallerTest(CrashingRequestFixture):
    """The users' platform identifies a crashing request by its path, caller and body."""

    OTHER_CALLERS = 2

    def is_crashing(self, handler):
        return handler.path.endswith("/crash") and handler.headers["Caller-Service"] == "s1"

    def check_beside_other_caller(self, path):
        statuses = []
        self.run_clients(EQUAL_CLIENTS,
                         lambda number: statuses.append(self.send(self.callers[number % self.OTHER_CALLERS], path)))
        self.check(path)
        # The worker completes it for the other caller: it is not refused for what the first caller sent.
        self.assertIn(200, statuses)
        for node in self.callers:
            self.assertEqual(self.send(node, path), 200)

    def test_completions_of_another_caller_do_not_clear_a_crashing_request(self):
        """Guards against a crashing request that is sent on because another caller's equal request completes."""
        self.check_beside_other_caller("/read/crash")

    def test_the_same_for_a_request_that_is_not_repeatable(self):
        self.check_beside_other_caller("/write/crash")


class OtherAuthorityTest(CrashingRequestFixture):
    def is_crashing(self, handler):
        return handler.path.endswith("/crash") and handler.headers["Host"] == "a.example"

    def check_beside_other_authority(self, path):
        self.run_clients(EQUAL_CLIENTS, lambda number: self.send(self.nodes[number % WORKERS], path, "b.example"))
        self.check(path)
        for node in self.nodes:
            self.assertEqual(self.send(node, path, "b.example"), 200)

    def test_completions_under_another_authority_do_not_clear_a_crashing_request(self):
        """Guards against a crashing request that is sent on because the same path of another authority completes."""
        self.check_beside_other_authority("/read/crash")

    def test_the_same_for_a_request_that_is_not_repeatable(self):
        self.check_beside_other_authority("/write/crash")


if __name__ == "__main__":
    unittest.main()
