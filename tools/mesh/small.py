"""Small topology with a chain of two services, for tests and demos."""

import json

from mesh.topology import Service, Topology

ZONES = ["tamsui", "banqiao", "keelung"]


def small_topology(workers=2):
    common = {"member": "bureau", "region": "tw-north", "zones": ZONES}
    return Topology("small", ["bureau"], [
        Service(name="catalogue", workers=workers, slots=8, operations={
            "read": {"service_ms": 5},
            "register": {"service_ms": 5, "calls": ["ledger.post"]},
            "check": {"service_ms": 5},
            "scan": {"service_ms": 5}}, **common),
        Service(name="ledger", workers=workers, slots=8, operations={
            "post": {"service_ms": 5},
            "balance": {"service_ms": 5}}, **common)])


def small_config():
    return {"10-bureau.json": json.dumps({
        "member": "bureau",
        "services": [
            {"name": "catalogue", "slots": 8, "operations": [
                {"name": "read", "class": "member", "idempotent": True,
                 "retry_on_unknown": True},
                {"name": "register", "class": "member", "at_most_once": True,
                 "calls": ["ledger.post"]},
                {"name": "check", "class": "internal", "idempotent": True},
                {"name": "scan", "class": "bulk", "idempotent": True}]},
            {"name": "ledger", "slots": 8, "operations": [
                {"name": "post", "class": "member", "at_most_once": True},
                {"name": "balance", "class": "standard", "idempotent": True}]}]},
        indent=1)}
