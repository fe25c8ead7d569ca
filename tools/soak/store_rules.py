"""The users' rules CONFIG and DRAIN: what nodes must know of the store at which time."""

import bisect
import collections

# From the users' rules.
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0
DRAIN_S = 2.0
REGRESS_S = 0.25
SLOWED_REGRESS_S = 8 * REGRESS_S
SLOWED = ("SIGSTOP", "SIGCONT", "delay")


def first_outside(begin, intervals):
    """The first time from `begin` on that lies in none of the sorted intervals."""
    for start, end in intervals:
        if start <= begin <= end:
            begin = end + 1e-6
    return begin


class StoreRules:
    """Checks the requests of a run. `disturbances` are those of nodes, as in the ledger."""

    def __init__(self, history, disturbances, services, report):
        self.history = history
        self.disturbances = disturbances
        self.services = services
        self.report = report
        self.checked = collections.Counter()
        count = len(history.starts)
        store = [(begin, end if end is not None else float("inf")) for begin, end, _ in history.disturbances]
        after_store = [(begin, end + CONTACT_S) for begin, end in store]
        node = [[(begin, end + CONTACT_S) for begin, end, other, _ in disturbances if other in (None, index)]
                for index in range(count)]
        # Times at which a node is not in touch; the second list leaves out the time after a disturbance of the store.
        self.out_of_touch = [sorted(node[index] + after_store) for index in range(count)]
        self.out_of_reach = [sorted(node[index] + store) for index in range(count)]
        self.node_disturbed = [sorted(intervals) for intervals in node]

    def is_node_disturbed(self, node, at):
        return first_outside(at, self.node_disturbed[node]) > at

    def must_know(self, write, node, at, apply_s):
        """Whether the node's process must have applied the write: it was in touch at some time since the write was due.
        What it must have applied before a return that lost the write counts on."""
        begin = max(write.acked_at, self.history.process_start(node, at))
        end = min(at, write.lost_at if write.lost_at is not None else at)
        due = max(begin, write.acked_at + apply_s)
        if first_outside(due, self.out_of_touch[node]) <= end:
            return True
        return first_outside(max(due, write.acked_at + apply_s + MAX_STRETCH_S), self.out_of_reach[node]) <= end

    def oldest_allowed(self, node, at):
        return max((write.key for write in self.history.configurations
                    if self.must_know(write, node, at, CONFIG_APPLY_S)), default=1)

    def handlings(self, request):
        """(time, service) of each run of a request, and (time, None) of its refusal with 404."""
        seen = [(at, self.services[worker]) for at, worker, _ in request.runs]
        return seen + ([(request.ended_at, None)] if request.status == 404 else [])

    def allowing(self, request, service, oldest, newest):
        """The versions that allow this handling."""
        return [version for version in range(max(1, oldest), newest + 1)
                if self.history.versions[version][request.route["name"]] == service]

    def check(self, requests):
        self.check_config(requests)
        by_process = collections.defaultdict(list)
        for request in requests:
            by_process[request.node, self.history.process_start(request.node, request.sent_at)].append(request)
        for ours in by_process.values():
            self.check_regress(ours)
        self.check_drain(requests)

    def check_config(self, requests):
        for request in requests:
            if self.is_node_disturbed(request.node, request.sent_at):
                continue
            handlings = self.handlings(request)
            if not handlings:
                continue
            oldest = self.oldest_allowed(request.node, request.sent_at)
            self.checked["config"] += 1
            for at, service in handlings:
                newest = self.history.newest_version(at)
                if not self.allowing(request, service, oldest, newest):
                    self.report("CONFIG", request, "handled by %s at %.3f, versions %d to %d do not allow it" % (
                        service or "no route", at, oldest, newest))

    def is_slowed(self, node, begin, end):
        return any(kind in SLOWED and other in (None, node) and until >= begin and start <= end
                   for start, until, other, kind in self.disturbances)

    def regress_s(self, node, begin, end):
        return SLOWED_REGRESS_S if self.is_slowed(node, begin - SLOWED_REGRESS_S, end) else REGRESS_S

    def check_regress(self, requests):
        """Requests to one process, disturbed or not."""
        handlings = sorted(((at, service, request) for request in requests for at, service in self.handlings(request)),
                           key=lambda handling: handling[0])
        # Times at which a worker saw a version, and the newest one that had been seen then.
        times, newest_seen = [], []
        for at, service, request in handlings:
            since = request.sent_at - self.regress_s(request.node, request.sent_at, at)
            index = bisect.bisect_right(times, since)
            oldest = newest_seen[index - 1] if index else 1
            self.checked["regress"] += 1 if index else 0
            newest = self.history.newest_version(at)
            versions = self.allowing(request, service, oldest, newest)
            if not versions:
                self.report("CONFIG", request, "regress: handled by %s at %.3f, version %d was seen at %.3f" % (
                    service or "no route", at, oldest, times[index - 1] if index else 0))
            elif service is not None:
                times.append(at)
                newest_seen.append(max(versions[0], newest_seen[-1] if newest_seen else 1))

    def leaving_writes(self, worker, at):
        """Writes of the states "draining" and "gone" since the worker was last ready; none if it does not leave."""
        writes = []
        for write in self.history.entries:
            if write.key == worker and write.begun_at <= at:
                writes = writes + [write] if write.state != "ready" else []
        return writes

    def check_drain(self, requests):
        down = sorted((begin, end + CONTACT_S) for begin, end, kind in self.history.disturbances if kind == "down")
        for request in requests:
            for at, worker in request.reached:
                writes = self.leaving_writes(worker, at)
                if not writes or self.is_node_disturbed(request.node, at) or first_outside(at, down) > at:
                    continue
                known = [write for write in writes if self.must_know(write, request.node, at, DRAIN_S)]
                self.checked["drain"] += 1
                # The node beside the worker hands the request on; while it is frozen, requests wait in it.
                if known and self.is_slowed(worker, at - CONTACT_S, at):
                    self.checked["drain_slowed"] += 1
                elif known:
                    self.report("DRAIN", request, "reached worker %d at %.3f, %s since %.3f" % (
                        worker, at, known[0].state, known[0].acked_at))
