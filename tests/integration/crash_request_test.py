"""A request that crashes each worker that runs it."""

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
NEIGHBOURS = 8


def topology():
    return Topology("crash", ["bureau"], [Service(
        name="imaging", member="bureau", region="tw-north", zones=["tamsui"], workers=WORKERS, slots=8,
        operations={"render": {"service_ms": 20}}, behaviour={"crash_marker": MARKER})])


def config():
    return {"10-bureau.json": json.dumps({"member": "bureau", "services": [{"name": "imaging", "operations": [
        {"name": "render", "class": "standard", "idempotent": True, "retry_on_unknown": True}]}]})}


class Neighbours:
    """Callers beside the crashing request, each of which sends again until it is served."""

    def __init__(self, addresses, attempts=20):
        self.addresses = addresses
        self.attempts = attempts
        self.stopping = False
        self.served = 0
        self.failed = []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self._run, args=(index,), daemon=True) for index in range(NEIGHBOURS)]

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
            last = self._until_served(body, index + number)
            with self.lock:
                if last.outcome == "completed":
                    self.served += 1
                else:
                    self.failed.append((body, last.outcome, last.reason))

    def _until_served(self, body, first):
        for attempt in range(self.attempts):
            address = self.addresses[(first + attempt) % len(self.addresses)]
            answer = call_once(address, "imaging", "render", body)
            if answer.outcome == "completed":
                break
            time.sleep(0.05)
        return answer


class CrashRequestTest(unittest.TestCase):

    def test_two_workers_at_most_and_neighbours_served(self):
        """Guards against a request that takes down one worker after the other when its caller sends it again,
        also through all nodes at the same moment, and against refusals of requests that ran beside it."""
        with Mesh(topology(), config()) as mesh:
            addresses = [node.addresses["caller"] for node in mesh.nodes.values()]
            neighbours = Neighbours(addresses)
            neighbours.start()
            wait_until(lambda: neighbours.served > 50, 20, "neighbours served")
            body = json.dumps({"key": MARKER})
            call_once(addresses[0], "imaging", "render", body)
            for _ in range(5):
                self._send_through_all(addresses, body)
            self.assertLessEqual(self._lost(mesh), 2)
            before = neighbours.served
            wait_until(lambda: neighbours.served > before + 50, 20, "neighbours served after the crashes")
            neighbours.stop()
            self.assertEqual([], neighbours.failed)
            answer = call_once(addresses[-1], "imaging", "render", body)
            self.assertEqual(("not-run", "quarantined"), (answer.outcome, answer.reason))
            self.assertLessEqual(self._lost(mesh), 2)

    def test_the_restarted_worker_serves_again(self):
        """Guards against a node that goes on refusing after its worker is back."""
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
    def _lost(mesh):
        return sum(not worker.is_running() for worker in mesh.workers.values())


if __name__ == "__main__":
    unittest.main()
