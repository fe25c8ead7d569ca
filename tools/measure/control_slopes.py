#!/usr/bin/env python3
"""Measures configuration changes and control traffic at several fleet sizes.

Usage: control_slopes.py [--nodes 10 30 60] [--out FILE]. Needs a build. Writes raw results as JSON; the time
from the start of the PUT to the time in each node's audit trail is the delay of a change on that node.
"""
import argparse
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from mesh.config_fleet import READERS_PER_ZONE, ZONES, ConfigFleet  # noqa: E402
from mesh.wait import WaitTimeout, wait_until  # noqa: E402

IDLE_S = 20
# 22,000 changes a day.
CHANGE_INTERVAL_S = 4
TIMEOUT_S = 60
TRAFFIC_KEYS = ("messages_sent", "bytes_sent", "messages_received", "bytes_received")


class Sample:
    """Counters of the platform and of all nodes at one time."""

    def __init__(self, fleet):
        self.time = time.monotonic()
        self.reads = fleet.platform_stats()["reads"]
        self.traffic = {vm_id: status["control"]["traffic"]
                        for vm_id, status in fleet.statuses().items()}
        self.cpu = {vm_id: fleet.nodes[vm_id].cpu_seconds() for vm_id in self.traffic}
        self.resident_kb = {vm_id: fleet.nodes[vm_id].resident_kb() for vm_id in self.traffic}


def rates(before, after):
    span = after.time - before.time
    result = {"seconds": span, "platform_reads_per_s": (after.reads - before.reads) / span}
    for key in TRAFFIC_KEYS:
        per_node = [(after.traffic[vm_id][key] - before.traffic[vm_id][key]) / span
                    for vm_id in before.traffic]
        result[key + "_per_s"] = {"mean": statistics.mean(per_node), "max": max(per_node)}
    cpu = [(after.cpu[vm_id] - before.cpu[vm_id]) / span for vm_id in before.cpu]
    result["cpu_cores"] = {"mean": statistics.mean(cpu), "max": max(cpu)}
    result["resident_kb_max"] = max(after.resident_kb.values())
    return result


def change(fleet):
    """Makes one change; returns its delays on the nodes that are not paused, in seconds."""
    revision, begin = fleet.change_config()
    try:
        fleet.wait_in_force(revision, TIMEOUT_S)
    except WaitTimeout:
        pass
    delays = sorted(fleet.delays(revision, begin).values())
    awake = len(fleet.unpaused_vm_ids())
    return {"awake": awake, "in_force": len(delays), "median": statistics.median(delays or [0]),
            "max": max(delays or [0])}


def changes(fleet, count):
    results = []
    for _ in range(count):
        results.append(change(fleet))
    return results


def paced_changes(fleet, count):
    before = Sample(fleet)
    results = []
    begin = time.monotonic()
    for index in range(count):
        wait_until(lambda: time.monotonic() >= begin + index * CHANGE_INTERVAL_S, TIMEOUT_S, "next change")
        results.append(change(fleet))
    wait_until(lambda: time.monotonic() >= begin + count * CHANGE_INTERVAL_S, TIMEOUT_S, "end")
    return {"changes": results, "rates": rates(before, Sample(fleet))}


def change_with_paused_readers(fleet, count, per_zone):
    """Pauses the first `per_zone` readers of every zone."""
    paused = [vm_id for found in fleet.readers().values() for vm_id in found[:per_zone]]
    fleet.pause(paused)
    try:
        return {"frozen": len(paused), "changes": changes(fleet, count)}
    finally:
        fleet.resume()


def measure(nodes, count):
    result = {"nodes": nodes}
    with ConfigFleet(nodes) as fleet:
        wait_until(lambda: all(fleet.readers().values()), TIMEOUT_S, "readers")
        before = Sample(fleet)
        time.sleep(IDLE_S)
        result["idle"] = rates(before, Sample(fleet))
        result["healthy"] = paced_changes(fleet, count)
        result["frozen_readers_per_zone"] = {
            per_zone: change_with_paused_readers(fleet, count, per_zone) for per_zone in range(1, READERS_PER_ZONE + 1)}
        fleet.control_platform(down_zones=ZONES[1:])
        result["platform_in_one_zone"] = changes(fleet, count)
        fleet.control_platform(down_zones=[])
        result["reversions"] = fleet.reversions()
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--nodes", type=int, nargs="+", default=[10, 30, 60])
    parser.add_argument("--count", type=int, default=10, help="changes in each case")
    parser.add_argument("--out", default=str(ROOT / "docs" / "measurements" / "control_slopes.json"))
    arguments = parser.parse_args()
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True,
                            text=True, check=True).stdout.strip()
    result = {"commit": commit, "date": time.strftime("%Y-%m-%d %H:%M", time.gmtime()),
              "cores": os.cpu_count(), "load_before": os.getloadavg()[0],
              "fleets": [measure(nodes, arguments.count) for nodes in arguments.nodes]}
    result["load_after"] = os.getloadavg()[0]
    pathlib.Path(arguments.out).write_text(json.dumps(result, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
