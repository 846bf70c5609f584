"""The soak, short: its courses by seed, its judge, real processes for a few seeds, planted faults found."""

from __future__ import annotations

import pytest

from valverouter.soak.injected_faults import FAULTS
from valverouter.soak.judge import CROSSING, LATE_ALLOWED, SECOND, SLACK, Outcome, judge_course, outcome_of
from valverouter.soak.plan import CROWD_EVERY, Front, draw_course
from valverouter.soak.record import CourseRecord, ProcessRecord, RequestRecord
from valverouter.soak.report import play_course

MS = 10**6
KILL_AFTER = round(2.7 * SECOND)
STOPPED_AT = 10 * SECOND
KILLED_AT = STOPPED_AT + KILL_AFTER


def test_a_seed_draws_the_same_course_and_both_fronts_take_turns() -> None:
    courses = [draw_course(seed) for seed in range(1, 61)]
    assert courses == [draw_course(seed) for seed in range(1, 61)]
    assert [course.front for course in courses[:2]] == [Front.PLATFORM, Front.EDGE]
    for front in Front:
        of_front = [course for course in courses if course.front is front]
        assert sum(course.crowd > 0 for course in of_front) == len(of_front) // CROWD_EVERY
        assert {len(course.hangups) for course in of_front} >= {0, 1, 2}
        assert {course.restarts for course in of_front} == {True, False}


def request(sent_at: int, answered_at: int = 0, ended_at: int = 0, given_up_at: int = 0) -> RequestRecord:
    answers = [(answered_at, -1)] if answered_at else []
    return RequestRecord("a", 0, sent_at, 2 * SECOND, given_up_at, answers, ended_at)


EARLY, LATE = STOPPED_AT + 600 * MS, STOPPED_AT + 1_500 * MS


@pytest.mark.parametrize(
    ("made", "killed", "expected"),
    [
        (request(EARLY, EARLY + 2 * SECOND + SLACK), False, Outcome.ANSWERED),
        (request(EARLY, EARLY + 2 * SECOND + SLACK + 1), False, Outcome.LATE),
        (request(EARLY, EARLY + 2 * SECOND + SLACK + LATE_ALLOWED + 1), False, Outcome.LOST),
        (request(EARLY, given_up_at=EARLY + 1), False, Outcome.GIVEN_UP),
        (request(LATE, ended_at=LATE + CROSSING), False, Outcome.CROSSED),
        (request(LATE, ended_at=LATE + CROSSING + 1), False, Outcome.LOST),
        (request(LATE, ended_at=LATE + CROSSING), True, Outcome.CROSSED),
        (request(LATE, ended_at=KILLED_AT), True, Outcome.LOST),
        (request(KILLED_AT - 10 * MS, ended_at=KILLED_AT), True, Outcome.LOST),
        (request(EARLY + 100 * MS, ended_at=KILLED_AT), True, Outcome.OPEN_AT_KILL),
        (request(STOPPED_AT, ended_at=KILLED_AT), True, Outcome.LOST),
    ],
)
def test_what_became_of_a_set_up(made: RequestRecord, killed: bool, expected: Outcome) -> None:
    ended_at = KILLED_AT if killed else STOPPED_AT + SECOND
    process = ProcessRecord(0, STOPPED_AT, ended_at if killed else 0, ended_at)
    assert outcome_of(made, process) is expected
    verdict = judge_course(CourseRecord([made], [process]), KILL_AFTER)
    assert bool(verdict.violations) == (expected is Outcome.LOST)
    assert verdict.margins == [KILLED_AT - ended_at]


def test_second_answers_exit_codes_logs_memory_and_lost_hangups_are_violations() -> None:
    twice = request(EARLY, EARLY + MS)
    twice.answers.append((EARLY + 2 * MS, 42))
    process = ProcessRecord(0, STOPPED_AT, 0, EARLY + SECOND, 1, 20, 65 * 1024, ["logged a traceback"])
    record = CourseRecord([twice], [process], hangup_at=SECOND, hangup_acted_at=6 * SECOND)
    assert len(judge_course(record, KILL_AFTER).violations) == 5


@pytest.mark.parametrize("seed", range(1, 7))
def test_the_short_soak_breaks_no_rule(seed: int) -> None:
    assert play_course(seed).verdict.violations == []


@pytest.mark.parametrize("injected_fault", FAULTS)
def test_an_injected_fault_is_found_within_ten_seeds(injected_fault: str) -> None:
    seeds = [seed for seed in range(1, 21) if draw_course(seed).front is Front.PLATFORM]
    assert any(play_course(seed, injected_fault).verdict.violations for seed in seeds)
