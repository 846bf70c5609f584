"""Tests the check of a scenario's operations from rows of the supervisors' logs."""

from __future__ import annotations

from valverouter.audit.operations import check_operations
from valverouter.signalling import traffic_record
from valverouter.signalling.traffic_record import DisruptionLimitsRow, OperationRow, Row, StepRow


def trace(*rows: Row) -> list[Row]:
    head: list[Row] = [
        DisruptionLimitsRow(0, 0, 1, 1),
        traffic_record.PlacementRow(0, 0, "e0", "north"),
        traffic_record.PlacementRow(0, 0, "e1", "south"),
    ]
    return [*head, *rows]


def step_row(time: int, edge: str, number: int, outcome: str = "", up: bool = True, step: int = 0) -> StepRow:
    return StepRow(time, time, edge, number, step, up, outcome)


def test_each_violation_is_found_and_none_in_a_correct_record() -> None:
    correct = trace(
        traffic_record.ProgramVersionRow(1, 1, "e0", "v1"),
        step_row(2, "e0", 7),
        traffic_record.ProgramVersionRow(3, 3, "e0", "v2"),
        step_row(4, "e0", 7, "done"),
        step_row(5, "e1", 9),
        step_row(6, "e1", 9, "done"),
        OperationRow(9, 9, "r", "release", "v2", "ended", "done", {"e0": ("done", 7, "v1")}),
    )
    report = check_operations(correct)
    assert report is not None
    assert report.passed
    assert report.steps_started == 2
    assert report.max_unavailable == 1
    assert check_operations([]) is None
    for incorrect, word in (
        (trace(step_row(1, "e0", 7), step_row(2, "e1", 9)), "limits"),
        (trace(step_row(1, "e0", 7), step_row(2, "e0", 7, "done"), step_row(3, "e0", 7)), "once"),
        (trace(OperationRow(9, 9, "r", "restart", "", "ended", "done", {"e0": ("done", 7, "v1")})), "told"),
        (
            trace(
                traffic_record.ProgramVersionRow(1, 1, "e0", "v2"),
                OperationRow(9, 9, "r", "release", "v2", "ended", "halted", {"e0": ("out", 7, "v1")}),
            ),
            "back",
        ),
    ):
        report = check_operations(incorrect)
        assert report is not None, (word, report)
        assert any(violation.startswith(word) for violation in report.violations), (word, report)


def test_a_drained_instance_counts_as_unavailable() -> None:
    report = check_operations(
        trace(step_row(1, "e0", 7, up=False), step_row(2, "e0", 7, "done", up=False), step_row(3, "e1", 9))
    )
    assert report is not None
    assert not report.passed
