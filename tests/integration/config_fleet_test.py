"""Configuration changes on a fleet of 60 nodes, with real processes."""

import json
import time
import unittest

from mesh.config_fleet import ZONES, ConfigFleet
from mesh.http import get_json, get_status
from mesh.topology import Vm
from mesh.wait import wait_until

NODES = 60
# Target: a change is in force on every node within 5 s.
IN_FORCE_S = 5


class ConfigFleetTest(unittest.TestCase):
    """Covers R8: a change is in force on every node within seconds and is never
    reverted, whichever readers or parts of the platform fail."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = ConfigFleet(NODES)
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        wait_until(lambda: all(len(found) == 3 for found in cls.fleet.readers().values()),
                   IN_FORCE_S, "three readers in each zone")

    def change_and_check(self):
        revision, begin = self.fleet.change_config()
        self.fleet.wait_in_force(revision, 3 * IN_FORCE_S)
        delays = self.fleet.delays(revision, begin)
        self.assertEqual(len(self.fleet.unpaused_vm_ids()), len(delays))
        self.assertLess(max(delays.values()), IN_FORCE_S)
        self.assertEqual(0, self.fleet.reversions())
        return revision

    def test_healthy_platform(self):
        self.change_and_check()

    def test_half_of_the_readers_paused(self):
        readers = self.fleet.readers()
        # The first readers are the roots of the dissemination trees, so pausing them has the largest effect.
        paused = [found[0] for found in readers.values()]
        paused += [found[1] for found in list(readers.values())[:2]]
        self.fleet.pause(paused)
        try:
            self.change_and_check()
            revision = self.change_and_check()
        finally:
            self.fleet.resume()
        # A reader that resumes with an outdated state must not propagate it.
        self.fleet.wait_in_force(revision, IN_FORCE_S)
        self.assertEqual(0, self.fleet.reversions())

    def test_platform_down_for_all_but_one_zone(self):
        for zone in ZONES:
            with self.subTest(zone=zone):
                self.fleet.control_platform(down_zones=[other for other in ZONES if other != zone])
                try:
                    self.change_and_check()
                finally:
                    self.fleet.control_platform(down_zones=[])

    def test_vm_list_change_reaches_every_node(self):
        vms = self.fleet.vm_list()
        vms[-1]["state"] = "leaving"
        for listed in (vms, self.fleet.vm_list()):
            revision = self.fleet.put_vm_list(listed)
            wait_until(lambda: all(status["control"]["list"]["version"] == revision
                                   for status in self.fleet.statuses().values()),
                       IN_FORCE_S, "list on all nodes")

    def test_stale_platform_does_not_revert(self):
        revision = self.change_and_check()
        self.fleet.control_platform(config_newest_shown=revision - 1)
        try:
            end = time.monotonic() + 2
            while time.monotonic() < end:
                versions = {status["config_version"] for status in self.fleet.statuses().values()}
                self.assertEqual({revision}, versions)
        finally:
            self.fleet.control_platform(config_newest_shown=2**62)
        self.change_and_check()

    def test_refused_change_leaves_the_last_one_in_force(self):
        revision = self.change_and_check()
        self.fleet.config_files = {"10-bureau.json": json.dumps({"member": "bureau", "slots": 1})}
        refused = self.fleet.put_config()
        readers = [vm_id for found in self.fleet.readers().values() for vm_id in found]
        wait_until(lambda: all(status["control"]["refused"]["version"] == refused
                               for status in self.fleet.statuses(readers).values()),
                   IN_FORCE_S, "refusal on all readers")
        for status in self.fleet.statuses().values():
            self.assertEqual(revision, status["config_version"])
            self.assertLessEqual(status["control"]["counters"]["configs_refused"], 1)
        # Guards against a refusal that is not written to the audit log.
        log = self.fleet.nodes[readers[0]].log_tail(50)
        self.assertIn(f"[audit] refused version={refused} member=bureau file=10-bureau.json", log)
        self.change_and_check()

    def test_new_node_without_platform_becomes_ready(self):
        fleet = self.fleet
        revision = self.change_and_check()
        peers = [fleet.nodes[vm_id].addresses["peer"] for vm_id in fleet.unpaused_vm_ids()[:3]]
        vm = Vm("newcomer", next(iter(fleet.vms.values())).service, ZONES[0])
        fleet.start_worker(vm)
        fleet.control_platform(down=True)
        fleet.node_settings["seed_peers"] = peers
        node = fleet.start_node(vm)
        try:
            node.wait_ready()
            wait_until(lambda: get_status(node.addresses["operator"], "/readyz") == 200,
                       IN_FORCE_S, "new node ready")
            status = get_json(node.addresses["operator"], "/status")
            self.assertEqual(revision, status["config_version"])
        finally:
            fleet.control_platform(down=False)
            fleet.node_settings.pop("seed_peers")
            node.stop()
            fleet.remove_vm("newcomer")


if __name__ == "__main__":
    unittest.main()
