"""Late second copy of a rejection, on workers that shed part of their requests."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import rig as rigs  # noqa: E402

SEND_S = 85
CLIENTS = 48
PAUSE_S = 0.08
# Limits of the pages: `srv_grey` with `shed`, x 0.45 (0.55 with `all`); `garble` with `extra late`,
# x 0.03 for 5 s at a time; `all` spares no worker of the service.
SHED_SHARE = 0.2
EXTRA_SHARE = 0.03
EXTRA_S, CALM_S = 5, 1

APPROVE = {"name": "loan-approve", "authority": "a.example", "prefix": "/loan/",
           "route_type": "non_idempotent", "timeout_s": 5, "target_latency_s": 1.5, "priority": 0,
           "max_attempts": 2, "service": "s1"}


def spoils(worker):
    """True while the workers repeat answers: for some seconds at a time."""
    age = time.monotonic() - worker.rig.record.start
    return rigs.trouble() and age % (EXTRA_S + CALM_S) < EXTRA_S


def handle(worker, connection, request):
    """Sheds a share of the requests; a share of the answers is repeated where the next is due."""
    while connection.extras:
        connection.sock.sendall(connection.extras.pop())
        worker.rig.record.write("extra_answer", worker=worker.instance,
                                connection=connection.number, before=request.attempt)
    if random.random() < SHED_SHARE:
        data = connection.answer(request, "503 Service Unavailable", {"Not-Executed": "1"})
        if spoils(worker) and random.random() < EXTRA_SHARE:
            connection.extras.append(data)
        return
    connection.run(request)


def case(rig):
    hosts = ["127.0.21.1", "127.0.21.2"]
    rig.choose_ports(hosts)
    for index, host in enumerate(hosts):
        worker = rig.add_worker(rigs.Worker(rig, host, "s1", "i-%d" % index, handle=handle))
        rig.add_node("node%d" % index, worker).start()
    rig.publish([APPROVE])
    rig.wait_ready()
    results = []
    end = time.monotonic() + SEND_S

    def client(node):
        while time.monotonic() < end:
            results.append(rig.send(node, "POST", "/loan/1", body=b"loan"))
            time.sleep(PAUSE_S)

    threads = [threading.Thread(target=client, args=(rig.nodes[index % 2],))
               for index in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(1)
    print("requests:", len(results), "served:", sum(1 for r in results if r[1] == 200))
    violations = []
    for attempt, status, _, _ in results:
        runs = rig.run_count(attempt)
        if runs > 1:
            violations.append("TWICE: %s ran %d times, answered %d" % (attempt, runs, status))
        elif runs > 0 and status in (408, 421, 429, 503):
            violations.append("REFUSED: %s ran and was answered %d" % (attempt, status))
    return violations


rigs.main(os.path.dirname(os.path.abspath(__file__)), case)
