"""Emulates only the membership protocol of a scenario and its faults, for fleets of thousands of members.

The scenario file is the one that loopback runs use. Its edge proxies keep their names; additional members are
assigned to the regions round-robin, so that a fault of a region affects that region's fraction of the fleet.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from valverouter.config.scenario import ScenarioConfig
from valverouter.config.scenario_sections import FaultConfig, ScenarioGossipConfig
from valverouter.emulator.membership_simulation import MembershipSimulation, SimulatedNode
from valverouter.membership.config import MembershipConfig
from valverouter.membership.events import MembershipEvent
from valverouter.scenarios.network_paths import network_paths, path_faults

NS_PER_S = 1e9
EDGE_FAULT_PREFIX = "balancer_"


@dataclass(frozen=True, slots=True)
class EmulatedMembership:
    """The result of a run.

    `convergence_time`: ns from the end of the last fault until all views agreed; None if they did not within
    `max_convergence_time`. `event_counts`: the number of membership events at all members, by kind.
    `messages_per_second`: the mean rate at which a member sends messages.
    """

    members: int
    convergence_time: int | None
    max_convergence_time: int
    event_counts: Counter[str]
    messages_per_second: float


def run_emulated_membership(scenario: ScenarioConfig, members: int = 0) -> EmulatedMembership:
    """Plays the faults on a fleet of `members`, but at least the scenario's edge proxies; deterministic.

    Raises ValueError if the scenario has no [between] section.
    """
    if scenario.between is None:
        raise ValueError(f"{scenario.name}: no [between] section, so there are no membership views")
    return _MembershipRun(scenario, scenario.between, members).play()


class _MembershipRun:
    def __init__(self, scenario: ScenarioConfig, gossip: ScenarioGossipConfig, members: int) -> None:
        self._scenario = scenario
        self._gossip = gossip
        self._members = max(members, scenario.fleet.edge_proxies)
        self._regions = {f"e{index}": _region(scenario, index) for index in range(self._members)}
        self._seeds = tuple(f"e{index}:1" for index in range(gossip.seeds))
        self._event_counts: Counter[str] = Counter()
        settle, seed = scenario.run.settle, scenario.run.seed
        draw = random.Random(f"{seed}/paths").random
        paths = network_paths(scenario, draw, settle, self._regions)
        config = MembershipConfig(probe_period=gossip.period, gone_retention=gossip.remembers)
        self._simulation = MembershipSimulation(config, paths, seed, self._count_event)

    def play(self) -> EmulatedMembership:
        """Runs until the last fault has ended and the views agree, or until their time to agree is over."""
        simulation, scenario = self._simulation, self._scenario
        simulation.start_converged(self._members, self._seeds, lambda index: self._regions[f"e{index}"])
        faults = path_faults(scenario, scenario.run.settle, self._regions)
        faults_end = max([0, *(fault.until for fault in faults)])
        rng = random.Random(f"{scenario.run.seed}/troubles")
        for fault in scenario.faults.values():
            faults_end = max(faults_end, self._schedule_fault(fault, rng))
        simulation.run_until(faults_end)
        max_duration = self._gossip.settles * self._gossip.period
        converged_at = simulation.run_until_converged(faults_end + max_duration, self._gossip.period // 2)
        sent = sum(sum(node.sent_counts.values()) for node in simulation.nodes.values())
        return EmulatedMembership(
            members=self._members,
            convergence_time=None if converged_at is None else converged_at - faults_end,
            max_convergence_time=max_duration,
            event_counts=self._event_counts,
            messages_per_second=sent / self._members / (simulation.now / NS_PER_S),
        )

    def _count_event(self, node: SimulatedNode, event: MembershipEvent) -> None:
        self._event_counts[event.kind.value] += 1

    def _schedule_fault(self, fault: FaultConfig, rng: random.Random) -> int:
        """Schedules a fault of edge proxies; returns its end, ns.

        Returns 0 for faults of servers and callers, which do not affect membership.
        """
        start = self._scenario.run.settle + fault.start
        end = start + fault.length
        if not fault.kind.startswith(EDGE_FAULT_PREFIX):
            return 0
        simulation = self._simulation
        is_late = fault.kind == "balancer_late"
        for name in self._targets(fault, rng):
            if fault.kind == "balancer_stall":
                simulation.call_at(start, simulation.stall, name, fault.length)
                continue
            stop = simulation.leave if fault.kind == "balancer_leave" else simulation.kill
            # A late member is stopped at time 0: to the others it was never there before its start.
            simulation.call_at(0 if is_late else start, stop, name)
            simulation.call_at(start if is_late else end, self._start, name)
        return end

    def _targets(self, fault: FaultConfig, rng: random.Random) -> list[str]:
        names = sorted(self._regions)
        if fault.on:
            return [name for name in names if name in fault.on]
        return sorted(rng.sample(names, max(1, round(fault.part * len(names)))))

    def _start(self, name: str) -> None:
        simulation = self._simulation
        region = self._regions[name]
        simulation.start(name, self._seeds, region=region, wall_ms=simulation.wall_clock_ms)


def _region(scenario: ScenarioConfig, index: int) -> str:
    if index < scenario.fleet.edge_proxies:
        return scenario.region_of_edge(index)
    regions = [name for name, region in scenario.regions.items() if region.edges]
    return regions[index % len(regions)]
