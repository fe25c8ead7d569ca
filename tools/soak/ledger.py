"""What clients sent and were answered, what workers ran, and the promises that this breaks."""

import bisect
import collections
import zlib

from soak.store_rules import StoreRules

# From the users' rules.
NOT_RUN_STATUSES = (408, 421, 429, 503)
CONTACT_S = 3.0
DEADLINE_SLACK_S = 0.5
GRACE_S = 6.0
STOP_EARLY_S = 3.0
MAX_LOST = 3
MAX_OVERTIME = 20
MAX_OVERTIME_SHARE = 0.2
MAX_OVER_ATTEMPTS = 3
MAX_CRASHES = 3
MAX_LATE_CRASHES = 3
CONFIG_S = 2.5
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.25
QUOTA_SLACK = 20


class Request:
    """One client attempt, or one call of a worker."""

    def __init__(self, attempt, route, node, origin, method, path, body, deadline, now, is_kept):
        self.attempt = attempt
        self.route = route
        self.node = node
        self.origin = origin
        self.content = (method, path, zlib.crc32(body))
        self.deadline = deadline
        self.sent_at = now
        self.is_kept = is_kept
        self.ended_at = None
        # 0: the connection ended without an answer.
        self.status = None
        # (time, worker, instance) of each run, and times of all arrivals at workers.
        self.runs = []
        self.arrivals = []
        # (time, worker) of all arrivals.
        self.reached = []
        # The call was made by a run that was a repeat.
        self.is_in_repeat = False
        # Client account whose key the request has, and the key.
        self.account = self.key = None


class Ledger:
    """Checks while the run goes on what can be checked at once; check_all has the rest."""

    def __init__(self, settings, services):
        """`services` has the service of each worker."""
        self.settings = settings
        self.services = services
        self.requests = {}
        self.violations = []
        # By service: repeats beyond the budget in the worst window (0 if none), and a description.
        self.worst_budget_windows = {}
        # (excess in seconds, time, worker, request) of requests with more time than their client has left.
        self.overtime = []
        # Paths of crashing requests, with the service whose requests crash workers, and (time, request) of the crashes.
        self.crashing = {}
        self.crashes = collections.defaultdict(list)
        # (from, to, node or None for all, kind) of each disturbance.
        self.disturbances = []
        # (node, time) of each SIGTERM.
        self.stops = []
        # Client accounts by name as last published, and when: [(time, {name: account})]. One item for each version of
        # the configuration, from version 1 on.
        self.account_versions = []
        # Set at the end of the run.
        self.store_history = None
        # Handlings of requests that the rules CONFIG and DRAIN could be checked on, by rule.
        self.checked = {}

    def report(self, rule, request, text):
        self.violations.append("%s: %s (%s at node%s, sent %.3f, status %s, runs %s): %s" % (
            rule, request.attempt, request.route["name"], request.node, request.sent_at, request.status,
            [(round(at, 3), worker) for at, worker, _ in request.runs], text))

    def on_sent(self, request):
        self.requests[request.attempt] = request

    def on_arrival(self, attempt, worker, origin, method, path, body, time_left_s, now):
        """A worker has read a request. Returns it; None if no client sent it."""
        request = self.requests.get(attempt)
        if request is None:
            self.violations.append("UNASKED: %s at worker %s was not sent" % (attempt, worker))
            return None
        request.arrivals.append(now)
        request.reached.append((now, worker))
        if request.content != (method, path, zlib.crc32(body)):
            self.report("UNASKED", request, "another method, path or body")
        if request.origin != origin:
            self.report("UNASKED", request, "caller %s instead of %s" % (origin, request.origin))
        if now + time_left_s > request.deadline + DEADLINE_SLACK_S:
            self.overtime.append((now + time_left_s - request.deadline, now, worker, request))
        return request

    def on_accounts(self, accounts, now):
        self.account_versions.append((now, {account["name"]: dict(account) for account in accounts}))

    def sign(self, request, account, now):
        """Header fields with the newest key of the account, and a forged name."""
        if account is None:
            return {}
        request.account = account
        request.key = self.account_versions[-1][1][account]["api_keys"][0]
        return {"Authorization": "Token " + request.key, "Tenant-Id": "forged"}

    def check_account(self, attempt, fields):
        request = self.requests.get(attempt)
        if request is not None and self.account_versions and self.account_versions[-1][1]:
            if fields.get("tenant-id") != request.account or "authorization" in fields:
                self.report("UNASKED", request, "account %s at the worker" % fields.get("tenant-id"))

    def on_run(self, request, worker, instance, now):
        request.runs.append((now, worker, instance))
        if len(request.runs) > 1 and not request.route["idempotent"]:
            self.report("TWICE", request, "ran %d times" % len(request.runs))

    def is_crashing(self, request):
        return self.crashing.get(request.content[1]) == request.origin

    def on_crash(self, request, now):
        self.crashes[request.content[1]].append((now, request))

    def on_answer(self, request, status, stamp, body, now):
        request.status, request.ended_at = status, now
        if 200 <= status < 300 and (stamp != "stamp-" + request.attempt or not any(
                body == self.expected_body(instance, request) for _, _, instance in request.runs)):
            self.report("MIXED", request, "body or stamp of no run")
        elif status not in (200, 500) and stamp:
            self.report("MIXED", request, "stamp %s on a failure of another status" % stamp)

    @staticmethod
    def expected_body(instance, request):
        return ("%s:%s:%d" % (instance, request.attempt, request.content[2])).encode()

    def on_no_answer(self, request, now):
        request.status, request.ended_at = 0, now

    def is_disturbed(self, node, start, end):
        return any((other is None or other == node) and until >= start and begin <= end
                   for begin, until, other, _ in self.disturbances)

    def check_all(self):
        """Promises that need the whole run."""
        for request in self.requests.values():
            if request.runs and not request.route["idempotent"] and request.status in NOT_RUN_STATUSES:
                self.report("REFUSED", request, "answered as not run, but ran")
        self.check_lost()
        self.check_attempts()
        self.check_overtime()
        self.check_crashes()
        self.check_keys()
        self.check_limits()
        for service in set(self.services):
            self.check_budget(service)
        rules = StoreRules(self.store_history, self.disturbances, self.services, self.report)
        rules.check(list(self.requests.values()))
        self.checked = dict(rules.checked)
        return self.violations

    def service_of(self, request):
        """Service that the request belongs to; of a route that moves, that of the first worker reached."""
        if not request.route.get("moves"):
            return request.route["service"]
        return self.services[request.reached[0][1]] if request.reached else None

    def is_excused_by_stop(self, request):
        """The worker was still at work near the end of the grace time on a request of the first seconds."""
        return any(node == request.node and request.sent_at <= at + STOP_EARLY_S and
                   at + GRACE_S * 5 / 6 <= request.ended_at <= at + GRACE_S + 1 for node, at in self.stops)

    def check_lost(self):
        for request in self.requests.values():
            is_planned = any(node == request.node and at <= request.ended_at <= at + GRACE_S + 1
                             for node, at in self.stops if request.ended_at)
            if (is_planned and request.status == 0 and request.arrivals and request.ended_at < request.deadline and
                    not self.is_disturbed(request.node, request.sent_at - CONTACT_S, request.ended_at) and
                    not self.is_excused_by_stop(request)):
                self.report("LOST", request, "cut in a planned stop")
        lost = [request for request in self.requests.values()
                if request.status == 0 and request.arrivals and request.is_kept and
                not self.is_disturbed(request.node, request.sent_at - CONTACT_S, request.ended_at) and
                request.ended_at < request.deadline]
        for request in lost if len(lost) > MAX_LOST else []:
            self.report("LOST", request, "passed on, and its connection closed without an answer")

    def check_overtime(self):
        """A request does not count if the path to the worker was disturbed shortly before."""
        over = [entry for entry in self.overtime
                if not any(self.is_disturbed(node, entry[1] - CONTACT_S, entry[1])
                           for node in (entry[3].node, entry[2]))]
        arrived = sum(1 for request in self.requests.values() if request.arrivals)
        if len(over) > MAX_OVERTIME and len(over) > MAX_OVERTIME_SHARE * arrived:
            for excess, _, _, request in over:
                self.report("BUDGET", request, "%.3f s more than is left" % excess)

    def check_crashes(self):
        """Crashes long after the third one of a request, but for those that nodes out of touch have sent."""
        for path, crashes in self.crashes.items():
            late = [(at, request) for at, request in crashes[MAX_CRASHES:]
                    if at > crashes[MAX_CRASHES - 1][0] + CONTACT_S and
                    not any(self.is_disturbed(node, at - CONTACT_S, at)
                            for node in (request.node, request.runs[-1][1]))]
            if len(late) > MAX_LATE_CRASHES:
                self.violations.append("BUDGET: %s crashed %d workers, %d of them late" % (path, len(crashes), len(late)))

    def versions_in_force(self, begin, end, node=None):
        """Accounts of all versions that may be in force at the node, or at any, somewhere between the two times."""
        started = [at for index, (at, _) in enumerate(self.account_versions) if at + CONFIG_S <= begin and
                   self.store_history.has_version(index + 1, node, begin, CONFIG_S)]
        oldest = started[-1] if started else 0
        return [accounts for at, accounts in self.account_versions if oldest <= at <= end]

    def check_keys(self):
        """A key that all versions hold is accepted by undisturbed nodes."""
        for request in self.requests.values():
            if (request.status == 401 and request.key is not None and
                    all(request.key in accounts[request.account]["api_keys"]
                        for accounts in self.versions_in_force(request.sent_at, request.ended_at, request.node)) and
                    not self.is_disturbed(request.node, request.sent_at - CONTACT_S, request.ended_at)):
                self.report("DENIED", request, "401 for a key of all versions")

    def check_limits(self):
        """Requests of an account that ran in each window, over all nodes, disturbed or not."""
        for account in {request.account for request in self.requests.values()} - {None}:
            runs = sorted(request.runs[0][0] for request in self.requests.values()
                          if request.account == account and request.runs)
            for first, begin in enumerate(runs):
                ran = bisect.bisect_left(runs, begin + QUOTA_WINDOW_S) - first
                # A lower limit binds one window after it is in force.
                limits = [accounts[account] for accounts in
                          self.versions_in_force(begin - QUOTA_WINDOW_S, begin + QUOTA_WINDOW_S)]
                if any(not limit.get("rate_per_s") for limit in limits):
                    continue
                allowed = max(limit["rate_per_s"] * QUOTA_WINDOW_S + limit["burst"] for limit in limits)
                if ran > allowed * (1 + QUOTA_OVERAGE) + QUOTA_SLACK:
                    self.violations.append("QUOTA: %s ran %d in the window from %.3f" % (account, ran, begin))
                    break

    def check_attempts(self):
        over = [request for request in self.requests.values()
                if len({worker for _, worker, _ in request.runs}) > request.route["max_attempts"] and
                not any(self.is_disturbed(worker, request.sent_at - CONTACT_S, request.ended_at or request.deadline)
                        for _, worker, _ in request.runs)]
        for request in over if len(over) > MAX_OVER_ATTEMPTS else []:
            self.report("BUDGET", request, "ran on more workers than max_attempts")

    def check_budget(self, service):
        """Repeats within each window against the requests of that window and of those before it."""
        window = self.settings["budget_window_s"]
        sent, repeats = [], []
        for request in self.requests.values():
            if self.service_of(request) != service:
                continue
            sent.append(request.sent_at)
            repeats += request.arrivals if request.is_in_repeat else request.arrivals[1:]
        sent.sort()
        repeats.sort()

        def count(begin):
            return bisect.bisect_left(sent, begin + window) - bisect.bisect_left(sent, begin)

        worst = (0, None)
        for first, begin in enumerate(repeats):
            arrived = bisect.bisect_left(repeats, begin + window) - first
            allowed = (self.settings["retry_budget_ratio"] *
                       max(count(begin), count(begin - window), count(begin - window / 2)) +
                       self.settings["budget_slack"])
            worst = max(worst, (arrived - allowed, "%d repeats from %.3f, %.1f allowed" % (arrived, begin, allowed)))
        if worst[0] > 0:
            self.violations.append("BUDGET: service %s: %s" % (service, worst[1]))
        self.worst_budget_windows[service] = worst

    def failures(self):
        """Requests that were not served, for the analysis of a run."""
        return [{"id": request.attempt, "route": request.route["name"], "node": request.node, "status": request.status,
                 "sent_at": request.sent_at, "ended_at": request.ended_at, "arrivals": request.arrivals,
                 "runs": request.runs}
                for request in self.requests.values() if request.status != 200]

    def summary(self):
        by_status = collections.Counter(request.status for request in self.requests.values())
        return {"requests": len(self.requests), "crashes": {path: len(self.crashes[path]) for path in self.crashing},
                "by_status": {str(key): by_status[key] for key in by_status},
                "overtime": len(self.overtime), "checked": self.checked,
                "repeated": sum(1 for request in self.requests.values() if len(request.arrivals) > 1)}
