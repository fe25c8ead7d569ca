"""Recorded rows of measurements, with revision, time and machine load."""

import datetime
import json
import os
import subprocess

from mesh.mesh import REPOSITORY

FOLDER = os.path.join(REPOSITORY, "docs", "measurements")


def _git(*arguments):
    return subprocess.run(["git", "-C", REPOSITORY, *arguments], check=True,
                          capture_output=True, text=True).stdout.strip()


def revision():
    """Revision of the work tree; a trailing "+" marks uncommitted changes to the sources."""
    changed = _git("status", "--porcelain", "--", "src", "emulator", "schema", "tools")
    return _git("rev-parse", "--short=12", "HEAD") + ("+" if changed else "")


def context():
    return {"revision": revision(),
            "time": datetime.datetime.now(datetime.timezone.utc).isoformat(timespec="seconds"),
            "load_average": round(os.getloadavg()[0], 1)}


def append(name, row):
    """Appends a row to docs/measurements/<name>.jsonl."""
    os.makedirs(FOLDER, exist_ok=True)
    with open(os.path.join(FOLDER, name + ".jsonl"), "a", encoding="utf-8") as file:
        file.write(json.dumps({**context(), **row}, sort_keys=True) + "\n")
