"""Exit codes and output of boragepaddlectl, on the examples and against a fake node."""
import dataclasses
import http.server
import json
import os
import pathlib
import subprocess
import tempfile
import threading
import unittest

from mesh.caller import call
from mesh.mesh import Mesh, read_config_folder
from mesh.topology import Topology
from mesh.wait import wait_until

ROOT = pathlib.Path(__file__).resolve().parents[2]
CTL = pathlib.Path(os.environ.get("BORAGEPADDLE_BUILD", ROOT / "build")) / "boragepaddlectl"
EXAMPLES = ROOT / "examples"
CONFIG = EXAMPLES / "two-members" / "config"
TOPOLOGY = Topology.load(EXAMPLES / "two-members" / "topology.json")
SETTINGS = "--settings=%s" % (EXAMPLES / "two-members" / "node.json")
ENTRY = {"member": "a", "file": "10-a.json", "version": 7, "path": "services[s].slots", "old_value": "1",
         "new_value": "2", "verdict": "refused", "reason": "out of range", "time": "t"}


def ctl(*arguments):
    done = subprocess.run([CTL, *map(str, arguments)], capture_output=True, text=True, timeout=30, check=False)
    return done.returncode, done.stdout, done.stderr


class Operator(http.server.BaseHTTPRequestHandler):
    def respond(self, code, body):
        self.send_response(code)
        self.end_headers()
        self.wfile.write(body.encode())

    def do_GET(self):
        answers = {"/status": json.dumps({"ready": True, "config": {"version": 7}}),
                   "/audit": json.dumps({"dropped": 3, "entries": [ENTRY]})}
        self.respond(200, answers[self.path])

    def do_POST(self):
        self.respond(503, "busy")

    def log_message(self, *_):
        pass


class FolderCommands(unittest.TestCase):
    def test_examples_are_accepted(self):
        folders = [CONFIG, *sorted((EXAMPLES / "third-member").iterdir())]
        for folder in folders:
            code, out, _ = ctl(SETTINGS, "check", folder)
            self.assertEqual(code, 0, out)

    def test_candidate_joins_with_the_last_approval(self):
        members = []
        for step in sorted((EXAMPLES / "third-member").iterdir()):
            members.append(len(json.loads(ctl(SETTINGS, "--json", "merge", step)[1])["members"]))
        self.assertEqual(members, [2, 2, 3])

    def test_topology_matches_the_rules(self):
        merged = json.loads(ctl(SETTINGS, "--json", "merge", CONFIG)[1])
        ruled = {s["service"]: (s["member"], s["slots"], s["connections"], {
            o["operation"].split(".")[1]: o["calls"] for o in s["operations"]}) for s in merged["services"]}
        sized = {s.name: (s.member, s.slots, s.connections, {
            name: o.get("calls", []) for name, o in s.operations.items()}) for s in TOPOLOGY.services}
        self.assertEqual(sized, ruled)

    def test_refusal_and_unreadable_folder(self):
        with tempfile.TemporaryDirectory() as folder:
            (pathlib.Path(folder) / "a.json").write_text('{"member": "a", "services": 1}')
            code, out, _ = ctl("--founding_members=a", "--json", "check", folder)
            self.assertEqual((code, json.loads(out)["faults"][0]["path"]), (2, "services"))
        self.assertEqual(ctl("--founding_members=a", "check", folder)[0], 3)

    def test_diff_and_explain(self):
        steps = sorted((EXAMPLES / "third-member").iterdir())
        self.assertEqual(ctl("diff", steps[0], steps[0])[:2], (0, ""))
        code, out, _ = ctl("--json", "diff", steps[0], steps[1])
        self.assertEqual((code, json.loads(out)["changes"][0]["path"]), (2, "approves[archive].member"))
        code, out, _ = ctl(SETTINGS, "explain", steps[0], "tagpress.press-run")
        self.assertEqual(code, 0)
        self.assertIn("tagpress.press-run -> tagpress.print-label", out)
        self.assertEqual(ctl(SETTINGS, "explain", steps[0], "tagpress.none")[0], 2)

    def test_usage(self):
        self.assertEqual(ctl("--help")[0], 0)
        self.assertEqual(ctl("--version")[0], 0)
        for arguments in ([], ["none"], ["check"], ["check", "."], ["status"], ["--none", "check", "."]):
            self.assertEqual(ctl(*arguments)[0], 1, arguments)


class NodeCommands(unittest.TestCase):
    def setUp(self):
        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Operator)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.node = "--node=127.0.0.1:%d" % self.server.server_port

    def tearDown(self):
        self.server.shutdown()
        self.server.server_close()

    def test_status_and_audit(self):
        self.assertEqual(ctl(self.node, "status")[:2], (0, "ready: true\nconfig.version: 7\n"))
        self.assertEqual(json.loads(ctl(self.node, "--json", "audit")[1])["entries"], [ENTRY])
        out = ctl(self.node, "audit")[1]
        self.assertIn("t version 7 refused a 10-a.json: services[s].slots: 1 -> 2 (out of range)", out)
        self.assertIn("dropped: 3", out)

    def test_errors_of_a_node(self):
        self.assertEqual(ctl(self.node, "drain")[0], 5)
        self.assertEqual(ctl("--node=127.0.0.1:1", "status")[0], 4)
        self.assertEqual(ctl("--node=nonsense", "--timeout_ms=500", "status")[0], 4)


class ExampleMesh(unittest.TestCase):
    """Guards against examples that a node accepts but that do not work, and against a tool that is incompatible with
    the node."""

    def test_every_operation_completes_and_a_node_drains(self):
        topology = Topology(TOPOLOGY.fleet, TOPOLOGY.founding_members,
                            [dataclasses.replace(service, workers=1) for service in TOPOLOGY.services])
        with Mesh(topology, read_config_folder(CONFIG)) as mesh:
            node = next(iter(mesh.nodes.values()))
            for service in topology.services:
                for operation in service.operations:
                    answer = call(node.addresses["caller"], service.name, operation, json.dumps({"key": operation}))
                    self.assertEqual((answer.outcome, answer.status), ("completed", 200), (service.name, answer))
            operator = "--node=" + node.addresses["operator"]
            self.assertEqual(json.loads(ctl(operator, "--json", "status")[1])["config_version"], 1)
            verdicts = {e["verdict"] for e in json.loads(ctl(operator, "--json", "audit")[1])["entries"]}
            self.assertEqual(verdicts, {"accepted"})
            self.assertEqual(ctl(operator, "drain")[:2], (0, "drain requested\n"))
            wait_until(lambda: not node.is_running(), 10, "end of the drained node")


if __name__ == "__main__":
    unittest.main()
