#!/usr/bin/env python3
"""Sends at-most-once requests with resends while workers and nodes fail, and checks the executions.

Usage: at_most_once.py [--requests 100000] [--callers 24] [--seed 1] [--out FILE]. Needs a build. A request is sent
with its ticket through several nodes, sometimes through two concurrently, and some callers time out early. Meanwhile
workers and nodes are killed and restarted, and nodes are paused. The journals of the workers record what was executed:
a key that was started twice is a duplicate execution, and a ticket reported as not-run must never have been started.
After a not-run response the caller continues with a new ticket for the same key.
"""
import argparse
import collections
import dataclasses
import http.client
import json
import pathlib
import random
import signal
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from mesh.caller import STATUS_TICKET_REQUIRED, call_once  # noqa: E402
from mesh.mesh import Mesh  # noqa: E402
from mesh.topology import Service, Topology  # noqa: E402
from mesh.wait import wait_until  # noqa: E402

WORKERS = 4
MAX_SENDS = 6
MAX_TICKETS = 3
DEADLINE_MS = 600
CALLER_TIMEOUT_S = 3
# Callers with an early timeout close their connection while the request is queued, running or has just finished.
EARLY_TIMEOUT_S = (0.002, 0.03)
FAULT_INTERVAL_S = (0.3, 0.9)
PAUSE_S = (0.2, 2.0)


def topology():
    return Topology("at-most-once", ["bureau"], [Service(
        name="lending", member="bureau", region="tw-north", zones=["tamsui", "banqiao", "keelung"], workers=WORKERS,
        slots=6, operations={"approve": {"service_ms": 8, "spread_ms": 6}})])


def config():
    return {"10-bureau.json": json.dumps({"member": "bureau", "services": [{"name": "lending", "slots": 6, "operations": [
        {"name": "approve", "class": "member", "at_most_once": True}]}]})}


@dataclasses.dataclass
class Result:
    """Counts of one run. There must be no doubles (keys executed twice) and no false not-run responses."""
    requests: int = 0
    outcomes: dict = dataclasses.field(default_factory=dict)
    reasons: dict = dataclasses.field(default_factory=dict)
    sends: int = 0
    faults: dict = dataclasses.field(default_factory=dict)
    executions: int = 0
    doubles: list = dataclasses.field(default_factory=list)
    false_not_run: list = dataclasses.field(default_factory=list)
    seconds: float = 0


class ClientThreads:
    """Client threads that send the requests by number until all are finished."""

    def __init__(self, addresses, requests, threads, seed):
        self.addresses = addresses
        self.requests = requests
        self.seed = seed
        self.lock = threading.Lock()
        self.next_request = 0
        self.outcomes = {}
        self.reasons = collections.Counter()
        self.sends = 0
        self.threads = [threading.Thread(target=self._run, args=(index,), daemon=True) for index in range(threads)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def is_done(self):
        return not any(thread.is_alive() for thread in self.threads)

    def _run(self, index):
        rng = random.Random(self.seed * 1000 + index)
        while True:
            with self.lock:
                number = self.next_request
                self.next_request += 1
            if number >= self.requests:
                return
            key = f"r{number}"
            outcome = self._run_request(rng, key)
            with self.lock:
                self.outcomes[key] = outcome

    def _run_request(self, rng, key):
        """Returns the outcome for the caller: completed, not-run or unknown."""
        for _ in range(MAX_TICKETS):
            ticket = self._request_ticket(rng, key)
            outcome = self._send_with_ticket(rng, key, ticket) if ticket else "not-run"
            if outcome != "not-run":
                return outcome
        return "not-run"

    def _request_ticket(self, rng, key):
        for _ in range(MAX_SENDS):
            answer = self._send(rng, key, {})
            if answer and answer.status == STATUS_TICKET_REQUIRED:
                return answer.ticket
            time.sleep(rng.uniform(0.01, 0.05))
        return None

    def _send_with_ticket(self, rng, key, ticket):
        """Sends with one ticket. A not-run response is valid for all sends with that ticket."""
        headers = {"Boragepaddle-Ticket": ticket}
        for _ in range(MAX_SENDS):
            answers = (self._send_concurrently(rng, key, headers) if rng.random() < 0.2
                       else [self._send(rng, key, headers)])
            outcomes = {answer.outcome for answer in answers if answer}
            if "completed" in outcomes:
                return "completed"
            if "not-run" in outcomes:
                return "not-run"
            time.sleep(rng.uniform(0.0, 0.1))
        return "unknown"

    def _send_concurrently(self, rng, key, headers):
        """Sends two copies concurrently."""
        answers = []
        other = random.Random(rng.random())
        second = threading.Thread(target=lambda: answers.append(self._send(other, key, headers)), daemon=True)
        second.start()
        answers.append(self._send(rng, key, headers))
        second.join()
        return answers

    def _send(self, rng, key, headers):
        early = bool(headers) and rng.random() < 0.15
        timeout_s = rng.uniform(*EARLY_TIMEOUT_S) if early else CALLER_TIMEOUT_S
        address = rng.choice(self.addresses())
        fields = {"Boragepaddle-Deadline-Ms": str(DEADLINE_MS), **headers}
        try:
            answer = call_once(address, "lending", "approve", json.dumps({"key": key}), fields, timeout_s)
        except (OSError, http.client.HTTPException):
            answer = None
        with self.lock:
            self.sends += 1
            self.reasons[f"{answer.outcome}/{answer.reason}" if answer else "no answer"] += 1
        return answer


class FaultInjector:
    """Kills, replaces and pauses processes of a mesh, one fault at a time."""

    def __init__(self, mesh, seed):
        self.mesh = mesh
        self.rng = random.Random(seed)
        self.counts = collections.Counter()

    def inject(self):
        vm = self.rng.choice(list(self.mesh.vms.values()))
        fault = self.rng.choice([self.kill_worker, self.kill_node, self.pause_node, self.pause_node])
        fault(vm)
        self.counts[fault.__name__] += 1

    def kill_worker(self, vm):
        port = self.mesh.workers[vm.vm_id].addresses["address"].rsplit(":", 1)[1]
        self.mesh.workers[vm.vm_id].kill()
        self.mesh.start_worker(vm, port).wait_ready()

    def kill_node(self, vm):
        self.mesh.nodes[vm.vm_id].kill()
        self.mesh.start_node(vm).wait_ready()
        self.mesh.put_vms()

    def pause_node(self, vm):
        node = self.mesh.nodes[vm.vm_id]
        node.send(signal.SIGSTOP)
        time.sleep(self.rng.uniform(*PAUSE_S))
        node.send(signal.SIGCONT)


def started_keys(mesh):
    """Starts of each key, from the journals of all workers."""
    starts = collections.Counter()
    for vm_id in mesh.vms:
        with open(mesh.journal_path(vm_id), encoding="utf-8") as journal:
            for line in journal:
                event, _, key = line.strip().split(" ", 2)
                if event == "S":
                    starts[key] += 1
    return starts


def run(requests, callers, seed, with_faults=True):
    result = Result(requests=requests)
    with Mesh(topology(), config(), journals=True) as mesh:
        addresses = lambda: [node.addresses["caller"] for node in list(mesh.nodes.values()) if "caller" in node.addresses]  # noqa: E731
        group = ClientThreads(addresses, requests, callers, seed)
        faults = FaultInjector(mesh, seed)
        start = time.monotonic()
        group.start()
        while not group.is_done():
            time.sleep(faults.rng.uniform(*FAULT_INTERVAL_S))
            if with_faults:
                faults.inject()
        result.seconds = round(time.monotonic() - start, 1)
        # Wait until no node has calls at its worker, so that the journals are complete.
        for node in mesh.nodes.values():
            wait_until(lambda: is_idle(node), 30, f"idle {node.name}")
        starts = started_keys(mesh)
    result.outcomes = dict(collections.Counter(group.outcomes.values()))
    result.reasons = dict(sorted(group.reasons.items()))
    result.sends = group.sends
    result.faults = dict(faults.counts)
    result.executions = sum(starts.values())
    result.doubles = sorted(key for key, count in starts.items() if count > 1)
    result.false_not_run = sorted(
        key for key, outcome in group.outcomes.items() if outcome == "not-run" and starts[key] > 0)
    return result


def is_idle(node):
    from mesh.http import get_json
    try:
        return get_json(node.addresses["operator"], "/status")["calls_at_worker"] == 0
    except (OSError, RuntimeError, http.client.HTTPException):
        return False


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--requests", type=int, default=100000)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out")
    options = parser.parse_args()
    result = run(options.requests, options.callers, options.seed)
    text = json.dumps(dataclasses.asdict(result), indent=1)
    print(text)
    if options.out:
        pathlib.Path(options.out).write_text(text, encoding="utf-8")
    sys.exit(1 if result.doubles or result.false_not_run else 0)


if __name__ == "__main__":
    main()
