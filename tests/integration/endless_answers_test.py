"""A faulty worker that sends bytes without end, with a real node, a fake store and a fake worker."""

import http.client
import tempfile
import threading
import time
import unittest

from mesh.platform_fakes import FakeStore, FakeWorker, config
from mesh.sidecar import Sidecar
from mesh.wait import wait_until

MEMORY_MB = 160
ROUTE = {"name": "read", "authority": "a.example", "prefix": "/", "route_type": "idempotent", "timeout_s": 5,
         "target_latency_s": 2, "priority": 1, "max_attempts": 2, "service": "s1"}
BLOCK = b"x" * 65536
# Beginning of the answer, and what follows until the connection is closed.
ANSWERS = {
    "/garbage": (b"", BLOCK),
    "/field": (b"HTTP/1.1 200 OK\r\nX: ", BLOCK),
    "/fields": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 8192),
    "/body": (b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n\r\n", BLOCK),
    "/length": (b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 60000000\r\n\r\n", BLOCK),
    "/chunks": (b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"10000\r\n" + BLOCK + b"\r\n"),
    "/trailers": (b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                  b"X: y\r\n" * 8192),
    "/interim": (b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
}
CLIENTS_OF_EACH = 3


class EndlessWorker(FakeWorker):
    """Sends the answers above until the node closes the connection."""

    def answer(self, handler):
        if handler.path not in ANSWERS:
            super().answer(handler)
            return
        begin, block = ANSWERS[handler.path]
        handler.close_connection = True
        try:
            handler.wfile.write(begin.replace(b"%s", handler.headers["Attempt-Id"].encode()))
            while True:
                handler.wfile.write(block)
        except OSError:
            pass


class EndlessAnswersTest(unittest.TestCase):
    def test_endless_answers_do_not_end_the_node(self):
        """Guards against a node that keeps all bytes of such answers and runs out of memory."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        store = FakeStore("127.0.25.2")
        worker = EndlessWorker("127.0.25.2", "s1", "i-0", slots=64)
        store.put("servers/i-0", worker.entry())
        store.put("op/config", config(1, [ROUTE]))
        node = Sidecar(0, folder.name, store.address, worker, memory_mb=MEMORY_MB)
        node.start()
        self.addCleanup(lambda: node.process.is_running() and node.kill())
        wait_until(node.is_ready, 10, "readiness")
        faulty, sound, resident = [], [], []
        ended = threading.Event()

        def ask(path):
            try:
                faulty.append((path, node.call(path)[0]))
            except (OSError, http.client.HTTPException):
                faulty.append((path, 0))

        def ask_for_others():
            while not ended.is_set():
                sound.append(node.call("/sound")[0])
                resident.append(resident_mb(node.process.popen.pid))
                time.sleep(0.02)

        others = threading.Thread(target=ask_for_others)
        others.start()
        clients = [threading.Thread(target=ask, args=(path,)) for path in ANSWERS for _ in range(CLIENTS_OF_EACH)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        ended.set()
        others.join()
        self.assertTrue(node.process.is_running())
        self.assertEqual([answer for answer in faulty if answer[1] not in (502, 503, 504)], [])
        self.assertEqual(set(sound), {200})
        self.assertLess(max(resident), MEMORY_MB)


def resident_mb(pid):
    with open("/proc/%d/status" % pid, encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS:")) / 1024


if __name__ == "__main__":
    unittest.main()
