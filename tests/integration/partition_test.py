"""A partition between availability zones, with real processes."""

import concurrent.futures
import json
import unittest

from mesh.caller import call_once
from mesh.executions import repeated_executions, root_executions
from mesh.http import get_json, post_json
from mesh.links import partition
from mesh.mesh import Mesh
from mesh.small import small_config, small_topology
from mesh.wait import wait_until

ISOLATED_ZONE = "tamsui"
OTHER_ZONES = ["banqiao", "keelung"]
KEYS = 24
DEADLINE = {"Boragepaddle-Deadline-Ms": "600"}
# Target of docs/design.md, section 1.5.
IN_FORCE_S = 5


class PartitionTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.mesh = Mesh(small_topology(3), small_config(), link_rules=[])
        cls.mesh.__enter__()
        cls.addClassCleanup(cls.mesh.__exit__, None, None, None)

    def entry(self, zone):
        vm_id = next(vm_id for vm_id, vm in self.mesh.vms.items()
                     if vm.zone == zone and vm.service.name == "catalogue")
        return self.mesh.nodes[vm_id].addresses["caller"]

    def versions(self):
        return {vm_id: get_json(node.addresses["operator"], "/status")["config_version"]
                for vm_id, node in self.mesh.nodes.items()}

    def set_partition(self, cut):
        platform = self.mesh.platform.addresses["address"]
        post_json(platform, "/control", {"down_zones": [ISOLATED_ZONE] if cut else []})
        self.mesh.set_link_rules(partition([ISOLATED_ZONE], OTHER_ZONES) if cut else [])

    def send(self, key, ticket, zone):
        return call_once(self.entry(zone), "catalogue", "register", json.dumps({"key": key}),
                         {"Boragepaddle-Ticket": ticket, **DEADLINE})

    def test_tickets_and_reads_across_a_partition(self):
        """Covers R4 and R5: guards against a resend through the other side of the partition that is executed again, and
        against a false not-run outcome."""
        tickets = {f"key-{index}": call_once(
            self.entry([ISOLATED_ZONE, *OTHER_ZONES][index % 3]), "catalogue", "register", "{}").ticket
            for index in range(KEYS)}
        self.assertNotIn("", tickets.values())
        answers = []
        self.set_partition(True)
        try:
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                for zone in (ISOLATED_ZONE, OTHER_ZONES[0]):
                    answers += pool.map(lambda item, zone=zone: (
                        item[0], self.send(item[0], item[1], zone)), tickets.items())
            for zone in (ISOLATED_ZONE, OTHER_ZONES[0]):
                wait_until(lambda zone=zone: all(call_once(
                    self.entry(zone), "catalogue", "read", "{}", DEADLINE).outcome == "completed"
                    for _ in range(10)), 10, f"reads in {zone}")
        finally:
            self.set_partition(False)
        for key, ticket in tickets.items():
            answers.append((key, self.send(key, ticket, OTHER_ZONES[1])))
        self.assertEqual([], repeated_executions(self.mesh, ["catalogue.register", "ledger.post"]))
        started = root_executions(self.mesh)
        false_not_run = [key for key, answer in answers if answer.outcome == "not-run" and key in started]
        self.assertEqual([], false_not_run)
        self.assertIn("completed", {answer.outcome for _, answer in answers})

    def test_configuration_converges_after_a_partition(self):
        """Covers R8: guards against a side that keeps or propagates an old version after the partition has healed."""
        before = max(self.versions().values())
        self.set_partition(True)
        try:
            changed = self.mesh.put_config()
            others = [vm_id for vm_id, vm in self.mesh.vms.items() if vm.zone != ISOLATED_ZONE]
            wait_until(lambda: all(self.versions()[vm_id] == changed for vm_id in others),
                       IN_FORCE_S, "change on the connected side")
            self.assertEqual({before}, {version for vm_id, version in self.versions().items()
                                        if vm_id not in others})
        finally:
            self.set_partition(False)
        wait_until(lambda: set(self.versions().values()) == {changed}, IN_FORCE_S, "change everywhere")


if __name__ == "__main__":
    unittest.main()
