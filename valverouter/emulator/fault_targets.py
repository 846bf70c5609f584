"""Which servers and edge proxies a fault of a day affects, and the rows that say so."""

from __future__ import annotations

from collections.abc import Callable, Generator, Sequence
from typing import Any

from valverouter.config.scenario_sections import FaultConfig
from valverouter.emulator.edges import EmulatedEdge
from valverouter.emulator.fleet import Fleet
from valverouter.emulator.servers import EmulatedServer
from valverouter.emulator.simulation import RandomStream
from valverouter.signalling.traffic_record import FaultRow

# A process of simpy: it yields the events that it waits for.
FaultProcess = Generator[Any, Any, None]
FaultStart = Callable[[FaultConfig, RandomStream], FaultProcess]


class FaultTargets:
    """Draws the targets of faults, records them, and waits."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def draw(self, fault: FaultConfig, random: RandomStream, names: list[str]) -> list[str]:
        """The targets that the fault names, or else its fraction of all, drawn; at least one."""
        if fault.on:
            return [name for name in names if name in fault.on]
        count = max(1, round(fault.part * len(names)))
        return sorted(random.sample(names, min(count, len(names))))

    def running_servers(self, fault: FaultConfig, random: RandomStream) -> list[EmulatedServer]:
        """Targets among the servers that run, not recorded yet."""
        servers = self._fleet.servers
        running = [name for name, server in servers.items() if server.model.is_running]
        return [servers[name] for name in self.draw(fault, random, running)]

    def recorded_servers(self, fault: FaultConfig, random: RandomStream) -> list[EmulatedServer]:
        """Targets among the servers that run, recorded."""
        servers = self.running_servers(fault, random)
        self.record_all(fault, servers)
        return servers

    def edges(self, fault: FaultConfig, random: RandomStream) -> list[EmulatedEdge]:
        """Targets among the edge proxies, not recorded yet."""
        by_name = {edge.name: edge for edge in self._fleet.edges}
        return [by_name[name] for name in self.draw(fault, random, list(by_name))]

    def record_all(self, fault: FaultConfig, targets: Sequence[EmulatedServer | EmulatedEdge]) -> None:
        """Records the fault for each target."""
        for target in targets:
            self.record(fault, target.name)

    def record(self, fault: FaultConfig, target: str, duration: int | None = None) -> None:
        """Records the fault for a target, by default for the fault's duration, ns."""
        until = self._fleet.sim.now() + (fault.length if duration is None else duration)
        self._fleet.recorder.record(FaultRow, until=until, kind=fault.kind, target=target)

    def wait(self, duration: int) -> Any:
        """The event that a process yields to wait, ns."""
        return self._fleet.sim.env.timeout(duration)
