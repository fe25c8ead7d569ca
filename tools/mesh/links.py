"""Rules of the fault proxy for the latencies of docs/design.md, section 1.4."""

ZONE_DELAY_MS = {"tw-north": 0.5, "salish-coast": 1.4}


def zone_latencies():
    """One-way delays between the zones of each region."""
    return [{"between": "zones", "from_region": region, "delay_ms": delay}
            for region, delay in ZONE_DELAY_MS.items()]


def partition(zones, others):
    """Cuts every link between two groups of zones."""
    return [{"from_zone": zone, "to_zone": other, "both_ways": True, "black_hole": True}
            for zone in zones for other in others]
