"""The store is away for a moment and comes back from an older copy: what was written since is lost, revisions are given
out again, and its era rises. Real nodes, a fake store and fake workers."""

import signal
import tempfile
import time
import unittest

from mesh.platform_fakes import FakeStore, FakeWorker, config
from mesh.sidecar import start_fleet
from mesh.wait import wait_until

READ = {"name": "read", "authority": "a.example", "prefix": "/read/", "route_type": "idempotent",
        "timeout_s": 3, "target_latency_s": 1, "priority": 1, "max_attempts": 2, "service": "s1"}
MOVED = dict(READ, service="s2")
WRITE = dict(READ, name="write", prefix="/write/", route_type="non_idempotent", max_attempts=1)
ADDED = dict(READ, name="added", prefix="/added/")
# From the users' bounds.
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
CONTACT_S = 3.0
# Time within which live workers have written their entries again.
REWRITE_S = 1.0
MAX_READINGS_PER_NODE = 3


class StoreReturnCase(unittest.TestCase):
    """Four nodes; the workers of two run the service s1, those of the others s2."""

    accounts = None
    first_era = 1

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = FakeStore("127.0.0.1")
        self.store.era = self.first_era
        self.workers = [FakeWorker("127.0.1.%d" % (index + 1), "s1" if index < 2 else "s2", "i-%d" % index)
                        for index in range(4)]
        self.nodes = start_fleet(self, self.folder.name, self.store, self.workers, [READ, WRITE], self.accounts)
        self.version = 1

    def publish(self, *routes):
        self.version += 1
        self.store.put("op/config", config(self.version, routes, self.accounts))

    def register(self, worker, state="ready"):
        self.store.put("servers/" + worker.instance, worker.entry(state))

    def service_of(self, node, path="/read/x"):
        """Service that runs a request, or the status of the failure."""
        status, body, _ = node.call(path)
        if status != 200:
            return status
        return next(worker.service for worker in self.workers if body.startswith(worker.instance + ":"))

    def wait_for(self, expected, path="/read/x", nodes=None, timeout_s=CONFIG_APPLY_S):
        end = time.monotonic() + timeout_s
        for node in nodes or self.nodes:
            wait_until(lambda node=node: self.service_of(node, path) == expected, max(0.01, end - time.monotonic()),
                       "%s from %s at %s" % (expected, path, node.name))

    def publish_six_changes(self):
        """Six versions move a route to s2 and back; the last one leaves it at s2."""
        for _ in range(3):
            self.publish(READ, WRITE)
            self.publish(MOVED, WRITE)
        self.wait_for("s2")

    def lose_six_changes(self):
        copy = self.store.copy()
        self.publish_six_changes()
        return self.store.return_from_copy(copy)

    def restart(self, node):
        node.kill()
        node.start()
        wait_until(node.is_ready, 10, "readiness after the restart")

    def rewrite_configuration(self, *routes):
        """The operator writes the newest version again."""
        self.version -= 1
        self.publish(*routes)

    def call_all_until(self, end, path="/read/x"):
        """Calls every node at least once, and until the time; all calls are served."""
        while True:
            for node in self.nodes:
                self.assertEqual(node.call(path)[0], 200, node.name)
            if time.monotonic() >= end:
                return
            time.sleep(0.02)


class StoreReturnTest(StoreReturnCase):
    def test_the_next_change_is_in_force_in_time(self):
        """Guards against nodes that drop all changes until the revision has passed the highest one before the return."""
        self.lose_six_changes()
        time.sleep(0.2)
        self.publish(READ, WRITE)
        self.wait_for("s1")

    def test_a_route_of_a_lost_version_ends_with_the_next_one(self):
        copy = self.store.copy()
        self.publish(READ, WRITE, ADDED)
        self.wait_for("s1", "/added/x")
        self.store.return_from_copy(copy)
        self.publish(READ, WRITE)
        self.wait_for(404, "/added/x")

    def test_a_lost_version_stays_in_force_until_the_operator_writes_again(self):
        """Guards against requests that are handled as only an older version allows."""
        returned = self.lose_six_changes()
        while time.monotonic() < returned + CONFIG_APPLY_S:
            for node in self.nodes:
                self.assertEqual(self.service_of(node), "s2", node.name)
        self.rewrite_configuration(MOVED, WRITE)
        time.sleep(0.5)
        for node in self.nodes:
            self.assertEqual(self.service_of(node), "s2", node.name)
        self.publish(READ, WRITE)
        self.wait_for("s1")

    def test_lost_versions_that_are_written_again_one_by_one_undo_nothing(self):
        """Guards against a return to each older version while the operator repeats its writes."""
        self.lose_six_changes()
        newest, self.version = self.version, self.version - 6
        while self.version < newest:
            self.publish(*((READ if self.version + 1 < newest else MOVED), WRITE))
            end = time.monotonic() + 0.5
            while time.monotonic() < end:
                for node in self.nodes:
                    self.assertEqual(self.service_of(node), "s2", node.name)
        self.publish(READ, WRITE)
        self.wait_for("s1")

    def test_a_restarted_node_takes_the_state_of_the_newest_era(self):
        """Guards against peers that hand the state from before the return to a new process."""
        self.lose_six_changes()
        self.publish(READ, WRITE)
        self.wait_for("s1")
        self.restart(self.nodes[0])
        self.assertEqual(self.service_of(self.nodes[0]), "s1")
        self.publish(MOVED, WRITE)
        self.wait_for("s2")

    def test_a_restarted_node_learns_of_a_lost_version_from_its_peers(self):
        """Guards against a new process that undoes a version which the operator has not written again yet."""
        self.lose_six_changes()
        self.restart(self.nodes[0])
        self.assertEqual(self.service_of(self.nodes[0]), "s2")

    def test_a_stale_read_under_the_new_era_replaces_nothing(self):
        """Guards against a new process that takes a cheap read of before the return for the newest state, and spreads it."""
        copy = self.store.copy()
        self.publish_six_changes()
        self.store.capture_stale_snapshot()
        self.store.return_from_copy(copy)
        time.sleep(0.3)
        self.restart(self.nodes[0])
        self.publish(READ, WRITE)
        self.wait_for("s1")
        time.sleep(3)
        self.wait_for("s1", timeout_s=0.5)

    def test_a_lost_version_outlasts_an_outage_that_follows(self):
        """Guards against the end of a lost version while the operator cannot write it again."""
        self.lose_six_changes()
        time.sleep(0.5)
        self.store.set_down(True)
        time.sleep(5)
        self.wait_for("s2", timeout_s=0.5)
        self.store.set_down(False)
        self.rewrite_configuration(MOVED, WRITE)
        time.sleep(1)
        self.wait_for("s2", timeout_s=0.5)
        self.publish(READ, WRITE)
        self.wait_for("s1")

    def test_a_worker_that_said_it_leaves_gets_no_new_work(self):
        """Guards against the restored entry of a worker whose report that it leaves was lost."""
        copy = self.store.copy()
        self.register(self.workers[0], "draining")
        time.sleep(0.6)
        returned = self.store.return_from_copy(copy)
        before = len(self.workers[0].runs)
        self.call_all_until(returned + REWRITE_S)
        self.register(self.workers[0], "draining")
        self.call_all_until(returned + REWRITE_S + 0.6)
        self.store.remove("servers/i-0")
        self.call_all_until(returned + REWRITE_S + 1.2)
        self.assertEqual(len(self.workers[0].runs), before)

    def test_a_worker_that_leaves_after_the_return_gets_no_new_work(self):
        self.lose_six_changes()
        for worker in self.workers:
            self.register(worker)
        self.publish(READ, WRITE)
        self.wait_for("s1")
        self.register(self.workers[0], "draining")
        time.sleep(0.6)
        before = len(self.workers[0].runs)
        self.call_all_until(time.monotonic() + 1)
        self.assertEqual(len(self.workers[0].runs), before)

    def test_a_worker_that_was_gone_gets_no_new_work(self):
        """Guards against the restored entry of a worker that ended before the return."""
        copy = self.store.copy()
        self.store.remove("servers/i-0")
        time.sleep(0.6)
        returned = self.store.return_from_copy(copy)
        before = len(self.workers[0].runs)
        self.call_all_until(returned + REWRITE_S)
        self.store.remove("servers/i-0")
        self.call_all_until(returned + REWRITE_S + 0.6)
        self.assertEqual(len(self.workers[0].runs), before)

    def test_a_node_that_starts_after_a_worker_was_gone_gives_it_no_work(self):
        """Guards against the restored entry at a process that has never seen the worker, though it was in touch for
        CONTACT_S before the store went away."""
        copy = self.store.copy()
        self.store.remove("servers/i-0")
        time.sleep(0.6)
        self.restart(self.nodes[1])
        time.sleep(CONTACT_S)
        returned = self.store.return_from_copy(copy)
        before = len(self.workers[0].runs)
        self.call_all_until(returned + REWRITE_S)
        self.assertEqual(len(self.workers[0].runs), before)

    def test_a_worker_whose_removal_was_lost_is_used_again_if_it_lives(self):
        """Guards against losing a worker for good whose entry had expired only for a moment."""
        copy = self.store.copy()
        self.store.remove("servers/i-0")
        time.sleep(0.6)
        self.store.return_from_copy(copy)
        before = len(self.workers[0].runs)
        # A live worker changes only its sequence, which changes no entry.
        wait_until(lambda: self.call_all_until(0) or len(self.workers[0].runs) > before, 10, "work for the worker")

    def test_workers_that_the_copy_lacks_are_kept_until_they_register_again(self):
        """Guards against a service without workers in the first seconds after the return."""
        copy = self.store.copy()
        for worker in self.workers[:2]:
            del copy.items["servers/" + worker.instance]
        returned = self.store.return_from_copy(copy)
        self.call_all_until(returned + REWRITE_S)
        for worker in self.workers:
            self.register(worker)
        self.call_all_until(returned + REWRITE_S + 2)

    def test_few_readings_follow_the_return(self):
        """Guards against watches that get 410 again and again, each followed by a list."""
        returned = self.lose_six_changes()
        time.sleep(1.2)
        calls = self.store.calls_between(returned, returned + 1)
        self.assertLessEqual(len(calls), MAX_READINGS_PER_NODE * len(self.nodes), calls)

    def test_a_frozen_node_follows_after_the_return(self):
        copy = self.store.copy()
        self.publish(MOVED, WRITE)
        self.wait_for("s2")
        self.nodes[0].process.popen.send_signal(signal.SIGSTOP)
        self.store.return_from_copy(copy)
        self.publish(READ, WRITE)
        time.sleep(0.5)
        self.nodes[0].process.popen.send_signal(signal.SIGCONT)
        self.wait_for("s1")

    def test_two_returns_in_a_row(self):
        copy = self.store.copy()
        self.lose_six_changes()
        self.store.return_from_copy(copy)
        self.publish(READ, WRITE)
        self.wait_for("s1")
        self.publish(MOVED, WRITE)
        self.wait_for("s2")

    def test_eras_that_make_no_sense_change_nothing(self):
        """Guards against crashes, loops and lost state when the header is missing, no number or lower than before."""
        self.publish(MOVED, WRITE)
        self.wait_for("s2")
        for text in (None, "x", "", "-1", "0", "99999999999999999999999", "1.5"):
            with self.store.condition:
                self.store.era_texts = {None: text}
            begin = time.monotonic()
            time.sleep(1)
            self.assertLessEqual(len(self.store.calls_between(begin, begin + 1)), 8 * len(self.nodes), text)
            for node in self.nodes:
                self.assertEqual(self.service_of(node), "s2", text)
        with self.store.condition:
            self.store.era_texts = {}
            # The next era jumps by more than one.
            self.store.era += 6
        self.publish(READ, WRITE)
        self.wait_for("s1")


class FirstEraTest(StoreReturnCase):
    """Guards against an era 0 that is taken for none: the pages do not say where eras begin."""

    first_era = 0

    def test_the_next_change_is_in_force_in_time(self):
        self.lose_six_changes()
        self.publish(READ, WRITE)
        self.wait_for("s1")
        self.restart(self.nodes[0])
        self.publish(MOVED, WRITE)
        self.wait_for("s2")


class LostKeyTest(StoreReturnCase):
    accounts = [{"name": "acme", "api_keys": ["key-old", "key-new"]}]

    def service_of(self, node, path="/read/x"):
        status, body, _ = node.call(path, fields={"Authorization": "Token key-new"})
        if status != 200:
            return status
        return next(worker.service for worker in self.workers if body.startswith(worker.instance + ":"))

    def test_a_key_that_was_taken_away_stays_away(self):
        """Guards against a key that the restored configuration still holds."""
        copy = self.store.copy()
        self.accounts = [{"name": "acme", "api_keys": ["key-new"]}]
        self.publish(READ, WRITE)
        old = {"Authorization": "Token key-old"}
        for node in self.nodes:
            wait_until(lambda node=node: node.call("/read/x", fields=old)[0] == 401, CONFIG_APPLY_S, "401")
        returned = self.store.return_from_copy(copy)
        while time.monotonic() < returned + CONFIG_APPLY_S:
            for node in self.nodes:
                self.assertEqual(node.call("/read/x", fields=old)[0], 401, node.name)
        self.restart(self.nodes[0])
        self.assertEqual(self.nodes[0].call("/read/x", fields=old)[0], 401)
        self.rewrite_configuration(READ, WRITE)
        time.sleep(0.5)
        for node in self.nodes:
            self.assertEqual(node.call("/read/x", fields=old)[0], 401, node.name)


if __name__ == "__main__":
    unittest.main()
