"""Many clients keep idle connections to one node, within its descriptors. The node says that it is ready and closes every
new connection unread."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from standins import Client, Worker, free_hosts, route, run_case  # noqa: E402

# Kept connections; the node may have 4,100 descriptors, of which 200 are reserved.
KEPT = 2100
KEPT_WITHOUT_TROUBLE = 1000
BATCH = 40
NEWCOMERS = 8
CONTACT_S = 3


async def case(mesh, record, trouble):
    async def look_up(request):
        await asyncio.sleep(0.02)
        return 200, b"x" * 500

    workers = [Worker(host, "s1", "i-%d" % index, record, look_up) for index, host in enumerate(free_hosts(2))]
    await mesh.start(workers, [route("read", "idempotent", "s1", 5)])
    node = mesh.nodes[0]
    kept = []

    async def keep(index):
        client = Client(node, record, "kept%d" % index)
        kept.append(client)
        return (await client.call("GET", "/read/x", 2000)).status

    statuses = []
    count = KEPT if trouble else KEPT_WITHOUT_TROUBLE
    for first in range(0, count, BATCH):
        statuses += await asyncio.gather(*[keep(index) for index in range(first, min(count, first + BATCH))])
    record.say("kept connections", sum(client.writer is not None for client in kept), "answered", statuses.count(200),
               "after %.1f s" % (time.monotonic() - record.start))

    begin = time.monotonic()
    tries, taken, ready = [], [], []

    async def newcomer(index):
        while time.monotonic() < begin + CONTACT_S + 1:
            client = Client(node, record, "new%d" % index)
            tries.append(index)
            try:
                answer = await client.call("GET", "/read/x", 2000)
                if answer.status != 0:
                    taken.append(time.monotonic() - begin)
            except (OSError, asyncio.TimeoutError):
                pass
            client.close()
            await asyncio.sleep(0.25)

    async def ask_ready():
        while time.monotonic() < begin + CONTACT_S + 1:
            ready.append(await node.is_ready())
            await asyncio.sleep(0.5)

    await asyncio.gather(ask_ready(), *[newcomer(index) for index in range(NEWCOMERS)])
    record.say("RECOVER: in %.1f s" % (time.monotonic() - begin), len(set(tries)), "new clients tried", len(tries),
               "times, connections taken", len(taken), "- the node said ready", ready.count(True), "of", len(ready), "times")
    return bool(taken) or not all(ready)


run_case(os.path.dirname(os.path.abspath(__file__)), case)
