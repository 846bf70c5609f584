"""Short soak: plans by seed, the judge, runs of a few seeds, and detection of injected faults."""

from __future__ import annotations

import pytest

from valverouter.soak.injected_faults import FAULTS
from valverouter.soak.judge import (
    CROSSING_LIMIT,
    LATE_LIMIT,
    SECOND,
    TIME_LIMIT_SLACK,
    Outcome,
    classify,
    judge_run,
)
from valverouter.soak.plan import IDLE_CONNECTIONS_EVERY, EdgeKind, draw_plan
from valverouter.soak.record import ProcessRecord, RunRecord, SetupRecord
from valverouter.soak.report import play_run

MS = 10**6
KILL_AFTER = round(2.7 * SECOND)
STOPPED_AT = 10 * SECOND
KILLED_AT = STOPPED_AT + KILL_AFTER


def test_a_seed_draws_the_same_plan_and_edge_kinds_alternate() -> None:
    plans = [draw_plan(seed) for seed in range(1, 61)]
    assert plans == [draw_plan(seed) for seed in range(1, 61)]
    assert [plan.edge_kind for plan in plans[:2]] == [EdgeKind.PLATFORM, EdgeKind.EDGE]
    for edge_kind in EdgeKind:
        of_kind = [plan for plan in plans if plan.edge_kind is edge_kind]
        assert sum(plan.idle_connections > 0 for plan in of_kind) == len(of_kind) // IDLE_CONNECTIONS_EVERY
        assert {len(plan.sighups) for plan in of_kind} >= {0, 1, 2}
        assert {plan.restarts for plan in of_kind} == {True, False}


def make_setup(sent_at: int, answered_at: int = 0, ended_at: int = 0, cancelled_at: int = 0) -> SetupRecord:
    answers = [(answered_at, -1)] if answered_at else []
    return SetupRecord("a", 0, sent_at, 2 * SECOND, cancelled_at, answers, ended_at)


EARLY, LATE = STOPPED_AT + 600 * MS, STOPPED_AT + 1_500 * MS


@pytest.mark.parametrize(
    ("setup", "killed", "expected"),
    [
        (make_setup(EARLY, EARLY + 2 * SECOND + TIME_LIMIT_SLACK), False, Outcome.ANSWERED),
        (make_setup(EARLY, EARLY + 2 * SECOND + TIME_LIMIT_SLACK + 1), False, Outcome.LATE),
        (make_setup(EARLY, EARLY + 2 * SECOND + TIME_LIMIT_SLACK + LATE_LIMIT + 1), False, Outcome.LOST),
        (make_setup(EARLY, cancelled_at=EARLY + 1), False, Outcome.CANCELLED),
        (make_setup(LATE, ended_at=LATE + CROSSING_LIMIT), False, Outcome.CROSSED),
        (make_setup(LATE, ended_at=LATE + CROSSING_LIMIT + 1), False, Outcome.LOST),
        (make_setup(LATE, ended_at=LATE + CROSSING_LIMIT), True, Outcome.CROSSED),
        (make_setup(LATE, ended_at=KILLED_AT), True, Outcome.LOST),
        (make_setup(KILLED_AT - 10 * MS, ended_at=KILLED_AT), True, Outcome.LOST),
        (make_setup(EARLY + 100 * MS, ended_at=KILLED_AT), True, Outcome.OPEN_AT_KILL),
        (make_setup(STOPPED_AT, ended_at=KILLED_AT), True, Outcome.LOST),
    ],
)
def test_outcome_of_a_set_up(setup: SetupRecord, killed: bool, expected: Outcome) -> None:
    ended_at = KILLED_AT if killed else STOPPED_AT + SECOND
    process = ProcessRecord(0, STOPPED_AT, ended_at if killed else 0, ended_at)
    assert classify(setup, process) is expected
    verdict = judge_run(RunRecord([setup], [process]), KILL_AFTER)
    assert bool(verdict.violations) == (expected is Outcome.LOST)
    assert verdict.margins == [KILLED_AT - ended_at]


def test_second_answers_exit_codes_logs_memory_and_lost_sighups_are_violations() -> None:
    twice = make_setup(EARLY, EARLY + MS)
    twice.answers.append((EARLY + 2 * MS, 42))
    process = ProcessRecord(0, STOPPED_AT, 0, EARLY + SECOND, 1, 20, 65 * 1024, ["logged a traceback"])
    record = RunRecord([twice], [process], sighup_at=SECOND, sighup_applied_at=6 * SECOND)
    assert len(judge_run(record, KILL_AFTER).violations) == 5


@pytest.mark.parametrize("seed", range(1, 7))
def test_a_short_soak_violates_no_rule(seed: int) -> None:
    assert play_run(seed).verdict.violations == []


@pytest.mark.parametrize("injected_fault", FAULTS)
def test_an_injected_fault_is_detected_within_ten_seeds(injected_fault: str) -> None:
    seeds = [seed for seed in range(1, 21) if draw_plan(seed).edge_kind is EdgeKind.PLATFORM]
    assert any(play_run(seed, injected_fault).verdict.violations for seed in seeds)
