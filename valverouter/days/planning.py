"""What the planner says of a day: demand as its record shows it, capacities and budgets as its file states
them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from valverouter.emulator.server_profile import server_profile
from valverouter.regions.planner import Demand, Plan, RateLimit, RegionCapacity, plan
from valverouter.regions.time_sliced_quota import max_rate, with_default_burst
from valverouter.signalling.tap import MessageRow, PlacementRow, Row
from valverouter.terms.day import ScenarioConfig


def measured_demands(day: ScenarioConfig, rows: Iterable[Row]) -> list[Demand]:
    """First tries a second by type and region, from the moments when they were dialled."""
    regions: dict[str, str] = {}
    seen: Counter[tuple[str, str]] = Counter()
    times: list[int] = []
    for row in rows:
        if isinstance(row, PlacementRow):
            regions[row.name] = row.region
        elif isinstance(row, MessageRow) and row.sent and row.kind == "setup" and "." not in row.dialog:
            seen[row.detail, regions.get(row.edge, "")] += 1
            times.append(row.at)
    span = max(1e-9, (max(times) - min(times)) / 1e9) if times else 1.0
    return [
        Demand(kind, region, count / span, day.traffic[kind].length / 1e9, day.traffic[kind].importance)
        for (kind, region), count in sorted(seen.items())
        if kind in day.traffic
    ]


def region_capacities(
    day: ScenarioConfig, kept_lines: dict[str, float] | None = None
) -> list[RegionCapacity]:
    """Each region's servers together; `kept_lines`: the share that a region keeps of its lines."""
    make = server_profile(day)
    work = (make.setup_work + make.answer_work + make.release_work) / 1e9
    kept = kept_lines or {}
    return [
        RegionCapacity(name, region.servers / work, region.servers * make.lines * kept.get(name, 1.0))
        for name, region in day.regions.items()
        if region.servers
    ]


def cross_region_limits(day: ScenarioConfig) -> list[RateLimit]:
    """The budgets as steady rates, as slots pace them; a type without a section never crosses."""
    found: list[RateLimit] = []
    for place in range(day.fleet.edge_proxies):
        crossing = day.edge_config(place, "127.0.0.1:1", "127.0.0.1:2").crossing
        if crossing is None:
            return []
        skew = crossing.clock_skew
        for kind in day.traffic:
            of_type = crossing.policies.get(kind)
            if of_type is None or of_type.urgent:
                rate = None if of_type else 0.0
            else:
                rate = max_rate(with_default_burst(of_type.budget, skew)) if of_type.budget else None
            pairs = (of_type.pairs if of_type else None) or {}
            for pair, budget in pairs.items():
                if RateLimit(kind, max_rate(with_default_burst(budget, skew)), pair) not in found:
                    found.append(RateLimit(kind, max_rate(with_default_burst(budget, skew)), pair))
            if place == 0 and rate is not None and not pairs:
                found.append(RateLimit(kind, rate))
    return found


def plan_scenario(
    day: ScenarioConfig, rows: Iterable[Row], kept_lines: dict[str, float] | None = None
) -> Plan:
    """The least crossing that carries the day's measured demand."""
    return plan(measured_demands(day, rows), region_capacities(day, kept_lines), cross_region_limits(day))
