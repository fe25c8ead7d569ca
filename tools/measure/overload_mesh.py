"""Mesh and load of the overload measurement: the services of the member
"cooperative" in the example, with operations of several classes."""

from mesh.capacity import Capacity
from mesh.load import caller_entries
from mesh.two_members import two_members

SLOT_SHARE = 0.1
SERVICE_MS = 60.0
BASE_FACTOR = 0.5
BEFORE_S = 4.0
TRIGGER_S = 6.0
AFTER_S = 8.0
# (operation, class, relative rate, at most once). The member class uses about
# 5% of the capacity, so that it alone does not exceed the capacity at 10 times the load.
MIX = [
    ("tagpress.print-label", "member", 2.0, True),
    ("landings.register", "member", 2.0, True),
    ("catchbook.read", "member", 6.0, False),
    ("tagpress.check-stock", "internal", 90.0, False),
    ("landings.audit", "internal", 50.0, False),
    ("catchbook.reconcile", "internal", 50.0, False),
    ("dockdrop.intake-scans", "bulk", 300.0, False),
]
DEADLINE_MS = 1000
# Clients with aggressive retries: every failure is resent almost immediately.
RESENDS = {"attempts": 4, "resend_pause_ms": 20}


def overload_topology():
    return two_members(SLOT_SHARE, SERVICE_MS, member="cooperative")


def capacity_rates(topology):
    """{operation: rate} at which the busiest service has all slots in use."""
    return Capacity(topology).scale_to({row[0]: row[2] for row in MIX}, 1.0)


def member_share(topology):
    """Share of the busiest service's slots that the member class needs at
    capacity."""
    rates = capacity_rates(topology)
    capacity = Capacity(topology)
    return max(capacity.utilisation(
        {row[0]: rates[row[0]] for row in MIX if row[1] == "member"}).values())


def overload_plan(mesh, factor):
    rates = capacity_rates(mesh.topology)
    operations = []
    for name, call_class, _, at_most_once in MIX:
        service, operation = name.split(".", 1)
        operations.append({
            "service": service, "operation": operation, "class": call_class,
            "rate": rates[name], "deadline_ms": DEADLINE_MS,
            "ticket": at_most_once, "resend_unknown": not at_most_once, **RESENDS})
    return {
        "entries": caller_entries(mesh),
        "phases": [{"name": "before", "seconds": BEFORE_S, "factor": BASE_FACTOR},
                   {"name": "trigger", "seconds": TRIGGER_S, "factor": factor},
                   {"name": "after", "seconds": AFTER_S, "factor": BASE_FACTOR}],
        "trigger_phase": "trigger",
        "max_in_flight": 6000,
        "operations": operations}
