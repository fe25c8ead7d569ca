"""Workers and clients of a soak run, in one process with an event loop."""

import asyncio
import random
import time
import uuid
import zlib

from soak.ledger import Ledger, Request

CLIENT_GRACE_S = 1.0
# Pause between two copies of a crashing request, and time for which a worker that it crashed is down.
CRASHING_PAUSE_S = 0.2
CRASHED_DOWN_S = (1.0, 3.0)
MAX_RETRY_AFTER_S = 0.4


async def read_message(reader):
    """Start line, header fields (names in lower case) and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:-2]:
        name, value = line.split(":", 1)
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields, await reader.readexactly(int(fields.get("content-length", "0")))


def encode(start, fields, body):
    lines = [start] + ["%s: %s" % item for item in fields.items()]
    return ("\r\n".join(lines) + "\r\nContent-Length: %d\r\n\r\n" % len(body)).encode() + body


class Worker:
    """Runs requests, makes calls of its own, and can crash."""

    def __init__(self, traffic, index):
        self.traffic = traffic
        self.index = index
        self.host, self.port = traffic.layout["workers"][index]
        self.service = traffic.layout["services"][index]
        self.instance = "i-%d-0" % index
        self.running = 0
        self.is_down = False
        # Share of the answers that are lost, and until when.
        self.lost_share = self.lost_until = 0
        self.connections = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def crash(self, down_s, instance):
        if self.is_down:
            return
        self.is_down = True
        self.server.close()
        for task in list(self.connections):
            task.cancel()
        await asyncio.sleep(down_s)
        self.instance = instance
        self.running = 0
        await self.start()
        self.is_down = False

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.connections.add(task)
        try:
            while True:
                await self.handle(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.connections.discard(task)

    async def handle(self, reader, writer):
        start, fields, body = await read_message(reader)
        method, path = start.split()[:2]
        attempt = fields.get("attempt-id", "")
        reply = {"Attempt-Id": attempt}
        instance = self.instance
        if fields.get("expected-instance") != instance:
            writer.write(encode("HTTP/1.1 421 Misdirected", dict(reply, **{"Not-Executed": "1"}), b""))
            return
        ledger, now = self.traffic.ledger, time.monotonic()
        ledger.check_account(attempt, fields)
        request = ledger.on_arrival(attempt, self.index, fields.get("caller-service"), method, path, body,
                                    int(fields.get("deadline-ms", "0")) / 1000, now)
        if request is None or self.running >= self.traffic.layout["slots"]:
            writer.write(encode("HTTP/1.1 503 Busy", dict(reply, **{"Not-Executed": "1"}), b""))
            return
        is_repeat = request.is_in_repeat or len(request.arrivals) > 1
        ledger.on_run(request, self.index, instance, now)
        if ledger.is_crashing(request):
            ledger.on_crash(request, now)
            asyncio.ensure_future(self.crash(self.traffic.random.uniform(*CRASHED_DOWN_S), self.instance))
            raise ConnectionError("crashed")
        self.running += 1
        try:
            status = await self.work(request, is_repeat, now + int(fields.get("deadline-ms", "0")) / 1000)
        finally:
            self.running = max(0, self.running - 1)
        if time.monotonic() < self.lost_until and self.traffic.random.random() < self.lost_share:
            raise ConnectionError("answer lost")
        writer.write(encode("HTTP/1.1 %d Done" % status, dict(reply, **{"Response-Stamp": "stamp-" + attempt}),
                            ledger.expected_body(instance, request) if status == 200 else b""))
        await writer.drain()

    async def work(self, request, is_repeat, deadline):
        rng = self.traffic.random
        await asyncio.sleep(rng.expovariate(1 / request.route["work_s"]))
        for name in request.route["calls"]:
            route = self.traffic.routes[name]
            attempt = "%s.%s" % (request.attempt, uuid.uuid4().hex[:6])
            status = await self.traffic.send_once(self.index, route, attempt, deadline, is_in_repeat=is_repeat)
            if status != 200:
                return 500
        return 200


class Connection:
    """Client connection that is kept open between requests."""

    def __init__(self, traffic, node):
        self.traffic = traffic
        self.node = node
        self.reader = self.writer = None
        self.answered = 0

    async def open(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(*self.traffic.layout["nodes"][self.node]), 1)
            self.answered = 0

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def send(self, route, attempt, deadline, body=b"", is_in_repeat=False, name="x", account=None):
        """Status, 0 without an answer; and the time after which to come back."""
        ledger = self.traffic.ledger
        try:
            await self.open()
        except (OSError, asyncio.TimeoutError):
            self.writer = None
            return 0, 0.1
        now = time.monotonic()
        path = route["prefix"] + name
        request = Request(attempt, route, self.node, self.traffic.layout["services"][self.node], "POST", path, body,
                          deadline, now, self.answered > 0)
        request.is_in_repeat = is_in_repeat
        fields = ledger.sign(request, account, now)
        ledger.on_sent(request)
        try:
            self.writer.write(encode("POST %s HTTP/1.1" % path, {
                "Host": "a.example", "Attempt-Id": attempt, "Caller-Service": "forged",
                "Deadline-Ms": str(max(1, int((deadline - now) * 1000))), **fields}, body))
            start, fields, answer = await asyncio.wait_for(
                read_message(self.reader), max(0.1, deadline - now + CLIENT_GRACE_S))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            ledger.on_no_answer(request, time.monotonic())
            self.close()
            return 0, 0.05
        self.answered += 1
        status = int(start.split()[1])
        ledger.on_answer(request, status, fields.get("response-stamp"), answer, time.monotonic())
        if fields.get("connection", "").lower() == "close":
            self.close()
        return status, min(MAX_RETRY_AFTER_S, float(fields.get("retry-after", "0")))


class Traffic:
    """All clients and workers of a run."""

    def __init__(self, layout, seed):
        self.layout = layout
        self.random = random.Random(seed)
        self.routes = {route["name"]: route for route in layout["routes"]}
        self.ledger = Ledger(layout["bounds"], layout["services"])
        self.workers = []
        self.stopping = False

    async def send_once(self, node, route, attempt, deadline, is_in_repeat):
        connection = Connection(self, node)
        status, _ = await connection.send(route, attempt, deadline, is_in_repeat=is_in_repeat)
        connection.close()
        return status

    async def client(self, node, account):
        connection = Connection(self, node)
        rng = self.random
        roots = [route for route in self.layout["routes"] if route["share"] > 0]
        while not self.stopping:
            route = rng.choices(roots, [one["share"] for one in roots])[0]
            body = rng.randbytes(rng.choice((0, 10, 300))) if route["name"] != "upload" else rng.randbytes(60000)
            status, pause_s = await connection.send(route, uuid.uuid4().hex[:16],
                                                    time.monotonic() + route["limit_s"], body, account=account)
            if status in (0, 401, 429, 503):
                await asyncio.sleep(pause_s)
            # Long pauses on some connections: their next request finds a node in any state.
            await asyncio.sleep(rng.expovariate(1 / (self.layout["think_s"] * rng.choice((0.3, 1, 4)))))
        connection.close()

    async def send_crashing_request(self, caller, for_s):
        """The caller's requests of a new name crash workers; those of the other service complete."""
        name = "crash-%d" % len(self.ledger.crashing)
        route = self.routes["read"]
        self.ledger.crashing[route["prefix"] + name] = caller
        end = time.monotonic() + for_s
        while time.monotonic() < end and not self.stopping:
            for node in self.random.sample(range(len(self.layout["nodes"])), 2):
                connection = Connection(self, node)
                await connection.send(route, uuid.uuid4().hex[:16], time.monotonic() + route["limit_s"], name=name,
                                      account=self.layout["accounts"][-1]["name"] if self.layout["accounts"] else None)
                connection.close()
            await asyncio.sleep(CRASHING_PAUSE_S)

    async def serve(self, commands):
        self.workers = [Worker(self, index) for index in range(len(self.layout["workers"]))]
        for worker in self.workers:
            await worker.start()
        commands.send("ready")
        ended = asyncio.Event()
        clients = []
        shares = [account["name"] for account in self.layout["accounts"] for _ in range(account["clients"])]
        owners = [shares[index % len(shares)] if shares else None for index in range(self.layout["clients"])]

        def on_command():
            name, arguments = commands.recv()
            if name == "start":
                for node in range(len(self.layout["nodes"])):
                    clients.extend(asyncio.ensure_future(self.client(node, owner)) for owner in owners)
            elif name == "accounts":
                self.ledger.on_accounts(arguments["accounts"], time.monotonic())
            elif name == "crash":
                asyncio.ensure_future(self.workers[arguments["index"]].crash(arguments["down_s"],
                                                                            arguments["instance"]))
            elif name == "rename":
                self.workers[arguments["index"]].instance = arguments["instance"]
            elif name == "lose_answers":
                worker = self.workers[arguments["index"]]
                worker.lost_share, worker.lost_until = arguments["share"], time.monotonic() + arguments["for_s"]
            elif name == "send_crashing_request":
                clients.append(asyncio.ensure_future(self.send_crashing_request(**arguments)))
            elif name == "stop":
                self.stopping = True
                ended.set()
            commands.send("done")

        asyncio.get_running_loop().add_reader(commands.fileno(), on_command)
        await ended.wait()
        asyncio.get_running_loop().remove_reader(commands.fileno())
        await asyncio.wait(clients, timeout=max(route["limit_s"] for route in self.layout["routes"]) + 2)
        self.ledger.disturbances, self.ledger.stops, self.ledger.store_history = commands.recv()
        violations = self.ledger.check_all()
        commands.send({"violations": violations, "failures": self.ledger.failures(), "summary": self.ledger.summary(),
                       "budget": self.ledger.worst_budget_windows, "served_late": self.served_share_late()})

    def served_share_late(self):
        """Share of the requests of the last calm seconds that were served."""
        end = max(request.sent_at for request in self.ledger.requests.values())
        late = [request for request in self.ledger.requests.values()
                if request.sent_at > end - self.layout["calm_s"] / 2 and "." not in request.attempt and
                request.status != 429 and not self.ledger.is_crashing(request) and not request.route.get("is_optional")]
        return sum(1 for request in late if request.status == 200) / max(1, len(late))


def run(commands, layout, seed):
    asyncio.run(Traffic(layout, seed).serve(commands))
