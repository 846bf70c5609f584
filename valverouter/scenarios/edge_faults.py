"""Faults of edge proxies and of their callers: restarts, stalls, bursts, mass calling, early abandonment."""

from __future__ import annotations

import random

import trio

from valverouter.config.scenario_sections import FaultConfig
from valverouter.emulator.call_generation import MASS_CALLED_NUMBER
from valverouter.fakes.callers import with_scaled_abandon_fraction
from valverouter.scenarios.call_generation import CallLoad
from valverouter.scenarios.fault_targets import CALLERS_TARGET, FaultProcess, FaultTargets
from valverouter.scenarios.scenario_fakes import NS_PER_S, ScenarioFakes


class EdgeFaults:
    """The fault kinds of a scenario file that affect edge proxies and callers."""

    def __init__(self, fakes: ScenarioFakes, targets: FaultTargets, load: CallLoad) -> None:
        self._fakes = fakes
        self._targets = targets
        self._load = load

    def by_kind(self) -> dict[str, FaultProcess]:
        """Returns the function that causes each kind of fault, by the kind's name in a scenario file."""
        return {
            "balancer_crash": self._crash,
            "balancer_late": self._start_late,
            "balancer_leave": self._restart,
            "balancer_stall": self._stall,
            "burst": self._burst,
            "hot_key": self._mass_calling,
            "give_up": self._early_abandonment,
        }

    # Edge proxies

    async def _crash(self, fault: FaultConfig, rng: random.Random) -> None:
        edges = self._fakes.edges
        indices = self._targets.edge_indices(fault, rng)
        for fleet_index in indices:
            self._targets.record(fault, f"e{fleet_index}")
            await edges[fleet_index].kill()
        await trio.sleep(fault.length / NS_PER_S)
        for fleet_index in indices:
            await edges[fleet_index].start()

    async def _start_late(self, fault: FaultConfig, rng: random.Random) -> None:
        """Starts edge proxies that were excluded from the start of the fleet."""
        for fleet_index in self._targets.edge_indices(fault, rng):
            self._targets.record(fault, f"e{fleet_index}")
            await self._fakes.edges[fleet_index].start()

    async def _restart(self, fault: FaultConfig, rng: random.Random) -> None:
        """Shuts the edge proxies down gracefully, and starts them again after the fault's duration."""
        edges = self._fakes.edges
        indices = self._targets.edge_indices(fault, rng)
        for fleet_index in indices:
            self._targets.record(fault, f"e{fleet_index}")
            await edges[fleet_index].stop()
        await trio.sleep(fault.length / NS_PER_S)
        for fleet_index in indices:
            await edges[fleet_index].start()

    async def _stall(self, fault: FaultConfig, rng: random.Random) -> None:
        async with trio.open_nursery() as nursery:
            for fleet_index in self._targets.edge_indices(fault, rng):
                self._targets.record(fault, f"e{fleet_index}")
                nursery.start_soon(self._fakes.edges[fleet_index].stall, fault.length)

    # Callers

    async def _burst(self, fault: FaultConfig, rng: random.Random) -> None:
        self._targets.record(fault, CALLERS_TARGET)
        self._load.rate_factor *= fault.size
        await trio.sleep(fault.length / NS_PER_S)
        self._load.rate_factor /= fault.size

    async def _mass_calling(self, fault: FaultConfig, rng: random.Random) -> None:
        self._targets.record(fault, CALLERS_TARGET)
        self._fakes.called_numbers.capacities[MASS_CALLED_NUMBER] = fault.lines
        self._load.mass_call_fraction = fault.size
        await trio.sleep(fault.length / NS_PER_S)
        self._load.mass_call_fraction = 0.0

    async def _early_abandonment(self, fault: FaultConfig, rng: random.Random) -> None:
        self._targets.record(fault, CALLERS_TARGET)
        self._scale_abandon_fraction(fault.size)
        await trio.sleep(fault.length / NS_PER_S)
        self._scale_abandon_fraction(1 / fault.size)

    def _scale_abandon_fraction(self, factor: float) -> None:
        for callers in self._fakes.callers:
            callers.behavior = with_scaled_abandon_fraction(callers.behavior, factor)
