"""A time-sliced quota permits no more than its budget in any window, and uses as much of it as possible."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from valverouter.audit.cross_region import max_in_window
from valverouter.interface import CrossRegionBudget
from valverouter.regions.time_sliced_quota import (
    TimeSlicedQuota,
    expected_utilization,
    infeasibility_reason,
    max_rate,
    slot_lifetime,
    slot_spacing,
    with_default_burst,
)

MS, SECOND = 10**6, 10**9
START = 10**18


budgets = st.builds(
    lambda attempts, burst, window, edge_proxies: CrossRegionBudget(
        attempts, window * MS, burst and 2 + burst % max(1, attempts - 1), edge_proxies, 0
    ),
    st.integers(2, 40),
    st.integers(0, 40),
    st.integers(100, 20_000),
    st.sampled_from([1, 2, 4, 7, 60, 281]),
)


@given(budgets, st.integers(0, 60), st.builds(random.Random, st.integers(0, 2**32)))
def test_no_window_exceeds_the_budget_for_any_senders(
    budget: CrossRegionBudget, skew_ms: int, rng: random.Random
) -> None:
    # Each edge proxy uses all its slots at random times, its clock is off by up to the skew, and some restart
    # during the run and lose the record of their used slots.
    skew = skew_ms * MS
    if infeasibility_reason(budget, skew):
        return
    budget = with_default_burst(budget, skew)
    clock_offsets = [rng.randint(-skew, skew) for _ in range(budget.edge_proxies)]
    quotas = [
        TimeSlicedQuota(dataclasses.replace(budget, fleet_index=at), skew, START + clock_offsets[at])
        for at in range(budget.edge_proxies)
    ]
    now, sent = START, []
    for _ in range(300):
        now += rng.choice([0, 0, MS, slot_spacing(budget) // 3, slot_lifetime(budget, skew), budget.window])
        for at in rng.sample(range(budget.edge_proxies), min(budget.edge_proxies, 12)):
            if rng.random() < 0.02:
                clock_offsets[at] = rng.randint(-skew, skew)
                quotas[at] = TimeSlicedQuota(
                    dataclasses.replace(budget, fleet_index=at), skew, now + clock_offsets[at]
                )
            while quotas[at].acquire(now + clock_offsets[at]) is not None:
                sent.append(now)
            assert (
                quotas[at].used_slots
                <= slot_lifetime(budget, skew) // (slot_spacing(budget) * budget.edge_proxies) + 1
            )
    assert max_in_window(sent, budget.window) <= budget.attempts


@pytest.mark.parametrize("edge_proxies", [1, 4, 281])
def test_a_saturated_fleet_of_any_size_uses_the_whole_budget(edge_proxies: int) -> None:
    budget = CrossRegionBudget(40, 10 * SECOND, 10, edge_proxies, 0)
    quotas = [
        TimeSlicedQuota(dataclasses.replace(budget, fleet_index=at), 0, START) for at in range(edge_proxies)
    ]
    sent = 0
    for step in range(6_000):
        now = START + step * 10 * MS
        sent += sum(quota.acquire(now) is not None for quota in quotas)
    assert 0.97 < sent / 60 / max_rate(budget) < 1.03


@pytest.mark.parametrize(("edge_proxies", "minimum"), [(1, 0.85), (4, 0.7), (50, 0.45), (281, 0.15)])
def test_the_default_burst_maximizes_utilization(edge_proxies: int, minimum: float) -> None:
    budget = with_default_burst(CrossRegionBudget(120, 10 * SECOND, 0, edge_proxies, 0), 50 * MS)
    demand = 12 / edge_proxies

    def used_rate(candidate: CrossRegionBudget) -> float:
        return max_rate(candidate) * expected_utilization(candidate, 50 * MS, demand)

    others = [dataclasses.replace(budget, burst=burst) for burst in (2, 5, 30, 60, 90, 119)]
    assert used_rate(budget) >= max(map(used_rate, others))
    assert used_rate(budget) >= minimum * 12


def test_expected_utilization_matches_a_simulation_of_low_demand() -> None:
    budget = CrossRegionBudget(40, 10 * SECOND, 10, 200, 0)
    rng = random.Random(5)
    quotas = [TimeSlicedQuota(dataclasses.replace(budget, fleet_index=at), 0, START) for at in range(200)]
    sent = 0
    for step in range(12_000):
        for quota in quotas:
            if rng.random() < 0.05 * 0.01:
                sent += quota.acquire(START + step * 10 * MS) is not None
    expected_rate = expected_utilization(budget, 0, 0.05) * max_rate(budget)
    assert sent / 120 == pytest.approx(expected_rate, rel=0.15)


@pytest.mark.parametrize(
    ("budget", "reason"),
    [
        (CrossRegionBudget(10, SECOND, 1, 3, 0), "lapse"),
        (CrossRegionBudget(10, SECOND, 11, 3, 0), "must lie"),
        (CrossRegionBudget(10, SECOND, 2, 3, 3), "not among"),
        (CrossRegionBudget(100, SECOND, 2, 3, 0), "skew"),
    ],
)
def test_an_infeasible_budget_is_rejected_with_a_reason(budget: CrossRegionBudget, reason: str) -> None:
    assert reason in infeasibility_reason(budget, 10 * MS)
    with pytest.raises(ValueError, match=reason):
        TimeSlicedQuota(budget, 10 * MS, START)
