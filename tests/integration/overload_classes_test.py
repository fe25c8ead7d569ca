"""Overload of one service with calls of all classes."""

import collections
import dataclasses
import http.client
import json
import random
import threading
import time
import unittest

from mesh.caller import call_once
from mesh.mesh import Mesh
from mesh.topology import Service, Topology

CLASSES = ["member", "standard", "internal", "bulk"]
WORKERS = 2
SLOTS = 4
SERVICE_MS = 50
# Two workers with 4 slots of 50 ms serve 160 calls/s. The member calls fit; all calls together are 3 times that.
RATE_PER_CLASS = 120
SECONDS = 6
# A less important call sent within this time after a refusal must not be admitted.
INVERSION_WINDOW_S = 0.05


def topology():
    return Topology("overload", ["bureau"], [Service(
        name="catalogue", member="bureau", region="tw-north", zones=["tamsui"], workers=WORKERS, slots=SLOTS,
        operations={name: {"service_ms": SERVICE_MS} for name in CLASSES})])


def config():
    return {"10-bureau.json": json.dumps({"member": "bureau", "services": [{"name": "catalogue", "operations": [
        {"name": name, "class": name, "idempotent": True, "retry_on_unknown": True} for name in CLASSES]}]})}


@dataclasses.dataclass
class Sample:
    call_class: int
    sent_at: float
    ended_at: float
    outcome: str
    reason: str


class OpenLoad:
    """Open-loop load: sends at a fixed rate per class, regardless of the responses."""

    def __init__(self, addresses, seed):
        self.addresses = addresses
        self.rng = random.Random(seed)
        self.samples = []
        self.lock = threading.Lock()
        self.threads = []

    def play(self):
        start = time.monotonic()
        schedule = sorted(
            (self.rng.uniform(0, SECONDS), index) for index in range(len(CLASSES))
            for _ in range(RATE_PER_CLASS * SECONDS))
        for number, (offset, index) in enumerate(schedule):
            time.sleep(max(0.0, start + offset - time.monotonic()))
            thread = threading.Thread(target=self._send, args=(index, number), daemon=True)
            thread.start()
            self.threads.append(thread)
        for thread in self.threads:
            thread.join()

    def _send(self, index, number):
        sent_at = time.monotonic()
        try:
            answer = call_once(self.addresses[number % len(self.addresses)], "catalogue", CLASSES[index],
                               json.dumps({"key": str(number)}), {"Boragepaddle-Deadline-Ms": "1000"})
            outcome, reason = answer.outcome, answer.reason
        except (OSError, http.client.HTTPException) as error:
            outcome, reason = "error", str(error)
        with self.lock:
            self.samples.append(Sample(index, sent_at, time.monotonic(), outcome, reason))


def inversions(samples):
    """Priority inversions: completed calls that were sent right after a more important call had been shed."""
    sheds = [sample for sample in samples if sample.outcome == "not-run"]
    completed = [sample for sample in samples if sample.outcome == "completed"]
    return [(shed, lower) for shed in sheds for lower in completed
            if lower.call_class > shed.call_class and
            shed.ended_at <= lower.sent_at <= shed.ended_at + INVERSION_WINDOW_S]


class OverloadClassesTest(unittest.TestCase):

    def test_member_calls_complete_and_shedding_follows_importance(self):
        """Guards against a member's call that is shed while less important work is admitted."""
        with Mesh(topology(), config()) as mesh:
            load = OpenLoad([node.addresses["caller"] for node in mesh.nodes.values()], seed=1)
            load.play()
        by_class = [collections.Counter() for _ in CLASSES]
        for sample in load.samples:
            by_class[sample.call_class][f"{sample.outcome}/{sample.reason}"] += 1
        done = [counts["completed/none"] for counts in by_class]
        self.assertEqual(RATE_PER_CLASS * SECONDS, done[0], by_class)
        self.assertEqual(sorted(done, reverse=True), done, by_class)
        self.assertGreater(done[1], 0, by_class)
        self.assertEqual([], inversions(load.samples)[:5], by_class)


if __name__ == "__main__":
    unittest.main()
