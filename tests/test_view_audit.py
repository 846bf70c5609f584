"""Tests the check of the membership views in a scenario's record."""

from __future__ import annotations

from typing import Any

from tests.membership_service_harness import SECOND
from valverouter.audit.views import ViewReport, check_views
from valverouter.signalling import traffic_record
from valverouter.signalling.traffic_record import (
    ConvergenceDeadlineRow,
    EdgeProcessRow,
    FaultRow,
    MembershipEventRow,
    MembershipViewRow,
)


def check(*rows: tuple[type, dict[str, Any]]) -> ViewReport:
    trace = traffic_record.TrafficRecorder(lambda: 0)
    for second, (kind, fields) in enumerate(rows):
        trace.now = lambda second=second: second * SECOND  # type: ignore[misc]
        trace.record(kind, **fields)
    report = check_views(trace.rows)
    assert report is not None
    return report


def process_row(edge: str, incarnation: str, is_start: bool = True) -> tuple[type, dict[str, Any]]:
    return EdgeProcessRow, {"edge": edge, "incarnation": incarnation, "is_start": is_start}


def view_row(edge: str, incarnation: str, digest: str, **members: str) -> tuple[type, dict[str, Any]]:
    return MembershipViewRow, {
        "edge": edge,
        "incarnation": incarnation,
        "digest": digest,
        "view_health": "settled",
        "members": members,
    }


def test_each_violation_is_found_and_a_correct_record_passes() -> None:
    begin = (ConvergenceDeadlineRow, {"max_duration": 3 * SECOND, "poll_interval": 0})
    both = [process_row("e0", "a"), process_row("e1", "b"), begin]
    good = [view_row("e0", "a", "x", e0="a", e1="b"), view_row("e1", "b", "x", e0="a", e1="b")]
    assert check(*both, *good).passed
    assert check(*both, good[0], view_row("e1", "b", "y", e0="a", e1="b")).converged_after is None
    assert check(*both, good[0], view_row("e1", "b", "x", e1="b")).converged_after is None
    assert check(*both, good[0]).converged_after is None, "one was never polled"
    assert not check(*both, *[good[0]] * 9, good[1]).passed, "too late"
    fresh = [process_row("e1", "b", False), process_row("e1", "c"), view_row("e0", "a", "x", e0="a", e1="c")]
    back = check(*both, *good, *fresh, good[0])
    assert back.regressions == (("e0", "e1"),)
    wrong = (
        MembershipEventRow,
        {"edge": "e0", "incarnation": "a", "kind": "gone", "member": "e1", "member_incarnation": "b"},
    )
    assert check(*both, *good, wrong).false_failures == (("e0", "e1"),)
    cut = (FaultRow, {"until": 60 * SECOND, "kind": "path-cut", "target": "paths"})
    assert check(*both, cut, *good, wrong).false_failures == ()
