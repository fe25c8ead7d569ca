"""Clients that send requests ahead leave; the node does not notice it, since it reads no more of their requests."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from standins import CannotRun, Client, Worker, free_hosts, route, run_case  # noqa: E402

# give_up of tidewater-mesh.toml: share = 0.213, for_s = 6.79. Six of 30 clients leave, within that time.
CLIENTS = 6
STAYING = 24
LEAVING_S = 6.79
REQUESTS = 12
WORK_S = 3
# "half a second later on more than a quarter of the idempotent requests"
LATE_S = 0.5
ALLOWED_SHARE = 0.25


async def case(mesh, record, trouble):
    # Ends of the runs by attempt id: an answer, or the end of the connection.
    ended = {}

    async def work(request):
        if request["target"].startswith("/quick/"):
            await asyncio.sleep(0.02)
            return 200, b"q" * 500
        try:
            await asyncio.sleep(WORK_S)
            return 200, b"x" * 500
        finally:
            ended[request["attempt"]] = time.monotonic()

    workers = [Worker(host, "s1", "i-%d" % index, record, work) for index, host in enumerate(free_hosts(2))]
    await mesh.start(workers, [route("read", "idempotent", "s1", 10, 4), route("quick", "idempotent", "s1", 5)])
    left = {}

    async def client(index):
        ahead = Client(mesh.nodes[0], record, "client%d" % index)
        await ahead.connect()
        attempts = []
        for _ in range(REQUESTS):
            attempts.append(ahead.send("GET", "/read/x", 8000))
            await ahead.writer.drain()
            await asyncio.sleep(0.02)
        if trouble:
            await asyncio.sleep(0.4)
        else:
            for _ in attempts:
                await ahead.receive(type("Ignored", (), {"body": 0})())
        ahead.close()
        record.add("client", ahead.name, "closes its connection")
        for attempt in attempts:
            left[attempt] = time.monotonic()

    async def stay(index):
        staying = Client(mesh.nodes[0], record, "staying%d" % index)
        while time.monotonic() < end:
            await staying.call("GET", "/quick/x", 2000)
            await asyncio.sleep(0.5)

    begin = time.monotonic()
    end = begin + 12
    others = [asyncio.ensure_future(stay(index)) for index in range(STAYING)]
    leavers = []
    for index in range(CLIENTS):
        leavers.append(asyncio.ensure_future(client(index)))
        await asyncio.sleep(1)
    await asyncio.gather(*leavers)
    if trouble and time.monotonic() - begin > LEAVING_S:
        raise CannotRun("the clients left over too long a time")
    await asyncio.gather(*others)
    await asyncio.sleep(WORK_S * 2 + 2)
    arrived = {attempt: at for worker in workers for at, attempt in worker.arrivals if attempt in left}
    # Runs that the client's close could have ended more than half a second before their end.
    running = [attempt for attempt, at in arrived.items()
               if at <= left[attempt] and at + WORK_S > left[attempt] + LATE_S
               and ended[attempt] > left[attempt]]
    still = [attempt for attempt in running if ended[attempt] > left[attempt] + LATE_S]
    late = [attempt for attempt, at in arrived.items() if at > left[attempt] + LATE_S]
    record.say("sent", len(left), "run", len(arrived), "running when the client left", len(running))
    record.say("GONE: at work %.1f s later" % LATE_S, len(still), "of", len(running), "allowed a quarter;",
               "reached a worker later than that", len(late))
    return len(still) <= ALLOWED_SHARE * len(running)


run_case(os.path.dirname(os.path.abspath(__file__)), case)
