"""Restart of all nodes under load while an inner service is short of capacity, with real nodes."""

import concurrent.futures
import http.client
import tempfile
import threading
import time
import unittest
import uuid

from mesh.platform_fakes import FakeStore, FakeWorker
from mesh.sidecar import start_fleet
from mesh.wait import wait_until

OUTER_SLOTS = 400
INNER_SLOTS = 8
INNER_CALLS = 4
INNER_WORK_S = 0.04
OUTER_WORK_S = 0.1
TIME_LIMIT_S = 1
# Twice what the inner service can serve.
REQUESTS_PER_S = 2 * INNER_SLOTS / (INNER_CALLS * INNER_WORK_S)
INNER_START_DELAY_S = 4
# The goal holds from this time after the inner service is back.
RECOVERY_S = 2
MEASURED_S = 6
# Share of requests that the platform's rule RECOVER requires.
MIN_SERVED_SHARE = 0.25
MAX_WASTED_SHARE = 0.05
ROUTE = {"authority": "a.example", "route_type": "idempotent", "timeout_s": TIME_LIMIT_S,
         "target_latency_s": TIME_LIMIT_S, "priority": 1, "max_attempts": 1}
ROUTES = [dict(ROUTE, name="outer", prefix="/outer/", service="s1"),
          dict(ROUTE, name="inner", prefix="/inner/", service="s2", timeout_s=0.7)]


class CallingWorker(FakeWorker):
    """Worker whose requests call the inner service several times, one call after the other."""

    def work(self, handler, attempt):
        time.sleep(self.work_s)
        for index in range(INNER_CALLS):
            connection = http.client.HTTPConnection(self.host, 18304, timeout=TIME_LIMIT_S)
            try:
                connection.request("GET", "/inner/x", headers={
                    "Host": "a.example", "Attempt-Id": "%s.%d" % (attempt, index),
                    "Deadline-Ms": handler.headers["Deadline-Ms"], "Caller-Service": self.service})
                status = connection.getresponse().status
            except (OSError, http.client.HTTPException):
                status = 0
            finally:
                connection.close()
            if status != 200:
                return 500
        return 200


class FleetRestartTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = FakeStore("127.0.0.1")
        self.workers = [CallingWorker("127.0.2.%d" % (index + 1), "s1", "i-%d" % index,
                                      work_s=OUTER_WORK_S, slots=OUTER_SLOTS) for index in range(3)]
        self.inner = FakeWorker("127.0.2.4", "s2", "i-3", work_s=INNER_WORK_S, slots=INNER_SLOTS)
        self.workers.append(self.inner)
        self.nodes = start_fleet(self, self.folder.name, self.store, self.workers, ROUTES)
        self.lock = threading.Lock()
        # (time of arrival, attempt id, status) of each request.
        self.results = []
        self.load_ended = threading.Event()

    def request(self, index):
        arrived = time.monotonic()
        attempt = uuid.uuid4().hex
        node = self.nodes[index % len(self.nodes)]
        try:
            status = node.get(node.caller, "/outer/x", "a.example", attempt=attempt,
                              timeout=TIME_LIMIT_S)[0]
        except (OSError, http.client.HTTPException):
            status = 0
        with self.lock:
            self.results.append((arrived, attempt, status))

    def run_load(self):
        start = time.monotonic()
        index = 0
        with concurrent.futures.ThreadPoolExecutor(200) as pool:
            while not self.load_ended.is_set():
                due = int((time.monotonic() - start) * REQUESTS_PER_S)
                while index < due:
                    pool.submit(self.request, index)
                    index += 1
                time.sleep(0.01)

    def measure(self, begin):
        """Checks the requests that arrive in MEASURED_S after begin."""
        time.sleep(max(0, begin + MEASURED_S + TIME_LIMIT_S + 0.5 - time.monotonic()))
        with self.lock:
            requests = [entry for entry in self.results if begin <= entry[0] < begin + MEASURED_S]
        served = {attempt for _, attempt, status in requests if status == 200}
        asked = {attempt for _, attempt, _ in requests}
        calls = [run[0].split(".")[0] for run in list(self.inner.runs)]
        calls = [attempt for attempt in calls if attempt in asked]
        wasted = [attempt for attempt in calls if attempt not in served]
        self.assertGreaterEqual(len(served), MIN_SERVED_SHARE * len(requests))
        self.assertLessEqual(len(wasted), MAX_WASTED_SHARE * len(calls))

    def test_all_nodes_restart_and_the_inner_service_is_late(self):
        """Guards against an overload that sustains itself after a restart of all nodes."""
        load = threading.Thread(target=self.run_load)
        load.start()
        try:
            time.sleep(1)
            for node in self.nodes:
                node.kill()
            for node in self.nodes[:-1]:
                node.start()
            time.sleep(INNER_START_DELAY_S)
            self.nodes[-1].start()
            wait_until(self.nodes[-1].is_ready, 10, "readiness of the inner service's node")
            self.measure(time.monotonic() + RECOVERY_S)
        finally:
            self.load_ended.set()
            load.join()


if __name__ == "__main__":
    unittest.main()
