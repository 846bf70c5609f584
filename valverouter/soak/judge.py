"""The verdict on a course of the platform's edge proxy, by the times and the slack of the platform's page."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from valverouter.soak.plan import KILL_DELAY_S, RELOAD_LIMIT_S
from valverouter.soak.record import ProcessRecord, RunRecord, SetupRecord

SECOND = 10**9
# Every time limit is so much longer; and a set-up that crosses the end of its connection is sent again.
TIME_LIMIT_SLACK = 50_000_000
CROSSING_LIMIT = 50_000_000
# An answer that comes up to so long after its time only earns nothing; later it is lost.
LATE_LIMIT = SECOND // 2
# A set-up that came later than this after the signal to stop has to be answered before SIGKILL.
ANSWER_REQUIRED_AFTER = round(KILL_DELAY_S * SECOND)
# The memory limit that the edge proxies are given.
MEMORY_LIMIT_KIB = 64 * 1024


class Outcome(Enum):
    """What became of a set-up. LOST alone breaks a rule."""

    ANSWERED = "answered"
    LATE = "late"
    CROSSED = "crossed"
    CANCELLED = "given up"
    OPEN_AT_KILL = "open at kill"
    LOST = "lost"


@dataclass(slots=True)
class RunVerdict:
    """What a course found: set-ups by outcome, the rules broken, and the time left before SIGKILL.

    `margins`: of each process, ns from its end to the moment when SIGKILL was due.
    """

    outcomes: Counter[Outcome] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    margins: list[int] = field(default_factory=list)


def judge_run(record: RunRecord, kill_after: int) -> RunVerdict:
    """Judges a whole course; `kill_after`: from the signal to stop to SIGKILL, ns."""
    verdict = RunVerdict()
    processes = {process.number: process for process in record.processes}
    for setup in record.setups:
        outcome = classify(setup, processes[setup.process])
        verdict.outcomes[outcome] += 1
        if outcome is Outcome.LOST:
            verdict.violations.append(_describe_loss(setup, processes[setup.process]))
        if len(setup.answers) > 1:
            verdict.violations.append(f"{setup.id} has {len(setup.answers)} answers")
    for process in record.processes:
        verdict.margins.append(process.stopped_at + kill_after - process.ended_at)
        verdict.violations += _process_violations(process)
    if record.sighup_at and not _reload_was_timely(record):
        verdict.violations.append("a hangup with a new file did not act in time")
    return verdict


def classify(setup: SetupRecord, process: ProcessRecord) -> Outcome:
    """What became of a set-up, by what its caller saw."""
    due = setup.sent_at + setup.time_left
    if setup.answers:
        answered_at = setup.answers[0][0]
        if answered_at <= due + TIME_LIMIT_SLACK:
            return Outcome.ANSWERED
        return Outcome.LATE if answered_at <= due + TIME_LIMIT_SLACK + LATE_LIMIT else Outcome.LOST
    if setup.cancelled_at:
        return Outcome.CANCELLED
    ended_at = setup.connection_ended_at
    if process.killed_at and (not ended_at or ended_at >= process.killed_at):
        must_be_answered = setup.sent_at - process.stopped_at > ANSWER_REQUIRED_AFTER
        return (
            Outcome.LOST
            if must_be_answered or due + TIME_LIMIT_SLACK < process.killed_at
            else Outcome.OPEN_AT_KILL
        )
    if ended_at and ended_at - setup.sent_at <= CROSSING_LIMIT:
        return Outcome.CROSSED
    return Outcome.LOST


def _describe_loss(setup: SetupRecord, process: ProcessRecord) -> str:
    def seconds(at: int) -> str:
        return f"{(at - process.stopped_at) / SECOND:.3f}" if at else "-"

    return (
        f"{setup.id} is lost: sent {seconds(setup.sent_at)} s after the signal, "
        f"connection ended {seconds(setup.connection_ended_at)}, "
        f"answered {seconds(setup.answers[0][0] if setup.answers else 0)}, "
        f"process ended {seconds(process.ended_at)}"
    )


def _process_violations(process: ProcessRecord) -> list[str]:
    found = list(process.log_problems)
    if not process.killed_at and process.exit_code != 0:
        found.append(f"process {process.number} ended with {process.exit_code}")
    if process.memory_kib > MEMORY_LIMIT_KIB:
        found.append(f"process {process.number} holds {process.memory_kib} KiB")
    return found


def _reload_was_timely(record: RunRecord) -> bool:
    limit = round(RELOAD_LIMIT_S * SECOND) + TIME_LIMIT_SLACK
    return bool(record.sighup_applied_at) and record.sighup_applied_at - record.sighup_at <= limit
