"""Fixture for requests that crash workers on the users' platform, with real nodes, a fake store and fake workers."""

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
RESTARTED_AFTER_SENDS = 30


def routes(authority, suffix=""):
    """Routes to the service of the crashing workers, one repeatable and one not."""
    return [{"name": "read" + suffix, "authority": authority, "prefix": "/read/", "route_type": "idempotent",
             "timeout_s": 3, "target_latency_s": 1, "priority": 1, "max_attempts": 2, "service": "s1"},
            {"name": "write" + suffix, "authority": authority, "prefix": "/write/", "route_type": "non_idempotent",
             "timeout_s": 3, "target_latency_s": 1, "priority": 0, "max_attempts": 1, "service": "s1"}]


class CrashingWorker(FakeWorker):
    """Worker that crashes when it begins to run a crashing request."""

    def __init__(self, *args, is_crashing, **options):
        self.crashed_at = []
        self.is_crashing = is_crashing
        self.store = None
        super().__init__(*args, **options)

    def work(self, handler, attempt):
        if not self.is_crashing(handler):
            return super().work(handler, attempt)
        self.crashed_at.append(time.monotonic())
        self.end(handler)
        raise ConnectionError("crashed")

    def end(self, handler):
        """The end of the worker, and its return."""
        self.crash(DOWN_S)


class CrashingRequestFixture(unittest.TestCase):
    """Four workers of `s1`, the nodes beside them, and nodes of `s2` whose workers only make calls."""

    OTHER_CALLERS = 0
    WORKER = CrashingWorker
    BACKGROUND_CLIENTS = 6
    # Time after which the client of a crashing request leaves, and the time limit that it states.
    CRASHING_CLIENT_S = 5
    CRASHING_LIMIT_S = 3

    def is_crashing(self, handler):
        """Whether a request crashes the worker that begins to run it."""
        return handler.path.endswith("/crash")

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = FakeStore("127.0.0.1")
        self.workers = [self.WORKER("127.0.3.%d" % (index + 1), "s1", "i-%d" % index, is_crashing=self.is_crashing)
                        for index in range(WORKERS)]
        for worker in self.workers:
            worker.store = self.store
        callers = [FakeWorker("127.0.3.%d" % (WORKERS + index + 1), "s2", "c-%d" % index)
                   for index in range(self.OTHER_CALLERS)]
        nodes = start_fleet(self, self.folder.name, self.store, self.workers + callers,
                            routes("a.example") + routes("b.example", "-b"))
        self.nodes = nodes[:WORKERS]
        self.callers = nodes[WORKERS:]
        self.ended = threading.Event()
        self.threads = []

    def send(self, node, path, host="a.example"):
        is_crashing = path.endswith("/crash")
        try:
            return node.get(node.caller, path, host, "POST", timeout=self.CRASHING_CLIENT_S if is_crashing else 5,
                            fields={"Deadline-Ms": "%d" % (self.CRASHING_LIMIT_S * 1000)} if is_crashing else None)[0]
        except (OSError, http.client.HTTPException):
            return 0

    def run_clients(self, count, send):
        """Calls `send` with a growing number in `count` threads until the crashing request has been sent."""

        def run(number):
            while not self.ended.wait(0.02):
                send(number)
                number += count

        for first in range(count):
            self.threads.append(threading.Thread(target=run, args=(first,)))
            self.threads[-1].start()

    def send_crashing(self, path):
        """Sends the request again and again through all nodes of `s1`, of which one restarts meanwhile."""
        sent = 0
        end = time.monotonic() + MEASURED_S + CONTACT_S
        while time.monotonic() < end:
            self.send(self.nodes[sent % WORKERS], path)
            sent += 1
            time.sleep(SEND_INTERVAL_S)
            if sent == RESTARTED_AFTER_SENDS:
                # A new process must learn from the other nodes what crashes workers.
                self.nodes[0].kill()
                self.nodes[0].start()

    def late_sends(self):
        """Runs that began long after the third crash."""
        crashes = sorted(at for worker in self.workers for at in worker.crashed_at)
        if len(crashes) < MAX_CRASHES:
            return []
        return [at for at in crashes if at > crashes[MAX_CRASHES - 1] + CONTACT_S]

    def check(self, path):
        """Sends a crashing request beside others; afterwards it is refused, and the others are served."""
        self.run_clients(self.BACKGROUND_CLIENTS,
                         lambda number: self.send(self.nodes[number % WORKERS], "/read/%d" % number))
        try:
            self.send_crashing(path)
        finally:
            self.ended.set()
            for thread in self.threads:
                thread.join()
        self.assertLessEqual(len(self.late_sends()), MAX_LATE_SENDS)
        for node in self.nodes:
            self.assertEqual(self.send(node, path), 503)
        # The other requests that ran at the time of a crash are still served.
        for index in range(3 * WORKERS):
            wait_until(lambda index=index: self.send(self.nodes[index % WORKERS], "/read/%d" % index) == 200, 5,
                       "a served request")
