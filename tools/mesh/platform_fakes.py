"""Fakes of the users' platform: its metadata store and its workers."""

import base64
import http.server
import json
import socket
import threading
import time
import urllib.parse

ROUTE_COLUMNS = ["name", "authority", "prefix", "route_type", "timeout_s",
                 "target_latency_s", "priority", "traffic_split",
                 "max_attempts", "public", "service"]
# Time within which a worker that crashes closes its connections.
WORKER_POLL_S = 0.02
ACCOUNT_COLUMNS = ["name", "api_keys", "priority", "rate_per_s", "burst"]


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, handler):
        self.connections = set()
        super().__init__(address, handler)

    def handle_error(self, request, client_address):
        """Ignores disconnects, such as those of killed nodes."""

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def close_all(self):
        """Closes the listener and all connections, as the end of the process would."""
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class StoreCopy:
    """Content of a store at one moment."""

    def __init__(self, store):
        self.items = dict(store.items)
        self.events = list(store.events)
        self.revision = store.revision
        self.compacted = store.compacted


class FakeStore:
    """Revisioned key-value store with range reads and watches. Outages and the return from a copy can be simulated."""

    def __init__(self, host):
        self.condition = threading.Condition()
        self.revision = 1
        self.items = {}
        self.events = []
        self.compacted = 0
        self.down = False
        # Rises by one each time the store comes back from a copy; in all answers.
        self.era = 1
        # Text of the era's header instead of the era, by server address, or of all servers with the key None.
        # The text None leaves the header out.
        self.era_texts = {}
        # (time, server address, path, status) of each answered call.
        self.calls = []
        self.host = host
        # (items, revision) returned by serializable reads; None to return the current state.
        self.stale_snapshot = None
        # Addresses of servers that respond with 503 to every request.
        self.refusing_addresses = set()
        self.server, self.address = self.add_server()

    def add_server(self):
        """Starts a server for the same content at an additional address."""
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            # Head and body are separate writes, which would wait for each other.
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def do_GET(self):
                store.answer(self)

        server = _Server((self.host, 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server, "%s:%d" % server.server_address

    def set_refusing(self, address, refuse):
        with self.condition:
            if refuse:
                self.refusing_addresses.add(address)
            else:
                self.refusing_addresses.discard(address)
            self.condition.notify_all()

    def is_down_for(self, handler):
        return self.down or "%s:%d" % handler.server.server_address in self.refusing_addresses

    def put(self, key, document):
        with self.condition:
            self.revision += 1
            item = {"key": key, "revision": self.revision,
                    "create_revision": self.revision, "lease": 0,
                    "value": base64.b64encode(json.dumps(document).encode()).decode()}
            self.items[key] = item
            self.events.append(item)
            self.condition.notify_all()

    def remove(self, key):
        with self.condition:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "removed": True})
            self.condition.notify_all()

    def capture_stale_snapshot(self):
        """Makes serializable reads return the current state from now on, as stale reads would."""
        with self.condition:
            self.stale_snapshot = (dict(self.items), self.revision)

    def compact(self):
        """Discards the event history; watches that are behind it get status 410."""
        with self.condition:
            self.compacted = self.revision
            self.events = []
            self.condition.notify_all()

    def copy(self):
        """A copy of the content, for return_from_copy."""
        with self.condition:
            return StoreCopy(self)

    def return_from_copy(self, copy, down_s=0.3):
        """Is away for a moment and comes back with the copy: later writes are lost, and their revisions given out again.
        Returns the time of the return."""
        self.set_down(True)
        time.sleep(down_s)
        return self.restore(copy)

    def restore(self, copy):
        """The end of return_from_copy, for callers that go on meanwhile."""
        with self.condition:
            self.items = dict(copy.items)
            self.events = list(copy.events)
            self.revision = copy.revision
            self.compacted = copy.compacted
            self.era += 1
            self.down = False
            self.condition.notify_all()
            return time.monotonic()

    def calls_between(self, begin, end):
        with self.condition:
            return [call for call in self.calls if begin <= call[0] < end]

    def set_down(self, down):
        with self.condition:
            self.down = down
            self.condition.notify_all()

    def answer(self, handler):
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if self.is_down_for(handler):
            return self._send(handler, 503, {})
        if url.path == "/boragepaddle/kv-range":
            return self._range(handler, query)
        if url.path == "/boragepaddle/kv-watch":
            return self._watch(handler, query)
        return self._send(handler, 404, {})

    def _range(self, handler, query):
        with self.condition:
            content, revision = self.items, self.revision
            if query.get("serializable") == "1" and self.stale_snapshot:
                content, revision = self.stale_snapshot
            items = [item for key, item in sorted(content.items())
                     if key.startswith(query["prefix"]) and key > query.get("after", "")]
            # Small pages, so that paging is always exercised.
            page = {"items": items[:3], "truncated": len(items) > 3, "as_of": revision}
            era = self.era
        self._send(handler, 200, page, era)

    def _watch(self, handler, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.condition:
            era = self.era
            while True:
                # A watch does not outlive the store that it waits at.
                if self.is_down_for(handler) or era != self.era:
                    status, body = 503, {}
                    break
                if after < self.compacted or after > self.revision:
                    status, body = 410, {}
                    break
                events = [event for event in self.events
                          if event["revision"] > after and event["key"].startswith(query["prefix"])]
                remaining_s = end - time.monotonic()
                if events or remaining_s <= 0:
                    status, body = 200, {"events": events, "as_of": self.revision}
                    break
                self.condition.wait(remaining_s)
        self._send(handler, status, body, era)

    def _send(self, handler, status, body, era=None):
        """`era` is the one that the body was read in."""
        data = json.dumps(body).encode()
        address = "%s:%d" % handler.server.server_address
        with self.condition:
            self.calls.append((time.monotonic(), address, handler.path, status))
            text = self.era_texts.get(address, self.era_texts.get(None, str(self.era if era is None else era)))
        handler.send_response(status)
        if text is not None:
            handler.send_header("Store-Era", text)
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)


class FakeWorker:
    """Worker that executes requests and records them in memory."""

    def __init__(self, host, service, instance, work_s=0.02, port=0, slots=8):
        self.host = host
        self.service = service
        self.instance = instance
        self.work_s = work_s
        self.slots = slots
        self.lock = threading.Lock()
        self.runs = []
        # Of the entries; rises with each one that is written.
        self.sequence = 0
        # Header fields of all answers.
        self.answer_fields = {}
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            # Head and body are separate writes, which would wait for each other.
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def handle_any(self):
                worker.answer(self)

            do_GET = do_POST = handle_any

        self.handler = Handler
        self.start((host, port))
        self.address = "%s:%d" % self.server.server_address

    def start(self, address):
        self.server = _Server(address, self.handler)
        threading.Thread(target=self.server.serve_forever, args=(WORKER_POLL_S,), daemon=True).start()

    def crash(self, down_s):
        """Closes all connections and refuses new ones for a while."""
        address = self.server.server_address
        self.server.close_all()
        time.sleep(down_s)
        self.start(address)

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": "z", "version": "v1",
                "slots": self.slots, "state": state, "cold_remaining_s": 0, "sequence": self.sequence, "born": 1}

    def answer(self, handler):
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        attempt = handler.headers["Attempt-Id"]
        if handler.headers["Expected-Instance"] != self.instance:
            return self._send(handler, 421, attempt, b"", {"Not-Executed": "1"})
        with self.lock:
            self.runs.append((attempt, handler.command, handler.path,
                              handler.headers["Caller-Service"], body))
        status = self.work(handler, attempt)
        self._send(handler, status, attempt, ("%s:%s" % (self.instance, attempt)).encode() + body,
                   self.answer_fields)

    def work(self, handler, attempt):
        """Executes a request; returns its status."""
        time.sleep(self.work_s)
        return 200

    @staticmethod
    def _send(handler, status, attempt, body, headers):
        handler.send_response(status)
        handler.send_header("Attempt-Id", attempt)
        handler.send_header("Response-Stamp", "stamp-" + attempt)
        handler.send_header("Content-Length", str(len(body)))
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.end_headers()
        handler.wfile.write(body)

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


def _table(columns, rows):
    return {"columns": columns, "rows": [[row.get(column) for column in columns] for row in rows]}


def config(version, routes, accounts=None):
    """Configuration document of the operators; each route and each client account is a dict by column."""
    document = {
        "version": "%08x" % version,
        "routes": _table(ROUTE_COLUMNS, routes),
        "services": {"columns": ["name", "health_path", "max_connections"],
                     "rows": [["s1", "/health", 100], ["s2", "/health", 100]]},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                   "header_timeout_s": 3, "idle_timeout_s": 15}}
    if accounts is not None:
        document["tenants"] = _table(ACCOUNT_COLUMNS, accounts)
    return document
