"""A day's faults between its edge proxies, on the emulator: the view alone, for fleets of thousands.

The same file as on loopback. Its edge proxies keep their names; further members are dealt to its regions in
turn, so that what strikes a region strikes its share of the fleet.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from valverouter.days.paths import network_paths, path_faults
from valverouter.emulator.membership_simulation import MembershipSimulation, SimulatedNode
from valverouter.membership.config import MembershipConfig
from valverouter.membership.events import MembershipEvent
from valverouter.terms.day import ScenarioConfig
from valverouter.terms.scenario_sections import FaultConfig


@dataclass(frozen=True, slots=True)
class EmulatedMembership:
    """`settled_after`: ns after the last fault, None: not in the time that the file allows. `found`: counts
    over all members by word."""

    members: int
    convergence_time: int | None
    max_convergence_time: int
    event_counts: Counter[str]
    messages_per_second: float


def run_emulated_membership(day: ScenarioConfig, members: int = 0) -> EmulatedMembership:
    """Plays the faults; 0 members: the day's own. The same day gives the same result every time."""
    between = day.between
    if between is None:
        raise ValueError(f"{day.name}: there is no [between], so nobody keeps a view")
    members = max(members, day.fleet.edge_proxies)
    names = {f"e{at}": _region(day, at) for at in range(members)}
    chance = random.Random(f"{day.run.seed}/paths")
    found: Counter[str] = Counter()

    def watch(node: SimulatedNode, event: MembershipEvent) -> None:
        found[event.kind.value] += 1

    rules = MembershipConfig(probe_period=between.period, gone_retention=between.remembers)
    faults = path_faults(day, day.run.settle, names)
    paths = network_paths(day, chance.random, day.run.settle, names)
    simulation = MembershipSimulation(rules, paths, day.run.seed, watch)
    seeds = tuple(f"e{at}:1" for at in range(between.seeds))
    simulation.start_converged(members, seeds, lambda at: names[f"e{at}"])
    last = max([0, *(fault.until for fault in faults)])
    draws = random.Random(f"{day.run.seed}/troubles")
    for trouble in day.faults.values():
        last = max(last, _script(simulation, day, trouble, sorted(names), draws, seeds))
    simulation.run_until(last)
    settled = simulation.run_until_converged(last + between.settles * between.period, between.period // 2)
    sent = sum(sum(node.sent_counts.values()) for node in simulation.nodes.values())
    return EmulatedMembership(
        members=members,
        convergence_time=None if settled is None else settled - last,
        max_convergence_time=between.settles * between.period,
        event_counts=found,
        messages_per_second=sent / members / (simulation.now / 1e9),
    )


def _region(day: ScenarioConfig, at: int) -> str:
    if at < day.fleet.edge_proxies:
        return day.region_of_edge(at)
    with_edges = [name for name, region in day.regions.items() if region.edges]
    return with_edges[at % len(with_edges)]


def _script(
    simulation: MembershipSimulation,
    day: ScenarioConfig,
    trouble: FaultConfig,
    names: list[str],
    draws: random.Random,
    seeds: tuple[str, ...],
) -> int:
    """Schedules a fault, and returns when it is over, ns; faults of servers and callers touch no view."""
    start = day.run.settle + trouble.start
    end = start + trouble.length
    if not trouble.kind.startswith("balancer_"):
        return 0
    targets = [name for name in names if name in trouble.on]
    if not trouble.on:
        targets = sorted(draws.sample(names, max(1, round(trouble.part * len(names)))))
    is_late = trouble.kind == "balancer_late"
    for name in targets:
        if trouble.kind == "balancer_stall":
            simulation.at(start, simulation.stall, name, trouble.length)
            continue
        stop = simulation.leave if trouble.kind == "balancer_leave" else simulation.kill
        # One that comes late is, to the others, one that was not there from the beginning.
        simulation.at(0 if is_late else start, stop, name)
        simulation.at(start if is_late else end, _start, simulation, name, seeds, _region(day, int(name[1:])))
    return end


def _start(simulation: MembershipSimulation, name: str, seeds: tuple[str, ...], region: str) -> None:
    simulation.start(name, seeds, region=region, wall_ms=simulation.wall_clock_ms)
