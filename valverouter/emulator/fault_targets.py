"""Selects the servers and edge proxies that a fault of a scenario affects, and records them."""

from __future__ import annotations

from collections.abc import Callable, Generator, Sequence
from typing import Any

from valverouter.config.scenario_sections import FaultConfig
from valverouter.emulator.edges import EmulatedEdge
from valverouter.emulator.fleet import Fleet
from valverouter.emulator.servers import EmulatedServer
from valverouter.emulator.simulation import RandomStream
from valverouter.signalling.traffic_record import FaultRow

# A simpy process: a generator that yields the events that it waits for.
FaultProcess = Generator[Any, Any, None]
FaultStart = Callable[[FaultConfig, RandomStream], FaultProcess]


class FaultTargets:
    """Selects the targets of faults and writes their fault rows; `wait` serves the processes of faults."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def draw(self, fault: FaultConfig, random: RandomStream, names: list[str]) -> list[str]:
        """Returns the targets named in the fault, or else a random fraction of `names`; at least one."""
        if fault.on:
            return [name for name in names if name in fault.on]
        count = max(1, round(fault.part * len(names)))
        return sorted(random.sample(names, min(count, len(names))))

    def running_servers(self, fault: FaultConfig, random: RandomStream) -> list[EmulatedServer]:
        """Returns targets among the running servers; writes no rows."""
        servers = self._fleet.servers
        running = [name for name, server in servers.items() if server.model.is_running]
        return [servers[name] for name in self.draw(fault, random, running)]

    def recorded_servers(self, fault: FaultConfig, random: RandomStream) -> list[EmulatedServer]:
        """Returns targets among the running servers and writes a fault row for each."""
        servers = self.running_servers(fault, random)
        self.record_all(fault, servers)
        return servers

    def edges(self, fault: FaultConfig, random: RandomStream) -> list[EmulatedEdge]:
        """Returns targets among the edge proxies; writes no rows."""
        by_name = {edge.name: edge for edge in self._fleet.edges}
        return [by_name[name] for name in self.draw(fault, random, list(by_name))]

    def record_all(self, fault: FaultConfig, targets: Sequence[EmulatedServer | EmulatedEdge]) -> None:
        """Writes a fault row for each target."""
        for target in targets:
            self.record(fault, target.name)

    def record(self, fault: FaultConfig, target: str, duration: int | None = None) -> None:
        """Writes a fault row for a target; `duration` in ns, by default that of the fault."""
        until = self._fleet.sim.now() + (fault.length if duration is None else duration)
        self._fleet.recorder.record(FaultRow, until=until, kind=fault.kind, target=target)

    def wait(self, duration: int) -> Any:
        """Returns the event that a process yields to wait for `duration` ns."""
        return self._fleet.sim.env.timeout(duration)
