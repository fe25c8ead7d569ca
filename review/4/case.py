"""An entry of another writer whose field is a deeply nested list."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import rig as rigs  # noqa: E402

DEPTH = 300000  # a value of 0.6 MB; the store takes 1 MB (platform.value_bytes)
SMALL_DEPTH = 10
CLIENTS = 12
RESTART_S = 0.5

REGISTER = {"name": "restore-register", "authority": "a.example", "prefix": "/register/",
            "route_type": "non_idempotent", "timeout_s": 5, "target_latency_s": 1.5, "priority": 0,
            "max_attempts": 2, "service": "s1"}


def case(rig):
    hosts = ["127.0.34.1", "127.0.34.2", "127.0.34.3"]
    rig.choose_ports(hosts)
    for index, host in enumerate(hosts):
        worker = rig.add_worker(rigs.Worker(rig, host, "s1", "i-%d" % index, work_s=0.4))
        rig.add_node("node%d" % index, worker).start()
    rig.publish([REGISTER])
    rig.wait_ready()
    stop = threading.Event()
    results = []

    def client(node):
        one = rigs.KeptClient(rig, node)
        while not stop.is_set():
            try:
                results.append(one.request("POST", "/register/1", b"record"))
            except OSError:
                one.close()
                time.sleep(0.1)

    threads = [threading.Thread(target=client, args=(rig.nodes[index % 3],))
               for index in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(4)
    depth = DEPTH if rigs.trouble() else SMALL_DEPTH
    rig.put_bytes("servers/i-other", b'{"service":' + b"[" * depth + b"]" * depth + b"}")
    ends = 0
    end = time.monotonic() + 6
    while time.monotonic() < end:
        for node in rig.nodes:
            if not node.is_running():
                ends += 1
                rig.record.write("process_ended", node=node.name, status=node.popen.returncode)
                time.sleep(RESTART_S)
                node.start()
        time.sleep(0.01)
    stop.set()
    for thread in threads:
        thread.join()
    lost = rigs.lost_on_kept_connections(rig, results)
    print("requests:", len(results), "served:", sum(1 for r in results if r[1] == 200),
          "processes that ended by themselves:", ends)
    return ["LOST: %s ran, and its kept connection ended without an answer" % attempt
            for attempt in lost] if len(lost) > 3 else []


rigs.main(os.path.dirname(os.path.abspath(__file__)), case)
