"""What the cross-region limiter allows, charges and refunds, by itself and under the routing policy."""

from __future__ import annotations

import dataclasses
from typing import Any

import pytest

from tests.helpers import Rig
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


def crossing(**classes: CrossRegionPolicy) -> CrossRegionLimiter:
    reserve = CrossRegionBudget(2, 10 * SECOND, 2, 1, 0)
    return CrossRegionLimiter(CrossRegionConfig("sofia", classes, reserve, 0, 0.1), START)


ROUTINE = CrossRegionPolicy(CrossRegionBudget(4, 10 * SECOND, 2, 1, 0))
URGENT = dataclasses.replace(ROUTINE, urgent=True)
OPEN = START + 8 * SECOND


def lacking(rule: CrossRegionLimiter) -> CrossRegionLimiter:
    """Crossing opened by what its dialogs found at home."""
    for at in range(5):
        rule.on_selection(OPEN - at * MS, False)
    return rule


def asks(
    rule: CrossRegionLimiter,
    kind: str,
    now: int = OPEN,
    region: str = "varna",
    wait: float = 0.0,
    free: Any = 1.0,
) -> bool:
    return rule.allows(now, kind, region, wait, free)


@pytest.mark.parametrize(
    ("kind", "more", "may"),
    [
        ("routine", {}, True),
        ("routine", {"wait": 0.6}, False),
        ("urgent", {"wait": 0.6}, True),
        ("routine", {"free": 0.1}, False),
        ("routine", {"free": None}, True),
        ("urgent", {"free": 0.0}, True),
        ("routine", {"region": ""}, True),
        ("none", {}, False),
    ],
)
def test_admission_by_traffic_type_queue_delay_and_free_lines(
    kind: str, more: dict[str, Any], may: bool
) -> None:
    rule = lacking(crossing(routine=ROUTINE, urgent=URGENT))
    assert asks(rule, kind, **more) == may


def test_only_routine_dialogs_need_an_open_gate() -> None:
    rule = crossing(routine=ROUTINE, urgent=URGENT)
    assert not asks(rule, "routine")
    assert asks(rule, "urgent")
    assert asks(lacking(rule), "routine")


def test_routine_attempts_never_use_the_reserve() -> None:
    rule, sent = lacking(crossing(routine=ROUTINE)), 0
    while asks(rule, "routine"):
        rule.on_attempt_started(OPEN, "routine", "varna", (f"d{sent}", 0))
        sent += 1
    assert 1 <= sent <= 2
    assert rule.usage.totals[UsageKey("routine", "sofia", "varna")] == UsageCounters(attempts=sent)


def test_urgent_attempts_use_their_budget_then_the_reserve_then_an_overdraft() -> None:
    rule = crossing(urgent=URGENT)
    for at in range(8):
        assert asks(rule, "urgent")
        rule.on_attempt_started(OPEN, "urgent", "varna", (f"d{at}", 0))
    tally = rule.usage.totals[UsageKey("urgent", "sofia", "varna")]
    own = 8 - tally.reserve - tally.overdraft
    assert (tally.attempts, own >= 1, tally.reserve >= 1) == (8, True, True)
    assert tally.overdraft >= 4


@pytest.mark.parametrize(
    ("outcome", "back", "legs"),
    [
        (Outcome.UNREACHABLE, True, 0),
        (Outcome.NOT_SENT, True, 0),
        (Outcome.FULL, False, 1),
        (Outcome.RESET, False, 1),
        (Outcome.TIMED_OUT, False, 1),
        (Outcome.CANCELLED, False, 1),
    ],
)
def test_only_unsent_attempts_are_refunded_and_only_once(outcome: Outcome, back: bool, legs: int) -> None:
    rule = lacking(crossing(routine=CrossRegionPolicy(CrossRegionBudget(2, 10 * SECOND, 2, 1, 0))))
    while asks(rule, "routine"):
        rule.on_attempt_started(OPEN, "routine", "varna", ("d", 0))
    rule.on_attempt_result(OPEN, AttemptResult("d", 0, "s", outcome))
    assert asks(rule, "routine") == back
    before = rule.usage.totals[UsageKey("routine", "sofia", "varna")].attempts
    rule.on_attempt_result(OPEN, AttemptResult("d", 0, "s", outcome))
    assert asks(rule, "routine") == back, "nothing is given back twice"
    assert rule.usage.totals[UsageKey("routine", "sofia", "varna")].attempts == before
    assert not rule._charged
    assert before >= legs


def test_circuit_time_of_an_established_dialog_counts_until_its_end() -> None:
    rule = crossing(urgent=URGENT)
    rule.on_attempt_started(OPEN, "urgent", "varna", ("d", 0))
    rule.on_attempt_result(OPEN + SECOND, AttemptResult("d", 0, "s", Outcome.ESTABLISHED))
    assert rule.circuits_in_use == 1
    rule.on_attempt_result(OPEN + 6 * SECOND, AttemptResult("d", 0, "s", Outcome.ENDED))
    assert rule.circuits_in_use == 0
    assert rule.usage.totals[UsageKey("urgent", "sofia", "varna")] == UsageCounters(
        attempts=1, established=1, circuit_ns=5 * SECOND
    )


def test_home_region_attempts_are_not_charged() -> None:
    rule = crossing(routine=ROUTINE)
    rule.on_attempt_started(OPEN, "routine", "sofia", ("d", 0))
    assert not rule.usage.totals
    assert not rule._charged


def test_the_most_specific_quota_is_charged() -> None:
    tight, wide = CrossRegionBudget(2, 10 * SECOND, 2, 1, 0), CrossRegionBudget(20, 10 * SECOND, 20, 1, 0)
    kind = CrossRegionPolicy(
        wide, {("sofia", "varna"): tight, ("sofia", "*"): wide, ("burgas", "varna"): wide}
    )
    rule = crossing(routine=kind)
    assert rule._quota_for("routine", "varna").budget is tight  # type: ignore[union-attr]
    assert rule._quota_for("routine", "plovdiv") is rule._quotas["routine", "*"]
    assert ("routine", "burgas") not in rule._quotas


def test_reconfiguration_keeps_usage_and_attempts_and_delays_new_quotas() -> None:
    rule = lacking(crossing(urgent=URGENT))
    rule.on_attempt_started(OPEN, "urgent", "varna", ("d", 0))
    new = CrossRegionConfig("sofia", {"urgent": URGENT, "routine": ROUTINE}, None, 0, 0.1)
    rule.reconfigure(new, OPEN)
    window = 10 * SECOND
    for at in range(0, 40 * SECOND, SECOND // 4):
        rule.on_selection(OPEN + at, False)
        assert not (asks(rule, "routine", now=OPEN + at) and at < window), "a window passes first"
    assert any(asks(rule, "routine", now=OPEN + at) for at in range(window, 3 * window, SECOND))
    rule.on_attempt_result(OPEN, AttemptResult("d", 0, "s", Outcome.UNREACHABLE))
    assert rule.usage.totals[UsageKey("urgent", "sofia", "varna")] == UsageCounters(not_sent=1)
    assert not rule._charged
    never = CrossRegionConfig(
        "sofia", {"urgent": CrossRegionPolicy(CrossRegionBudget(10, SECOND, 1, 3, 0))}, None, 0, 0
    )
    with pytest.raises(ValueError, match="lapse"):
        rule.reconfigure(never, OPEN)
    assert rule.config is new


# Under the routing policy


def seamed(**classes: CrossRegionPolicy) -> Rig:
    rig = Rig(
        servers=0,
        cross_region=CrossRegionLimiter(CrossRegionConfig("home", classes, None, 0, 0.0), 100 * SECOND),
    )
    entries = [Endpoint("h0", 0, True, 0, "home"), Endpoint("h1", 1, True, 0, "home")]
    rig.listed([*entries, Endpoint("a2", 2, True, 0, "away"), Endpoint("u3", 3, True, 0, "")])
    return rig


def test_selection_prefers_first_choice_then_home_region_then_remote() -> None:
    rig = seamed(plain=CrossRegionPolicy())
    rig.dialog(0)
    assert rig.said() == "h0"
    rig.driver.update_load("h0", LoadReport(free_lines=0))
    rig.dialog(0)
    assert rig.said() == "h1", "home before away"
    rig.driver.update_load("h1", LoadReport(free_lines=0))
    for _ in range(6):
        rig.dialog(0)
    assert set(rig.said().split()) == {"a2", "u3"}, "a server whose region is not told counts as away"


def test_a_remote_first_choice_is_replaced_where_the_limiter_forbids_it() -> None:
    rig = seamed(worthy=CrossRegionPolicy(urgent=True))
    rig.dialog(2, kind="plain")
    assert rig.said() in ("h0", "h1")
    rig.dialog(2, kind="worthy")
    assert rig.said() == "a2"


def test_a_dialog_without_quota_is_rejected_at_once_with_a_retry_after() -> None:
    rig = seamed()
    for server in ("h0", "h1"):
        rig.driver.update_load(server, LoadReport(free_lines=0))
    rig.dialog(0)
    (order,) = [c for c in rig.take() if hasattr(c, "dialog_id")]
    assert order.action.retry_after > 0  # type: ignore[union-attr]
    assert rig.policy.cross_region.usage.totals[UsageKey("plain", "home", "?")].rejected == 1  # type: ignore[union-attr]


def test_a_cross_region_retry_is_charged_like_a_first_attempt() -> None:
    rig = seamed(plain=CrossRegionPolicy(urgent=True))
    for server in ("h0", "h1"):
        rig.driver.update_load(server, LoadReport(free_lines=0))
    dialog = rig.dialog(2)
    assert rig.said() == "a2"
    rig.result(dialog, "a2", Outcome.NO_AGENT)
    assert rig.said() == "u3"
    totals = rig.policy.cross_region.usage.totals  # type: ignore[union-attr]
    assert (
        totals[UsageKey("plain", "home", "away")].attempts
        == totals[UsageKey("plain", "home", "?")].attempts
        == 1
    )
