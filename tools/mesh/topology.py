"""Services, workers and zones of a mesh."""

import dataclasses
import json


@dataclasses.dataclass
class Service:
    """One service with its workers. `operations` are as in the behaviour
    file of fake_worker."""
    name: str
    member: str
    region: str
    zones: list
    workers: int
    operations: dict
    slots: int = 64
    connections: int = 960
    accepts_cancel: bool = True
    behaviour: dict = dataclasses.field(default_factory=dict)

    def behaviour_json(self):
        return {"slots": self.slots, "connections": self.connections,
                "operations": self.operations, **self.behaviour}


@dataclasses.dataclass
class Vm:
    vm_id: str
    service: Service
    zone: str


@dataclasses.dataclass
class Topology:
    fleet: str
    founding_members: list
    services: list

    def vms(self):
        """Assigns the workers of each service to its zones round-robin."""
        return [
            Vm(f"{service.name}-{index}", service,
               service.zones[index % len(service.zones)])
            for service in self.services for index in range(service.workers)]

    @staticmethod
    def from_json(value):
        services = [Service(**service) for service in value["services"]]
        return Topology(value["fleet"], value["founding_members"], services)

    @staticmethod
    def load(path):
        with open(path, encoding="utf-8") as file:
            return Topology.from_json(json.load(file))
