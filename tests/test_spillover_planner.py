"""The planner of cross-region traffic, compared with cases computed by hand."""

from __future__ import annotations

import pytest

from valverouter.regions.planner import Demand, RateLimit, RegionCapacity, plan

CAPACITY = [RegionCapacity("a", 10, 1e9), RegionCapacity("b", 20, 1e9)]


def test_the_plan_has_the_least_cross_region_traffic_that_serves_the_demand() -> None:
    found = plan([Demand("t", "a", 15, 1), Demand("t", "b", 5, 1)], CAPACITY, [])
    assert found.cross_region == {("t", "a", "b"): pytest.approx(5)}
    assert not found.unserved
    assert found.binding_constraints == ["processors of a"]


def test_the_lowest_priority_is_left_unserved_and_the_binding_budget_named() -> None:
    demands = [Demand("routine", "a", 12, 1), Demand("urgent", "a", 8, 1, 6.0)]
    found = plan(demands, CAPACITY, [RateLimit("routine", 4), RateLimit("urgent", 2)])
    assert found.unserved == {("routine", "a"): pytest.approx(4)}
    assert found.cross_region == {
        ("routine", "a", "b"): pytest.approx(4),
        ("urgent", "a", "b"): pytest.approx(2),
    }
    assert {"budget of routine", "budget of urgent"} <= set(found.binding_constraints)


def test_lines_bind_by_the_mean_duration_of_dialogs() -> None:
    found = plan([Demand("t", "a", 4, 5)], [RegionCapacity("a", 100, 10)], [])
    assert found.unserved == {("t", "a"): pytest.approx(2)}
    assert found.binding_constraints == ["lines of a"]


@pytest.mark.parametrize(("pair", "crosses"), [(("a", "b"), 1.0), (("a", "*"), 1.0), (("b", "a"), 5.0)])
def test_a_limit_of_a_pair_of_regions_holds_for_that_pair_alone(
    pair: tuple[str, str], crosses: float
) -> None:
    found = plan([Demand("t", "a", 15, 1)], CAPACITY, [RateLimit("t", 1, pair)])
    assert sum(found.cross_region.values()) == pytest.approx(crosses)


def test_a_demand_in_an_unknown_region_is_rejected() -> None:
    with pytest.raises(ValueError, match="no servers listed"):
        plan([Demand("t", "c", 1, 1)], CAPACITY, [])
