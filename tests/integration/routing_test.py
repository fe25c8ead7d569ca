"""Routing, retries and planned stops on meshes of real processes."""

import concurrent.futures
import json
import os
import random
import signal
import subprocess
import threading
import time
import unittest

from mesh.caller import call, call_once
from mesh.http import get_json
from mesh.mesh import Mesh, program
from mesh.small import small_config, small_topology
from mesh.stops import describe, run_planned_stops
from mesh.topology import Service, Topology
from mesh.wait import wait_until

ZONES = ["tamsui", "banqiao", "keelung"]
COMMON = {"member": "bureau", "region": "tw-north", "zones": ZONES}


def started(mesh, service):
    return sum(get_json(worker.addresses["address"], "/stats")["started"]
               for worker in mesh.workers_of(service))


def chain_topology():
    return Topology("small", ["bureau"], [
        Service(name="front", workers=1, slots=32, operations={
            "get": {"service_ms": 1, "calls": ["middle.get"]}}, **COMMON),
        Service(name="middle", workers=2, slots=32, operations={
            "get": {"service_ms": 1, "calls": ["leaf.get"]}}, **COMMON),
        Service(name="leaf", workers=2, slots=32, operations={
            "get": {"service_ms": 40, "answer_bytes": 20000}}, **COMMON)])


def chain_config(ratio_percent):
    def service(name, calls):
        return {"name": name, "retry_ratio_percent": ratio_percent, "operations": [
            {"name": "get", "class": "member", "idempotent": True,
             "retry_on_unknown": True, "retry_tokens": 2, "calls": calls}]}

    return {"10-bureau.json": json.dumps({"member": "bureau", "services": [
        service("front", ["middle.get"]), service("middle", ["leaf.get"]),
        service("leaf", [])]})}


LEAVES = [f"leaf-{index}" for index in range(2)]


class FaultyLeafTest(unittest.TestCase):

    def run_with_resets(self, requests, ratio_percent):
        """Repeatedly resets the connections to the leaves; returns the number of
        executions of leaf and of middle. Each execution of middle makes one
        first attempt at leaf."""
        with Mesh(chain_topology(), chain_config(ratio_percent),
                  link_rules=[]) as mesh:
            stop = threading.Event()

            def reset():
                cut = [{"to_vm": leaf, "cut": True} for leaf in LEAVES]
                while not stop.wait(0.05):
                    mesh.set_link_rules(cut)
                    mesh.set_link_rules([])

            reset_thread = threading.Thread(target=reset)
            reset_thread.start()
            try:
                address = mesh.nodes["front-0"].addresses["caller"]
                with concurrent.futures.ThreadPoolExecutor(8) as pool:
                    list(pool.map(lambda index: call(address, "front", "get", json.dumps(
                        {"key": str(index)})), range(requests)))
            finally:
                stop.set()
                reset_thread.join()
            return started(mesh, "leaf"), started(mesh, "middle")

    def test_retries_stay_within_the_tokens(self):
        """Covers R1: guards against retries that multiply over the hops."""
        requests = 200
        leaf, middle = self.run_with_resets(requests, 100)
        # Each request has 2 tokens; each execution of middle calls leaf once.
        self.assertLessEqual(leaf, middle + 2 * requests)
        self.assertLessEqual(middle, requests + 2 * requests)
        self.assertGreater(leaf, middle, "no retry was seen")

    def test_retries_stay_within_the_ratio(self):
        """Guards against a retry storm in which all callers of a service retry at once."""
        requests = 200
        leaf, middle = self.run_with_resets(requests, 10)
        # The ratio allows at least 3 retries per window at each of the 2 nodes of
        # middle, and the run can span two windows.
        self.assertLessEqual(leaf, middle * 1.1 + 2 * 2 * 3)

    def test_policies_differ_as_named(self):
        """Guards against comparison policies that are not applied."""
        for policy, expected in (("full", 1), ("off", 1), ("per_hop_retries", 64)):
            topology = chain_topology()
            topology.services[2].behaviour = {"fail_percent": 100}
            with Mesh(topology, chain_config(10), {"policy": policy}) as mesh:
                call(mesh.nodes["front-0"].addresses["caller"], "front", "get", '{"key": "a"}',
                     {"Boragepaddle-Deadline-Ms": "9000"})
                # Four attempts at each of three hops (per_hop_retries), otherwise one.
                self.assertEqual(expected, started(mesh, "leaf"), policy)


class LostAnswerTest(unittest.TestCase):

    def test_answers_reach_only_their_own_request(self):
        """Covers R3: guards against late or truncated responses delivered to other requests."""
        with Mesh(chain_topology(), chain_config(10), link_rules=[]) as mesh:
            address = mesh.nodes["front-0"].addresses["caller"]
            rng = random.Random(7)
            effects = [{"black_hole": True}, {"delay_ms": 60}, {"bandwidth": 200000},
                       {"cut": True}]
            stop = threading.Event()

            def inject_faults():
                while not stop.wait(0.03):
                    mesh.set_link_rules([{"to_vm": leaf, **rng.choice(effects)}
                                         for leaf in LEAVES])
                    stop.wait(0.06)
                    mesh.set_link_rules([])

            def one(index):
                key = f"key-{index}"
                answer = call_once(address, "leaf", "get", json.dumps({"key": key}),
                                   {"Boragepaddle-Deadline-Ms": "120"})
                if answer.outcome == "completed" and answer.status == 200:
                    return json.loads(answer.body)["key"] == key
                return None

            fault_thread = threading.Thread(target=inject_faults)
            fault_thread.start()
            try:
                with concurrent.futures.ThreadPoolExecutor(8) as pool:
                    results = list(pool.map(one, range(400)))
            finally:
                stop.set()
                fault_thread.join()
            self.assertNotIn(False, results)
            self.assertGreater(results.count(True), 20)
            self.assertGreater(results.count(None), 20)


class StopTest(unittest.TestCase):

    def test_a_leaving_upstream_gets_no_new_work(self):
        """Covers R6: the node is leaving while the VM list still shows its VM as live."""
        with Mesh(small_topology(3), small_config()) as mesh:
            entry = mesh.nodes["catalogue-0"].addresses["caller"]
            worker = mesh.workers["ledger-0"].addresses["address"]

            def balance(count):
                for index in range(count):
                    answer = call(entry, "ledger", "balance", json.dumps({"key": str(index)}))
                    self.assertEqual("completed", answer.outcome, answer)

            balance(60)
            self.assertGreater(get_json(worker, "/stats")["started"], 0)
            mesh.nodes["ledger-0"].send(signal.SIGTERM)
            wait_until(lambda: "upstream is leaving vm=ledger-0"
                       in mesh.nodes["catalogue-0"].log_tail(), 3, "leaving mark")
            before = get_json(worker, "/stats")["started"]
            balance(100)
            self.assertEqual(before, get_json(worker, "/stats")["started"])
            self.assertEqual(0, mesh.nodes["ledger-0"].wait(10))

    def test_planned_stops_interrupt_nothing(self):
        """Covers R7: guards against requests that are interrupted by planned stops."""
        result = run_planned_stops(6)
        self.assertEqual({"completed"}, set(result["outcomes"]), describe(result))
        # A retry would hide an interrupted request behind a completed outcome.
        self.assertEqual(0, result["run_twice"], describe(result))
        self.assertEqual([0] * 6, result["exit_codes"])
        self.assertTrue(result["load_during_all_stops"])

    def test_a_paused_node_quickly_loses_its_share(self):
        """Guards against calls that wait until their deadline at a paused node."""
        with Mesh(small_topology(3), small_config()) as mesh:
            entry = mesh.nodes["catalogue-0"].addresses["caller"]
            frozen = mesh.nodes["ledger-0"]
            worker = mesh.workers["ledger-0"].addresses["address"]

            def balance(_):
                return call(entry, "ledger", "balance", '{"key": "x"}',
                            {"Boragepaddle-Deadline-Ms": "2000"}).outcome

            with concurrent.futures.ThreadPoolExecutor(16) as pool:
                list(pool.map(balance, range(100)))
                frozen.send(signal.SIGSTOP)
                try:
                    stuck = [pool.submit(balance, index) for index in range(50)]
                    time.sleep(0.3)  # Time within which the paused node must lose its share of calls.
                    begin = time.monotonic()
                    outcomes = list(pool.map(balance, range(200)))
                    # One attempt at a time may probe the paused node.
                    self.assertLessEqual(200 - outcomes.count("completed"), 2)
                    self.assertLess(time.monotonic() - begin, 4)
                finally:
                    frozen.send(signal.SIGCONT)
                for future in stuck:
                    future.result()
                before = get_json(worker, "/stats")["started"]

                def works_again():
                    list(pool.map(balance, range(20)))
                    return get_json(worker, "/stats")["started"] > before

                wait_until(works_again, 10, "work for the resumed node")


class ClientLibraryTest(unittest.TestCase):

    def run_sample(self, operation, entries):
        return subprocess.run(
            [program("call_operation"), "catalogue", operation, '{"key": "k"}', *entries],
            capture_output=True, text=True, timeout=30, check=False)

    def test_a_ticketed_call_runs_once_through_another_entry(self):
        """Guards against a caller that fails when its first entry node is down."""
        with Mesh(small_topology(), small_config()) as mesh:
            dead = mesh.nodes["ledger-0"].addresses["caller"]
            mesh.nodes["ledger-0"].kill()
            entry = mesh.nodes["catalogue-0"].addresses["caller"]
            done = self.run_sample("register", [dead, entry])
            self.assertEqual(0, done.returncode, done.stdout + done.stderr)
            self.assertIn("outcome=completed", done.stdout)
            self.assertEqual(1, started(mesh, "catalogue"))
            refused = self.run_sample("erase", [entry])
            self.assertIn("reason=unknown-service", refused.stdout)


if __name__ == "__main__":
    unittest.main()
