"""The cross-region limiter: admission, charges and refunds, alone and under the routing policy."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from tests.helpers import DriverHarness
from valverouter.interface import (
    AttemptResult,
    CrossRegionBudget,
    CrossRegionConfig,
    CrossRegionPolicy,
    Endpoint,
    LoadReport,
    Outcome,
)
from valverouter.regions.cross_region_limiter import CrossRegionLimiter
from valverouter.regions.usage import UsageCounters, UsageKey

MS, SECOND = 10**6, 10**9
START = 10**18


def limiter_with(**policies: CrossRegionPolicy) -> CrossRegionLimiter:
    reserve = CrossRegionBudget(2, 10 * SECOND, 2, 1, 0)
    return CrossRegionLimiter(CrossRegionConfig("sofia", policies, reserve, 0, 0.1), START)


ROUTINE = CrossRegionPolicy(CrossRegionBudget(4, 10 * SECOND, 2, 1, 0))
URGENT = dataclasses.replace(ROUTINE, urgent=True)
NOW = START + 8 * SECOND


def with_open_gate(limiter: CrossRegionLimiter) -> CrossRegionLimiter:
    """Opens the limiter's spillover gate by selections without an available home server."""
    for at in range(5):
        limiter.on_selection(NOW - at * MS, False)
    return limiter


def allows(
    limiter: CrossRegionLimiter,
    traffic_type: str,
    now: int = NOW,
    region: str = "varna",
    delay_fraction: float = 0.0,
    free_fraction: Any = 1.0,
) -> bool:
    return limiter.allows(now, traffic_type, region, delay_fraction, free_fraction)


@pytest.mark.parametrize(
    ("traffic_type", "options", "expected"),
    [
        ("routine", {}, True),
        ("routine", {"delay_fraction": 0.6}, False),
        ("urgent", {"delay_fraction": 0.6}, True),
        ("routine", {"free_fraction": 0.1}, False),
        ("routine", {"free_fraction": None}, True),
        ("urgent", {"free_fraction": 0.0}, True),
        ("routine", {"region": ""}, True),
        ("none", {}, False),
    ],
)
def test_admission_by_traffic_type_queue_delay_and_free_lines(
    traffic_type: str, options: dict[str, Any], expected: bool
) -> None:
    limiter = with_open_gate(limiter_with(routine=ROUTINE, urgent=URGENT))
    assert allows(limiter, traffic_type, **options) == expected


def test_only_routine_dialogs_need_an_open_gate() -> None:
    limiter = limiter_with(routine=ROUTINE, urgent=URGENT)
    assert not allows(limiter, "routine")
    assert allows(limiter, "urgent")
    assert allows(with_open_gate(limiter), "routine")


def test_routine_attempts_never_use_the_reserve() -> None:
    limiter, sent = with_open_gate(limiter_with(routine=ROUTINE)), 0
    while allows(limiter, "routine"):
        limiter.on_attempt_started(NOW, "routine", "varna", (f"d{sent}", 0))
        sent += 1
    assert 1 <= sent <= 2
    assert limiter.usage.totals[UsageKey("routine", "sofia", "varna")] == UsageCounters(attempts=sent)


def test_urgent_attempts_use_their_budget_then_the_reserve_then_an_overdraft() -> None:
    limiter = limiter_with(urgent=URGENT)
    for at in range(8):
        assert allows(limiter, "urgent")
        limiter.on_attempt_started(NOW, "urgent", "varna", (f"d{at}", 0))
    usage = limiter.usage.totals[UsageKey("urgent", "sofia", "varna")]
    own = 8 - usage.reserve - usage.overdraft
    assert (usage.attempts, own >= 1, usage.reserve >= 1) == (8, True, True)
    assert usage.overdraft >= 4


@pytest.mark.parametrize(
    ("outcome", "refunded", "min_attempts"),
    [
        (Outcome.UNREACHABLE, True, 0),
        (Outcome.NOT_SENT, True, 0),
        (Outcome.FULL, False, 1),
        (Outcome.RESET, False, 1),
        (Outcome.TIMED_OUT, False, 1),
        (Outcome.CANCELLED, False, 1),
    ],
)
def test_only_unsent_attempts_are_refunded_and_only_once(
    outcome: Outcome, refunded: bool, min_attempts: int
) -> None:
    limiter = with_open_gate(
        limiter_with(routine=CrossRegionPolicy(CrossRegionBudget(2, 10 * SECOND, 2, 1, 0)))
    )
    while allows(limiter, "routine"):
        limiter.on_attempt_started(NOW, "routine", "varna", ("d", 0))
    limiter.on_attempt_result(NOW, AttemptResult("d", 0, "s", outcome))
    assert allows(limiter, "routine") == refunded
    before = limiter.usage.totals[UsageKey("routine", "sofia", "varna")].attempts
    limiter.on_attempt_result(NOW, AttemptResult("d", 0, "s", outcome))
    assert allows(limiter, "routine") == refunded, "an attempt is refunded once"
    assert limiter.usage.totals[UsageKey("routine", "sofia", "varna")].attempts == before
    assert not limiter._charged
    assert before >= min_attempts


def test_circuit_time_of_an_established_dialog_counts_until_its_end() -> None:
    limiter = limiter_with(urgent=URGENT)
    limiter.on_attempt_started(NOW, "urgent", "varna", ("d", 0))
    limiter.on_attempt_result(NOW + SECOND, AttemptResult("d", 0, "s", Outcome.ESTABLISHED))
    assert limiter.established_count == 1
    limiter.on_attempt_result(NOW + 6 * SECOND, AttemptResult("d", 0, "s", Outcome.ENDED))
    assert limiter.established_count == 0
    assert limiter.usage.totals[UsageKey("urgent", "sofia", "varna")] == UsageCounters(
        attempts=1, established=1, circuit_ns=5 * SECOND
    )


def test_home_region_attempts_are_not_charged() -> None:
    limiter = limiter_with(routine=ROUTINE)
    limiter.on_attempt_started(NOW, "routine", "sofia", ("d", 0))
    assert not limiter.usage.totals
    assert not limiter._charged


def test_the_most_specific_quota_is_charged() -> None:
    tight, wide = CrossRegionBudget(2, 10 * SECOND, 2, 1, 0), CrossRegionBudget(20, 10 * SECOND, 20, 1, 0)
    policy = CrossRegionPolicy(
        wide, {("sofia", "varna"): tight, ("sofia", "*"): wide, ("burgas", "varna"): wide}
    )
    limiter = limiter_with(routine=policy)
    assert limiter._quota_for("routine", "varna").budget is tight  # type: ignore[union-attr]
    assert limiter._quota_for("routine", "plovdiv") is limiter._quotas["routine", "*"]
    assert ("routine", "burgas") not in limiter._quotas


def test_reconfiguration_keeps_usage_and_attempts_and_delays_new_quotas() -> None:
    limiter = with_open_gate(limiter_with(urgent=URGENT))
    limiter.on_attempt_started(NOW, "urgent", "varna", ("d", 0))
    new = CrossRegionConfig("sofia", {"urgent": URGENT, "routine": ROUTINE}, None, 0, 0.1)
    limiter.reconfigure(new, NOW)
    window = 10 * SECOND
    for at in range(0, 40 * SECOND, SECOND // 4):
        limiter.on_selection(NOW + at, False)
        assert not (allows(limiter, "routine", now=NOW + at) and at < window), "quotas start later"
    assert any(allows(limiter, "routine", now=NOW + at) for at in range(window, 3 * window, SECOND))
    limiter.on_attempt_result(NOW, AttemptResult("d", 0, "s", Outcome.UNREACHABLE))
    assert limiter.usage.totals[UsageKey("urgent", "sofia", "varna")] == UsageCounters(not_sent=1)
    assert not limiter._charged
    never = CrossRegionConfig(
        "sofia", {"urgent": CrossRegionPolicy(CrossRegionBudget(10, SECOND, 1, 3, 0))}, None, 0, 0
    )
    with pytest.raises(ValueError, match="lapse"):
        limiter.reconfigure(never, NOW)
    assert limiter.config is new


# Under the routing policy


def harness_with_limiter(**policies: CrossRegionPolicy) -> DriverHarness:
    harness = DriverHarness(
        servers=0,
        cross_region=CrossRegionLimiter(CrossRegionConfig("home", policies, None, 0, 0.0), 100 * SECOND),
    )
    endpoints = [Endpoint("h0", 0, True, 0, "home"), Endpoint("h1", 1, True, 0, "home")]
    harness.update_endpoints([*endpoints, Endpoint("a2", 2, True, 0, "away"), Endpoint("u3", 3, True, 0, "")])
    return harness


def test_selection_prefers_first_choice_then_home_region_then_remote() -> None:
    harness = harness_with_limiter(plain=CrossRegionPolicy())
    harness.dialog(0)
    assert harness.describe_commands() == "h0"
    harness.driver.update_load("h0", LoadReport(free_lines=0))
    harness.dialog(0)
    assert harness.describe_commands() == "h1", "home before remote"
    harness.driver.update_load("h1", LoadReport(free_lines=0))
    for _ in range(6):
        harness.dialog(0)
    assert set(harness.describe_commands().split()) == {"a2", "u3"}, "a server without a region is remote"


def test_a_remote_first_choice_is_replaced_where_the_limiter_forbids_it() -> None:
    harness = harness_with_limiter(important=CrossRegionPolicy(urgent=True))
    harness.dialog(2, traffic_type="plain")
    assert harness.describe_commands() in ("h0", "h1")
    harness.dialog(2, traffic_type="important")
    assert harness.describe_commands() == "a2"


def test_a_dialog_without_quota_is_rejected_at_once_with_a_retry_after() -> None:
    harness = harness_with_limiter()
    for server in ("h0", "h1"):
        harness.driver.update_load(server, LoadReport(free_lines=0))
    harness.dialog(0)
    (command,) = [c for c in harness.take_commands() if hasattr(c, "dialog_id")]
    assert command.action.retry_after > 0  # type: ignore[union-attr]
    assert harness.policy.cross_region.usage.totals[UsageKey("plain", "home", "?")].rejected == 1  # type: ignore[union-attr]


def test_a_cross_region_retry_is_charged_like_a_first_attempt() -> None:
    harness = harness_with_limiter(plain=CrossRegionPolicy(urgent=True))
    for server in ("h0", "h1"):
        harness.driver.update_load(server, LoadReport(free_lines=0))
    dialog = harness.dialog(2)
    assert harness.describe_commands() == "a2"
    harness.result(dialog, "a2", Outcome.NO_AGENT)
    assert harness.describe_commands() == "u3"
    totals = harness.policy.cross_region.usage.totals  # type: ignore[union-attr]
    assert (
        totals[UsageKey("plain", "home", "away")].attempts
        == totals[UsageKey("plain", "home", "?")].attempts
        == 1
    )
