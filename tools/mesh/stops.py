"""Planned stops of nodes under load."""

import collections
import json
import subprocess

from mesh.executions import repeated_executions
from mesh.load import read_request_results
from mesh.mesh import Mesh, program
from mesh.small import small_config, small_topology


# Long enough that several requests are in flight at each stop.
SERVICE_MS = 30


class FixedAddressMesh(Mesh):
    """Mesh whose nodes keep their addresses across a restart, so that the VM
    list does not change."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.fixed_addresses = {}

    def _settings(self, vm):
        return {**super()._settings(vm), **self.fixed_addresses.get(vm.vm_id, {})}

    def restart_node(self, vm_id):
        """Stops the node with SIGTERM, on which it must drain, and starts it again;
        returns the exit code."""
        node = self.nodes[vm_id]
        self.fixed_addresses[vm_id] = {
            f"{name}_address": address for name, address in node.addresses.items()}
        code = node.stop(timeout_s=30)
        self.start_node(self.vms[vm_id]).wait_ready()
        return code


def stop_topology(workers):
    topology = small_topology(workers)
    for service in topology.services:
        for operation in service.operations.values():
            operation["service_ms"] = SERVICE_MS
    return topology


def load_plan(mesh, seconds, rate):
    entries = [node.addresses["caller"] for node in mesh.nodes.values()]
    common = {"service": "catalogue", "rate": rate, "deadline_ms": 2000,
              "attempts": 6, "resend_pause_ms": 20}
    return {"entries": entries, "phases": [{"name": "stops", "seconds": seconds}],
            "operations": [{"operation": "read", "class": "member", **common},
                           {"operation": "register", "class": "member",
                            "ticket": True, **common}]}


def run_planned_stops(stops, rate=100, workers=3, seconds_per_stop=2.0):
    """Restarts the nodes one at a time while all are under load; returns the
    number of requests by outcome, the attempts by outcome and reason, the exit
    codes of the nodes, and the number of calls that were executed twice."""
    with FixedAddressMesh(stop_topology(workers), small_config()) as mesh:
        plan = mesh._write_json("plan.json", load_plan(
            mesh, stops * seconds_per_stop + 2, rate))
        ends = mesh.journal_path("ends")
        output = mesh.journal_path("load-output")
        load = subprocess.Popen(
            [program("load"), f"--plan={plan}", f"--ends={ends}", f"--output={output}"],
            stdout=subprocess.DEVNULL)
        try:
            names = sorted(mesh.nodes)
            codes = [mesh.restart_node(names[index % len(names)])
                     for index in range(stops)]
            still_running = load.poll() is None
            load.wait(stops * seconds_per_stop + 60)
        finally:
            if load.poll() is None:
                load.kill()
        outcomes = collections.Counter(end.outcome for end in read_request_results(ends).values())
        # An interrupted read is retried by its sender and executed again.
        repeated = repeated_executions(mesh, ["catalogue.read", "catalogue.register", "ledger.post"])
        with open(output, encoding="utf-8") as file:
            attempts = json.load(file)
        return {"outcomes": outcomes,
                "attempts": {part: attempts[part] for part in ("reasons", "sheds")},
                "exit_codes": codes, "run_twice": len(repeated),
                "load_during_all_stops": still_running}


def describe(result):
    return json.dumps(result, sort_keys=True)
