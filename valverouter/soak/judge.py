"""Judges a run of the platform's edge proxy by the platform's time limits and slack."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from valverouter.soak.plan import KILL_DELAY_S, RELOAD_LIMIT_S
from valverouter.soak.record import ProcessRecord, RunRecord, SetupRecord

SECOND = 10**9
# Added to every time limit, ns.
TIME_LIMIT_SLACK = 50_000_000
# A set-up sent at most this long before its connection ended crossed the close; its caller sends it again
# (ns).
CROSSING_LIMIT = 50_000_000
# An answer up to this long after its deadline and slack is late, which only earns nothing; a later one counts
# as lost, ns.
LATE_LIMIT = SECOND // 2
# A set-up that arrives later than this after the stop signal must be answered before SIGKILL, ns.
ANSWER_REQUIRED_AFTER = round(KILL_DELAY_S * SECOND)
# The memory limit of an edge proxy.
MEMORY_LIMIT_KIB = 64 * 1024


class Outcome(Enum):
    """The outcome of a set-up. Only LOST violates a rule.

    CROSSED: sent while the edge proxy closed the connection. OPEN_AT_KILL: within its deadline at SIGKILL.
    """

    ANSWERED = "answered"
    LATE = "late"
    CROSSED = "crossed"
    CANCELLED = "given up"
    OPEN_AT_KILL = "open at kill"
    LOST = "lost"


@dataclass(slots=True)
class RunVerdict:
    """The verdict on a run: set-ups by outcome, rule violations, and the time left before SIGKILL.

    `margins`: for each process, the time from its end to the moment when SIGKILL was due, ns.
    """

    outcomes: Counter[Outcome] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    margins: list[int] = field(default_factory=list)


def judge_run(record: RunRecord, kill_after: int) -> RunVerdict:
    """Judges a run; `kill_after`: time from the first stop signal to SIGKILL, ns."""
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
        verdict.violations.append("a new configuration did not take effect in time after SIGHUP")
    return verdict


def classify(setup: SetupRecord, process: ProcessRecord) -> Outcome:
    """Returns the outcome of a set-up, from what its caller observed."""
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
        f"{setup.id} was lost: sent {seconds(setup.sent_at)} s after the stop signal, "
        f"connection ended {seconds(setup.connection_ended_at)}, "
        f"answered {seconds(setup.answers[0][0] if setup.answers else 0)}, "
        f"process ended {seconds(process.ended_at)}"
    )


def _process_violations(process: ProcessRecord) -> list[str]:
    found = list(process.log_problems)
    if not process.killed_at and process.exit_code != 0:
        found.append(f"process {process.number} exited with status {process.exit_code}")
    if process.memory_kib > MEMORY_LIMIT_KIB:
        found.append(f"process {process.number} uses {process.memory_kib} KiB of memory")
    return found


def _reload_was_timely(record: RunRecord) -> bool:
    limit = round(RELOAD_LIMIT_S * SECOND) + TIME_LIMIT_SLACK
    return bool(record.sighup_applied_at) and record.sighup_applied_at - record.sighup_at <= limit
