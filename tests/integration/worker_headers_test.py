"""What workers ask for in the header fields of their answers, on the users' platform with real nodes."""

import http.client
import tempfile
import threading
import time
import unittest

from mesh.platform_fakes import FakeStore, FakeWorker
from mesh.sidecar import start_fleet
from mesh.wait import wait_until

WORKERS = 3
CLIENTS = 12
# Times and allowances of the users' rules LIMIT and DRAIN.
CONTACT_S = 3
LIMIT_WINDOW_S = 4
LIMIT_FACTOR = 1.5
LIMIT_ALLOWANCE = 5
DRAIN_S = 2
LIMIT_PER_S = 12.5
ROUTES = [{"name": "read", "authority": "a.example", "prefix": "/read/", "route_type": "idempotent", "timeout_s": 3,
           "target_latency_s": 1, "priority": 1, "max_attempts": 2, "service": "s1"}]


class TimedWorker(FakeWorker):
    """Worker that records when requests arrive, and from which node."""

    def __init__(self, *args, **options):
        self.arrivals = []
        super().__init__(*args, **options)

    def work(self, handler, attempt):
        self.arrivals.append((time.monotonic(), int(handler.path.rsplit("/", 1)[1]) % WORKERS))
        return super().work(handler, attempt)


class WorkerHeadersTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = FakeStore("127.0.0.1")
        self.workers = [TimedWorker("127.0.4.%d" % (index + 1), "s1", "i-%d" % index, slots=40)
                        for index in range(WORKERS)]
        self.nodes = start_fleet(self, self.folder.name, self.store, self.workers, ROUTES)
        self.ended = threading.Event()
        self.served = [0] * CLIENTS
        self.clients = [threading.Thread(target=self.run_client, args=(index,)) for index in range(CLIENTS)]
        for client in self.clients:
            client.start()
        self.addCleanup(self.stop_clients)
        wait_until(lambda: all(worker.arrivals for worker in self.workers), 10, "requests at each worker")

    def stop_clients(self):
        self.ended.set()
        for client in self.clients:
            client.join()

    def run_client(self, index):
        node = index
        while not self.ended.is_set():
            node += 1
            try:
                status = self.nodes[node % WORKERS].call("/read/%d" % node)[0]
            except (OSError, http.client.HTTPException):
                status = 0
            self.served[index] += status == 200

    def check_limit(self, worker, begin):
        arrivals = [at for at, _ in worker.arrivals if at > begin]
        allowed = LIMIT_PER_S * LIMIT_WINDOW_S * LIMIT_FACTOR + LIMIT_ALLOWANCE
        for first in arrivals:
            count = sum(first <= at < first + LIMIT_WINDOW_S for at in arrivals)
            self.assertLessEqual(count, allowed)

    def test_a_worker_gets_no_more_than_it_names(self):
        """Guards against more requests at a worker than its Server-Limit allows (rule LIMIT)."""
        worker = self.workers[0]
        worker.answer_fields = {"Server-Limit": str(LIMIT_PER_S)}
        named_at = time.monotonic()
        time.sleep(CONTACT_S + LIMIT_WINDOW_S + 1)
        # The others were told and stay bound while the node beside the worker is replaced by a new process.
        self.nodes[0].kill()
        self.nodes[0].start()
        time.sleep(LIMIT_WINDOW_S + 1)
        self.check_limit(worker, named_at + CONTACT_S)
        served = sum(self.served)
        worker.answer_fields = {}
        time.sleep(1)
        before = len(worker.arrivals)
        time.sleep(LIMIT_WINDOW_S)
        # The worker no longer names a limit.
        self.assertGreater(len(worker.arrivals) - before, 2 * LIMIT_PER_S * LIMIT_WINDOW_S)
        self.assertGreater(sum(self.served), served)

    def test_a_worker_that_says_it_leaves_gets_no_new_work(self):
        """Guards against requests to a worker whose answers say that it leaves while it is still listed (rule DRAIN)."""
        worker = self.workers[0]
        worker.answer_fields = {"Server-Leaving": "1"}
        named_at = time.monotonic()
        time.sleep(DRAIN_S + 1)
        # The others were told and stay bound while the node beside the worker is replaced by a new process.
        self.nodes[0].kill()
        restarted_at = time.monotonic()
        self.nodes[0].start()
        time.sleep(3)
        late = [(at, node) for at, node in worker.arrivals if at > named_at + DRAIN_S]
        # The new process was not told and may send until its first answer.
        self.assertEqual([entry for entry in late if entry[1] != 0 or entry[0] < restarted_at], [])
        self.assertEqual([at for at, _ in late if at > restarted_at + DRAIN_S], [])


if __name__ == "__main__":
    unittest.main()
