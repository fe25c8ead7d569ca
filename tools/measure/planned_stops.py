#!/usr/bin/env python3
"""Counts requests that are interrupted by planned stops under load; the target is 0."""

import argparse
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from mesh.stops import describe, run_planned_stops  # noqa: E402


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--stops", type=int, default=100)
    parser.add_argument("--rate", type=float, default=100,
                        help="requests per second of each of two operations")
    arguments = parser.parse_args()
    result = run_planned_stops(arguments.stops, arguments.rate)
    print(describe(result))
    bad = sum(count for outcome, count in result["outcomes"].items()
              if outcome != "completed") + result["run_twice"]
    print(f"requests={sum(result['outcomes'].values())} interrupted={bad} "
          f"nodes_drained={result['exit_codes'].count(0)}/{arguments.stops}")
    return 1 if bad or any(result["exit_codes"]) else 0


if __name__ == "__main__":
    sys.exit(main())
