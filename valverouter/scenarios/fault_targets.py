"""Selects the servers and edge proxies that a fault of a scenario affects, and records its rows."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence

from valverouter.config.scenario_sections import FaultConfig
from valverouter.fakes.server import FakeServer
from valverouter.scenarios.scenario_fakes import ScenarioFakes
from valverouter.signalling.traffic_record import FaultRow

CALLERS_TARGET = "callers"

FaultProcess = Callable[[FaultConfig, random.Random], Awaitable[None]]


class FaultTargets:
    """Selects the targets of faults and records faults by target."""

    def __init__(self, fakes: ScenarioFakes) -> None:
        self._fakes = fakes

    def draw(self, fault: FaultConfig, rng: random.Random, names: Sequence[str]) -> list[str]:
        """Returns the named targets, or else a random sample of the fault's fraction, at least one."""
        if fault.on:
            return [name for name in names if name in fault.on]
        count = max(1, round(fault.part * len(names)))
        return sorted(rng.sample(names, min(count, len(names))))

    def running_servers(self, fault: FaultConfig, rng: random.Random) -> list[FakeServer]:
        """Selects targets among the running servers; records nothing."""
        servers = self._fakes.servers
        running = [name for name, server in servers.items() if server.model.is_running]
        return [servers[name] for name in self.draw(fault, rng, running)]

    def edge_indices(self, fault: FaultConfig, rng: random.Random) -> list[int]:
        """Selects targets among the edge proxies and returns their fleet indices; records nothing."""
        names = [f"e{fleet_index}" for fleet_index in range(len(self._fakes.edges))]
        return [int(name[1:]) for name in self.draw(fault, rng, names)]

    def record(self, fault: FaultConfig, target: str, duration: int | None = None) -> None:
        """Records the fault for a target; `duration` in ns, by default the fault's own."""
        self.record_kind(fault.kind, target, fault.length if duration is None else duration)

    def record_kind(self, kind: str, target: str, duration: int) -> None:
        """Records a fault of the kind for a target, for `duration` ns from now."""
        until = self._fakes.now() + duration + self._fakes.fault_slack
        self._fakes.recorder.record(FaultRow, until=until, kind=kind, target=target)
