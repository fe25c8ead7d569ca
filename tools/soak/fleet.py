"""Nodes of a soak run as processes, with their store, links, workers and clients."""

import multiprocessing
import os
import signal
import time

from mesh.platform_fakes import FakeStore, config
from mesh.process import kill_with_launcher
from mesh.sidecar import Sidecar
from mesh.wait import wait_until
from soak import links, traffic
from soak.store_history import StoreHistory, Write

# Time after a disturbance of a node for which its requests may still suffer from it.
AFTERMATH_S = 1.0
ENTRY_REMOVAL_S = 1.5
GRACE_S = 6.0
# Age of the copy that the store comes back from, when it goes away.
COPY_AGE_S = (1.0, 8.0)
# Routes that changes of the configuration move from one service to the other, in turn. More than one, so that the
# versions of some seconds do not contradict each other.
MOVED_ROUTES = 4
# No program can handle a signal before its first instruction.
MIN_SIGNAL_AGE_S = 0.05


class Settings:
    """Size of a run."""

    def __init__(self, nodes=8, clients=6, think_s=0.25, duration_s=25.0, calm_s=8.0,
                 profile="all", subnet=40):
        self.nodes = nodes
        self.clients = clients
        self.think_s = think_s
        self.duration_s = duration_s
        self.calm_s = calm_s
        self.profile = profile
        # Third byte of the loopback addresses, so that runs can be made side by side.
        self.subnet = subnet


# Client accounts of the profile "accounts": the first asks for more than its limit at times, the last has no limit.
ACCOUNTS = ({"name": "busy", "rate_per_s": 30, "burst": 30, "priority": 1, "clients": 5},
            {"name": "small", "rate_per_s": 60, "burst": 60, "clients": 2},
            {"name": "free", "clients": 1})


def routes():
    """`share` is the part of the requests of clients, `calls` are the calls of a worker."""
    common = {"authority": "a.example", "timeout_s": 4, "target_latency_s": 0.5, "calls": []}
    rows = [
        {"name": "read", "route_type": "idempotent", "priority": 2, "max_attempts": 3, "service": "s1", "share": 4,
         "work_s": 0.05},
        {"name": "write", "route_type": "non_idempotent", "priority": 0, "max_attempts": 2, "service": "s1", "share": 4,
         "work_s": 0.1},
        {"name": "compose", "route_type": "idempotent", "priority": 1, "max_attempts": 2, "service": "s1", "share": 2,
         "work_s": 0.05, "calls": ["check", "check", "check", "book"]},
        {"name": "slow", "route_type": "non_idempotent", "priority": 1, "max_attempts": 1, "service": "s2", "share": 1,
         "work_s": 1.2},
        {"name": "upload", "route_type": "upload", "priority": 1, "max_attempts": 2, "service": "s2", "share": 1,
         "work_s": 0.1},
        {"name": "approve", "route_type": "non_idempotent", "priority": 0, "max_attempts": 2, "service": "s1", "share": 1,
         "work_s": 0.05, "calls": ["audit"]},
        {"name": "audit", "route_type": "non_idempotent", "priority": 0, "max_attempts": 2, "service": "s2", "share": 0,
         "work_s": 0.8},
        {"name": "check", "route_type": "idempotent", "priority": 1, "max_attempts": 2, "service": "s2", "share": 0,
         "work_s": 0.03},
        {"name": "book", "route_type": "non_idempotent", "priority": 1, "max_attempts": 2, "service": "s2", "share": 0,
         "work_s": 0.05},
        # Some versions of the configuration lack this route.
        {"name": "optional", "route_type": "idempotent", "priority": 1, "max_attempts": 2, "service": "s2", "share": 1,
         "work_s": 0.02, "is_optional": True},
    ]
    rows += [{"name": "moved-%d" % index, "route_type": "idempotent", "priority": 1, "max_attempts": 2, "service": "s1",
              "share": 1, "work_s": 0.02, "moves": True} for index in range(MOVED_ROUTES)]
    for row in rows:
        row.update({key: value for key, value in common.items() if key not in row})
        row.update(prefix="/%s/" % row["name"], limit_s=3.0, idempotent=row["route_type"] == "idempotent")
    return rows


class Fleet:
    """All processes of one run; its methods are the events of the schedule."""

    def __init__(self, settings, seed, folder):
        self.settings = settings
        count = settings.nodes
        hosts = ["127.0.%d.%d" % (settings.subnet, index + 1) for index in range(count)]
        # A port of each node's own, so that a proxy can stand at the address that the others connect to.
        ports = [21000 + 20 * index for index in range(count)]
        self.services = ["s1" if index % 2 == 0 else "s2" for index in range(count)]
        self.instances = ["i-%d-0" % index for index in range(count)]
        self.store = FakeStore("127.0.0.1")
        self.store_addresses = [self.store.add_server()[1] for _ in hosts]
        self.worker_addresses = [(host, 18301) for host in hosts]
        self.disturbances = []
        # (node, time) of each SIGTERM.
        self.stops = []
        self.version = 0
        self.moves = 0
        self.document = None
        self.history = StoreHistory(count)
        # Present entry of each worker, as it is or is to be in the store; None if the worker has ended.
        self.entries = [None] * count
        # The disturbance of the store while it is away before a return.
        self.away = None
        # (time, copy) of the last seconds.
        self.copies = []
        self.routes = routes()
        self.accounts = [dict(account, api_keys=["key-%s-0" % account["name"]]) for account in ACCOUNTS] \
            if settings.profile == "accounts" else []
        self.refused = [0] * count
        # Processes that are to be restarted: at this time, or when they have ended.
        self.restart_at = {}
        self.kill_at = {}
        self.frozen = set()
        self.started_at = {}
        self.worker_back_at = {}
        self.nodes = [Sidecar(index, folder, self.store_addresses[index],
                              ListedWorker(hosts[index], self.services[index], self.worker_addresses[index]),
                              peer_port=ports[index]) for index in range(count)]
        self.bounds = {"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 47}
        layout = {"workers": self.worker_addresses, "services": self.services, "slots": 40,
                  "nodes": [node.caller for node in self.nodes], "routes": self.routes, "bounds": self.bounds,
                  "accounts": self.accounts, "clients": settings.clients, "think_s": settings.think_s, "calm_s": settings.calm_s}
        self.processes = []
        self.network = self.start_process(links.run, hosts, ports, seed)
        self.traffic = self.start_process(traffic.run, layout, seed)

    def start_process(self, function, *arguments):
        """Runs `function` in a process; returns the pipe to it once it is ready."""
        here, there = multiprocessing.Pipe()
        process = multiprocessing.Process(target=run_child, args=(function, there) + arguments, daemon=True)
        process.start()
        self.processes.append(process)
        assert here.recv() == "ready"
        return here

    def start(self):
        for index in range(len(self.nodes)):
            self.list_worker(index, "ready")
        self.publish()
        for index in range(len(self.nodes)):
            self.start_node(index)
        for node in self.nodes:
            wait_until(node.is_ready, 15, "readiness of " + node.name)
        self.command(self.traffic, "start")

    def start_node(self, index):
        starts = self.history.starts[index]
        starts.append(time.monotonic())
        process = self.nodes[index].process
        if process is not None:
            # A new process truncates the file.
            os.rename(process.out_path, "%s.%d" % (process.out_path, len(starts) - 1))
        self.nodes[index].start()

    @staticmethod
    def command(pipe, name, **arguments):
        pipe.send((name, arguments))
        assert pipe.recv() == "done"

    def disturb(self, nodes, kind, lasts_s=0.0):
        now = time.monotonic()
        for node in nodes:
            self.disturbances.append((now, now + lasts_s + AFTERMATH_S, node, kind))

    def links(self, name, **arguments):
        """Changes links; all nodes count as disturbed, since each link has another end."""
        self.disturb(range(len(self.nodes)), name, 4.0 if name in ("cut", "silence", "forget", "delay") else 0.0)
        self.command(self.network, name, **arguments)

    def kill(self, index, restart_s):
        self.disturb([index], "kill", restart_s)
        popen = self.nodes[index].process.popen
        if popen.poll() is None:
            popen.kill()
            popen.wait()
        self.frozen.discard(index)
        self.kill_at.pop(index, None)
        self.restart_at[index] = time.monotonic() + restart_s

    def terminate(self, index):
        """Planned: no disturbance by itself."""
        if index in self.restart_at or index in self.kill_at or index in self.frozen:
            return
        self.nodes[index].process.popen.send_signal(signal.SIGTERM)
        self.stops.append((index, time.monotonic()))
        self.kill_at[index] = time.monotonic() + GRACE_S

    def signal(self, index, number):
        popen = self.nodes[index].process.popen
        is_new = time.monotonic() - self.started_at.get(index, 0) < MIN_SIGNAL_AGE_S
        if popen.poll() is not None or (number == signal.SIGHUP and is_new):
            return
        self.disturb([index], signal.Signals(number).name, 3.0 if number == signal.SIGSTOP else 0.0)
        (self.frozen.add if number == signal.SIGSTOP else self.frozen.discard)(index)
        popen.send_signal(number)

    def has_restarting_node(self):
        return bool(self.restart_at or self.kill_at)

    def restart_ended(self):
        """Starts processes again that were killed or have ended."""
        now = time.monotonic()
        for index, at in list(self.kill_at.items()):
            popen = self.nodes[index].process.popen
            if popen.poll() is not None:
                del self.kill_at[index]
                self.restart_at[index] = now + 0.3
            elif now > at:
                self.disturb([index], "end_of_grace")
                popen.kill()
                popen.wait()
        for index, at in list(self.restart_at.items()):
            if now >= at:
                del self.restart_at[index]
                self.start_node(index)
                self.started_at[index] = time.monotonic()

    def ended_by_themselves(self):
        """Names of nodes whose process ended without a signal of this run."""
        return [node.name for index, node in enumerate(self.nodes)
                if index not in self.restart_at and index not in self.kill_at and not node.process.is_running()]

    def refuse_store(self, nodes, refuse):
        """The store refuses, or serves again, these nodes."""
        now = time.monotonic()
        if refuse:
            self.history.begin_disturbance("down", now)
        else:
            # The one that began first; which of several that overlap is no matter.
            next(one for one in self.history.disturbances if one[1] is None and one[2] == "down")[1] = now
        for index in nodes:
            self.refused[index] += 1 if refuse else -1
            self.store.set_refusing(self.store_addresses[index], self.refused[index] > 0)

    def crash_worker(self, index, down_s):
        if time.monotonic() < self.worker_back_at.get(index, 0):
            return
        self.worker_back_at[index] = time.monotonic() + down_s + 0.5
        self.disturb([index], "worker_crash", down_s + 2)
        old = self.next_instance(index)
        self.command(self.traffic, "crash", index=index, down_s=down_s, instance=self.instances[index])
        self.remove_entry("servers/" + old)
        self.list_worker(index, "ready")

    def next_instance(self, index):
        """Returns the one before."""
        old = self.instances[index]
        self.instances[index] = "i-%d-%d" % (index, int(old.rsplit("-", 1)[1]) + 1)
        return old

    def lose_answers(self, index, share, for_s):
        self.disturb([index], "answers_lost", for_s)
        self.command(self.traffic, "lose_answers", index=index, share=share, for_s=for_s)

    def send_crashing_request(self, caller, for_s):
        self.command(self.traffic, "send_crashing_request", caller=caller, for_s=for_s)

    def list_worker(self, index, state):
        """The worker takes on this state; "ready" comes from a new start of its process."""
        address = "%s:%d" % self.worker_addresses[index]
        old = self.entries[index]
        self.entries[index] = {
            "service": self.services[index], "address": address, "zone": "z", "version": "v1", "slots": 40,
            "state": state, "cold_remaining_s": 0, "sequence": old["sequence"] if old else 0,
            "born": old["born"] if old and state == "draining" else int(time.time() * 1000)}
        self.write_entry(index)

    def set_worker_state(self, index, state):
        """A worker that has ended takes on no state."""
        if self.entries[index] is not None:
            self.list_worker(index, state)

    def end_worker(self, index):
        """The worker's entry goes, if it still leaves."""
        if self.entries[index] is not None and self.entries[index]["state"] == "draining":
            self.entries[index] = None
            self.remove_entry("servers/" + self.next_instance(index))

    def start_worker(self, index):
        """Starts a worker that has ended."""
        if self.entries[index] is None:
            self.command(self.traffic, "rename", index=index, instance=self.instances[index])
            self.list_worker(index, "ready")

    def write_entry(self, index):
        """Writes the worker's entry; while the store is away, the worker only takes on the state."""
        entry = self.entries[index]
        if entry is None:
            return
        entry["sequence"] += 1
        begun_at = time.monotonic()
        if self.away is None:
            self.store.put("servers/" + self.instances[index], entry)
        acked_at = time.monotonic() if self.away is None else float("inf")
        self.history.entries.append(Write(index, entry["state"], begun_at, acked_at))

    def remove_entry(self, key):
        index = int(key.split("-")[1])
        begun_at = time.monotonic()
        if self.away is None and key in self.store.items:
            self.store.remove(key)
            if self.entries[index] is None:
                self.history.entries.append(Write(index, "gone", begun_at, time.monotonic()))

    def ended_entries(self):
        """Entries of workers that have ended, which a return has brought back."""
        return [key for key in self.store.items
                if key.startswith("servers/") and key.split("/", 1)[1] not in self.instances]

    def publish(self):
        self.version += 1
        present = [route for route in self.routes if route["service"]]
        self.document = config(self.version, present, self.accounts or None)
        self.history.versions[self.version] = {route["name"]: route["service"] for route in self.routes}
        self.write_configuration()
        self.command(self.traffic, "accounts", accounts=self.accounts)

    def write_configuration(self):
        begun_at = time.monotonic()
        self.store.put("op/config", self.document)
        self.history.configurations.append(Write(self.version, None, begun_at, time.monotonic()))

    def move_route(self):
        """Moves one route to the other service; each round also adds or removes the optional route."""
        index = self.moves % MOVED_ROUTES
        self.moves += 1
        for route in self.routes:
            if route["name"] == "moved-%d" % index:
                route["service"] = "s2" if route["service"] == "s1" else "s1"
            elif route.get("is_optional") and index == 0:
                route["service"] = None if route["service"] else "s2"
        self.publish()

    def keep_copy(self):
        """Makes a copy of the store that it may come back from."""
        now = time.monotonic()
        if self.away is None:
            self.copies = [(at, copy) for at, copy in self.copies if at >= now - COPY_AGE_S[1]]
            self.copies.append((now, self.store.copy()))

    def write_other_keys(self, count):
        for index in range(count):
            self.store.put("other/%d" % (index % 10), {})

    def take_store_away(self):
        self.away = self.history.begin_disturbance("return", time.monotonic())
        self.store.set_down(True)

    def return_store(self, rng):
        """The store comes back from a copy made some time before it went away."""
        away_at = self.away[0]
        old = [item for item in self.copies if item[0] <= away_at - COPY_AGE_S[0]] or self.copies[:1]
        copied_at, copy = rng.choice(old)
        # Later copies have writes that this one lacks.
        self.copies = [item for item in self.copies if item[0] <= copied_at]
        self.history.lose_writes(copied_at, away_at)
        self.store.restore(copy)
        self.away[1] = time.monotonic()
        self.away = None

    def rotate_key(self, index):
        """Replaces the key of an account. Clients use the new one from the next request on."""
        account = self.accounts[index]
        account["api_keys"] = ["key-%s-%d" % (account["name"], self.version + 1)]
        self.publish()

    def change_limit(self, index, factor):
        if "rate_per_s" in ACCOUNTS[index]:
            self.accounts[index]["rate_per_s"] = ACCOUNTS[index]["rate_per_s"] * factor
        self.publish()

    def finish(self):
        """Ends the traffic; returns its result."""
        self.command(self.traffic, "stop")
        self.traffic.send((self.disturbances, self.stops, self.history))
        return self.traffic.recv()

    def close(self):
        for node in self.nodes:
            if node.process is not None and node.process.is_running():
                node.kill()
        for process in self.processes:
            process.kill()
            process.join()


class ListedWorker:
    """What Sidecar needs to know of a worker."""

    def __init__(self, host, service, address):
        self.host = host
        self.service = service
        self.address = "%s:%d" % address


def run_child(function, *arguments):
    kill_with_launcher()
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    function(*arguments)
