#!/usr/bin/env python3
"""Opens 10 times the maximum number of connections of a node, and measures how
fast the surplus is refused and how much memory the node uses."""

import argparse
import http.client
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from measure import rows  # noqa: E402
from mesh.load import run_load  # noqa: E402
from mesh.mesh import Mesh  # noqa: E402
from mesh.topology import Service, Topology  # noqa: E402

# Targets of docs/design.md, section 1.5.
CONNECTIONS = 960
SURGE_FACTOR = 10
REFUSAL_BOUND_MS = 2.0
MEMORY_BOUND_MB = 128
SURGE_SECONDS = 4.0
KERNEL_COUNTERS = ("ListenOverflows", "ListenDrops")


def topology():
    return Topology("surge", ["bureau"], [Service(
        name="imaging", member="bureau", region="tw-north", zones=["tamsui"],
        workers=1, slots=140, connections=CONNECTIONS,
        operations={"fetch": {"service_ms": 1.0}})])


def config():
    operation = {"name": "fetch", "class": "member", "idempotent": True}
    return {"10-bureau.json": json.dumps({"member": "bureau", "services": [
        {"name": "imaging", "slots": 140, "connections": CONNECTIONS,
         "operations": [operation]}]})}


def kernel_counters():
    """Counters of connections dropped by the kernel, over all listeners of the machine."""
    with open("/proc/net/netstat", encoding="ascii") as file:
        lines = [line.split() for line in file if line.startswith("TcpExt:")]
    values = dict(zip(lines[0][1:], map(int, lines[1][1:])))
    return {name: values[name] for name in KERNEL_COUNTERS}


def is_served(connection):
    connection.request("POST", "/call/imaging/fetch", json.dumps({"key": "held"}))
    response = connection.getresponse()
    response.read()
    return response.status == 200


def hold_connections(address, count):
    """Opens connections sequentially and makes one call on each."""
    held = [http.client.HTTPConnection(address, timeout=10) for _ in range(count)]
    served = sum(is_served(connection) for connection in held)
    return held, served


def surge(mesh, entry):
    results, _ = run_load(mesh, "surge", {
        "entries": [entry], "max_in_flight": 2000,
        "phases": [{"name": "surge", "seconds": SURGE_SECONDS}],
        "operations": [{"service": "imaging", "operation": "fetch", "class": "surplus",
                        "rate": CONNECTIONS * SURGE_FACTOR / SURGE_SECONDS,
                        "deadline_ms": 2000, "new_connection": True}]})
    return results["phases"]["surge"]["surplus"], results["reasons"]


def measure():
    with Mesh(topology(), config()) as mesh:
        node = mesh.nodes["imaging-0"]
        entry = node.addresses["caller"]
        held, served = hold_connections(entry, CONNECTIONS)
        held_mb = node.resident_kb() / 1024
        before = kernel_counters()
        surplus, reasons = surge(mesh, entry)
        dropped = {name: kernel_counters()[name] - count for name, count in before.items()}
        still_served = sum(is_served(connection) for connection in held)
        row = {
            "connections": CONNECTIONS, "served": served, "still_served": still_served,
            "resident_mb": round(held_mb, 1),
            "peak_resident_mb": round(node.peak_resident_kb() / 1024, 1),
            "surplus": surplus["offered"], "refused": surplus["not_run"],
            "unknown": surplus["unknown"], "completed": surplus["completed"],
            "refusal_p50_ms": round(surplus["refusal_latency_ms"]["p50"], 3),
            "refusal_p99_ms": round(surplus["refusal_latency_ms"]["p99"], 3),
            "reasons": {item["reason"]: item["attempts"] for item in reasons},
            **dropped}
        for connection in held:
            connection.close()
    return row


def is_met(row):
    return (row["refusal_p99_ms"] <= REFUSAL_BOUND_MS
            and row["peak_resident_mb"] <= MEMORY_BOUND_MB
            and row["served"] == row["still_served"] == CONNECTIONS
            and row["reasons"] == {"too-many-connections": row["surplus"]}
            and not any(row[name] for name in KERNEL_COUNTERS))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-record", action="store_true", help="do not append the row")
    arguments = parser.parse_args()
    row = measure()
    if not arguments.no_record:
        rows.append("connection_surge", row)
    for key, value in row.items():
        print(f"{key:20} {value}")
    met = is_met(row)
    print(f"refusal within {REFUSAL_BOUND_MS} ms at p99, no kernel drop, "
          f"{MEMORY_BOUND_MB} MB: {'met' if met else 'NOT MET'}")
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
