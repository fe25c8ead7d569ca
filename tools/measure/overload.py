#!/usr/bin/env python3
"""Compares overload policies side by side: goodput by class, recovery time,
executions, wasted work and inversions at several multiples of the capacity."""

import argparse
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from measure import rows  # noqa: E402
from measure.overload_mesh import (  # noqa: E402
    TRIGGER_S, capacity_rates, member_share, overload_plan, overload_topology)
from mesh.capacity import Capacity  # noqa: E402
from mesh.executions import (  # noqa: E402
    CLASSES, false_not_run, inversions, repeated_executions, root_executions,
    work_by_class)
from mesh.links import zone_latencies  # noqa: E402
from mesh.load import run_load  # noqa: E402
from mesh.mesh import Mesh  # noqa: E402

POLICIES = ["off", "per_hop_retries", "full"]
# Without protection, a node forwards all requests to its worker, which queues
# them and needs a connection for each queued request.
UNLIMITED_SLOTS = 10000
UNLIMITED_CONNECTIONS = 4000
FACTORS = [0.5, 1.0, 2.0, 5.0, 10.0]


def work_per_s(ends, topology):
    """Slot time per second, over all services, of the requests of the trigger
    phase that completed in time. This weights a request by the cost of its
    whole call tree."""
    capacity = Capacity(topology)
    cost = {name: sum(capacity.holds_ms(name).values())
            for name in {end.operation for end in ends}}
    return sum(cost[end.operation] for end in ends if end.in_time) / 1000.0 / TRIGGER_S


def class_row(results, name):
    counts = results["phases"]["trigger"].get(name)
    if counts is None:
        return None
    return {
        **{key: counts[key] for key in (
            "offered", "in_time", "completed", "not_run", "unknown", "failed",
            "late", "wrong", "not_sent", "attempts")},
        "p50_ms": round(counts["latency_ms"]["p50"], 2),
        "p99_ms": round(counts["latency_ms"]["p99"], 2),
        "recovery_s": results["recovery_s"].get(name)}


def node_settings(policy):
    if policy == "full":
        return {"policy": policy}
    return {"policy": policy, "slots": UNLIMITED_SLOTS}


def measure(policy, factor):
    topology, config_files = overload_topology()
    if policy != "full":
        for service in topology.services:
            service.behaviour = {"connections": UNLIMITED_CONNECTIONS}
    with Mesh(topology, config_files, node_settings(policy),
              link_rules=zone_latencies()) as mesh:
        results, ends = run_load(mesh, "overload", overload_plan(mesh, factor))
        roots = root_executions(mesh)
        inverted, sheds = inversions(mesh, results["sheds"])
        repeated = repeated_executions(
            mesh, ["tagpress.print-label", "landings.register"])
    work = work_by_class(roots, ends)
    busy = sum(entry.busy_ms for entry in work.values())
    wasted = sum(entry.wasted_ms for entry in work.values())
    trigger_ends = [end for end in ends.values() if end.phase == "trigger"]
    completed = sum(end.outcome == "completed" for end in ends.values())
    in_time = sum(end.in_time for end in trigger_ends)
    return {
        "policy": policy, "factor": factor,
        "capacity_per_s": round(sum(capacity_rates(topology).values()), 1),
        "goodput_per_s": round(in_time / TRIGGER_S, 1),
        "goodput_work_per_s": round(work_per_s(trigger_ends, topology), 2),
        "executions_per_completed": round(
            sum(entry.started for entry in work.values()) / max(completed, 1), 2),
        "wasted_share": round(wasted / busy, 4) if busy else 0.0,
        "recovery_s": results["recovery_s"]["all"],
        "inversions": inverted, "sheds": sheds,
        "false_not_run": len(false_not_run(roots, ends)),
        "repeated_at_most_once": len(repeated),
        "connections": results["connections_opened"],
        "max_send_delay_ms": round(results["max_send_delay_ms"], 1),
        "reasons": {f"{item['class']}/{item['outcome']}/{item['reason']}": item["attempts"]
                    for item in results["reasons"] if item["outcome"] != "completed"},
        "classes": {name: class_row(results, name) for name in CLASSES
                    if class_row(results, name)}}


def describe(row):
    shares = "".join(
        f"{row['classes'][name]['in_time'] / max(row['classes'][name]['offered'], 1):>10.1%}"
        if name in row["classes"] else f"{'-':>10}" for name in CLASSES)
    recovery = "none" if row["recovery_s"] is None else f"{row['recovery_s']:.1f}"
    return (f"{row['policy']:16}{row['factor']:>6}{row['goodput_per_s']:>10}"
            f"{row['goodput_work_per_s']:>8}{shares}{recovery:>12}"
            f"{row['executions_per_completed']:>11}{row['wasted_share']:>8.1%}"
            f"{row['inversions']:>11}{row['sheds']:>9}{row['false_not_run']:>7}"
            f"{row['repeated_at_most_once']:>7}")


def header():
    return (f"{'policy':16}{'factor':>6}{'goodput/s':>10}{'work/s':>8}"
            + "".join(f"{name:>10}" for name in CLASSES)
            + f"{'recovery s':>12}{'exec/compl':>11}{'wasted':>8}{'inversions':>11}"
            f"{'sheds':>9}{'false':>7}{'twice':>7}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policies", nargs="+", default=POLICIES)
    parser.add_argument("--factors", nargs="+", type=float, default=FACTORS)
    parser.add_argument("--no-record", action="store_true", help="do not append the rows")
    parser.add_argument("--reasons", action="store_true",
                        help="print the attempts that failed, by reason")
    arguments = parser.parse_args()
    topology, _ = overload_topology()
    print(f"capacity {sum(capacity_rates(topology).values()):.0f} requests/s, of which the "
          f"member class needs {member_share(topology):.1%} of the busiest service")
    print("share of offered requests that completed in time, by class; work/s is slot time "
          "of completed requests per second")
    print(header(), flush=True)
    for factor in arguments.factors:
        for policy in arguments.policies:
            row = measure(policy, factor)
            if not arguments.no_record:
                rows.append("overload", row)
            print(describe(row), flush=True)
            if arguments.reasons:
                for reason, attempts in sorted(row["reasons"].items()):
                    print(f"    {reason:50}{attempts:>9}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
