"""Plans cross-region traffic: the least of it that serves a demand within capacities and budgets.

The plan is advice for operators; no routing decision uses it. It is the solution of a linear program over
rates, in attempts per second, by traffic type, region and serving region, solved by HiGHS through scipy. The
program first minimizes the unserved rates, weighted by priority, and then the cross-region rates.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import numpy as np

from valverouter.regions.cross_region_limiter import ANY_REGION

# The cost of a cross-region attempt, relative to an unserved one with priority weight 1: small enough that
# leaving an attempt unserved is never preferred.
CROSS_REGION_COST = 1e-3
# Rates and shadow prices up to this count as zero.
TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class Demand:
    """Dialogs per second of one traffic type in one region; `mean_duration` in seconds."""

    traffic_type: str
    region: str
    rate: float
    mean_duration: float
    priority_weight: float = 1.0


@dataclass(frozen=True, slots=True)
class RegionCapacity:
    """The total capacity of a region's servers: set-ups per second, and lines."""

    region: str
    rate: float
    lines: float


@dataclass(frozen=True, slots=True)
class RateLimit:
    """A type's budget as a rate per second: of all its cross-region attempts, or of those of one `pair`."""

    traffic_type: str
    rate: float
    pair: tuple[str, str] | None = None


@dataclass(slots=True)
class Plan:
    """Rates per second: cross-region ones by (type, home, remote), unserved ones by (type, region).

    `binding_constraints` names the capacities and budgets that limit the plan, as text for operators.
    """

    cross_region: dict[tuple[str, str, str], float] = field(default_factory=dict)
    unserved: dict[tuple[str, str], float] = field(default_factory=dict)
    binding_constraints: list[str] = field(default_factory=list)
    served: float = 0.0
    offered: float = 0.0

    @property
    def served_fraction(self) -> float:
        """The fraction of the offered dialogs that can be served."""
        return self.served / self.offered if self.offered else 1.0


class _Route(NamedTuple):
    """A variable of the program: the part of one demand's rate that one region serves."""

    demand: int
    region: str


class _UpperBound(NamedTuple):
    """An inequality of the program: the rates, weighted by column, add up to at most the limit."""

    name: str
    limit: float
    coefficients: dict[int, float]


class _LinearProgram:
    """The linear program. Its columns are the routes, then the unserved rate of each demand."""

    def __init__(
        self, demands: list[Demand], capacities: list[RegionCapacity], limits: list[RateLimit]
    ) -> None:
        self.demands = demands
        self.routes = [
            _Route(index, capacity.region) for index in range(len(demands)) for capacity in capacities
        ]
        self.bounds = [
            *(bound for capacity in capacities for bound in self._capacity_bounds(capacity)),
            *(self._budget_bound(limit) for limit in limits),
        ]

    def crosses(self, route: _Route) -> bool:
        """Whether the serving region differs from the demand's."""
        return route.region != self.demands[route.demand].region

    def unserved_column(self, demand: int) -> int:
        """The column of a demand's unserved rate."""
        return len(self.routes) + demand

    @property
    def width(self) -> int:
        """The number of columns."""
        return len(self.routes) + len(self.demands)

    def costs(self) -> np.ndarray:
        """The costs by column, whose sum is minimized."""
        costs = np.zeros(self.width)
        for column, route in enumerate(self.routes):
            costs[column] = CROSS_REGION_COST * self.crosses(route)
        for index, demand in enumerate(self.demands):
            costs[self.unserved_column(index)] = demand.priority_weight
        return costs

    def demand_rows(self) -> np.ndarray:
        """One equation for each demand: its served rates and its unserved rate add up to its rate."""
        rows = np.zeros((len(self.demands), self.width))
        for index in range(len(self.demands)):
            rows[index, self.unserved_column(index)] = 1
            for column, route in enumerate(self.routes):
                rows[index, column] = route.demand == index
        return rows

    def bound_rows(self) -> np.ndarray:
        """One inequality for each bound."""
        rows = np.zeros((len(self.bounds), self.width))
        for row, bound in zip(rows, self.bounds, strict=True):
            for column, coefficient in bound.coefficients.items():
                row[column] = coefficient
        return rows

    def _capacity_bounds(self, capacity: RegionCapacity) -> list[_UpperBound]:
        served_here = [
            (column, self.demands[route.demand])
            for column, route in enumerate(self.routes)
            if route.region == capacity.region
        ]
        processors = {column: 1.0 for column, _ in served_here}
        lines = {column: demand.mean_duration for column, demand in served_here}
        return [
            _UpperBound(f"processors of {capacity.region}", capacity.rate, processors),
            _UpperBound(f"lines of {capacity.region}", capacity.lines, lines),
        ]

    def _budget_bound(self, limit: RateLimit) -> _UpperBound:
        coefficients = {
            column: 1.0 for column, route in enumerate(self.routes) if self._is_limited(route, limit)
        }
        between = f" {limit.pair[0]} to {limit.pair[1]}" if limit.pair else ""
        return _UpperBound(f"budget of {limit.traffic_type}{between}", limit.rate, coefficients)

    def _is_limited(self, route: _Route, limit: RateLimit) -> bool:
        demand = self.demands[route.demand]
        if demand.traffic_type != limit.traffic_type or not self.crosses(route):
            return False
        if limit.pair is None:
            return True
        home, remote = limit.pair
        return home == demand.region and remote in (route.region, ANY_REGION)


def plan(demands: list[Demand], capacities: list[RegionCapacity], limits: list[RateLimit]) -> Plan:
    """Computes the plan.

    Raises ValueError if the region of a demand has no capacity, a demand is negative, or no plan exists.
    """
    # Imported here because the import takes half a second, which other commands should not have to wait.
    from scipy.optimize import linprog

    _check_demands(demands, capacities)
    program = _LinearProgram(demands, capacities, limits)
    solution = linprog(
        program.costs(),
        program.bound_rows(),
        np.array([bound.limit for bound in program.bounds]),
        program.demand_rows(),
        [demand.rate for demand in demands],
        method="highs",
    )
    if not solution.success:
        raise ValueError(f"no plan: {solution.message}")
    assert solution.x is not None
    shadow_prices = [float(price) for price in solution.ineqlin.marginals]
    return _to_plan(program, [float(rate) for rate in solution.x], shadow_prices)


def _check_demands(demands: list[Demand], capacities: list[RegionCapacity]) -> None:
    regions = [capacity.region for capacity in capacities]
    for demand in demands:
        if demand.region not in regions:
            raise ValueError(f"demand in {demand.region!r}, which has no servers listed")
        if demand.rate < 0 or demand.mean_duration < 0:
            raise ValueError(
                f"rate or mean duration of the demand of {demand.traffic_type} in {demand.region} is negative"
            )


def _to_plan(program: _LinearProgram, rates: list[float], shadow_prices: list[float]) -> Plan:
    result = Plan(offered=sum(demand.rate for demand in program.demands))
    for column, route in enumerate(program.routes):
        result.served += rates[column]
        if program.crosses(route) and rates[column] > TOLERANCE:
            demand = program.demands[route.demand]
            result.cross_region[demand.traffic_type, demand.region, route.region] = rates[column]
    for index, demand in enumerate(program.demands):
        rate = rates[program.unserved_column(index)]
        if rate > TOLERANCE:
            result.unserved[demand.traffic_type, demand.region] = rate
    result.binding_constraints = [
        bound.name for bound, price in zip(program.bounds, shadow_prices, strict=True) if price < -TOLERANCE
    ]
    return result
