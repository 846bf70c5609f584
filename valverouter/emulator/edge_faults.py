"""Faults of emulated edge proxies and callers: restarts, stalls, bursts, mass calls, early abandonment."""

from __future__ import annotations

from valverouter.config.scenario_sections import FaultConfig
from valverouter.emulator.call_generation import MASS_CALLED_NUMBER, CallLoad
from valverouter.emulator.edges import EmulatedEdge
from valverouter.emulator.fault_targets import FaultProcess, FaultStart, FaultTargets
from valverouter.emulator.fleet import Fleet
from valverouter.emulator.simulation import RandomStream

# Interval at which draining edge proxies are checked for unanswered dialogs, ns.
DRAIN_POLL_INTERVAL = 50_000_000
CALLERS_TARGET = "callers"


class EdgeFaults:
    """The faults that a scenario file may define for edge proxies and callers."""

    def __init__(self, fleet: Fleet, targets: FaultTargets, load: CallLoad) -> None:
        self._fleet = fleet
        self._targets = targets
        self._load = load

    def by_kind(self) -> dict[str, FaultStart]:
        """Returns the fault processes by fault kind, as named in scenario files."""
        return {
            "balancer_crash": self._crash,
            "balancer_leave": self._restart,
            "balancer_stall": self._stall,
            "burst": self._burst,
            "hot_key": self._mass_calling,
            "give_up": self._early_abandonment,
        }

    # Edge proxies

    def _crash(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        edges = self._targets.edges(fault, random)
        for edge in edges:
            self._targets.record(fault, edge.name)
            edge.kill()
        yield self._targets.wait(fault.length)
        self._start_edges(edges)

    def _restart(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        """Drains edge proxies and restarts them.

        Each process ends when all its dialogs are answered, or when the stop timeout has elapsed.
        """
        sim = self._fleet.sim
        edges = self._targets.edges(fault, random)
        for edge in edges:
            self._targets.record(fault, edge.name)
            edge.drain()
        draining, deadline = edges, sim.now() + self._fleet.scenario.links.stop_within
        while draining:
            drained = [edge for edge in draining if not edge.has_unanswered_dialogs or sim.now() >= deadline]
            for edge in drained:
                edge.kill()
            draining = [edge for edge in draining if edge not in drained]
            if draining:
                yield self._targets.wait(DRAIN_POLL_INTERVAL)
        yield self._targets.wait(fault.length)
        self._start_edges(edges)

    def _start_edges(self, edges: list[EmulatedEdge]) -> None:
        for edge in edges:
            edge.start(self._fleet.endpoint_list.complete())

    def _stall(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        for edge in self._targets.edges(fault, random):
            self._targets.record(fault, edge.name)
            edge.stall(fault.length)
        yield self._targets.wait(fault.length)

    # Callers

    def _burst(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        self._targets.record(fault, CALLERS_TARGET)
        self._load.rate_factor *= fault.size
        yield self._targets.wait(fault.length)
        self._load.rate_factor /= fault.size

    def _mass_calling(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        self._targets.record(fault, CALLERS_TARGET)
        self._fleet.called_numbers.capacities[MASS_CALLED_NUMBER] = fault.lines
        self._load.mass_call_fraction = fault.size
        yield self._targets.wait(fault.length)
        self._load.mass_call_fraction = 0.0

    def _early_abandonment(self, fault: FaultConfig, random: RandomStream) -> FaultProcess:
        self._targets.record(fault, CALLERS_TARGET)
        for callers in self._fleet.callers:
            callers.abandon_fraction *= fault.size
        yield self._targets.wait(fault.length)
        for callers in self._fleet.callers:
            callers.abandon_fraction /= fault.size
