"""The verdict on a course of the platform's edge proxy, by the times and the slack of the platform's page."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from valverouter.soak.plan import HANGUP_TOLD_S, KILL_DELAY_S
from valverouter.soak.record import CourseRecord, ProcessRecord, RequestRecord

SECOND = 10**9
# Every time limit is so much longer; and a set-up that crosses the end of its connection is sent again.
SLACK = 50_000_000
CROSSING = 50_000_000
# An answer that comes up to so long after its time only earns nothing; later it is lost.
LATE_ALLOWED = SECOND // 2
# A set-up that came later than this after the signal to stop has to be answered before SIGKILL.
ANSWERED_BEFORE_KILL = round(KILL_DELAY_S * SECOND)
# The memory limit that the edge proxies are given.
MEMORY_LIMIT_KIB = 64 * 1024


class Outcome(Enum):
    """What became of a set-up. LOST alone breaks a rule."""

    ANSWERED = "answered"
    LATE = "late"
    CROSSED = "crossed"
    GIVEN_UP = "given up"
    OPEN_AT_KILL = "open at kill"
    LOST = "lost"


@dataclass(slots=True)
class CourseVerdict:
    """What a course found: set-ups by outcome, the rules broken, and the time left before SIGKILL.

    `margins`: of each process, ns from its end to the moment when SIGKILL was due.
    """

    outcomes: Counter[Outcome] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    margins: list[int] = field(default_factory=list)


def judge_course(record: CourseRecord, kill_after: int) -> CourseVerdict:
    """Judges a whole course; `kill_after`: from the signal to stop to SIGKILL, ns."""
    verdict = CourseVerdict()
    processes = {process.number: process for process in record.processes}
    for request in record.requests:
        outcome = outcome_of(request, processes[request.process])
        verdict.outcomes[outcome] += 1
        if outcome is Outcome.LOST:
            verdict.violations.append(_lost_text(request, processes[request.process]))
        if len(request.answers) > 1:
            verdict.violations.append(f"{request.id} has {len(request.answers)} answers")
    for process in record.processes:
        verdict.margins.append(process.stopped_at + kill_after - process.ended_at)
        verdict.violations += _process_violations(process)
    if record.hangup_at and not _has_acted(record):
        verdict.violations.append("a hangup with a new file did not act in time")
    return verdict


def outcome_of(request: RequestRecord, process: ProcessRecord) -> Outcome:
    """What became of a set-up, by what its caller saw."""
    due = request.sent_at + request.time_left
    if request.answers:
        answered_at = request.answers[0][0]
        if answered_at <= due + SLACK:
            return Outcome.ANSWERED
        return Outcome.LATE if answered_at <= due + SLACK + LATE_ALLOWED else Outcome.LOST
    if request.given_up_at:
        return Outcome.GIVEN_UP
    ended_at = request.connection_ended_at
    if process.killed_at and (not ended_at or ended_at >= process.killed_at):
        came_late = request.sent_at - process.stopped_at > ANSWERED_BEFORE_KILL
        return Outcome.LOST if came_late or due + SLACK < process.killed_at else Outcome.OPEN_AT_KILL
    if ended_at and ended_at - request.sent_at <= CROSSING:
        return Outcome.CROSSED
    return Outcome.LOST


def _lost_text(request: RequestRecord, process: ProcessRecord) -> str:
    def seconds(at: int) -> str:
        return f"{(at - process.stopped_at) / SECOND:.3f}" if at else "-"

    return (
        f"{request.id} is lost: sent {seconds(request.sent_at)} s after the signal, "
        f"connection ended {seconds(request.connection_ended_at)}, "
        f"answered {seconds(request.answers[0][0] if request.answers else 0)}, "
        f"process ended {seconds(process.ended_at)}"
    )


def _process_violations(process: ProcessRecord) -> list[str]:
    found = list(process.log_problems)
    if not process.killed_at and process.exit_code != 0:
        found.append(f"process {process.number} ended with {process.exit_code}")
    if process.memory_kib > MEMORY_LIMIT_KIB:
        found.append(f"process {process.number} holds {process.memory_kib} KiB")
    return found


def _has_acted(record: CourseRecord) -> bool:
    limit = round(HANGUP_TOLD_S * SECOND) + SLACK
    return bool(record.hangup_acted_at) and record.hangup_acted_at - record.hangup_at <= limit
