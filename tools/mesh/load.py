"""Runs the load program."""

import dataclasses
import json
import os
import subprocess

from mesh.mesh import program


@dataclasses.dataclass
class RequestResult:
    """Result of one request as seen by the client."""
    phase: str
    call_class: str
    operation: str
    outcome: str
    in_time: bool
    attempts: int


def run_load(mesh, name, plan, timeout_s=600):
    """Runs a plan; returns (results, {key: RequestResult})."""
    plan = {"run": name, **plan}
    paths = {part: os.path.join(mesh.folder, f"{name}.{part}")
             for part in ("plan", "results", "ends")}
    with open(paths["plan"], "w", encoding="utf-8") as file:
        json.dump(plan, file)
    process = mesh.start_process(f"load-{name}", [
        program("load"), f"--plan={paths['plan']}", f"--output={paths['results']}",
        f"--ends={paths['ends']}"])
    try:
        code = process.popen.wait(timeout_s)
    except subprocess.TimeoutExpired:
        process.kill()
        raise
    if code != 0:
        raise RuntimeError(f"load exited with {code}: {process.log_tail()}")
    with open(paths["results"], encoding="utf-8") as file:
        results = json.load(file)
    return results, read_request_results(paths["ends"])


def read_request_results(path):
    """{request key: RequestResult} from the --ends file of the load program."""
    ends = {}
    with open(path, encoding="utf-8") as file:
        for line in file:
            key, phase, call_class, operation, outcome, in_time, attempts = line.split()
            ends[key] = RequestResult(phase, call_class, operation, outcome, in_time == "1",
                                      int(attempts))
    return ends


def caller_entries(mesh, services=None):
    """Caller addresses of the nodes, of some services or all."""
    return [node.addresses["caller"] for vm_id, node in sorted(mesh.nodes.items())
            if services is None or mesh.vms[vm_id].service.name in services]
