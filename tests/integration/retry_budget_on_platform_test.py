"""The retry budget of a service that is called by retried requests, with real nodes, a fake store and fake workers."""

import bisect
import http.client
import tempfile
import threading
import time
import unittest
import uuid

from mesh.platform_fakes import FakeStore, FakeWorker
from mesh.sidecar import start_fleet

# As in the settings of the nodes.
RATIO = 0.2
SLACK = 47
WINDOW_S = 10

CLIENTS = 4
PAUSE_S = 0.6
CALLS = 8
MEASURED_S = 12
COMPOSE = {"name": "compose", "authority": "a.example", "prefix": "/compose/", "route_type": "idempotent",
           "timeout_s": 3, "target_latency_s": 1, "priority": 0, "max_attempts": 3, "service": "s1"}
CHECK = dict(COMPOSE, name="check", prefix="/check/", service="s2")


class CallingWorker(FakeWorker):
    """Makes calls for each request that it runs; loses its answers while `loses_answers` is set."""

    node = None
    loses_answers = False

    def __init__(self, *args, **options):
        # Time and parent request of each call.
        self.calls = []
        super().__init__(*args, **options)

    def work(self, handler, attempt):
        if self.service == "s2":
            self.calls.append((time.monotonic(), attempt.split(".")[0]))
            return 200
        for _ in range(CALLS):
            if self.node.call("/check/x", "POST", "%s.%s" % (attempt, uuid.uuid4().hex[:6]))[0] != 200:
                return 500
        if self.loses_answers:
            raise ConnectionError("answer lost")
        return 200


class RetryBudgetOnPlatformTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = FakeStore("127.0.0.1")
        self.workers = [CallingWorker("127.0.6.%d" % (index + 1), service, "i-%d" % index)
                        for index, service in enumerate(("s1", "s1", "s2", "s2"))]
        self.nodes = start_fleet(self, self.folder.name, self.store, self.workers, [COMPOSE, CHECK])
        for worker, node in zip(self.workers, self.nodes):
            worker.node = node

    def run_clients(self, seconds):
        end = time.monotonic() + seconds

        def client(index):
            number = 0
            while time.monotonic() < end:
                number += 1
                try:
                    # Paths differ, so that no request is taken for one that crashes workers.
                    self.nodes[index % 2 + 2].call("/compose/%d-%d" % (index, number), "POST")
                except (OSError, http.client.HTTPException):
                    pass
                time.sleep(PAUSE_S)

        threads = [threading.Thread(target=client, args=(index,)) for index in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def test_calls_of_retried_requests_stay_within_the_budget(self):
        """Guards against retries whose calls multiply beyond the budget of the called service (rule BUDGET)."""
        # A new process has no fixed allowance within its first window.
        self.run_clients(WINDOW_S + 1)
        for worker in self.workers:
            worker.loses_answers = True
        self.run_clients(MEASURED_S)
        calls = sorted(call for worker in self.workers for call in worker.calls)
        made = {}
        repeats = []
        for at, parent in calls:
            made[parent] = made.get(parent, 0) + 1
            # All calls beyond those of the first run were made by repeats.
            if made[parent] > CALLS:
                repeats.append(at)
        self.assertGreater(len(repeats), 0)
        times = [at for at, _ in calls]

        def count(sorted_times, begin):
            return bisect.bisect_left(sorted_times, begin + WINDOW_S) - bisect.bisect_left(sorted_times, begin)

        over = []
        for begin in repeats:
            requests = max(count(times, begin), count(times, begin - WINDOW_S), count(times, begin - WINDOW_S / 2))
            over.append((count(repeats, begin) - RATIO * requests - SLACK, count(repeats, begin), requests))
        self.assertLessEqual(max(over)[0], 0, "repeats and calls in the worst window: %d, %d" % max(over)[1:])


if __name__ == "__main__":
    unittest.main()
