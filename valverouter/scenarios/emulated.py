"""Plays a scenario on the emulator, in simulated time, with each edge proxy's own settings."""

from __future__ import annotations

from valverouter.config.scenario import ScenarioConfig
from valverouter.driver import Driver
from valverouter.edge.attempt_policies import AttemptPolicies, default_policy
from valverouter.emulator.edge_model import BuildDriver, EdgePlan
from valverouter.emulator.fleet import Fleet
from valverouter.emulator.simulate import ScenarioResult, simulate_scenario
from valverouter.interface import AttemptPolicy
from valverouter.regions.cross_region_limiter import CrossRegionLimiter


def edge_plans(scenario: ScenarioConfig, build_driver: BuildDriver = Driver) -> list[EdgePlan]:
    """Returns the plan of each edge proxy, from the same settings that a real one is started with."""
    return [_plan(scenario, fleet_index, build_driver) for fleet_index in range(scenario.fleet.edge_proxies)]


def _plan(scenario: ScenarioConfig, fleet_index: int, build_driver: BuildDriver) -> EdgePlan:
    config = scenario.edge_config(fleet_index, "edge:1", "list:1")
    cross_region, deployment = config.crossing, config.deployment
    traffic_types = deployment.traffic_types

    def default_attempt_policy(traffic_type: str) -> AttemptPolicy | None:
        if traffic_type not in traffic_types:
            return None
        return default_policy(deployment, traffic_types[traffic_type].latency_objective)

    return EdgePlan(
        fleet_index=fleet_index,
        region=scenario.region_of_edge(fleet_index),
        deployment=deployment,
        seed=config.seed,
        answer_margin=config.answer_margin,
        cross_region=lambda now: CrossRegionLimiter(cross_region, now) if cross_region is not None else None,
        attempt_policies=AttemptPolicies(config) if config.attempts else None,
        build_driver=build_driver,
        has_dialog_store=scenario.ledger,
        default_attempt_policy=default_attempt_policy,
    )


def run_emulated(
    scenario: ScenarioConfig, build_driver: BuildDriver = Driver, sample_interval: int = 0
) -> ScenarioResult:
    """Runs the whole scenario; the same scenario gives the same rows every time.

    `sample_interval`: ns between samples of the edge proxies' server state; 0: no samples. Raises ValueError
    for a fault that is emulated only in runs of the fleet's membership.
    """
    for name, fault in scenario.faults.items():
        if fault.kind == "balancer_late":
            raise ValueError(
                f"trouble {name}: {fault.kind} is emulated only in membership runs: use `fleet emulate`"
            )
    return simulate_scenario(Fleet(scenario, edge_plans(scenario, build_driver)), sample_interval)
