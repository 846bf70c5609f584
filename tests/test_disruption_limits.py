"""Disruption limits, and the planning of waves within them."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.disruption_helpers import edge_proxies
from valverouter.rollout.disruption_limits import (
    DisruptionLimits,
    Instance,
    InstanceKind,
    UnsatisfiableLimitsError,
    find_exceeded_limit,
    find_unsatisfiable_limits,
    plan_waves,
)


def test_an_exceeded_limit_names_the_instances_that_use_it() -> None:
    limits = DisruptionLimits(max_unavailable=2, max_unavailable_per_region=1, min_capacity_fraction=0.5)
    fleet = edge_proxies()
    assert find_exceeded_limit(limits, fleet, [], fleet[0]) is None
    assert (
        str(find_exceeded_limit(limits, fleet, ["e2"], fleet[0]))
        == "edge proxies out at once in north: 1 of 1, used by e2"
    )
    assert "edge proxies out at once: 2 of 2, used by e1, e2" in str(
        find_exceeded_limit(limits, fleet, ["e1", "e2"], fleet[0])
    )
    tight = DisruptionLimits(max_unavailable=4, max_unavailable_per_region=3, min_capacity_fraction=0.5)
    assert find_exceeded_limit(tight, fleet, ["e2"], fleet[0]) is not None, (
        "100 of 300 would remain, the minimum is 150"
    )
    assert find_exceeded_limit(tight, fleet, ["e0"], fleet[0]) is None, (
        "already unavailable, its use does not change"
    )
    server = Instance("s0", InstanceKind.SERVER, "north", 400, 1.0)
    both = [*fleet, server, Instance("s1", InstanceKind.SERVER, "north", 400, 1.0)]
    assert find_exceeded_limit(limits, both, ["e0", "e1", "e2"], server) is None, (
        "servers are counted separately"
    )


def test_a_region_keeps_its_minimum_of_processor_power() -> None:
    fleet = [
        Instance("s0", InstanceKind.SERVER, "n", 100, 3.0),
        Instance("s1", InstanceKind.SERVER, "n", 100, 1.0),
    ]
    limits = DisruptionLimits(
        max_unavailable=1, max_unavailable_per_region=1, min_capacity_fraction=0.5, min_processor_fraction=0.5
    )
    assert find_exceeded_limit(limits, fleet, [], fleet[1]) is None
    assert "least processor of n" in str(find_exceeded_limit(limits, fleet, [], fleet[0]))


@pytest.mark.parametrize(
    ("limits", "problem_text"),
    [
        (DisruptionLimits(0, 1), "no edge proxy could ever go out"),
        (DisruptionLimits(1, 2), "more edge proxies may be out in a region (2) than in all (1)"),
        (DisruptionLimits(6, 3), "all 6 edge proxies may be out at once"),
        (DisruptionLimits(2, 1, {"west": 1}), "there is no edge proxy in west"),
        (DisruptionLimits(2, 1, min_capacity_fraction=0.9), "it would leave less than the least capacity"),
    ],
)
def test_unsatisfiable_limits_are_found(limits: DisruptionLimits, problem_text: str) -> None:
    problems = find_unsatisfiable_limits(limits, InstanceKind.EDGE, edge_proxies())
    assert any(problem_text in problem for problem in problems)
    assert not find_unsatisfiable_limits(
        DisruptionLimits(2, 1, min_capacity_fraction=0.6), InstanceKind.EDGE, edge_proxies()
    )


@settings(max_examples=60, deadline=None)
@given(st.integers(2, 40), st.integers(1, 8), st.integers(1, 4), st.sampled_from([0.0, 0.4, 0.7]))
def test_waves_keep_every_limit_and_include_every_instance(
    count: int, in_fleet: int, in_region: int, fraction: float
) -> None:
    fleet = edge_proxies(count, ("n", "s", "w"))
    limits = DisruptionLimits(in_fleet, in_region, min_capacity_fraction=fraction)
    names = [instance.name for instance in fleet]
    problem = ""
    try:
        waves = plan_waves(limits, fleet, [], names)
    except UnsatisfiableLimitsError as error:
        problem = str(error)
        waves = []
    if problem:
        assert "least capacity" in problem
        return
    assert sorted(name for wave in waves for name in wave) == sorted(names)
    assert len(waves[0]) == 1, "the first wave has one instance"
    by_name = {instance.name: instance for instance in fleet}
    for wave in waves:
        assert len({by_name[name].region for name in wave}) == 1
        unavailable: list[str] = []
        for name in wave:
            assert find_exceeded_limit(limits, fleet, unavailable, by_name[name]) is None
            unavailable.append(name)
