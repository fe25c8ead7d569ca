"""Starts and stops meshes of nodes, fake workers and a fake platform."""

from mesh.http import get_json, get_status, post_json, put_json
from mesh.mesh import Mesh
from mesh.process import Process, ProcessError
from mesh.topology import Service, Topology, Vm
from mesh.wait import WaitTimeout, wait_until

__all__ = [
    "Mesh", "Process", "ProcessError", "Service", "Topology", "Vm",
    "WaitTimeout", "get_json", "get_status", "post_json", "put_json",
    "wait_until",
]
