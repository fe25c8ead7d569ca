"""Malformed, slow and unauthenticated clients at the listeners of a node."""

import contextlib
import socket
import struct
import threading
import time
import unittest

from mesh.caller import call, call_once
from mesh.http import request
from mesh.mesh import Mesh
from mesh.small import small_config, small_topology
from mesh.wait import wait_until


def connect(address, timeout_s=20):
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), timeout=timeout_s)


def read_all(connection):
    """Reads until the connection is closed."""
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while part := connection.recv(65536):
            data += part
    return data


def exchange(address, data, finish=True):
    with connect(address) as connection:
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            connection.sendall(data)
        if finish:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_WR)
        return read_all(connection)


def pack(value):
    """Msgpack encoding of the types that occur in a Hello."""
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return b"\xcf" + struct.pack(">Q", value)
    if isinstance(value, str):
        return b"\xc4" + bytes([len(value)]) + value.encode()
    return bytes([0x90 + len(value)]) + b"".join(pack(item) for item in value)


def frame(payload):
    return struct.pack(">I", len(payload)) + payload


def hello(fleet):
    return frame(pack([1, [fleet, "vm-x", 5, "bureau", "ledger", "tamsui",
                           "tw-north", False, 0, 0]]))


class BadInputTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.mesh = Mesh(small_topology(), small_config(), {"max_connections": 20})
        cls.mesh.__enter__()
        cls.addClassCleanup(cls.mesh.__exit__, None, None, None)
        cls.node = cls.mesh.nodes["catalogue-0"]
        cls.address = cls.node.addresses["caller"]
        cls.peer = cls.node.addresses["peer"]

    def tearDown(self):
        # Other callers must still be served after each test.
        answer = call(self.address, "catalogue", "read", '{"key": "after"}')
        self.assertEqual("completed", answer.outcome, answer)

    def check_bad_request(self, status, data, finish=True):
        answer = exchange(self.address, data, finish)
        self.assertTrue(answer.startswith(b"HTTP/1.1 %d" % status), answer[:200])
        self.assertIn(b"Boragepaddle-Outcome: not-run", answer)
        self.assertIn(b"Boragepaddle-Reason: bad-request", answer)
        self.assertEqual(1, answer.count(b"HTTP/1.1"), "the rest of the request was parsed as another request")

    def test_malformed_requests_are_not_run(self):
        """Guards against the rest of a malformed request being parsed as the next request."""
        self.check_bad_request(400, b"nonsense\r\nmore\r\n\r\n")
        self.check_bad_request(400, b"POST /call/catalogue/read HTTP/1.1\r\n"
                                    b"Content-Length: 50\r\n\r\nshort")
        self.check_bad_request(414, b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\n\r\n")
        self.check_bad_request(400, b"POST /call/catalogue/read HTTP/1.1\r\nX: "
                               + b"a" * 9000 + b"\r\n\r\n")
        self.check_bad_request(413, b"POST /call/catalogue/read HTTP/1.1\r\n"
                                    b"Content-Length: 90000000\r\n\r\n")

    def test_endless_headers_are_cut_off(self):
        """Guards against unbounded memory use by the headers of one request."""
        before = self.node.resident_kb()
        line = b"X-Filler: " + b"a" * 4000 + b"\r\n"
        exchange(self.address, b"POST / HTTP/1.1\r\n" + line * 10000)
        self.assertLess(self.node.resident_kb() - before, 32 << 10)

    def test_bad_headers_of_a_call(self):
        for name, value in (("Boragepaddle-Deadline-Ms", "soon"),
                            ("Boragepaddle-Deadline-Ms", "-5"),
                            ("Boragepaddle-Deadline-Ms", "99999999999999999999"),
                            ("Boragepaddle-Request-Id", "a" * 129)):
            answer = call_once(self.address, "catalogue", "read", "{}", {name: value})
            self.assertEqual((400, "not-run", "bad-request"),
                             (answer.status, answer.outcome, answer.reason), (name, value))

    def test_unknown_path_and_wrong_method(self):
        status, fields, _ = request("POST", self.address, "/elsewhere", "{}")
        self.assertEqual((404, "not-run"), (status, fields["Boragepaddle-Outcome"]))
        status, fields, _ = request("GET", self.address, "/call/catalogue/read")
        self.assertEqual((405, "not-run"), (status, fields["Boragepaddle-Outcome"]))
        self.check_bad_request(404, b"DELETE /call/catalogue/read HTTP/1.1\r\n\r\n")

    def test_forged_ticket(self):
        answer = call_once(self.address, "catalogue", "register", "{}",
                           {"Boragepaddle-Ticket": "forged"})
        self.assertEqual((504, "unknown", "ticket-invalid"),
                         (answer.status, answer.outcome, answer.reason))

    def test_slow_senders_end_and_do_not_starve_others(self):
        """Guards against clients that occupy all connections by sending single bytes (slowloris)."""
        stop = threading.Event()
        closed = []

        def send_slowly():
            with connect(self.address) as connection, contextlib.suppress(OSError):
                connection.sendall(b"POST /call/catalogue/read HTTP/1.1\r\nX: ")
                while not stop.wait(0.5):
                    connection.sendall(b"a")
                    connection.settimeout(0.01)
                    with contextlib.suppress(socket.timeout):
                        if connection.recv(1000):
                            break
            closed.append(True)

        threads = [threading.Thread(target=send_slowly) for _ in range(15)]
        for thread in threads:
            thread.start()
        try:
            answer = call(self.address, "catalogue", "read", '{"key": "x"}')
            self.assertEqual("completed", answer.outcome)
            wait_until(lambda: len(closed) == len(threads), 15, "slow senders closed")
        finally:
            stop.set()
            for thread in threads:
                thread.join()

    def test_connections_beyond_the_limit_are_refused_fast(self):
        # Uses a separate mesh: if the node had not yet noticed that a connection
        # of an earlier test was closed, a place would become free during the check.
        with Mesh(small_topology(), small_config(), {"max_connections": 20}) as mesh:
            address = mesh.nodes["catalogue-0"].addresses["caller"]
            self.check_limit(address)

    def check_limit(self, address):
        with contextlib.ExitStack() as stack:
            head = b"POST /call/catalogue/read HTTP/1.1\r\n"
            for _ in range(20):
                stack.enter_context(connect(address)).sendall(head)
            wait_until(lambda: call_once(address, "catalogue", "read", "{}").reason
                       == "too-many-connections", 5, "limit reached")
            start = time.monotonic()
            answer = call_once(address, "catalogue", "read", "{}")
            self.assertEqual((503, "not-run"), (answer.status, answer.outcome))
            self.assertLess(time.monotonic() - start, 0.5)
            # An earlier send with the ticket may have been executed.
            answer = call_once(address, "catalogue", "register", "{}", {"Boragepaddle-Ticket": "t1.a"})
            self.assertEqual(("unknown", "too-many-connections"), (answer.outcome, answer.reason))
        wait_until(lambda: call_once(address, "catalogue", "read", "{}").status == 200,
                   15, "served again")

    def check_peer_is_disconnected(self, data, reason):
        with connect(self.peer) as connection:
            connection.sendall(data)
            read_all(connection)  # Ends when the node closes the connection.
        wait_until(lambda: f"reason={reason}" in self.node.log_tail(50), 5, reason)

    def test_unaccepted_peers_are_disconnected(self):
        self.check_peer_is_disconnected(hello("other"), "wrong fleet")
        self.check_peer_is_disconnected(frame(pack([4, [1]])), "no hello")
        self.check_peer_is_disconnected(frame(b"\xc1nonsense"), "no hello")
        self.check_peer_is_disconnected(struct.pack(">I", 1 << 30), "frame too large")
        # The frame limit before the Hello is 16 KiB.
        self.check_peer_is_disconnected(struct.pack(">I", 1 << 20), "frame too large")
        self.check_peer_is_disconnected(hello("small") + struct.pack(">I", 1 << 30), "frame too large")
        self.check_peer_is_disconnected(hello("small") + frame(b"\x92\x7f\x90"), "bad frame")

    def test_silent_connections_do_not_block_peers(self):
        with contextlib.ExitStack() as stack:
            for _ in range(300):
                stack.enter_context(connect(self.peer))
            answer = call(self.mesh.nodes["ledger-0"].addresses["caller"],
                          "catalogue", "read", '{"key": "x"}')
            self.assertEqual("completed", answer.outcome, answer)


if __name__ == "__main__":
    unittest.main()
