"""Capacity of a topology for a mix of root operations."""


class Capacity:
    """Computes how long requests occupy the slots of each service.

    Every operation occupies its slot for its own service time and for its
    child calls, which are sequential. `hop_ms` is added for each child call.
    """

    def __init__(self, topology, hop_ms=1.0):
        self.services = {service.name: service for service in topology.services}
        self.hop_ms = hop_ms

    def duration_ms(self, name):
        """Duration of one call of "service.operation" without queueing."""
        service, operation = name.split(".", 1)
        rule = self.services[service].operations[operation]
        return rule["service_ms"] + sum(
            self.duration_ms(call) + self.hop_ms for call in rule.get("calls", []))

    def holds_ms(self, name):
        """{service: slot time} of one call including its whole call tree."""
        service, operation = name.split(".", 1)
        holds = {service: self.duration_ms(name)}
        for call in self.services[service].operations[operation].get("calls", []):
            for below, held in self.holds_ms(call).items():
                holds[below] = holds.get(below, 0.0) + held
        return holds

    def utilisation(self, rates):
        """{service: share of its slots in use} for {operation: rate per s}."""
        used = {name: 0.0 for name in self.services}
        for operation, rate in rates.items():
            for service, held in self.holds_ms(operation).items():
                used[service] += rate * held / 1000.0
        return {name: used[name] / (service.slots * service.workers)
                for name, service in self.services.items()}

    def scale_to(self, rates, share):
        """Rates scaled so that the busiest service uses `share` of its slots."""
        busiest = max(self.utilisation(rates).values())
        return {operation: rate * share / busiest for operation, rate in rates.items()}
