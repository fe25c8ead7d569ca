"""A request that crashes every worker that runs it, on the users' platform with real nodes."""

import http.client
import tempfile
import threading
import time
import unittest

from mesh.platform_fakes import FakeStore, FakeWorker
from mesh.sidecar import start_fleet
from mesh.wait import wait_until

WORKERS = 4
DOWN_S = 1.0
SEND_INTERVAL_S = 0.15
# From the users' rule BUDGET: workers may get this many more sends later than CONTACT_S after the third crash.
CONTACT_S = 3
MAX_CRASHES = 3
MAX_LATE_SENDS = 3
MEASURED_S = 6
BACKGROUND_CLIENTS = 6
ROUTES = [{"name": "read", "authority": "a.example", "prefix": "/read/", "route_type": "idempotent", "timeout_s": 3,
           "target_latency_s": 1, "priority": 1, "max_attempts": 2, "service": "s1"},
          {"name": "write", "authority": "a.example", "prefix": "/write/", "route_type": "non_idempotent",
           "timeout_s": 3, "target_latency_s": 1, "priority": 0, "max_attempts": 1, "service": "s1"}]


class CrashingWorker(FakeWorker):
    """Worker that crashes when it begins to run a request for a path that ends with `/crash`."""

    def __init__(self, *args, **options):
        self.crashed_at = []
        super().__init__(*args, **options)

    def work(self, handler, attempt):
        if not handler.path.endswith("/crash"):
            return super().work(handler, attempt)
        self.crashed_at.append(time.monotonic())
        self.crash(DOWN_S)
        raise ConnectionError("crashed")


class CrashOnPlatformTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = FakeStore("127.0.0.1")
        self.workers = [CrashingWorker("127.0.3.%d" % (index + 1), "s1", "i-%d" % index) for index in range(WORKERS)]
        self.nodes = start_fleet(self, self.folder.name, self.store, self.workers, ROUTES)
        self.ended = threading.Event()

    def send(self, index, path):
        try:
            return self.nodes[index % WORKERS].call(path, "POST")[0]
        except (OSError, http.client.HTTPException):
            return 0

    def run_background(self, first):
        index = first
        while not self.ended.wait(0.02):
            self.send(index, "/read/%d" % index)
            index += BACKGROUND_CLIENTS

    def crashes(self):
        return sorted(at for worker in self.workers for at in worker.crashed_at)

    def send_crashing(self, path):
        """Sends the request again and again through all nodes; returns the sends long after the third crash."""
        index = 0
        end = time.monotonic() + MEASURED_S + CONTACT_S
        while time.monotonic() < end:
            self.send(index, path)
            index += 1
            time.sleep(SEND_INTERVAL_S)
            if index == 30:
                # A new process must learn from the other nodes what crashes workers.
                self.nodes[0].kill()
                self.nodes[0].start()
        crashes = self.crashes()
        if len(crashes) < MAX_CRASHES:
            return []
        return [at for at in crashes if at > crashes[MAX_CRASHES - 1] + CONTACT_S]

    def check(self, path):
        background = [threading.Thread(target=self.run_background, args=(index,)) for index in range(BACKGROUND_CLIENTS)]
        for thread in background:
            thread.start()
        try:
            late = self.send_crashing(path)
        finally:
            self.ended.set()
            for thread in background:
                thread.join()
        self.assertLessEqual(len(late), MAX_LATE_SENDS)
        for index in range(WORKERS):
            self.assertEqual(self.send(index, path), 503)
        # The other requests that ran at the time of a crash are still served.
        for index in range(3 * WORKERS):
            wait_until(lambda index=index: self.send(index, "/read/%d" % index) == 200, 5, "a served request")

    def test_a_request_that_crashes_workers_is_not_sent_without_end(self):
        """Guards against a crashing request that reaches one worker after the other (rule BUDGET)."""
        self.check("/read/crash")

    def test_the_same_for_a_request_that_is_not_repeatable(self):
        self.check("/write/crash")


if __name__ == "__main__":
    unittest.main()
