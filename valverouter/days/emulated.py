"""A day on the emulator: the edge proxies as their files have them, in simulated time."""

from __future__ import annotations

from valverouter.driver import Driver
from valverouter.edge.attempt_policies import AttemptPolicies, default_policy
from valverouter.emulator.edge_model import BuildDriver, EdgePlan
from valverouter.emulator.fleet import Fleet
from valverouter.emulator.simulate import DayResult, simulate_day
from valverouter.interface import AttemptPolicy
from valverouter.regions.cross_region_limiter import CrossRegionLimiter
from valverouter.terms.day import ScenarioConfig


def edge_plans(day: ScenarioConfig, build_driver: BuildDriver = Driver) -> list[EdgePlan]:
    """Each edge proxy's plan, from the same file that it would be started with."""
    return [_plan(day, fleet_index, build_driver) for fleet_index in range(day.fleet.edge_proxies)]


def _plan(day: ScenarioConfig, fleet_index: int, build_driver: BuildDriver) -> EdgePlan:
    terms = day.edge_config(fleet_index, "edge:1", "list:1")
    cross_region, deployment = terms.crossing, terms.deployment
    traffic_types = deployment.traffic_types

    def default_attempt_policy(traffic_type: str) -> AttemptPolicy | None:
        if traffic_type not in traffic_types:
            return None
        return default_policy(deployment, traffic_types[traffic_type].latency_objective)

    return EdgePlan(
        fleet_index=fleet_index,
        region=day.region_of_edge(fleet_index),
        deployment=deployment,
        seed=terms.seed,
        answer_margin=terms.answer_margin,
        cross_region=lambda now: CrossRegionLimiter(cross_region, now) if cross_region is not None else None,
        attempt_policies=AttemptPolicies(terms) if terms.attempts else None,
        build_driver=build_driver,
        has_ledger=day.ledger,
        default_attempt_policy=default_attempt_policy,
    )


def run_emulated(
    day: ScenarioConfig, build_driver: BuildDriver = Driver, sample_interval: int = 0
) -> DayResult:
    """Runs the whole day; the same day gives the same rows every time.

    `sample_interval`: ns between samples of what the edge proxies know of servers; 0: none. ValueError where
    the day has a fault that is emulated for the view alone.
    """
    for name, trouble in day.faults.items():
        if trouble.kind == "balancer_late":
            raise ValueError(f"trouble {name}: {trouble.kind} is emulated for the view alone: fleet emulate")
    return simulate_day(Fleet(day, edge_plans(day, build_driver)), sample_interval)
