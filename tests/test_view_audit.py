"""The check of the views that a day's edge proxies have had."""

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


def judge(*rows: tuple[type, dict[str, Any]]) -> ViewReport:
    trace = traffic_record.TrafficRecorder(lambda: 0)
    for second, (kind, fields) in enumerate(rows):
        trace.now = lambda second=second: second * SECOND  # type: ignore[misc]
        trace.record(kind, **fields)
    report = check_views(trace.rows)
    assert report is not None
    return report


def ran(edge: str, life: str, begins: bool = True) -> tuple[type, dict[str, Any]]:
    return EdgeProcessRow, {"edge": edge, "incarnation": life, "is_start": begins}


def viewed(edge: str, life: str, digest: str, **members: str) -> tuple[type, dict[str, Any]]:
    return MembershipViewRow, {
        "edge": edge,
        "incarnation": life,
        "digest": digest,
        "view_health": "settled",
        "members": members,
    }


def test_each_violation_is_found_and_a_sound_record_is_kept() -> None:
    begin = (ConvergenceDeadlineRow, {"max_duration": 3 * SECOND, "poll_interval": 0})
    both = [ran("e0", "a"), ran("e1", "b"), begin]
    good = [viewed("e0", "a", "x", e0="a", e1="b"), viewed("e1", "b", "x", e0="a", e1="b")]
    assert judge(*both, *good).passed
    assert judge(*both, good[0], viewed("e1", "b", "y", e0="a", e1="b")).converged_after is None
    assert judge(*both, good[0], viewed("e1", "b", "x", e1="b")).converged_after is None
    assert judge(*both, good[0]).converged_after is None, "one was never heard of"
    assert not judge(*both, *[good[0]] * 9, good[1]).passed, "too late"
    fresh = [ran("e1", "b", False), ran("e1", "c"), viewed("e0", "a", "x", e0="a", e1="c")]
    back = judge(*both, *good, *fresh, good[0])
    assert back.regressions == (("e0", "e1"),)
    wrong = (
        MembershipEventRow,
        {"edge": "e0", "incarnation": "a", "kind": "gone", "member": "e1", "member_incarnation": "b"},
    )
    assert judge(*both, *good, wrong).false_failures == (("e0", "e1"),)
    cut = (FaultRow, {"until": 60 * SECOND, "kind": "path-cut", "target": "paths"})
    assert judge(*both, cut, *good, wrong).false_failures == ()
