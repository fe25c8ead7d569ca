"""Mesh of one fake platform, with one fake worker and one node per VM."""

import glob
import json
import os
import shutil
import signal
import tempfile

from mesh.http import get_status, post_json, put_json
from mesh.process import Process
from mesh.wait import wait_until

READY_TIMEOUT_S = 30
REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def build_folder():
    return os.environ.get("BORAGEPADDLE_BUILD", os.path.join(REPOSITORY, "build"))


def program(name):
    return os.path.join(build_folder(), name)


def read_config_folder(folder):
    """{file name: text} of the JSON files of a configuration folder."""
    files = {}
    for path in sorted(glob.glob(os.path.join(folder, "*.json"))):
        with open(path, encoding="utf-8") as file:
            files[os.path.basename(path)] = file.read()
    return files


def _exit_on_sigterm(_signal, _frame):
    raise SystemExit("terminated by SIGTERM")


class Mesh:
    """Context manager that starts a mesh and stops every process that it started.

    `config_files` is {file name: text}; `node_settings` are keys added to the
    settings of every node. If `with_nodes` is false, only the platform and the
    workers are started. With `link_rules`, a fault proxy in front of the peer
    listener of every node applies these rules (docs/emulator.md).
    """

    def __init__(self, topology, config_files, node_settings=None,
                 with_nodes=True, journals=False, link_rules=None):
        self.topology = topology
        self.config_files = dict(config_files)
        self.node_settings = dict(node_settings or {})
        self.with_nodes = with_nodes
        self.journals = journals
        self.link_rules = link_rules
        self.proxy = None
        self.folder = None
        self.processes = []
        self.platform = None
        self.vms = {}
        self.workers = {}
        self.nodes = {}
        self.peer_addresses = {}
        self.leaving = set()

    def __enter__(self):
        signal.signal(signal.SIGTERM, _exit_on_sigterm)
        self.folder = tempfile.mkdtemp(prefix="boragepaddle-mesh-")
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def _start(self):
        self.platform = self.start_process("platform", [program("fake_platform")])
        self.platform.wait_ready()
        vms = self.topology.vms()
        for vm in vms:
            self.start_worker(vm)
        self.wait_ready(self.workers)
        if not self.with_nodes:
            return
        for vm in vms:
            self.start_node(vm)
        self.wait_ready(self.nodes)
        if self.link_rules is not None:
            self._start_proxy()
        self.put_config()
        self.put_vms()
        self.wait_nodes_ready()

    def start_process(self, name, arguments):
        process = Process(name, arguments, self.folder)
        self.processes.append(process)
        return process

    @staticmethod
    def wait_ready(processes):
        for process in processes.values():
            process.wait_ready()

    def start_worker(self, vm, port=0):
        """Starts the worker of a VM; the caller waits for its ready line."""
        self.vms[vm.vm_id] = vm
        arguments = [
            program("fake_worker"), f"--service={vm.service.name}",
            f"--port={port}",
            f"--behaviour={self._write_json(vm.vm_id + '.behaviour.json', vm.service.behaviour_json())}"]
        if self.journals:
            arguments.append(f"--journal={self.journal_path(vm.vm_id)}")
        process = self.start_process(f"worker-{vm.vm_id}", arguments)
        self.workers[vm.vm_id] = process
        return process

    def journal_path(self, vm_id):
        return os.path.join(self.folder, vm_id + ".journal")

    def start_node(self, vm):
        """Starts the node of a VM whose worker is ready."""
        settings = self._write_json(vm.vm_id + ".settings.json", self._settings(vm))
        process = self.start_process(
            f"node-{vm.vm_id}", [program("boragepaddled"), f"--settings={settings}"])
        self.nodes[vm.vm_id] = process
        return process

    def _start_proxy(self):
        self.proxy = self.start_process("proxy", [program("fault_proxy")])
        self.proxy.wait_ready()
        self.set_link_rules(self.link_rules)
        for vm in list(self.vms.values()):
            self.add_proxy_listener(vm)

    def add_proxy_listener(self, vm):
        """Adds a proxy listener in front of the node of a VM, or changes the target
        if the VM already has a listener."""
        target = self.nodes[vm.vm_id].addresses["peer"]
        control = self.proxy.addresses["control"]
        if vm.vm_id in self.peer_addresses:
            put_json(control, "/listeners", {
                "address": self.peer_addresses[vm.vm_id], "target": target})
            return
        self.peer_addresses[vm.vm_id] = post_json(control, "/listeners", {
            "target": target, "vm": vm.vm_id, "zone": vm.zone,
            "region": vm.service.region})["address"]

    def set_link_rules(self, rules):
        put_json(self.proxy.addresses["control"], "/rules", {"rules": rules})

    def _settings(self, vm):
        service = vm.service
        return {
            "fleet": self.topology.fleet,
            "vm_id": vm.vm_id,
            "member": service.member,
            "service": service.name,
            "availability_zone": vm.zone,
            "region": service.region,
            "founding_members": self.topology.founding_members,
            "upstream_address": self.workers[vm.vm_id].addresses["address"],
            "platform_address": self.platform.addresses["address"],
            "slots": service.slots,
            "max_connections": service.connections,
            "worker_accepts_cancel": service.accepts_cancel,
            **self.node_settings}

    def _write_json(self, name, value):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(value, file, indent=1)
        return path

    def put_config(self):
        """Publishes config_files; returns the revision."""
        return put_json(self.platform.addresses["address"], "/v1/config",
                        {"files": self.config_files})["revision"]

    def put_vms(self):
        """Publishes the VM list; returns the revision."""
        return put_json(self.platform.addresses["address"], "/v1/vms",
                        {"vms": self.vm_list()})["revision"]

    def vm_list(self):
        return [{
            "vm_id": vm_id,
            "member": self.vms[vm_id].service.member,
            "service": self.vms[vm_id].service.name,
            "availability_zone": self.vms[vm_id].zone,
            "region": self.vms[vm_id].service.region,
            "peer_address": self.peer_addresses.get(vm_id, node.addresses["peer"]),
            "state": "leaving" if vm_id in self.leaving else "live",
        } for vm_id, node in sorted(self.nodes.items())]

    def wait_nodes_ready(self, timeout_s=READY_TIMEOUT_S):
        for vm_id, node in self.nodes.items():
            address = node.addresses["operator"]
            wait_until(lambda: get_status(address, "/readyz") == 200,
                       timeout_s, f"/readyz of {vm_id}")

    def remove_vm(self, vm_id):
        """Removes a VM whose processes have ended from the mesh."""
        for processes in (self.nodes, self.workers, self.vms, self.peer_addresses):
            processes.pop(vm_id, None)
        self.leaving.discard(vm_id)

    def nodes_of(self, service):
        return [node for vm_id, node in sorted(self.nodes.items())
                if self.vms[vm_id].service.name == service]

    def workers_of(self, service):
        return [worker for vm_id, worker in sorted(self.workers.items())
                if self.vms[vm_id].service.name == service]

    def stop(self):
        """Stops all processes in parallel and removes the temporary folder."""
        running = [process for process in self.processes if process.is_running()]
        for process in running:
            process.send(signal.SIGTERM)
        # Workers and the platform have nothing to drain.
        nodes = {node.pid for node in self.nodes.values()}
        for process in running:
            if process.pid not in nodes:
                process.kill()
        for process in running:
            process.wait(READY_TIMEOUT_S if process.pid in nodes else 1)
        self.processes.clear()
        if not os.environ.get("BORAGEPADDLE_KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
