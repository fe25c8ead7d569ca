"""Tests of the emulator programs without nodes."""

import http.client
import socket
import struct
import time
import unittest

from mesh import Mesh, get_json, get_status, post_json, put_json, wait_until
from mesh.executions import root_executions
from mesh.http import request
from mesh.load import run_load
from mesh.small import small_config, small_topology


def pack_hello(vm_id, zone, region):
    """Frame with a Hello in hand-written msgpack (strings are bin values)."""
    def text(value):
        return bytes([0xc4, len(value)]) + value.encode()
    fields = [text("small"), text(vm_id), b"\x01", text("bureau"),
              text("catalogue"), text(zone), text(region), b"\xc2", b"\x01"]
    payload = b"\x92\x01" + bytes([0x90 | len(fields)]) + b"".join(fields)
    return struct.pack(">I", len(payload)) + payload


class EmulatorTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.mesh = Mesh(small_topology(), small_config(), with_nodes=False)
        cls.mesh.__enter__()
        cls.addClassCleanup(cls.mesh.stop)
        cls.platform = cls.mesh.platform.addresses["address"]
        cls.worker = cls.mesh.workers["catalogue-0"].addresses["address"]

    def test_worker_answers_with_the_key_and_counts_executions(self):
        # Guards against responses that a client cannot match to its request.
        status, _, body = request("POST", self.worker, "/read", '{"key":"a"}')
        self.assertEqual(status, 200)
        self.assertIn(b'"key":"a"', body)
        request("POST", self.worker, "/read", '{"key":"a"}')
        counts = get_json(self.worker, "/log")["read"]["a"]
        self.assertEqual((counts["started"], counts["finished"]), (2, 2))

    def test_failed_child_call_gives_502(self):
        # Guards against a worker that hides the failure of a child call.
        with socket.create_server(("127.0.0.1", 0)) as unused:
            address = f"127.0.0.1:{unused.getsockname()[1]}"
        status, _, _ = request("POST", self.worker, "/register", '{"key":"b"}',
                               {"Boragepaddle-Node": address})
        self.assertEqual(status, 502)

    def test_running_request_is_cancelled(self):
        # Guards against a cancellation that takes effect only after the service time.
        post_json(self.worker, "/control",
                  {"operations": {"slow": {"service_ms": 20000}}})
        connection = http.client.HTTPConnection(self.worker, timeout=10)
        connection.request("POST", "/slow", '{"key":"c"}',
                           {"Boragepaddle-Attempt": "7"})
        wait_until(lambda: "slow" in get_json(self.worker, "/log"), 5, "start")
        self.assertEqual(post_json(self.worker, "/cancel/7", {}), {"cancelled": True})
        self.assertEqual(connection.getresponse().status, 503)
        connection.close()

    def test_marked_request_ends_the_process_and_is_journaled(self):
        # Guards against a journal that loses the execution that crashed the worker.
        with Mesh(small_topology(1), small_config(), with_nodes=False,
                  journals=True) as mesh:
            worker = mesh.workers["catalogue-0"]
            post_json(worker.addresses["address"], "/control", {"crash_marker": "boom"})
            with self.assertRaises((OSError, http.client.HTTPException)):
                request("POST", worker.addresses["address"], "/read", '{"key":"boom"}')
            wait_until(lambda: not worker.is_running(), 5, "crash")
            with open(mesh.journal_path("catalogue-0"), encoding="utf-8") as journal:
                self.assertEqual(journal.read(), "S read boom\n")

    def test_worker_reports_configured_health_and_load(self):
        worker = self.mesh.workers["ledger-0"].addresses["address"]
        post_json(worker, "/control", {"healthy": False, "reported_load": 0.25})
        self.assertEqual(get_status(worker, "/health"), 503)
        self.assertEqual(get_json(worker, "/load")["load"], 0.25)

    def test_platform_is_down_for_one_zone(self):
        post_json(self.platform, "/control", {"down_zones": ["tamsui"]})
        self.addCleanup(post_json, self.platform, "/control", {"down_zones": []})
        zone = {"Boragepaddle-Zone": "tamsui"}
        self.assertEqual(request("GET", self.platform, "/v1/config", headers=zone)[0], 503)
        self.assertEqual(get_status(self.platform, "/v1/config"), 200)

    def test_platform_serves_an_older_revision_when_stale(self):
        first = self.mesh.put_config()
        self.mesh.put_config()
        post_json(self.platform, "/control", {"config_newest_shown": first})
        self.addCleanup(post_json, self.platform, "/control", {"config_newest_shown": 0})
        self.assertEqual(get_json(self.platform, "/v1/config")["revision"], first)

    def test_watch_answers_when_a_lagging_list_becomes_visible(self):
        # Guards against watches that only wake up when content is stored, not when a lag expires.
        revision = get_json(self.platform, "/v1/vms")["revision"]
        post_json(self.platform, "/control", {"vms_lag_s": 0.5})
        self.addCleanup(post_json, self.platform, "/control", {"vms_lag_s": 0})
        start = time.monotonic()
        put_json(self.platform, "/v1/vms", {"vms": []})
        answer = get_json(self.platform, f"/v1/vms/watch?after={revision}")
        self.assertEqual(answer["revision"], revision + 1)
        self.assertGreaterEqual(time.monotonic() - start, 0.5)


class LoadTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(small_topology(), small_config(), with_nodes=False)
        self.mesh.__enter__()
        self.addCleanup(self.mesh.stop)

    def run_load(self, **operation):
        workers = self.mesh.workers_of("catalogue")
        return run_load(self.mesh, "test", {
            "entries": [worker.addresses["address"] for worker in workers],
            "phases": [{"name": "only", "seconds": 1}],
            "operations": [{"service": "catalogue", "operation": "read", "path": "/read",
                            "class": "member", "rate": 50, **operation}]})

    def test_every_request_is_accounted_for_once(self):
        # Guards against requests that are sent twice or missing from the results.
        results, ends = self.run_load()
        counts = results["phases"]["only"]["member"]
        self.assertEqual(counts["offered"], counts["completed"])
        self.assertEqual(len(ends), counts["offered"])
        executions = root_executions(self.mesh)
        self.assertEqual({key: 1 for key in ends},
                         {key: started for key, (started, _) in executions.items()})

    def test_answer_of_another_operation_is_wrong(self):
        # Guards against a check that accepts any response.
        results, _ = self.run_load(path="/check")
        counts = results["phases"]["only"]["member"]
        self.assertEqual((counts["completed"], counts["wrong"]), (0, counts["offered"]))

    def test_failed_requests_are_resent_within_the_bound(self):
        for worker in self.mesh.workers.values():
            post_json(worker.addresses["address"], "/control", {"fail_percent": 100})
        results, _ = self.run_load(attempts=3, resend_unknown=True)
        counts = results["phases"]["only"]["member"]
        self.assertEqual(counts["failed"], counts["offered"])
        self.assertEqual(counts["attempts"], 3 * counts["offered"])


class ProxyTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(small_topology(1), small_config(), with_nodes=False)
        self.mesh.__enter__()
        self.addCleanup(self.mesh.stop)
        proxy = self.mesh.start_process("proxy", [self.program("fault_proxy")])
        self.control = proxy.wait_ready()["control"]
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        port = self.server.getsockname()[1]
        address = post_json(self.control, "/listeners", {
            "target": f"127.0.0.1:{port}", "vm": "ledger-0",
            "zone": "banqiao", "region": "tw-north"})["address"]
        self.proxy_address = ("127.0.0.1", int(address.split(":")[1]))

    @staticmethod
    def program(name):
        from mesh.mesh import program
        return program(name)

    def set_rules(self, *rules):
        put_json(self.control, "/rules", {"rules": list(rules)})

    def connect(self, zone):
        """Connects as a node of a zone; returns both ends of the connection after the Hello."""
        hello = pack_hello("catalogue-0", zone, "tw-north")
        client = socket.create_connection(self.proxy_address, timeout=10)
        self.addCleanup(client.close)
        client.sendall(hello)
        server, _ = self.server.accept()
        self.addCleanup(server.close)
        server.settimeout(10)
        received = b""
        while len(received) < len(hello):
            received += server.recv(len(hello) - len(received))
        self.assertEqual(received, hello)
        return client, server

    def round_trip_s(self, zone):
        client, server = self.connect(zone)
        start = time.monotonic()
        client.sendall(b"x")
        server.recv(1)
        server.sendall(b"y")
        client.recv(1)
        return time.monotonic() - start

    def test_delay_applies_between_zones_only(self):
        # Guards against a delay that is also applied inside a zone, which would hide the cost of crossing zones.
        self.set_rules({"between": "zones", "delay_ms": 100})
        self.assertGreaterEqual(self.round_trip_s("tamsui"), 0.2)
        self.assertLess(self.round_trip_s("banqiao"), 0.1)

    def test_black_hole_holds_bytes_until_it_ends(self):
        client, server = self.connect("tamsui")
        self.set_rules({"from_zone": "tamsui", "black_hole": True})
        client.sendall(b"late")
        server.settimeout(0.3)
        with self.assertRaises(TimeoutError):
            server.recv(4)
        server.settimeout(10)
        self.set_rules()
        self.assertEqual(server.recv(4), b"late")

    def test_cut_resets_open_connections_and_new_ones(self):
        client, _ = self.connect("tamsui")
        self.set_rules({"from_zone": "tamsui", "cut": True})
        with self.assertRaises(ConnectionResetError):
            client.recv(1)
        other = socket.create_connection(self.proxy_address, timeout=10)
        self.addCleanup(other.close)
        other.sendall(pack_hello("catalogue-0", "tamsui", "tw-north"))
        with self.assertRaises(ConnectionResetError):
            other.recv(1)

    def test_half_close_ends_one_direction(self):
        client, server = self.connect("tamsui")
        post_json(self.control, "/half_close",
                  {"from_vm": "catalogue-0", "direction": "to_target"})
        self.assertEqual(server.recv(1), b"")
        server.sendall(b"z")
        self.assertEqual(client.recv(1), b"z")

    def test_bandwidth_spreads_bytes_over_time(self):
        self.set_rules({"bandwidth": 100000})
        client, server = self.connect("tamsui")
        start = time.monotonic()
        client.sendall(b"x" * 30000)
        received = 0
        while received < 30000:
            received += len(server.recv(65536))
        self.assertGreaterEqual(time.monotonic() - start, 0.25)


if __name__ == "__main__":
    unittest.main()
