"""The planner of cross-region traffic, against cases computed by hand."""

from __future__ import annotations

import pytest

from valverouter.regions.planner import Demand, RateLimit, RegionCapacity, plan

CAPACITY = [RegionCapacity("a", 10, 1e9), RegionCapacity("b", 20, 1e9)]


def test_least_crossing_that_carries_the_load() -> None:
    found = plan([Demand("t", "a", 15, 1), Demand("t", "b", 5, 1)], CAPACITY, [])
    assert found.cross_region == {("t", "a", "b"): pytest.approx(5)}
    assert not found.unserved
    assert found.binding_constraints == ["processors of a"]


def test_what_is_short_falls_on_the_least_important_and_the_budget_is_named() -> None:
    demands = [Demand("routine", "a", 12, 1), Demand("urgent", "a", 8, 1, 6.0)]
    found = plan(demands, CAPACITY, [RateLimit("routine", 4), RateLimit("urgent", 2)])
    assert found.unserved == {("routine", "a"): pytest.approx(4)}
    assert found.cross_region == {
        ("routine", "a", "b"): pytest.approx(4),
        ("urgent", "a", "b"): pytest.approx(2),
    }
    assert {"budget of routine", "budget of urgent"} <= set(found.binding_constraints)


def test_lines_bind_by_how_long_dialogs_last() -> None:
    found = plan([Demand("t", "a", 4, 5)], [RegionCapacity("a", 100, 10)], [])
    assert found.unserved == {("t", "a"): pytest.approx(2)}
    assert found.binding_constraints == ["lines of a"]


@pytest.mark.parametrize(("pair", "crosses"), [(("a", "b"), 1.0), (("a", "*"), 1.0), (("b", "a"), 5.0)])
def test_pairs(pair: tuple[str, str], crosses: float) -> None:
    found = plan([Demand("t", "a", 15, 1)], CAPACITY, [RateLimit("t", 1, pair)])
    assert sum(found.cross_region.values()) == pytest.approx(crosses)


def test_a_plan_needs_a_region_for_each_demand() -> None:
    with pytest.raises(ValueError, match="no servers listed"):
        plan([Demand("t", "c", 1, 1)], CAPACITY, [])
