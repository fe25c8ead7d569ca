"""Node of the users' platform as a process."""

import http.client
import os
import signal
import uuid

from mesh.platform_fakes import config
from mesh.process import Process
from mesh.wait import wait_until

PEER_PORT = 17620


class Sidecar:
    """Sidecar process with its own loopback address."""

    def __init__(self, index, folder, store_address, worker, peer_port=PEER_PORT, memory_mb=260):
        self.host = worker.host
        self.worker = worker
        self.caller = (self.host, 18304)
        self.ready = (self.host, 18302)
        self.folder = folder
        self.name = "node%d" % index
        self.settings = os.path.join(folder, self.name + ".conf")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write("\n".join([
                "node_id=%s" % self.name, "ip=%s" % self.host, "zone=z", "service=%s" % worker.service,
                "listen_addrs.outbound=%s:18304" % self.host, "listen_addrs.ready=%s:18302" % self.host,
                "app_addr=%s" % worker.address, "platform.address=%s" % store_address,
                "internal_port_range=%d,%d" % (peer_port, peer_port + 15),
                "limits.memory_mb=%d" % memory_mb, "limits.max_fds=4100",
                "bounds=grace_s=6,retry_budget_ratio=0.2,budget_window_s=10,budget_slack=47", ""]))
        self.process = None

    def start(self):
        binary = os.path.join(os.environ["BORAGEPADDLE_BUILD"], "boragepaddle_sidecar")
        self.process = Process(self.name, [binary, "--settings=" + self.settings], self.folder)

    def is_ready(self):
        try:
            return self.get(self.ready, "/boragepaddle/ready", "x")[0] == 200
        except OSError:
            return False

    def get(self, address, path, host, method="GET", attempt=None, timeout=5, fields=None):
        connection = http.client.HTTPConnection(*address, timeout=timeout)
        try:
            connection.request(method, path, body=b"body" if method == "POST" else None, headers={
                "Host": host, "Attempt-Id": attempt or uuid.uuid4().hex, "Deadline-Ms": "3000",
                "Caller-Service": "forged", **(fields or {})})
            answer = connection.getresponse()
            return answer.status, answer.read().decode(), answer.headers
        finally:
            connection.close()

    def call(self, path, method="GET", attempt=None, fields=None):
        return self.get(self.caller, path, "a.example", method, attempt, fields=fields)

    def kill(self, with_signal=signal.SIGKILL):
        self.process.popen.send_signal(with_signal)
        self.process.popen.wait(10)


def start_fleet(test, folder, store, workers, routes, accounts=None):
    """Lists the workers, starts a node beside each and waits until all are ready; the test kills them at its end."""
    nodes = [Sidecar(index, folder, store.address, worker) for index, worker in enumerate(workers)]
    for worker in workers:
        store.put("servers/" + worker.instance, worker.entry())
    store.put("op/config", config(1, routes, accounts))
    for node in nodes:
        node.start()
        test.addCleanup(lambda node=node: node.process.is_running() and node.kill())
    for node in nodes:
        wait_until(node.is_ready, 10, "readiness of " + node.name)
    return nodes
