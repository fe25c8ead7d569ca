#!/usr/bin/env python3
"""Runs the example mesh on loopback with a short surge and prints a table."""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from mesh.capacity import Capacity  # noqa: E402
from mesh.executions import (  # noqa: E402
    CLASSES, clear_logs, false_not_run, repeated_executions, root_executions,
    work_by_class)
from mesh.links import zone_latencies  # noqa: E402
from mesh.load import caller_entries, run_load  # noqa: E402
from mesh.mesh import Mesh  # noqa: E402
from mesh.two_members import two_members  # noqa: E402

# Share of the slots of the busiest service before and after the surge.
BASE_SHARE = 0.6
SURGE_FACTOR = 5.0
PHASES = [("before", 4.0, 1.0), ("surge", 4.0, SURGE_FACTOR), ("after", 5.0, 1.0)]
# (operation, class, relative rate, deadline in ms, at most once). Even in the surge,
# the member class alone does not exceed the slots.
MIX = [
    ("tagpress.print-label", "member", 2.0, 2000, True),
    ("catchbook.read", "member", 10.0, 1000, False),
    ("lending.approve-loan", "member", 0.7, 2000, True),
    ("catalogue.view", "member", 20.0, 1000, False),
    ("catalogue.update", "standard", 20.0, 1000, False),
    ("landings.audit", "internal", 60.0, 1000, False),
    ("conservation.survey", "internal", 70.0, 1000, False),
    ("dockdrop.intake-scans", "bulk", 200.0, 1000, False),
    ("imaging.intake-scan", "bulk", 200.0, 1000, False),
]
RESENDS = {"attempts": 3, "resend_pause_ms": 50}
PROBE = {"service": "catchbook", "operation": "read", "class": "member",
         "rate": 50.0, "deadline_ms": 1000}
PROBE_SECONDS = 3.0


def operation_plan(name, call_class, rate, deadline_ms, at_most_once):
    service, operation = name.split(".", 1)
    return {"service": service, "operation": operation, "class": call_class,
            "rate": rate, "deadline_ms": deadline_ms, "ticket": at_most_once,
            **RESENDS}


def surge_plan(mesh):
    capacity = Capacity(mesh.topology)
    rates = capacity.scale_to({row[0]: row[2] for row in MIX}, BASE_SHARE)
    return {
        "entries": caller_entries(mesh),
        "phases": [{"name": name, "seconds": seconds, "factor": factor}
                   for name, seconds, factor in PHASES],
        "trigger_phase": "surge",
        "operations": [operation_plan(name, call_class, rates[name], deadline, once)
                       for name, call_class, _, deadline, once in MIX]}


def probe_plan(entries, path=None):
    operation = {**PROBE, **({"path": path} if path else {})}
    return {"entries": entries, "operations": [operation],
            "phases": [{"name": "probe", "seconds": PROBE_SECONDS}]}


def added_latency(mesh):
    """(p50, p99) in ms that nodes add to a call of one service."""
    workers = [worker.addresses["address"]
               for worker in mesh.workers_of(PROBE["service"])]
    direct, _ = run_load(mesh, "direct", probe_plan(workers, "/" + PROBE["operation"]))
    entries = caller_entries(mesh, [PROBE["service"]])
    through, _ = run_load(mesh, "through", probe_plan(entries))
    return [
        through["phases"]["probe"]["member"]["attempt_latency_ms"][quantile]
        - direct["phases"]["probe"]["member"]["attempt_latency_ms"][quantile]
        for quantile in ("p50", "p99")]


def total(results, call_class, field):
    return sum(classes.get(call_class, {}).get(field, 0)
               for classes in results["phases"].values())


def print_table(results, work):
    print(f"{'class':10}{'offered':>9}{'completed':>11}{'in time':>9}{'not run':>9}"
          f"{'unknown':>9}{'failed':>8}{'executions':>12}{'wasted':>8}{'recovery':>10}")
    for name in CLASSES:
        share = work[name].wasted_ms / work[name].busy_ms if work[name].busy_ms else 0.0
        recovery = results["recovery_s"].get(name)
        shown = "none" if recovery is None else f"{recovery:.1f} s"
        print(f"{name:10}" + "".join(
            f"{total(results, name, field):>{width}}" for field, width in (
                ("offered", 9), ("completed", 11), ("in_time", 9), ("not_run", 9),
                ("unknown", 9), ("failed", 8)))
            + f"{work[name].started:>12}{share:>8.1%}{shown:>10}")


def main():
    start = time.monotonic()
    topology, config_files = two_members()
    with Mesh(topology, config_files, link_rules=zone_latencies()) as mesh:
        print(f"{len(mesh.nodes)} nodes ready after {time.monotonic() - start:.1f} s; "
              "slots are a tenth of those of the example")
        p50, p99 = added_latency(mesh)
        clear_logs(mesh)
        results, ends = run_load(mesh, "surge", surge_plan(mesh))
        roots = root_executions(mesh)
        at_most_once = [row[0] for row in MIX if row[4]]
        repeated = repeated_executions(mesh, at_most_once)
    offered = sum(total(results, name, "offered") for name in CLASSES)
    print(f"{offered} requests in {sum(phase[1] for phase in PHASES):.0f} s, "
          f"of these {PHASES[1][1]:.0f} s at {SURGE_FACTOR:.0f} times the rate")
    print_table(results, work_by_class(roots, ends))
    print(f"added latency versus a direct call, zone latencies included: p50 {p50:.2f} ms, p99 {p99:.2f} ms")
    print(f"goodput recovered {results['recovery_s']['all']} s after the surge")
    false = false_not_run(roots, ends)
    wrong = sum(total(results, name, "wrong") for name in CLASSES)
    print(f"wrong answers {wrong}, false not run {len(false)}, "
          f"at-most-once requests run twice {len(repeated)}")
    print(f"done in {time.monotonic() - start:.0f} s")
    return 1 if wrong or repeated or false else 0


if __name__ == "__main__":
    sys.exit(main())
