#!/usr/bin/env python3
"""Mutation test: checks that the tests named in docs/PROOF.md fail on naive versions of the code.

Usage: mutations.py [--only TEXT] [--no-record]. Copies the committed sources to a temporary folder, replaces one
mechanism at a time, builds, and runs the test that covers it. The test must pass before and fail after the replacement.
Results go to docs/measurements/mutations.json.
"""
import argparse
import json
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
RESULT = ROOT / "docs" / "measurements" / "mutations.json"
TEST_TIMEOUT_S = 200


def run(arguments, folder, timeout_s=None, env=None):
    try:
        return subprocess.run(arguments, cwd=folder, timeout=timeout_s, env=env, capture_output=True, text=True,
                              check=False)
    except subprocess.TimeoutExpired:
        return None


def build(copy, targets):
    env = {**os.environ, "CCACHE_BASEDIR": str(copy), "CCACHE_NOHASHDIR": "1"}
    result = run(["cmake", "--build", "build", "--target", *targets], copy, env=env)
    if result.returncode != 0:
        raise RuntimeError(result.stdout[-2000:])


def passes(copy, mutation):
    if "unit" in mutation:
        # doctest treats a comma as the end of a filter.
        name = mutation["unit"].replace(",", "?")
        result = run(["build/unit_tests", f"--test-case={name}"], copy, TEST_TIMEOUT_S)
        if result is not None and re.search(r"test cases: +0 ", result.stdout):
            raise RuntimeError(f"no test has the name {name}")
    else:
        file, *names = mutation["integration"].split()
        env = {**os.environ, "BORAGEPADDLE_BUILD": str(copy / "build"), "PYTHONPATH": str(copy / "tools")}
        result = run([sys.executable, f"tests/integration/{file}", *names], copy, TEST_TIMEOUT_S, env)
    return result is not None and result.returncode == 0


def try_mutation(copy, mutation):
    path = copy / mutation["file"]
    original = path.read_text(encoding="utf-8")
    if original.count(mutation["old"]) != 1:
        raise RuntimeError(f"{mutation['file']}: the text to replace occurs {original.count(mutation['old'])} times")
    targets = ["unit_tests"] if "unit" in mutation else ["all"]
    build(copy, targets)
    before = passes(copy, mutation)
    path.write_text(original.replace(mutation["old"], mutation["new"]), encoding="utf-8")
    try:
        build(copy, targets)
        after = passes(copy, mutation)
    finally:
        path.write_text(original, encoding="utf-8")
    return {"line": mutation["line"], "naive": mutation["naive"], "test": mutation.get("unit") or mutation["integration"],
            "passes": before, "fails_on_naive": not after}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="run the mutations whose line contains the text")
    parser.add_argument("--no-record", action="store_true")
    arguments = parser.parse_args()
    mutations = json.loads((ROOT / "tools" / "measure" / "mutations.json").read_text(encoding="utf-8"))
    folder = pathlib.Path(tempfile.mkdtemp(prefix="boragepaddle-mutations-"))
    copy = folder / "copy"
    results = []
    try:
        subprocess.run(["git", "clone", "-q", str(ROOT), str(copy)], check=True)
        # Warnings about code that becomes unused must not fail the build.
        run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja", "-DCMAKE_CXX_FLAGS=-Wno-error -w"], copy)
        for mutation in mutations:
            if arguments.only in mutation["line"]:
                results.append(try_mutation(copy, mutation))
                print(json.dumps(results[-1]), flush=True)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    if not arguments.no_record and not arguments.only:
        RESULT.write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")
    return 0 if all(result["passes"] and result["fails_on_naive"] for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
