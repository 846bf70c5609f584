"""Readiness: when an instance counts as back in service."""

from __future__ import annotations

from typing import Any

from valverouter.rollout.operations import DesiredState
from valverouter.rollout.readiness import ReadinessTracker
from valverouter.rollout.reports import InstanceCounters, InstanceInfo, SupervisorReport

SECOND = 10**9


def report(name: str, accepted: int = 0, incarnation: int = 1, **fields: Any) -> SupervisorReport:
    info = InstanceInfo(name, region="north", capacity=100, available_versions=("v1",))
    return SupervisorReport(
        info, "v1", True, counters=InstanceCounters(incarnation, True, True, accepted), **fields
    )


def test_readiness_requires_serving_and_a_share_of_traffic_but_no_minimum_time() -> None:
    tracker, desired = ReadinessTracker(0), DesiredState("v1")

    def is_ready(now: int) -> bool:
        return tracker.is_ready("e0", desired, now, lambda name: False)

    tracker.record_report(SECOND, report("e1", 100), SECOND)
    tracker.record_report(SECOND, report("e0", 0, incarnation=5), SECOND)
    assert is_ready(SECOND), "no peer has accepted any dialogs since"
    tracker.record_report(2 * SECOND, report("e1", 200), 2 * SECOND)
    tracker.record_report(2 * SECOND, report("e0", 0, incarnation=5), 2 * SECOND)
    assert not is_ready(2 * SECOND), "its peer accepts dialogs and it accepts none"
    tracker.record_report(3 * SECOND, report("e0", 12, incarnation=5), 3 * SECOND)
    assert is_ready(3 * SECOND)
    tracker.record_report(3 * SECOND, report("e0", 0, incarnation=6), 3 * SECOND)
    tracker.record_report(4 * SECOND, report("e1", 300), 4 * SECOND)
    assert not is_ready(4 * SECOND), "a new process is measured from zero"
    tracker.record_report(60 * SECOND, report("e0", 90, incarnation=6), 5 * SECOND)
    assert not is_ready(60 * SECOND), "a delayed report is stale"


def test_readiness_requires_the_desired_step_to_be_done() -> None:
    tracker = ReadinessTracker(0)
    desired = DesiredState("v1", True, 7, 0)
    for case, expected in ((("", (7, 0)), False), (("done", (6, 0)), False), (("done", (7, 0)), True)):
        outcome, (number, step) = case
        tracker.record_report(0, report("e0", permit_number=number, step_index=step, outcome=outcome), 0)
        assert tracker.is_ready("e0", desired, 0, lambda name: False) is expected
