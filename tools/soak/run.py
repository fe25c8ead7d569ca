"""Soak runs by hand: python3 -m soak.run --seeds 1-50"""

import argparse
import json
import os
import random
import shutil
import tempfile
import time

from soak.faults import PROFILES, Schedule
from soak.fleet import Fleet, Settings

MIN_SERVED_LATE = 0.9


def run_seed(seed, settings, folder):
    """One run. Returns the violations and a summary."""
    rng = random.Random(seed)
    fleet = Fleet(settings, seed, folder)
    try:
        fleet.start()
        schedule = Schedule(fleet, rng, settings.duration_s, settings.profile)
        schedule.run()
        time.sleep(settings.calm_s)
        ended = fleet.ended_by_themselves()
        result = fleet.finish()
    finally:
        fleet.close()
    violations = result["violations"]
    violations += ["ENDED: %s ended by itself" % name for name in ended]
    if result["served_late"] < MIN_SERVED_LATE:
        violations.append("RECOVER: %.3f of the requests served at the end" % result["served_late"])
    summary = dict(result["summary"], served_late=round(result["served_late"], 3), events=len(schedule.performed),
                   budget={key: round(value[0], 1) for key, value in result["budget"].items()})
    with open(os.path.join(folder, "events.json"), "w", encoding="utf-8") as out:
        json.dump({"performed": schedule.performed, "disturbances": fleet.disturbances, "stops": fleet.stops,
                   "store_disturbances": fleet.history.disturbances, "starts": fleet.history.starts,
                   "configurations": [vars(write) for write in fleet.history.configurations],
                   "entries": [vars(write) for write in fleet.history.entries], "versions": fleet.history.versions,
                   "violations": violations, "failures": result["failures"]}, out, indent=1)
    return violations, summary


def parse_seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="one seed, or FIRST-LAST")
    parser.add_argument("--nodes", type=int, default=8)
    parser.add_argument("--clients", type=int, default=6, help="clients of each node")
    parser.add_argument("--think", type=float, default=0.25, help="mean pause of a client in seconds")
    parser.add_argument("--seconds", type=float, default=25, help="duration of the faults")
    parser.add_argument("--subnet", type=int, default=40, help="third byte of the loopback addresses")
    parser.add_argument("--profile", choices=list(PROFILES), default="all", help="kinds of events")
    parser.add_argument("--logs", default="", help="folder that keeps the logs of failed runs")
    parser.add_argument("--keep", action="store_true", help="keep the logs of all runs")
    options = parser.parse_args()
    settings = Settings(nodes=options.nodes, clients=options.clients, think_s=options.think, duration_s=options.seconds,
                        profile=options.profile, subnet=options.subnet)
    failed = 0
    for seed in parse_seeds(options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            violations, summary = run_seed(seed, settings, folder)
            print("seed %d: %d violations %s" % (seed, len(violations), json.dumps(summary)), flush=True)
            for violation in violations[:10]:
                print("   " + violation, flush=True)
            if options.logs and (violations or options.keep):
                shutil.copytree(folder, os.path.join(options.logs, "seed%d" % seed), dirs_exist_ok=True)
        failed += 1 if violations else 0
    print("%d of %d runs failed" % (failed, len(parse_seeds(options.seeds))))
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
