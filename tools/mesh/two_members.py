"""The example mesh of examples/two-members, made to fit one machine."""

import json
import os

from mesh.mesh import REPOSITORY, read_config_folder
from mesh.topology import Service, Topology

FOLDER = os.path.join(REPOSITORY, "examples", "two-members")
SERVICE_MS = 10.0
SPREAD_MS = 2.0
# The sizes of the example carry tens of thousands of requests per second at
# this service time, which one machine cannot send.
SLOT_SHARE = 0.1


def parse_with_comments(text):
    """Parses JSON whose comments stand on lines of their own."""
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


def _operations(config_files, service_ms):
    """{service: {operation: behaviour}} with the calls of the configuration."""
    operations = {}
    for text in config_files.values():
        for service in json.loads(text)["services"]:
            operations[service["name"]] = {
                operation["name"]: {
                    "service_ms": service_ms,
                    "spread_ms": SPREAD_MS * service_ms / SERVICE_MS,
                    "calls": operation.get("calls", [])}
                for operation in service["operations"]}
    return operations


def two_members(slot_share=SLOT_SHARE, service_ms=SERVICE_MS, member=None):
    """Returns (Topology, config files); `member` keeps the services of one
    member only."""
    config_files = two_members_config(slot_share)
    operations = _operations(config_files, service_ms)
    with open(os.path.join(FOLDER, "topology.json"), encoding="utf-8") as file:
        example = json.load(file)
    services = [
        Service(name=service["name"], member=region["member"], region=region["name"],
                zones=region["availability_zones"], workers=service["workers"],
                slots=scaled_slots(service["slots"], slot_share),
                connections=service["connections"],
                operations=operations[service["name"]])
        for region in example["regions"] for service in region["services"]
        if member in (None, region["member"])]
    return Topology(example["fleet"], example["founding_members"], services), config_files
