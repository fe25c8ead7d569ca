#!/usr/bin/env python3
"""Rewrites the tables of docs/CAPACITY.md from the recorded measurements.

Usage: capacity.py [--benchmark] [--slopes]. With --benchmark it first runs build/core_benchmark, with --slopes
node_slopes.py and control_slopes.py, and records the results. Without them it uses the recorded ones: the last row of
docs/measurements/node_slopes.jsonl and docs/measurements/control_slopes.json.
"""
import argparse
import json
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from measure.fit import fit_line  # noqa: E402

MEASUREMENTS = ROOT / "docs" / "measurements"
PAGE = ROOT / "docs" / "CAPACITY.md"
BENCHMARK = MEASUREMENTS / "core_benchmark.json"

# The target of docs/design.md, section 1.4.
WORKERS = 25000
SERVICES = 1700
CALLS_PER_NODE = 184
CONNECTIONS = 960
CHANGES_PER_S = 22000 / 86400
LIST_CHANGES_PER_S = (29 + 2 * 1400) / 86400
CPU_LIMIT = 0.019
MEMORY_LIMIT_MB = 128
BYTES_LIMIT = 2048


def run_benchmark():
    subprocess.run([str(ROOT / "build" / "core_benchmark"), "--benchmark_min_time=0.1",
                    f"--benchmark_out={BENCHMARK}", "--benchmark_out_format=json"],
                   check=True, stdout=subprocess.DEVNULL)
    # The context contains the host name, which must not be committed.
    result = json.loads(BENCHMARK.read_text(encoding="utf-8"))
    kept = ("num_cpus", "mhz_per_cpu", "library_build_type", "date")
    result["context"] = {key: result["context"][key] for key in kept}
    BENCHMARK.write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")


def last_row(name):
    return json.loads((MEASUREMENTS / name).read_text(encoding="utf-8").splitlines()[-1])


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    return lines + ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]


def slopes_table(slopes):
    rows = []
    for name, entry in slopes["series"].items():
        fit = entry["fit"]
        points = ", ".join(f"{size:g}: {value:.4g}" for size, value in entry["points"])
        rows.append([f"`{name}`", points, f"{fit['intercept']:.4g}", f"{fit['slope']:.4g}", f"{fit['error']:.3g}"])
    return ([f"`tools/measure/node_slopes.py`, revision {slopes['revision']}, {slopes['time']}.", ""] +
            table(["series", "size: value", "at 0", "per unit", "largest error"], rows))


def benchmark_table():
    result = json.loads(BENCHMARK.read_text(encoding="utf-8"))
    rows = [[f"`{entry['name']}`", f"{entry['cpu_time']:.4g} {entry['time_unit']}"]
            for entry in result["benchmarks"] if "cpu_time" in entry]
    return (["`build/core_benchmark`, processor time of one operation.", ""] +
            table(["benchmark", "time"], rows))


def control_series(control, case, key):
    return [(fleet["nodes"], fleet[case]["rates"][key]["mean"] if case != "idle" else fleet["idle"][key]["mean"])
            for fleet in control["fleets"]]


def control_table(control):
    rows = []
    for fleet in control["fleets"]:
        idle, busy = fleet["idle"], fleet["healthy"]["rates"]
        worst = max(change["max"] for change in fleet["healthy"]["changes"])
        rows.append([fleet["nodes"], f"{idle['platform_reads_per_s']:.2f}", f"{busy['platform_reads_per_s']:.2f}",
                     f"{idle['bytes_sent_per_s']['mean']:.0f}", f"{busy['bytes_sent_per_s']['mean']:.0f}",
                     f"{busy['bytes_sent_per_s']['max']:.0f}", f"{worst * 1000:.0f} ms"])
    return ([f"`tools/measure/control_slopes.py`, revision {control['commit']}, one change every 4 s.", ""] +
            table(["nodes", "platform reads/s idle", "with changes", "bytes/s sent idle, mean", "with changes, mean",
                   "with changes, largest node", "slowest node in force after"], rows))


def target_table(slopes, control):
    fits = {name: entry["fit"] for name, entry in slopes["series"].items()}

    def at(name, size):
        return fits[name]["intercept"] + fits[name]["slope"] * size

    # Each fit includes the base memory, so only one intercept is added.
    memory_mb = (at("connections_rss_kb", CONNECTIONS) + fits["vms_rss_kb"]["slope"] * WORKERS +
                 fits["services_rss_kb"]["slope"] * SERVICES) / 1024
    idle = at("vms_cpu", WORKERS)
    change = at("services_change_cpu_s", SERVICES) * CHANGES_PER_S
    calls = fits["calls_cpu"]["slope"] * CALLS_PER_NODE
    sent = fit_line(control_series(control, "healthy", "bytes_sent_per_s"))
    largest = max(fleet["healthy"]["rates"]["bytes_sent_per_s"]["max"] for fleet in control["fleets"])
    rows = [
        ["memory of a node, 960 connections, whole configuration and list", f"{memory_mb:.0f} MB",
         f"{MEMORY_LIMIT_MB} MB", "one thread per connection; whole folder and list held once"],
        ["control, idle with the whole VM list", f"{idle:.2%} of a core", f"{CPU_LIMIT:.1%} for all control",
         "timers only"],
        ["control, 22,000 changes a day", f"{change:.2%} of a core", "part of the above",
         "only changed files are parsed again"],
        ["control, sum", f"{idle + change:.2%} of a core", f"{CPU_LIMIT:.1%}", ""],
        ["calls, 184/s through egress and ingress", f"{calls:.1%} of a core", "none given", "persistent connections"],
        ["control bytes sent by an average node, one change in 4 s",
         f"{sent.intercept:.0f} B/s + {sent.slope:.2f} per node of the fleet (fit)", f"{BYTES_LIMIT} B/s",
         "each node receives a change once by the tree; see the note on the fit"],
        ["control bytes sent by the busiest node measured", f"{largest:.0f} B/s", f"{BYTES_LIMIT} B/s",
         "another tree for each version"],
    ]
    return table(["figure at the target", "worked out", "limit", "mechanism"], rows)


def replace(page, name, lines):
    pattern = re.compile(rf"(<!-- {name} begin -->\n).*?(<!-- {name} end -->)", re.S)
    if not pattern.search(page):
        raise ValueError(f"no markers for {name} in the page")
    return pattern.sub(lambda match: match.group(1) + "\n".join(lines) + "\n" + match.group(2), page)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--benchmark", action="store_true", help="run the core benchmark first")
    parser.add_argument("--slopes", action="store_true", help="run the loopback slopes first (about 20 minutes)")
    arguments = parser.parse_args()
    if arguments.benchmark:
        run_benchmark()
    if arguments.slopes:
        for script in ("node_slopes.py", "control_slopes.py"):
            subprocess.run([sys.executable, str(ROOT / "tools" / "measure" / script)], check=True,
                           stdout=subprocess.DEVNULL)
    slopes = last_row("node_slopes.jsonl")
    control = json.loads((MEASUREMENTS / "control_slopes.json").read_text(encoding="utf-8"))
    page = PAGE.read_text(encoding="utf-8")
    page = replace(page, "target", target_table(slopes, control))
    page = replace(page, "slopes", slopes_table(slopes))
    page = replace(page, "control", control_table(control))
    page = replace(page, "benchmark", benchmark_table())
    PAGE.write_text(page, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
