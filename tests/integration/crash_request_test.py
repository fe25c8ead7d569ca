"""A request that crashes every worker that executes it (poison request)."""

import json
import threading
import time
import unittest

from mesh.caller import call_once
from mesh.mesh import Mesh
from mesh.topology import Service, Topology
from mesh.wait import wait_until

MARKER = "poison"
WORKERS = 4
BACKGROUND_CALLERS = 8


def topology():
    return Topology("crash", ["bureau"], [Service(
        name="imaging", member="bureau", region="tw-north", zones=["tamsui"], workers=WORKERS, slots=8,
        operations={"render": {"service_ms": 20}}, behaviour={"crash_marker": MARKER})])


def config():
    return {"10-bureau.json": json.dumps({"member": "bureau", "services": [{"name": "imaging", "operations": [
        {"name": "render", "class": "standard", "idempotent": True, "retry_on_unknown": True}]}]})}


class BackgroundCallers:
    """Concurrent callers of harmless requests. Each request is resent until it completes."""

    def __init__(self, addresses, attempts=20):
        self.addresses = addresses
        self.attempts = attempts
        self.stopping = False
        self.served = 0
        self.failed = []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self._run, args=(index,), daemon=True)
                        for index in range(BACKGROUND_CALLERS)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()

    def _run(self, index):
        number = 0
        while not self.stopping:
            number += 1
            body = json.dumps({"key": f"n{index}-{number}"})
            last = self._call_until_served(body, index + number)
            with self.lock:
                if last.outcome == "completed":
                    self.served += 1
                else:
                    self.failed.append((body, last.outcome, last.reason))

    def _call_until_served(self, body, first):
        for attempt in range(self.attempts):
            address = self.addresses[(first + attempt) % len(self.addresses)]
            answer = call_once(address, "imaging", "render", body)
            if answer.outcome == "completed":
                break
            time.sleep(0.05)
        return answer


class CrashRequestTest(unittest.TestCase):

    def test_two_workers_at_most_crash_and_other_requests_are_served(self):
        """Guards against a request that crashes one worker after the other when its caller resends it, also through
        all nodes concurrently, and against refusals of the requests that ran concurrently with it."""
        with Mesh(topology(), config()) as mesh:
            addresses = [node.addresses["caller"] for node in mesh.nodes.values()]
            background = BackgroundCallers(addresses)
            background.start()
            wait_until(lambda: background.served > 50, 20, "background requests served")
            body = json.dumps({"key": MARKER})
            call_once(addresses[0], "imaging", "render", body)
            for _ in range(5):
                self._send_through_all(addresses, body)
            self.assertLessEqual(self._crashed_workers(mesh), 2)
            before = background.served
            wait_until(lambda: background.served > before + 50, 20, "background requests served after the crashes")
            background.stop()
            self.assertEqual([], background.failed)
            answer = call_once(addresses[-1], "imaging", "render", body)
            self.assertEqual(("not-run", "quarantined"), (answer.outcome, answer.reason))
            self.assertLessEqual(self._crashed_workers(mesh), 2)

    def test_the_restarted_worker_serves_again(self):
        """Guards against a node that keeps refusing calls after its worker has been restarted."""
        with Mesh(topology(), config()) as mesh:
            vm = mesh.vms["imaging-0"]
            port = mesh.workers["imaging-0"].addresses["address"].rsplit(":", 1)[1]
            mesh.workers["imaging-0"].kill()
            address = mesh.nodes["imaging-0"].addresses["caller"]
            call_once(address, "imaging", "render", json.dumps({"key": "a"}))
            worker = mesh.start_worker(vm, port)
            worker.wait_ready()

            def runs():
                call_once(address, "imaging", "render", json.dumps({"key": str(time.monotonic())}))
                from mesh.http import get_json
                return get_json(worker.addresses["address"], "/stats")["finished"] > 0

            wait_until(runs, 20, "work on the restarted worker")

    @staticmethod
    def _send_through_all(addresses, body):
        threads = [threading.Thread(target=call_once, args=(address, "imaging", "render", body))
                   for address in addresses for _ in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    @staticmethod
    def _crashed_workers(mesh):
        return sum(not worker.is_running() for worker in mesh.workers.values())


if __name__ == "__main__":
    unittest.main()
