"""End-to-end tests on the users' platform, with real nodes, a fake store and fake workers."""

import http.client
import os
import signal
import tempfile
import threading
import time
import unittest
import uuid

from mesh.platform_fakes import FakeStore, FakeWorker, config
from mesh.sidecar import Sidecar
from mesh.wait import wait_until

READ = {"name": "read", "authority": "a.example", "prefix": "/read/", "route_type": "idempotent",
        "timeout_s": 3, "target_latency_s": 1, "priority": 1, "max_attempts": 2, "service": "s1"}
WRITE = {"name": "write", "authority": "a.example", "prefix": "/write/",
         "route_type": "non_idempotent", "timeout_s": 3, "target_latency_s": 1, "priority": 0,
         "max_attempts": 1, "service": "s1"}


class PlatformPathTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = FakeStore("127.0.0.1")
        self.workers = [FakeWorker("127.0.1.%d" % (index + 1), "s1" if index < 2 else "s2",
                               "i-%d" % index) for index in range(3)]
        self.store_addresses = [self.store.add_server()[1] for _ in self.workers]
        self.nodes = [Sidecar(index, self.folder.name, self.store_addresses[index], worker)
                      for index, worker in enumerate(self.workers)]
        for node in self.nodes:
            node.start()
            self.addCleanup(lambda node=node: node.process.is_running() and node.kill())

    def serve(self):
        for worker in self.workers:
            self.store.put("servers/" + worker.instance, worker.entry())
        self.store.put("op/config", config(1, [READ, WRITE]))
        for node in self.nodes:
            wait_until(node.is_ready, 10, "readiness of " + node.name)

    def runs(self, attempt):
        return [run for worker in self.workers for run in worker.runs if run[0] == attempt]

    def test_requests_are_served_whole_by_every_node(self):
        wait_until(lambda: self.store.server and self.refused_without_config(), 10, "a listening node")
        self.serve()
        for node in self.nodes:
            attempt = uuid.uuid4().hex
            status, body, headers = node.call("/write/x?q=1", "POST", attempt)
            self.assertEqual(status, 200)
            self.assertTrue(body.endswith(attempt + "body"), body)
            self.assertEqual(headers["Response-Stamp"], "stamp-" + attempt)
            self.assertEqual([run[1:4] for run in self.runs(attempt)],
                             [("POST", "/write/x?q=1", node.worker.service)])
            self.assertEqual(node.call("/none/")[0], 404)
        status, text, _ = self.nodes[0].get(("127.0.1.1", 9464), "/metrics", "x")
        self.assertEqual(status, 200)
        self.assertIn("boragepaddle_requests_total{side=\"entry\"", text)

    def refused_without_config(self):
        try:
            return self.nodes[0].call("/read/x")[0] == 503
        except OSError:
            return False

    def test_a_change_is_in_force_on_every_node_and_survives_an_outage(self):
        self.serve()
        self.store.put("op/config", config(2, [dict(READ, service="s2"), WRITE]))
        for node in self.nodes:
            wait_until(lambda node=node: "i-2:" in node.call("/read/x")[1], 2, "the new route")
        self.store.compact()
        self.store.put("op/config", config(3, [WRITE]))
        for node in self.nodes:
            wait_until(lambda node=node: node.call("/read/x")[0] == 404, 2, "the dropped route")
        self.store.set_down(True)
        time.sleep(0.3)
        for node in self.nodes:
            self.assertEqual(node.call("/write/x", "POST")[0], 200)
            self.assertTrue(node.is_ready())
        self.store.set_down(False)
        self.store.put("op/config", config(4, [READ, WRITE]))
        for node in self.nodes:
            wait_until(lambda node=node: node.call("/read/x")[0] == 200, 3, "the route again")

    def test_a_node_without_store_access_is_updated_by_peers(self):
        self.serve()
        self.store.set_refusing(self.store_addresses[0], True)
        time.sleep(0.3)
        self.store.put("op/config", config(2, [dict(READ, service="s2"), WRITE]))
        wait_until(lambda: "i-2:" in self.nodes[0].call("/read/x")[1], 2, "the new route")
        self.store.put("servers/i-1", self.workers[1].entry("draining"))
        time.sleep(0.6)
        before = len(self.workers[1].runs)
        for _ in range(20):
            self.assertEqual(self.nodes[0].call("/write/x", "POST")[0], 200)
        self.assertEqual(len(self.workers[1].runs), before)
        # The node restarts while it has no access to the store.
        self.nodes[0].kill()
        self.nodes[0].start()
        wait_until(self.nodes[0].is_ready, 10, "readiness with state from another node")
        self.assertIn("i-2:", self.nodes[0].call("/read/x")[1])

    def test_a_restart_with_stale_reads_restores_no_removed_worker_or_route(self):
        """The first read of a restarted process may return stale state."""
        self.serve()
        self.store.capture_stale_snapshot()
        self.store.remove("servers/i-1")
        self.store.put("op/config", config(2, [READ]))
        time.sleep(0.5)
        self.nodes[0].kill()
        before = len(self.workers[1].runs)
        self.nodes[0].start()
        wait_until(self.nodes[0].is_ready, 10, "readiness after the restart")
        for _ in range(20):
            self.assertEqual(self.nodes[0].call("/read/x")[0], 200)
            self.assertEqual(self.nodes[0].call("/write/x", "POST")[0], 404)
        self.assertEqual(len(self.workers[1].runs), before)

    def test_a_leaving_worker_gets_no_new_work(self):
        self.serve()
        self.store.put("servers/i-0", self.workers[0].entry("draining"))
        time.sleep(0.5)
        before = len(self.workers[0].runs)
        for _ in range(20):
            for node in self.nodes:
                self.assertEqual(node.call("/read/x")[0], 200)
        self.assertEqual(len(self.workers[0].runs), before)

    def test_requests_to_a_replaced_instance_are_not_executed(self):
        self.serve()
        # The store still lists the old instance.
        self.workers[0].instance = "i-new"
        before = len(self.workers[0].runs)
        for _ in range(10):
            for node in self.nodes:
                attempt = uuid.uuid4().hex
                status = node.call("/write/x", "POST", attempt)[0]
                self.assertIn(status, (200, 503))
                self.assertEqual(len(self.runs(attempt)), 1 if status == 200 else 0)
        self.assertEqual(len(self.workers[0].runs), before)

    def test_a_status_of_the_worker_does_not_state_that_the_request_did_not_run(self):
        """The worker has run the request and answers 503, without the field that marks a rejection."""
        self.serve()
        for worker in self.workers:
            worker.work = lambda handler, attempt: 503
        for node in self.nodes:
            attempt = uuid.uuid4().hex
            self.assertEqual(node.call("/write/x", "POST", attempt)[0], 502)
            self.assertEqual(len(self.runs(attempt)), 1)

    def load(self, seconds, results):
        end = time.monotonic() + seconds

        def client(node):
            while time.monotonic() < end:
                attempt = uuid.uuid4().hex
                try:
                    status = node.call("/write/x", "POST", attempt)[0]
                except (OSError, http.client.HTTPException):
                    status = 0
                results.append((node.name, attempt, status))

        threads = [threading.Thread(target=client, args=(node,)) for node in self.nodes * 4]
        for thread in threads:
            thread.start()
        return threads

    def check_execution_guarantees(self, results):
        for _, attempt, status in results:
            runs = len(self.runs(attempt))
            self.assertLessEqual(runs, 1, attempt)
            if status == 200:
                self.assertEqual(runs, 1, attempt)
            if status in (429, 503):
                self.assertEqual(runs, 0, attempt)

    def test_a_killed_node_fails_only_its_own_requests(self):
        self.serve()
        results = []
        threads = self.load(3, results)
        time.sleep(1)
        self.nodes[0].kill()
        self.nodes[0].start()
        for thread in threads:
            thread.join()
        self.check_execution_guarantees(results)
        others = [status for name, _, status in results if name != "node0"]
        self.assertGreater(len([status for status in others if status == 200]), len(others) * 0.9)
        wait_until(self.nodes[0].is_ready, 5, "readiness after the restart")

    def test_a_reload_signal_during_the_start_does_not_end_the_process(self):
        """A node that starts is sent SIGHUP before it has read its settings."""
        with open(self.nodes[0].settings, encoding="utf-8") as settings:
            text = settings.read()
        pipe = os.path.join(self.folder.name, "settings.pipe")
        os.mkfifo(pipe)
        self.nodes[0].kill()
        self.nodes[0].settings = pipe
        self.nodes[0].start()
        process = self.nodes[0].process
        # Opening the pipe for writing waits until the process reads it.
        with open(pipe, "w", encoding="utf-8") as writer:
            process.popen.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            writer.write(text)
        time.sleep(0.3)
        self.assertTrue(process.is_running(), process.popen.returncode)

    def test_a_planned_stop_ends_no_request_that_was_read(self):
        self.serve()
        results = []
        threads = self.load(2, results)
        time.sleep(0.5)
        self.nodes[1].process.popen.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.check_execution_guarantees(results)
        self.assertEqual([entry for entry in results if entry[2] not in (200, 503)], [])
        self.assertEqual(self.nodes[1].process.popen.wait(7), 0)


if __name__ == "__main__":
    unittest.main()
