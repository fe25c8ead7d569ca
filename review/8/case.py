"""A rolling restart cuts calls of workers at the end of the grace period."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from standins import Client, Worker, free_hosts, route, run_case  # noqa: E402

# roll_term: one node at a time, gap_s
GAP_S = 1.0
# The last moment, after the SIGTERM of a node, at which its clients still send it a request of 3.5 s.
LAST_ROOT_S = 2.4
ROOT_WORK_S = 3.5
# Work of a report before its call, and of the call. Reports come at this interval from `FIRST_REPORT_S` after the first
# SIGTERM on.
REPORT_WORK_S = 1.2
AUDIT_WORK_S = 1.0
REPORT_GAP_S = 0.05
FIRST_REPORT_S = 3.8
RUN_S = 12
# "on a request that was sent no later than 3 s after the SIGTERM"
EXCUSED_S = 3


class CallingWorker(Worker):
    """A worker whose reports call another service through the node of its machine."""

    async def start(self, backlog=512):
        self.calls = []
        self.free = []
        return await super().start(backlog)

    async def report(self, request):
        await asyncio.sleep(REPORT_WORK_S)
        client = self.free.pop() if self.free else Client(self.node, self.record, "of worker " + self.instance)
        sent_at = time.monotonic()
        try:
            answer = await client.call("POST", "/audit/x", 1500, b"audit", request["attempt"] + ".1")
        except OSError:
            return 500, b""
        self.calls.append((sent_at, answer))
        self.free.append(client)
        return (200 if answer.status == 200 else 500), b"r" * 500


async def case(mesh, record, trouble):
    async def order(request):
        await asyncio.sleep(0.05)
        return 200, b"x" * 500

    async def audit(request):
        await asyncio.sleep(ROOT_WORK_S if request["target"].startswith("/long/") else AUDIT_WORK_S)
        return 200, b"y" * 500

    hosts = free_hosts(5)
    workers = [CallingWorker(host, "s1", "i-%d" % index, record, None) for index, host in enumerate(hosts[:3])]
    workers += [Worker(host, "s2", "i-%d" % (index + 3), record, audit) for index, host in enumerate(hosts[3:])]
    for worker in workers[:3]:
        worker.work = lambda request, worker=worker: (
            worker.report(request) if request["target"].startswith("/report/") else order(request))
    await mesh.start(workers, [route("order", "non_idempotent", "s1", 5, 1, 0, 1), route("report", "idempotent", "s1", 5, 3, 1),
                               route("audit", "non_idempotent", "s2", 3, 1, 1, 1), route("long", "idempotent", "s2", 6, 5, 1)])
    for worker, node in zip(workers, mesh.nodes):
        worker.node = node
    begin = time.monotonic() + 3
    end = begin + RUN_S
    statuses = {}

    async def one(node, method, target, limit_ms):
        client = Client(node, record, "of " + node.name)
        try:
            answer = await client.call(method, target, limit_ms)
        except (OSError, asyncio.TimeoutError):
            return
        key = (target, answer.end, answer.status)
        statuses[key] = statuses.get(key, 0) + 1
        client.close()

    async def at(moment):
        await asyncio.sleep(max(0, moment - time.monotonic()))

    async def orders():
        number = 0
        tasks = []
        while time.monotonic() < end:
            number += 1
            tasks.append(asyncio.ensure_future(one(mesh.nodes[3 + number % 2], "POST", "/order/x", 3000)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)

    async def reports():
        await at(begin + FIRST_REPORT_S)
        tasks = []
        number = 0
        while time.monotonic() < begin + FIRST_REPORT_S + 5:
            number += 1
            tasks.append(asyncio.ensure_future(one(mesh.nodes[3 + number % 2], "GET", "/report/x", 4000)))
            await asyncio.sleep(REPORT_GAP_S)
        await asyncio.gather(*tasks)

    async def stop(index):
        node = mesh.nodes[index]
        await at(begin + index * GAP_S)
        if trouble:
            record.add(node.name, "gets SIGTERM")
            node.process.terminate()
        await at(begin + index * GAP_S + LAST_ROOT_S)
        root = asyncio.ensure_future(one(node, "GET", "/long/x", 6000))
        if trouble:
            await node.process.wait()
            record.say(node.name, "has ended %.2f s after SIGTERM" % (time.monotonic() - begin - index * GAP_S))
            await node.start()
            await node.wait_ready()
        await root

    await asyncio.gather(orders(), reports(), *[stop(index) for index in range(3)])
    for key in sorted(statuses):
        record.say(*key, statuses[key])
    ran = {attempt for worker in workers for _, attempt in worker.arrivals}
    calls = [answer for worker in workers[:3] for answer in worker.calls]
    # Calls that were sent in the first 3 s of a stop are excused if they run until its end.
    cut = [answer for sent_at, answer in calls if answer.end == "closed" and answer.attempt in ran
           and sent_at > begin + 2 * GAP_S + EXCUSED_S]
    record.say("LOST: calls of workers", len(calls), "answered", sum(answer.end == "answered" for _, answer in calls),
               "passed on and cut", len(cut), "allowed 0")
    return not cut


run_case(os.path.dirname(os.path.abspath(__file__)), case)
