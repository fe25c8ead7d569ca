"""Compares the outcomes reported to clients with the executions of the workers."""

import dataclasses

from mesh.http import get_json, request

LOG_TIMEOUT_S = 60
CLASSES = ["member", "standard", "internal", "bulk"]
# Outcomes of the load program that count as useful work.
USEFUL = ("completed",)


@dataclasses.dataclass
class ClassWork:
    """Executions of the requests of one class, with their child calls."""
    started: int = 0
    busy_ms: float = 0.0
    wasted_ms: float = 0.0


def clear_logs(mesh):
    for worker in mesh.workers.values():
        request("DELETE", worker.addresses["address"], "/log")


def root_executions(mesh):
    """{root key: [executions started, busy ms]} over all running workers.

    The key of a child call is "<key of its parent>/<index>".
    """
    roots = {}
    for worker in mesh.workers.values():
        if not worker.is_running():
            continue
        log = get_json(worker.addresses["address"], "/log", LOG_TIMEOUT_S)
        for keys in log.values():
            for key, counts in keys.items():
                root = roots.setdefault(key.split("/", 1)[0], [0, 0.0])
                root[0] += counts["started"]
                root[1] += counts["busy_ms"]
    return roots


def work_by_class(roots, ends):
    """{class: ClassWork}; work for a request that did not complete is wasted."""
    work = {name: ClassWork() for name in CLASSES}
    for key, end in ends.items():
        started, busy_ms = roots.get(key, (0, 0.0))
        entry = work.setdefault(end.call_class, ClassWork())
        entry.started += started
        entry.busy_ms += busy_ms
        if end.outcome not in USEFUL:
            entry.wasted_ms += busy_ms
    return work


def false_not_run(roots, ends):
    """Keys that were reported as not run but were executed by a worker."""
    return [key for key, end in ends.items()
            if end.outcome == "not_run" and roots.get(key, (0, 0.0))[0] > 0]


def repeated_executions(mesh, operations):
    """Keys executed more than once, for operations given as
    "service.operation"."""
    counts = {}
    for vm_id, worker in mesh.workers.items():
        if not worker.is_running():
            continue
        service = mesh.vms[vm_id].service.name
        log = get_json(worker.addresses["address"], "/log", LOG_TIMEOUT_S)
        for operation, keys in log.items():
            if f"{service}.{operation}" not in operations:
                continue
            for key, entry in keys.items():
                name = (service, operation, key)
                counts[name] = counts.get(name, 0) + entry["started"]
    return [name for name, count in counts.items() if count > 1]


def inversions(mesh, sheds, reasons=("overloaded", "displaced")):
    """Requests refused by a service in a 100 ms window in which the same
    service started work of a less important class.

    `sheds` is the list of the load program. Returns (inversions, sheds).
    """
    admitted = {}
    for vm_id, worker in mesh.workers.items():
        if not worker.is_running():
            continue
        service = mesh.vms[vm_id].service.name
        windows = get_json(worker.addresses["address"], "/admissions", LOG_TIMEOUT_S)
        for window, classes in windows.items():
            lowest = max(CLASSES.index(name) for name in classes if name in CLASSES)
            key = (int(window), service)
            admitted[key] = max(admitted.get(key, 0), lowest)
    inverted = total = 0
    for window, service, call_class, reason, count in sheds:
        if reason not in reasons or call_class not in CLASSES:
            continue
        total += count
        if admitted.get((window, service), -1) > CLASSES.index(call_class):
            inverted += count
    return inverted, total
