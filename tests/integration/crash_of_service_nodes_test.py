"""A crashing request after all nodes of its service have ended together, on the users' platform with real nodes."""

import threading
import time
import unittest

from crashing_requests import CONTACT_S, DOWN_S, MAX_CRASHES, MAX_LATE_SENDS, SEND_INTERVAL_S, CrashingRequestFixture
from mesh.wait import wait_until

SENDS = 12
CLIENTS_AFTER = 8
SENDS_AFTER = 6


class CrashOfServiceNodesTest(CrashingRequestFixture):
    """Two nodes of another service send the request; they keep running."""

    OTHER_CALLERS = 2

    def send_through(self, node, path, count):
        for _ in range(count):
            self.send(node, path)
            time.sleep(SEND_INTERVAL_S)

    def check_after_end(self, path):
        self.send_through(self.callers[0], path, SENDS)
        self.assertGreaterEqual(sum(len(worker.crashed_at) for worker in self.workers), MAX_CRASHES)
        for node in self.nodes:
            node.kill()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            wait_until(node.is_ready, 10, "readiness of " + node.name)
        time.sleep(CONTACT_S + DOWN_S)
        # The second caller has not sent the request before, so it was never refused one.
        clients = [threading.Thread(target=self.send_through, args=(self.callers[index % 2], path, SENDS_AFTER))
                   for index in range(CLIENTS_AFTER)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        self.assertLessEqual(len(self.late_sends()), MAX_LATE_SENDS)
        for node in self.callers:
            self.assertEqual(self.send(node, path), 503)

    def test_a_crashing_request_is_known_after_the_end_of_all_nodes_of_its_service(self):
        """Guards against a crashing request that is forgotten with the nodes of the service that runs it."""
        self.check_after_end("/read/crash")

    def test_the_same_for_a_request_that_is_not_repeatable(self):
        self.check_after_end("/write/crash")


if __name__ == "__main__":
    unittest.main()
