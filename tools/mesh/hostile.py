"""Crowds of clients that try to exhaust the memory of a node."""

import contextlib
import os
import socket
import tempfile
import threading
import time
import unittest
import uuid

from mesh.platform_fakes import FakeStore, FakeWorker, config
from mesh.sidecar import Sidecar
from mesh.wait import wait_until

CROWD = 16
MEMORY_MB = 160
# Half as much again as MEMORY_MB if the whole crowd is held in memory.
BODY_BYTES = 16 << 20
# Connections of the crowd, listeners, store, worker, and those of the request afterwards.
MAX_DESCRIPTORS = CROWD + 40
SEND_TIMEOUT_S = 60
ROUTE = {"name": "read", "authority": "a.example", "prefix": "/read/", "route_type": "idempotent",
         "timeout_s": 10, "target_latency_s": 1, "priority": 1, "max_attempts": 2, "service": "s1"}


def head(framing):
    """Head of a request whose body follows."""
    return ("POST /read/crowd HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\n%s\r\n\r\n"
            % (uuid.uuid4().hex, framing)).encode()


class Crowd:
    """Clients that each send a sequence of byte strings and then leave their connection open."""

    def __init__(self, address, sequences):
        self.address = address
        self.stop = threading.Event()
        self.sent = [threading.Event() for _ in sequences]
        self.threads = [threading.Thread(target=self._run, args=pair, daemon=True)
                        for pair in zip(sequences, self.sent)]
        for thread in self.threads:
            thread.start()

    def _run(self, sequence, sent):
        try:
            with socket.create_connection(self.address, timeout=SEND_TIMEOUT_S) as connection:
                # The node may refuse the request or close the connection at any time.
                with contextlib.suppress(OSError):
                    for data in sequence:
                        connection.sendall(data)
                sent.set()
                self.stop.wait()
        except OSError:
            pass  # Refused or reset on close.
        finally:
            sent.set()

    def wait_sent(self):
        for sent in self.sent:
            if not sent.wait(2 * SEND_TIMEOUT_S):
                raise AssertionError("the node neither reads nor closes")

    def close(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()


class HostileClientsFixture(unittest.TestCase):
    """A node with lowered limits, its store and its worker."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        store = FakeStore("127.0.23.1")
        worker = FakeWorker("127.0.23.1", "s1", "i-0")
        self.node = Sidecar(0, folder.name, store.address, worker, memory_mb=MEMORY_MB)
        store.put("servers/i-0", worker.entry())
        document = config(1, [ROUTE])
        document["limits"]["max_body_bytes"] = BODY_BYTES
        store.put("op/config", document)
        self.node.start()
        self.addCleanup(lambda: self.node.process.is_running() and self.node.kill())
        wait_until(self.node.is_ready, 20, "readiness")

    def check_survives(self, sequences):
        """Sends the sequences at the same time; checks the node while their connections are open, and after."""
        crowd = Crowd(self.node.caller, sequences)
        try:
            crowd.wait_sent()
            # The node handles what is still in the socket buffers.
            time.sleep(1)
            descriptors = self.descriptors()
            status = self.ordinary_status()
        finally:
            crowd.close()
        status_after = self.ordinary_status()
        peak_mb = self.node.process.peak_resident_kb() / 1024 if self.node.process.is_running() else None
        print("%s: peak %s MB, %s descriptors, status %s and %s" % (
            self.id(), peak_mb and round(peak_mb), descriptors, status, status_after))
        self.assertIsNotNone(peak_mb, "the process ended: " + self.node.process.log_tail())
        self.assertLess(peak_mb, MEMORY_MB)
        self.assertLess(descriptors, MAX_DESCRIPTORS)
        self.assertEqual((200, 200), (status, status_after))

    def descriptors(self):
        with contextlib.suppress(OSError):
            return len(os.listdir("/proc/%d/fd" % self.node.process.pid))
        return 0

    def ordinary_status(self):
        try:
            return self.node.call("/read/x")[0]
        except OSError as error:
            return repr(error)
