#!/usr/bin/env python3
"""Measures the resource use of one node per connection, VM, service and call.

Prints one JSON object and appends it to docs/measurements/node_slopes.jsonl.
Each slope has at least three sizes, a least-squares fit and its largest error.
"""

import argparse
import dataclasses
import json
import pathlib
import socket
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from measure.fit import fit_line  # noqa: E402
from mesh.caller import call_once  # noqa: E402
from mesh.http import get_json, put_json  # noqa: E402
from mesh.mesh import Mesh  # noqa: E402
from mesh.topology import Service, Topology  # noqa: E402
from mesh.wait import wait_until  # noqa: E402

WINDOW_S = 5
SETTLE_S = 2
ZONES = ["tamsui"]


def topology():
    return Topology("slopes", ["bureau"], [Service(
        name="catalogue", member="bureau", region="tw-north", zones=ZONES, workers=1,
        slots=64, operations={"read": {"service_ms": 1}})])


def config(services=1):
    def service(index):
        name = "catalogue" if index == 0 else f"service-{index}"
        return {"name": name, "operations": [
            {"name": "read", "class": "member", "idempotent": True, "retry_on_unknown": True},
            {"name": "write", "class": "standard"},
            {"name": "check", "class": "internal", "idempotent": True}]}

    return {"10-bureau.json": json.dumps(
        {"member": "bureau", "services": [service(index) for index in range(services)]})}


def cpu_share(process, seconds):
    """Share of a core used over the window."""
    begin = process.cpu_seconds()
    time.sleep(seconds)
    return (process.cpu_seconds() - begin) / seconds


def measure_connections(sizes):
    """Resident memory (KB) and idle CPU share by open caller connections."""
    memory, cpu = [], []
    for size in sizes:
        with Mesh(topology(), config()) as mesh:
            node = next(iter(mesh.nodes.values()))
            host, port = node.addresses["caller"].split(":")
            opened = [socket.create_connection((host, int(port))) for _ in range(size)]
            request = b"POST /call/catalogue/read HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
            for connection in opened:
                connection.sendall(request)
                connection.recv(4096)
            time.sleep(SETTLE_S)
            cpu.append((size, cpu_share(node, WINDOW_S)))
            memory.append((size, node.resident_kb()))
            for connection in opened:
                connection.close()
    return {"connections_rss_kb": memory, "connections_cpu": cpu}


def fake_vms(mesh, count):
    vms = mesh.vm_list()
    zones = [f"zone-{index}" for index in range(16)]
    for index in range(count - len(vms)):
        vms.append({
            "vm_id": f"vm-{index:05d}", "member": "bureau", "service": f"service-{index % 1700}",
            "availability_zone": zones[index % 16], "region": f"region-{index % 5}",
            # A port on which nothing listens.
            "peer_address": "127.0.0.1:1", "state": "live"})
    return vms


def measure_vms(sizes):
    """Resident memory (KB) and idle CPU share by VMs in the platform's list."""
    memory, cpu = [], []
    for size in sizes:
        with Mesh(topology(), config()) as mesh:
            node = next(iter(mesh.nodes.values()))
            put_json(mesh.platform.addresses["address"], "/v1/vms", {"vms": fake_vms(mesh, size)})
            time.sleep(SETTLE_S + 1)
            cpu.append((size, cpu_share(node, WINDOW_S)))
            memory.append((size, node.resident_kb()))
    return {"vms_rss_kb": memory, "vms_cpu": cpu}


def measure_services(sizes):
    """Resident memory (KB) by services in the configuration, and seconds of CPU for one change."""
    memory, change = [], []
    for size in sizes:
        with Mesh(topology(), config(size)) as mesh:
            node = next(iter(mesh.nodes.values()))
            time.sleep(SETTLE_S)
            memory.append((size, node.resident_kb()))
            begin = node.cpu_seconds()
            changes = 5
            for index in range(changes):
                mesh.config_files["10-bureau.json"] = config(size)["10-bureau.json"].replace(
                    '"idempotent": true}', '"idempotent": true, "deadline_ms": %d}' % (3000 + index), 1)
                version = mesh.put_config()
                operator = node.addresses["operator"]
                wait_until(lambda: get_json(operator, "/status")["config_version"] >= version,
                           20, "change in force")
            change.append((size, (node.cpu_seconds() - begin) / changes))
    return {"services_rss_kb": memory, "services_change_cpu_s": change}


def send_at_rate(address, rate, seconds):
    """Calls at a fixed rate from a small number of threads; returns the number of calls sent."""
    threads = max(1, min(8, rate // 25))
    counts = [0] * threads

    def run(index):
        interval = threads / rate
        next_time = time.monotonic() + index * interval / threads
        end = time.monotonic() + seconds
        while next_time < end:
            time.sleep(max(0, next_time - time.monotonic()))
            call_once(address, "catalogue", "read", "{}")
            counts[index] += 1
            next_time += interval

    workers = [threading.Thread(target=run, args=(index,)) for index in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return sum(counts)


def measure_calls(rates):
    """CPU share by calls per second; the node is both egress and ingress of each call."""
    cpu = []
    for rate in rates:
        with Mesh(topology(), config()) as mesh:
            node = next(iter(mesh.nodes.values()))
            begin = node.cpu_seconds()
            sent = send_at_rate(node.addresses["caller"], rate, WINDOW_S) if rate else 0
            if not rate:
                time.sleep(WINDOW_S)
            cpu.append((sent / WINDOW_S, (node.cpu_seconds() - begin) / WINDOW_S))
    return {"calls_cpu": cpu}


def revision():
    return subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, check=True,
                          capture_output=True, text=True).stdout.strip()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="use smaller sizes and record nothing")
    arguments = parser.parse_args()
    quick = arguments.quick
    series = {}
    series.update(measure_connections([0, 50, 100] if quick else [0, 240, 480, 960]))
    series.update(measure_vms([1, 100, 1000] if quick else [1, 1700, 8000, 25000]))
    series.update(measure_services([1, 50, 100] if quick else [1, 100, 600, 1700]))
    series.update(measure_calls([0, 50, 100] if quick else [0, 100, 200, 400]))
    result = {"revision": revision(), "time": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
              "series": {name: {"points": points, "fit": dataclasses.asdict(fit_line(points))}
                         for name, points in series.items()}}
    text = json.dumps(result)
    print(text)
    if not quick:
        path = ROOT / "docs" / "measurements" / "node_slopes.jsonl"
        path.parent.mkdir(exist_ok=True)
        with path.open("a", encoding="utf-8") as file:
            file.write(text + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
