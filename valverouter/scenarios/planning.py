"""Plans cross-region traffic for a scenario: demand from its rows, capacities and budgets from its file."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from valverouter.config.scenario import ScenarioConfig
from valverouter.emulator.server_profile import server_profile
from valverouter.regions.planner import Demand, Plan, RateLimit, RegionCapacity, plan
from valverouter.regions.time_sliced_quota import max_rate, with_default_burst
from valverouter.signalling.traffic_record import MessageRow, PlacementRow, Row

NS_PER_S = 1e9
MIN_DURATION_S = 1e-9


def measured_demands(scenario: ScenarioConfig, rows: Iterable[Row]) -> list[Demand]:
    """Returns the first attempts per second by traffic type and region, while calls were dialled."""
    regions: dict[str, str] = {}
    counts: Counter[tuple[str, str]] = Counter()
    times: list[int] = []
    for row in rows:
        if isinstance(row, PlacementRow):
            regions[row.name] = row.region
        elif isinstance(row, MessageRow) and row.sent and row.kind == "setup" and "." not in row.dialog:
            counts[row.detail, regions.get(row.edge, "")] += 1
            times.append(row.at)
    duration_s = max(MIN_DURATION_S, (max(times) - min(times)) / NS_PER_S) if times else 1.0
    traffic = scenario.traffic
    return [
        Demand(
            traffic_type,
            region,
            count / duration_s,
            traffic[traffic_type].length / NS_PER_S,
            traffic[traffic_type].importance,
        )
        for (traffic_type, region), count in sorted(counts.items())
        if traffic_type in traffic
    ]


def region_capacities(
    scenario: ScenarioConfig, line_fractions: dict[str, float] | None = None
) -> list[RegionCapacity]:
    """Returns the total capacity of each region's servers.

    `line_fractions`: the fraction of a region's lines that remains, 1 by default.
    """
    profile = server_profile(scenario)
    work_s = (profile.setup_work + profile.answer_work + profile.release_work) / NS_PER_S
    fractions = line_fractions or {}
    return [
        RegionCapacity(
            name, region.servers / work_s, region.servers * profile.lines * fractions.get(name, 1.0)
        )
        for name, region in scenario.regions.items()
        if region.servers
    ]


def cross_region_limits(scenario: ScenarioConfig) -> list[RateLimit]:
    """Returns the budgets as the steady rates that time-sliced quotas allow.

    A traffic type without a section has the rate 0.
    """
    limits: list[RateLimit] = []
    for fleet_index in range(scenario.fleet.edge_proxies):
        cross_region = scenario.edge_config(fleet_index, "127.0.0.1:1", "127.0.0.1:2").crossing
        if cross_region is None:
            return []
        skew = cross_region.clock_skew
        for traffic_type in scenario.traffic:
            policy = cross_region.policies.get(traffic_type)
            if policy is None or policy.urgent:
                rate = None if policy else 0.0
            else:
                rate = max_rate(with_default_burst(policy.budget, skew)) if policy.budget else None
            pairs = (policy.pairs if policy else None) or {}
            for pair, budget in pairs.items():
                limit = RateLimit(traffic_type, max_rate(with_default_burst(budget, skew)), pair)
                if limit not in limits:
                    limits.append(limit)
            if fleet_index == 0 and rate is not None and not pairs:
                limits.append(RateLimit(traffic_type, rate))
    return limits


def plan_scenario(
    scenario: ScenarioConfig, rows: Iterable[Row], line_fractions: dict[str, float] | None = None
) -> Plan:
    """Returns the plan with the least cross-region traffic that serves the measured demand."""
    demands = measured_demands(scenario, rows)
    capacities = region_capacities(scenario, line_fractions)
    return plan(demands, capacities, cross_region_limits(scenario))
