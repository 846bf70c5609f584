"""A planner: the least crossing that carries the measured demand within capacities and budgets. It advises
only.

A linear program over rates (legs a second) by traffic type, region and region served, solved by HiGHS through
scipy. First as little as possible is left short, weighed by importance; then as little as possible crosses.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

# What a leg that crosses costs against one left unserved of importance 1: small enough never to prefer the
# latter.
CROSSING_COST = 1e-3
BINDS = 1e-6


@dataclass(frozen=True, slots=True)
class Demand:
    """Dialogs a second of one type in one region; `length` in seconds."""

    traffic_type: str
    region: str
    rate: float
    length: float
    importance: float = 1.0


@dataclass(frozen=True, slots=True)
class Capacity:
    """What a region's servers can do together: set-ups a second, and lines."""

    region: str
    rate: float
    lines: float


@dataclass(frozen=True, slots=True)
class Limit:
    """A budget as a rate: of a type's crossings in all, or of those between two regions."""

    traffic_type: str
    rate: float
    pair: tuple[str, str] | None = None


@dataclass(slots=True)
class Plan:
    """Rates that cross by (type, home, away), what is short by (type, region), and what binds, in words."""

    crossing: dict[tuple[str, str, str], float] = field(default_factory=dict)
    short: dict[tuple[str, str], float] = field(default_factory=dict)
    binds: list[str] = field(default_factory=list)
    served: float = 0.0
    offered: float = 0.0

    @property
    def share(self) -> float:
        """What can be served of all that is offered, by number."""
        return self.served / self.offered if self.offered else 1.0


def plan(demands: list[Demand], capacities: list[Capacity], limits: list[Limit]) -> Plan:
    """The plan. Raises ValueError where regions don't match or a figure is negative."""
    # Here: it costs half a second, and every start of an edge proxy comes by this module.
    from scipy.optimize import linprog

    regions = [one.region for one in capacities]
    for demand in demands:
        if demand.region not in regions:
            raise ValueError(f"demand in {demand.region!r}, which has no servers listed")
        if demand.rate < 0 or demand.length < 0:
            raise ValueError(f"demand of {demand.traffic_type} in {demand.region} is negative")
    routes = [(at, region) for at in range(len(demands)) for region in regions]
    width = len(routes) + len(demands)
    cost = np.zeros(width)
    for column, (at, region) in enumerate(routes):
        cost[column] = CROSSING_COST * (region != demands[at].region)
    for at, demand in enumerate(demands):
        cost[len(routes) + at] = demand.importance
    equal = np.zeros((len(demands), width))
    for at in range(len(demands)):
        equal[at, len(routes) + at] = 1
        for column, (one, _) in enumerate(routes):
            equal[at, column] = one == at
    rows: list[np.ndarray] = []
    most: list[float] = []
    names: list[str] = []

    def bound(name: str, limit: float, weights: dict[int, float]) -> None:
        row = np.zeros(width)
        for column, weight in weights.items():
            row[column] = weight
        rows.append(row)
        most.append(limit)
        names.append(name)

    for there in capacities:
        here = [(column, at) for column, (at, region) in enumerate(routes) if region == there.region]
        bound(f"processors of {there.region}", there.rate, {column: 1.0 for column, _ in here})
        bound(f"lines of {there.region}", there.lines, {column: demands[at].length for column, at in here})
    for limit in limits:
        weights = {
            column: 1.0
            for column, (at, region) in enumerate(routes)
            if demands[at].traffic_type == limit.traffic_type
            and region != demands[at].region
            and (limit.pair is None or _meant(limit.pair, demands[at].region, region))
        }
        where = f" {limit.pair[0]} to {limit.pair[1]}" if limit.pair else ""
        bound(f"budget of {limit.traffic_type}{where}", limit.rate, weights)
    found = linprog(
        cost, np.array(rows), np.array(most), equal, [demand.rate for demand in demands], method="highs"
    )
    if not found.success:
        raise ValueError(f"no plan: {found.message}")
    assert found.x is not None
    result = Plan(offered=sum(demand.rate for demand in demands))
    for column, (at, region) in enumerate(routes):
        rate = float(found.x[column])
        result.served += rate
        if region != demands[at].region and rate > BINDS:
            result.crossing[demands[at].traffic_type, demands[at].region, region] = rate
    for at, demand in enumerate(demands):
        if (rate := float(found.x[len(routes) + at])) > BINDS:
            result.short[demand.traffic_type, demand.region] = rate
    prices = found.ineqlin.marginals
    result.binds = [name for name, price in zip(names, prices, strict=True) if price < -BINDS]
    return result


def _meant(pair: tuple[str, str], home: str, away: str) -> bool:
    return pair[0] == home and pair[1] in (away, "*")
