"""Fleet of nodes for tests and measurements of configuration changes.

All nodes share one worker, since no calls are made.
"""

import concurrent.futures
import datetime
import json
import signal
import time

from mesh.http import get_json, post_json, put_json
from mesh.mesh import Mesh
from mesh.topology import Service, Topology
from mesh.wait import wait_until

ZONES = ["tamsui", "banqiao", "keelung"]
READERS_PER_ZONE = 3


def fleet_topology(nodes):
    return Topology("fleet", ["bureau"], [
        Service(name="catalogue", member="bureau", region="tw-north", zones=ZONES,
                workers=nodes, slots=4, connections=16,
                operations={"read": {"service_ms": 1}})])


def fleet_config(change):
    """Configuration files in which `change` is the only value that differs."""
    return {"10-bureau.json": json.dumps({"member": "bureau", "services": [{
        "name": "catalogue", "slots": 4, "operations": [{
            "name": "read", "class": "member", "idempotent": True,
            "deadline_ms": 1000 + change}]}]})}


class ConfigFleet(Mesh):
    def __init__(self, nodes):
        super().__init__(fleet_topology(nodes), fleet_config(0))
        self.changes = 0
        self.paused = set()

    def __exit__(self, *arguments):
        # A paused process does not handle SIGTERM.
        self.resume()
        super().__exit__(*arguments)

    def start_worker(self, vm, port=0):
        if self.workers:
            self.vms[vm.vm_id] = vm
            self.workers[vm.vm_id] = next(iter(self.workers.values()))
            return self.workers[vm.vm_id]
        return super().start_worker(vm, port)

    def change_config(self):
        """Publishes a change; returns its revision and the time before it."""
        self.changes += 1
        self.config_files = fleet_config(self.changes)
        begin = time.time()
        return self.put_config(), begin

    def unpaused_vm_ids(self):
        return [vm_id for vm_id in sorted(self.nodes) if vm_id not in self.paused]

    def statuses(self, vm_ids=None):
        """{vm_id: /status} of the nodes that are not paused."""
        vm_ids = self.unpaused_vm_ids() if vm_ids is None else vm_ids
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            found = pool.map(lambda vm_id: get_json(
                self.nodes[vm_id].addresses["operator"], "/status"), vm_ids)
            return dict(zip(vm_ids, found))

    def wait_in_force(self, revision, timeout_s):
        """Waits until every node that is not paused has the revision or a newer one."""
        waiting = set(self.unpaused_vm_ids())

        def all_up_to_date():
            for vm_id, status in self.statuses(sorted(waiting)).items():
                if status["config_version"] >= revision:
                    waiting.discard(vm_id)
            return not waiting

        wait_until(all_up_to_date, timeout_s, f"revision {revision} on all nodes", 0.1)

    def delays(self, revision, begin):
        """{vm_id: seconds from `begin` until the revision was in force}."""
        return {vm_id: when - begin for vm_id in self.unpaused_vm_ids()
                for version, when in self.accepted(vm_id) if version == revision}

    def accepted(self, vm_id):
        """(version, time) of the accepted versions in order of acceptance."""
        audit = get_json(self.nodes[vm_id].addresses["operator"], "/audit")
        accepted = []
        for entry in audit["entries"]:
            if entry["verdict"] == "accepted" and (
                    not accepted or accepted[-1][0] != entry["version"]):
                accepted.append((entry["version"], _unix_seconds(entry["time"])))
        return accepted

    def reversions(self):
        """Number of times that a node accepted a version below an earlier one."""
        count = 0
        for vm_id in self.unpaused_vm_ids():
            versions = [version for version, _ in self.accepted(vm_id)]
            count += sum(later < earlier for earlier, later in zip(versions, versions[1:]))
        return count

    def readers(self):
        """{zone: vm ids of its readers, first reader first}."""
        ranks = {zone: [] for zone in ZONES}
        for vm_id, status in self.statuses().items():
            rank = status["control"]["reader_rank"]
            if rank < READERS_PER_ZONE:
                ranks[self.vms[vm_id].zone].append((rank, vm_id))
        return {zone: [vm_id for _, vm_id in sorted(found)] for zone, found in ranks.items()}

    def pause(self, vm_ids):
        for vm_id in vm_ids:
            self.nodes[vm_id].send(signal.SIGSTOP)
            self.paused.add(vm_id)

    def resume(self):
        for vm_id in self.paused:
            self.nodes[vm_id].send(signal.SIGCONT)
        self.paused.clear()

    def platform_stats(self):
        return get_json(self.platform.addresses["address"], "/stats")

    def control_platform(self, **settings):
        post_json(self.platform.addresses["address"], "/control", settings)

    def put_vm_list(self, vms):
        return put_json(self.platform.addresses["address"], "/v1/vms", {"vms": vms})["revision"]


def _unix_seconds(text):
    # fromisoformat accepts at most six digits of fractional seconds.
    seconds, _, rest = text.partition(".")
    fraction = rest.rstrip("Z").split("+")[0]
    moment = datetime.datetime.fromisoformat(seconds + "." + (fraction + "000000")[:6] + "+00:00")
    return moment.timestamp()
