"""Calls through a chain of four services, with real processes."""

import json
import unittest

from mesh.caller import call
from mesh.http import get_json
from mesh.mesh import Mesh
from mesh.topology import Service, Topology

ZONES = ["bellingham", "anacortes", "port-angeles", "westport"]
COMMON = {"member": "cooperative", "region": "salish-coast", "zones": ZONES}


def topology():
    return Topology("chain", ["cooperative"], [
        Service(name="tagpress", workers=2, slots=8, operations={
            "print": {"service_ms": 2, "calls": ["ledger.post", "catchbook.lookup"]}}, **COMMON),
        Service(name="ledger", workers=1, slots=8, operations={
            "post": {"service_ms": 2}}, **COMMON),
        Service(name="catchbook", workers=2, slots=8, operations={
            "lookup": {"service_ms": 2, "calls": ["landings.intake"]}}, **COMMON),
        Service(name="landings", workers=1, slots=8, operations={
            "intake": {"service_ms": 2}}, **COMMON)])


def config():
    def operation(name, calls=(), **rules):
        return {"name": name, "class": "member", "calls": list(calls), **rules}

    return {"20-cooperative.json": json.dumps({"member": "cooperative", "services": [
        {"name": "tagpress", "operations": [operation(
            "print", ["ledger.post", "catchbook.lookup"], at_most_once=True)]},
        {"name": "ledger", "operations": [operation("post", at_most_once=True)]},
        {"name": "catchbook", "operations": [operation(
            "lookup", ["landings.intake"], idempotent=True)]},
        {"name": "landings", "operations": [operation("intake", idempotent=True)]}]})}


class ChainTest(unittest.TestCase):
    """Guards against a hop that loses the response, the context or the deadline."""

    def test_whole_answers_through_every_entry_node(self):
        with Mesh(topology(), config()) as mesh:
            for index, node in enumerate(mesh.nodes.values()):
                key = f"label-{index}"
                answer = call(node.addresses["caller"], "tagpress", "print",
                              json.dumps({"key": key}))
                self.assertEqual(("completed", 200), (answer.outcome, answer.status), answer)
                self.assertIn(key.encode(), answer.body)
            count = len(mesh.nodes)
            for service in ("tagpress", "ledger", "catchbook", "landings"):
                runs = sum(get_json(worker.addresses["address"], "/stats")["started"]
                           for worker in mesh.workers_of(service))
                self.assertEqual(count, runs, service)

    def test_unknown_operation_is_not_run(self):
        with Mesh(topology(), config()) as mesh:
            node = next(iter(mesh.nodes.values()))
            answer = call(node.addresses["caller"], "tagpress", "erase", "{}")
            self.assertEqual((404, "not-run", "unknown-service"),
                             (answer.status, answer.outcome, answer.reason))


if __name__ == "__main__":
    unittest.main()
