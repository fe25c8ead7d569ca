"""The example mesh of examples/two-members, scaled down to one machine."""

import json
import os

from mesh.mesh import REPOSITORY, read_config_folder
from mesh.topology import Topology

FOLDER = os.path.join(REPOSITORY, "examples", "two-members")
SERVICE_MS = 10.0
SPREAD_SHARE = 0.2
# At this service time, the unscaled example serves tens of thousands of
# requests per second, which one machine cannot generate.
SLOT_SHARE = 0.1


def parse_with_comments(text):
    """Parses JSON with comments on separate lines."""
    lines = [line for line in text.splitlines() if not line.strip().startswith("//")]
    return json.loads("\n".join(lines))


def scaled_slots(slots, slot_share):
    return max(1, round(slots * slot_share))


def two_members_config(slot_share=SLOT_SHARE):
    """{file name: text} with scaled slots."""
    files = {}
    for name, text in read_config_folder(os.path.join(FOLDER, "config")).items():
        member_file = parse_with_comments(text)
        for service in member_file["services"]:
            service["slots"] = scaled_slots(service["slots"], slot_share)
        files[name] = json.dumps(member_file, indent=1)
    return files


def two_members(slot_share=SLOT_SHARE, service_ms=SERVICE_MS, member=None):
    """Returns (Topology, config files); `member` keeps the services of one
    member only."""
    topology = Topology.load(os.path.join(FOLDER, "topology.json"))
    topology.services = [service for service in topology.services
                         if member in (None, service.member)]
    for service in topology.services:
        service.slots = scaled_slots(service.slots, slot_share)
        for operation in service.operations.values():
            operation["service_ms"] = service_ms
            operation["spread_ms"] = SPREAD_SHARE * service_ms
    return topology, two_members_config(slot_share)
