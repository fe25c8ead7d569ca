"""Faults of a soak run: a seeded schedule of overlapping series of events, and their execution."""

import heapq
import itertools
import random
import signal
import time

from soak.fleet import COPY_AGE_S, ENTRY_REMOVAL_S

RESTART_S = (0.05, 1.5)
FREEZE_S = (0.3, 3.0)
DARK_S = (0.5, 2.5)
CUT_S = (0.3, 4.0)
DOWN_S = (0.5, 4.0)
# Time for which the store is away before it comes back from a copy, and between two returns in quick succession.
AWAY_S = (0.2, 2.0)
NEXT_AWAY_S = (0.1, 1.5)
COPY_INTERVAL_S = 1.0
# Times after a return at which workers and the operator write again what they wrote.
ENTRY_REWRITE_S = (0.0, 2.0)
CONFIG_REWRITE_S = (0.2, 2.0)
# Writes of other users of the store that a return loses. After it, the revision stays below the lost ones for long.
OTHER_WRITES = 200
# The operator tries again after this time while the store is away.
WRITE_RETRY_S = (0.1, 1.5)
# Time for which a worker leaves. Well above the time that nodes have to learn of it.
LEAVE_S = (0.3, 8.0)
# Time from the report of a worker that it leaves to the removal of its entry.
DRAIN_TIME_S = (0.3, 2.5)
# Time for which clients send a crashing request again and again.
CRASHING_S = (4.0, 8.0)
# A new process starts this long before the links of a node that lost power are back.
EARLY_START_S = 0.4
# Series of events that run beside each other.
LANES = 4
LANE_PAUSE_S = (0.2, 2.0)
# Kinds of events with their weights.
PLANNED = {"term": 3, "roll": 1, "hup": 1, "configuration": 1, "worker_leaves": 1}
CONNECTIONS = {"kill": 3, "power": 3, "resets": 4, "resets_after_hello": 2, "silence": 1, "cut": 2, "double_kill": 1,
               "term": 2}
ANSWERS = {"answers_lost": 1}
CRASHES = {"crashing_request": 0.3, "answers_lost": 1, "worker_crash": 0.3, "kill": 2, "term": 1, "resets": 1}
RETURNS = {"store_return": 0.5, "double_return": 0.2, "configuration": 5, "worker_leaves": 2.5, "worker_ends": 2,
           "term": 2, "kill": 1, "worker_crash": 1, "freeze": 1, "hup": 1, "cut": 0.2}
MANY_CRASHES = dict(CRASHES, crashing_request=3, worker_crash=1)
ALL = dict(CONNECTIONS, **PLANNED, **ANSWERS, freeze=2, store_down=1, worker_crash=2, herd_kill=0.5, delay=1,
           store_return=1)
ACCOUNTS = dict(ALL, rotate_key=3, change_limit=2)
PROFILES = {"all": ALL, "accounts": ACCOUNTS, "connections": CONNECTIONS, "planned": PLANNED, "answers": ANSWERS,
            "crashes": CRASHES, "many_crashes": MANY_CRASHES, "returns": RETURNS}


class Schedule:
    """Performs events of the run; each may schedule further ones."""

    def __init__(self, fleet, rng, duration_s, profile):
        self.fleet = fleet
        self.rng = rng
        # For draws whose number depends on the moment at which the store returns; `rng` alone fixes the schedule.
        self.store_rng = random.Random()
        self.store_rng.setstate(rng.getstate())
        self.end = time.monotonic() + duration_s
        self.queue = []
        self.order = itertools.count()
        self.performed = []
        self.kinds, self.weights = list(PROFILES[profile]), list(PROFILES[profile].values())
        for _ in range(LANES):
            self.after(rng.uniform(0, 2), self.next_event)
        self.keep_copy()

    def after(self, seconds, action, *arguments):
        heapq.heappush(self.queue, (time.monotonic() + seconds, next(self.order), action, arguments))

    def between(self, bounds):
        return self.rng.uniform(*bounds)

    def run(self):
        """Performs all events; returns when the last one, such as a restart, has been performed."""
        while self.queue or self.fleet.has_restarting_node():
            self.fleet.restart_ended()
            if self.queue and self.queue[0][0] <= time.monotonic():
                _, _, action, arguments = heapq.heappop(self.queue)
                action(*arguments)
            else:
                time.sleep(0.01)

    def next_event(self):
        if time.monotonic() > self.end:
            return
        kind = self.rng.choices(self.kinds, self.weights)[0]
        self.performed.append((round(time.monotonic(), 3), kind))
        getattr(self, kind)()
        self.after(self.between(LANE_PAUSE_S), self.next_event)

    def keep_copy(self):
        self.fleet.keep_copy()
        if time.monotonic() < self.end:
            self.after(COPY_INTERVAL_S, self.keep_copy)

    def write(self, action, *arguments):
        """Performs an action of the operator that writes to the store, once the store is there."""
        if self.fleet.away is not None:
            self.after(self.store_rng.uniform(*WRITE_RETRY_S), self.write, action, *arguments)
        else:
            action(*arguments)

    def any_node(self):
        return self.rng.randrange(len(self.fleet.nodes))

    def some_nodes(self, share):
        count = len(self.fleet.nodes)
        return self.rng.sample(range(count), max(1, int(count * share)))

    def kill(self):
        self.fleet.kill(self.any_node(), self.between(RESTART_S))

    def double_kill(self):
        """The process is killed again while it starts, or just after."""
        node = self.any_node()
        self.fleet.kill(node, 0.05)
        self.after(self.rng.uniform(0.1, 0.6), self.fleet.kill, node, self.between(RESTART_S))

    def herd_kill(self):
        for node in self.some_nodes(0.6):
            self.fleet.kill(node, self.between(RESTART_S))

    def term(self):
        self.fleet.terminate(self.any_node())

    def roll(self):
        for index, node in enumerate(self.some_nodes(1)):
            self.after(index * 1.0, self.fleet.terminate, node)

    def freeze(self):
        node = self.any_node()
        self.fleet.signal(node, signal.SIGSTOP)
        self.after(self.between(FREEZE_S), self.fleet.signal, node, signal.SIGCONT)

    def power(self):
        """The node is dark, comes back as a new process, and loses connections on its return."""
        node, dark_s = self.any_node(), self.between(DARK_S)
        self.fleet.links("cut", nodes=[node])
        self.fleet.links("forget", nodes=[node])
        self.fleet.kill(node, max(0.05, dark_s - EARLY_START_S))
        self.after(dark_s, self.return_power, node)

    def return_power(self, node):
        if self.rng.random() < 0.3:
            self.fleet.links("reset_after_hello", nodes=[node])
        self.fleet.links("heal", nodes=[node])
        if self.rng.random() < 0.7:
            self.fleet.links("reset", nodes=[node], share=0.5, times=12, gap_s=0.004)

    def resets(self):
        self.fleet.links("reset", nodes=self.some_nodes(self.rng.choice((0.1, 0.5, 1))),
                         share=self.rng.choice((0.1, 0.5, 1)), times=self.rng.choice((1, 3, 10)),
                         gap_s=self.rng.choice((0.003, 0.05, 0.3)))

    def resets_after_hello(self):
        nodes = self.some_nodes(0.4)
        self.fleet.links("reset_after_hello", nodes=nodes)
        self.fleet.links("reset", nodes=nodes, share=0.7)

    def silence(self):
        self.fleet.links("silence", nodes=self.some_nodes(0.3), share=0.6)

    def cut(self):
        nodes = self.some_nodes(self.rng.choice((0.1, 0.3)))
        self.fleet.links("cut", nodes=nodes)
        self.after(self.between(CUT_S), self.heal_cut, nodes)

    def heal_cut(self, nodes):
        self.fleet.links("heal", nodes=nodes)

    def delay(self):
        nodes = self.some_nodes(0.3)
        self.fleet.links("delay", nodes=nodes, seconds=self.rng.choice((0.005, 0.05, 0.2)))
        self.after(self.between(CUT_S), self.end_delay, nodes)

    def end_delay(self, nodes):
        self.fleet.links("delay", nodes=nodes, seconds=0)

    def store_down(self):
        nodes = self.some_nodes(self.rng.choice((0.3, 1)))
        self.fleet.refuse_store(nodes, True)
        self.after(self.between(DOWN_S), self.fleet.refuse_store, nodes, False)

    def store_return(self):
        self.return_soon(self.between(AWAY_S))

    def double_return(self):
        away_s = self.between(AWAY_S)
        self.return_soon(away_s)
        self.after(away_s + self.between(NEXT_AWAY_S), self.store_return)

    def return_soon(self, away_s):
        """In half of the cases, many writes of others are lost."""
        if self.rng.random() < 0.5:
            self.take_store_away(away_s)
        else:
            self.fleet.write_other_keys(OTHER_WRITES)
            self.after(COPY_AGE_S[0], self.take_store_away, away_s)

    def take_store_away(self, away_s):
        if self.fleet.away is None:
            self.fleet.take_store_away()
            self.after(away_s, self.return_store)

    def return_store(self):
        self.fleet.return_store(self.store_rng)
        for index in range(len(self.fleet.nodes)):
            self.after(self.store_rng.uniform(*ENTRY_REWRITE_S), self.rewrite_entry, index)
        for key in self.fleet.ended_entries():
            self.after(ENTRY_REMOVAL_S, self.fleet.remove_entry, key)
        self.after(self.store_rng.uniform(*CONFIG_REWRITE_S), self.rewrite_configuration, self.fleet.version)

    def rewrite_entry(self, index):
        """While the store is away again, the next return has the entry written."""
        if self.fleet.away is None:
            self.fleet.write_entry(index)

    def rewrite_configuration(self, version):
        """Unless a newer version has been written meanwhile."""
        if self.fleet.away is None and self.fleet.version == version:
            self.fleet.write_configuration()

    def worker_crash(self):
        self.fleet.crash_worker(self.any_node(), self.between(DOWN_S))

    def answers_lost(self):
        """Workers run requests and close the connection instead of answering."""
        for node in self.some_nodes(0.5):
            self.fleet.lose_answers(node, self.rng.choice((0.2, 0.6)), self.between(DOWN_S))

    def crashing_request(self):
        """Clients of one service send a request that crashes the workers that run it; equal ones of others complete."""
        self.fleet.send_crashing_request(self.rng.choice(("s1", "s2")), self.between(CRASHING_S))

    def worker_leaves(self):
        node = self.any_node()
        self.fleet.set_worker_state(node, "draining")
        self.after(self.between(LEAVE_S), self.fleet.set_worker_state, node, "ready")

    def worker_ends(self):
        """The worker leaves, then its entry goes. Its process still runs until it starts anew as another instance."""
        node, drain_s, gone_s = self.any_node(), self.between(DRAIN_TIME_S), self.between(LEAVE_S)
        self.fleet.set_worker_state(node, "draining")
        self.after(drain_s, self.fleet.end_worker, node)
        self.after(drain_s + gone_s, self.fleet.start_worker, node)

    def hup(self):
        for node in self.some_nodes(0.3):
            self.fleet.signal(node, signal.SIGHUP)

    def configuration(self):
        self.write(self.fleet.move_route)

    def rotate_key(self):
        self.write(self.fleet.rotate_key, self.rng.randrange(len(self.fleet.accounts)))

    def change_limit(self):
        self.write(self.fleet.change_limit, self.rng.randrange(len(self.fleet.accounts)),
                   self.rng.choice((0.5, 1, 1.5)))
