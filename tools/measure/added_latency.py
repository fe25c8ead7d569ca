#!/usr/bin/env python3
"""Measures the latency that the nodes add to a call, relative to direct calls
to the same workers in the same run."""

import argparse
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from measure import rows  # noqa: E402
from mesh.load import caller_entries, run_load  # noqa: E402
from mesh.mesh import Mesh  # noqa: E402
from mesh.topology import Service, Topology  # noqa: E402

# Targets of docs/design.md, sections 1.4 and 1.5.
CALLS_PER_NODE = 184.0
BOUND_MS = 2.0
DIRECT_SHARE = 0.1
SERVICE_MS = 5.0
SERVICES = ["catalogue", "conservation"]
WORKERS = 3
WARM_UP_S = 6.0


def topology():
    return Topology("latency", ["bureau"], [
        Service(name=name, member="bureau", region="tw-north",
                zones=["tamsui", "banqiao", "keelung"], workers=WORKERS, slots=64,
                operations={"read": {"service_ms": SERVICE_MS}})
        for name in SERVICES])


def config():
    operation = {"name": "read", "class": "member", "idempotent": True}
    return {"10-bureau.json": json.dumps({"member": "bureau", "services": [
        {"name": name, "slots": 64, "operations": [operation]} for name in SERVICES]})}


def operations(mesh):
    """Calls enter through nodes of the other service, so that both hops are
    between different processes."""
    plan = []
    for name, other in zip(SERVICES, reversed(SERVICES)):
        common = {"service": name, "operation": "read", "deadline_ms": 1000}
        rate = CALLS_PER_NODE * WORKERS
        plan.append({**common, "class": "through-nodes", "rate": rate,
                     "entries": caller_entries(mesh, [other])})
        plan.append({**common, "class": "direct", "rate": rate * DIRECT_SHARE, "path": "/read",
                     "entries": [worker.addresses["address"]
                                 for worker in mesh.workers_of(name)]})
    return plan


def measure(seconds):
    with Mesh(topology(), config()) as mesh:
        results, _ = run_load(mesh, "latency", {
            "operations": operations(mesh), "poisson": True,
            "phases": [{"name": "warm-up", "seconds": WARM_UP_S},
                       {"name": "measure", "seconds": seconds}]})
        cpu = sum(node.cpu_seconds() for node in mesh.nodes.values())
    phase = results["phases"]["measure"]
    row = {"nodes": len(SERVICES) * WORKERS, "calls_per_node": CALLS_PER_NODE,
           "seconds": seconds, "cores_per_node": cpu / (seconds + WARM_UP_S) / len(mesh.nodes),
           "offered": phase["through-nodes"]["offered"],
           "completed": phase["through-nodes"]["completed"]}
    for quantile in ("p50", "p99"):
        through = phase["through-nodes"]["attempt_latency_ms"][quantile]
        direct = phase["direct"]["attempt_latency_ms"][quantile]
        row.update({f"through_{quantile}_ms": round(through, 3),
                    f"direct_{quantile}_ms": round(direct, 3),
                    f"added_{quantile}_ms": round(through - direct, 3)})
    return row


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--no-record", action="store_true", help="do not append the row")
    arguments = parser.parse_args()
    row = measure(arguments.seconds)
    if not arguments.no_record:
        rows.append("added_latency", row)
    for key, value in row.items():
        print(f"{key:20} {value:.3f}" if isinstance(value, float) else f"{key:20} {value}")
    met = row["added_p99_ms"] <= BOUND_MS and row["completed"] == row["offered"]
    print(f"bound of {BOUND_MS} ms at p99: {'met' if met else 'NOT MET'}")
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
