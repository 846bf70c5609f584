"""The worst case of an attempt policy: the extreme timelines that it allows, and its problems.

The timelines follow the routing decisions. An attempt lasts until it is answered or times out. A retry waits
for a backoff with full jitter, but at least for the release delay, or for the retry-after of a full server. A
retry that could not start before the no-answer timeout is not made, and the dialog is answered at once. The
final answer is therefore never later than the no-answer timeout, whatever the jitter; a timeline shows how
many attempts fit, and which settings can never take effect.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from valverouter.interface import AttemptPolicy

# Bounds the shift in the exponential backoff; by then every backoff has reached its cap.
MAX_DOUBLINGS = 16


class StepKind(Enum):
    """What a dialog does during a step."""

    ATTEMPT = auto()
    BACKOFF = auto()
    ANSWER = auto()


@dataclass(frozen=True, slots=True)
class TimelineStep:
    """One step of a timeline; `start` counts from the dialog's arrival, both times are in nanoseconds."""

    start: int
    duration: int
    kind: StepKind
    description: str


@dataclass(frozen=True, slots=True)
class AttemptTimeline:
    """A dialog from its arrival to its final answer, and its number of attempts."""

    steps: tuple[TimelineStep, ...]
    answered_at: int
    attempts: int


class PolicyProblem(NamedTuple):
    """A setting that breaks a constraint or never takes effect; the reason says what is accepted."""

    key: str
    reason: str


class _AttemptEnd(NamedTuple):
    at: int
    description: str


class _Backoff(NamedTuple):
    duration: int
    description: str


_Steps = tuple[TimelineStep, ...]
# The steps before an attempt, by the time of its start.
_Starts = dict[int, _Steps]


def backoff_delay(policy: AttemptPolicy, retry: int, jitter: float, minimum: int) -> int:
    """The delay before retry number `retry` (from 1), as in the routing policy; `jitter` from 0 to 1."""
    doublings = min(retry - 1, MAX_DOUBLINGS)
    return max(minimum, int(jitter * min(policy.backoff_cap, policy.backoff_base << doublings)))


def timelines(policy: AttemptPolicy) -> Iterator[AttemptTimeline]:
    """Timelines at the extremes of every duration, among them the longest and the one with most attempts.

    An attempt fails at once, at its timeout, or at the latest time that permits a retry; a backoff is the
    shortest, the longest, or the longest that still fits. Of the timelines that start an attempt at the same
    time only one is continued, since their continuations are the same.
    """
    starts: _Starts = {0: ()}
    max_total = max(policy.max_attempts, policy.max_total_attempts)
    for attempt in range(1, max_total + 1):
        next_starts: _Starts = {}
        for start, steps in starts.items():
            for end in _attempt_ends(policy, start, attempt):
                if attempt < max_total:
                    _add_start_after_no_agent(policy, attempt, start, steps, end, next_starts)
                description = f"attempt {attempt}: {end.description}"
                step = TimelineStep(start, end.at - start, StepKind.ATTEMPT, description)
                yield from _after_failure(policy, attempt, (*steps, step), end.at, next_starts)
        starts = next_starts


def _add_start_after_no_agent(
    policy: AttemptPolicy, attempt: int, start: int, steps: _Steps, end: _AttemptEnd, next_starts: _Starts
) -> None:
    """Adds the next attempt after a server without a free agent: at once, since this is not a failure."""
    left_at = min(end.at, policy.no_answer_timeout - 1)
    description = f"attempt {attempt}: server without a free agent"
    step = TimelineStep(start, left_at - start, StepKind.ATTEMPT, description)
    next_starts.setdefault(left_at, (*steps, step))


def _after_failure(
    policy: AttemptPolicy, attempt: int, steps: _Steps, failed_at: int, next_starts: _Starts
) -> Iterator[AttemptTimeline]:
    """The timelines that end with this attempt; those with a retry are added to `next_starts`."""
    if failed_at >= policy.no_answer_timeout or attempt >= policy.max_attempts:
        yield _answered(steps, failed_at, attempt, "answered")
        return
    for backoff in _backoffs(policy, attempt, policy.no_answer_timeout - failed_at):
        retry_at = failed_at + backoff.duration
        if retry_at < policy.no_answer_timeout:
            description = f"retry {attempt}: {backoff.description}"
            step = TimelineStep(failed_at, backoff.duration, StepKind.BACKOFF, description)
            next_starts.setdefault(retry_at, (*steps, step))
        else:
            reason = (
                f"{backoff.description}: a retry after {backoff.duration} ns exceeds the no-answer timeout"
            )
            yield _answered(steps, failed_at, attempt, f"answered: {reason}")


def _answered(steps: _Steps, at: int, attempts: int, description: str) -> AttemptTimeline:
    return AttemptTimeline((*steps, TimelineStep(at, 0, StepKind.ANSWER, description)), at, attempts)


def _attempt_ends(policy: AttemptPolicy, start: int, attempt: int) -> Iterator[_AttemptEnd]:
    """The extreme times at which an attempt can end."""
    latest = policy.no_answer_timeout
    if policy.attempt_timeout:
        latest = min(latest, start + policy.attempt_timeout)
    yield _AttemptEnd(latest, "timed out")
    if latest > start:
        yield _AttemptEnd(start, "failed at once")
    for minimum in {policy.release_delay, 0, policy.max_server_retry_after}:
        last_retry = policy.no_answer_timeout - 1 - minimum
        if start < last_retry < latest and attempt < policy.max_attempts:
            yield _AttemptEnd(last_retry, "failed at the latest time that permits a retry")


def _backoffs(policy: AttemptPolicy, retry: int, remaining: int) -> Iterator[_Backoff]:
    """The extreme delays before a retry, with `remaining` nanoseconds left until the no-answer timeout."""
    minimums = {policy.release_delay: "release delay", 0: "server full, no retry-after"}
    minimums.setdefault(policy.max_server_retry_after, "longest retry-after")
    for minimum, description in minimums.items():
        shortest = backoff_delay(policy, retry, 0.0, minimum)
        longest = backoff_delay(policy, retry, 1.0, minimum)
        yield _Backoff(shortest, f"{description}, least jitter")
        yield _Backoff(longest, f"{description}, most jitter")
        if shortest < remaining - 1 < longest:
            yield _Backoff(remaining - 1, f"{description}, longest jitter that fits")
    if 0 < remaining - 1 < policy.max_server_retry_after:
        # The retry-after of a server may be any duration up to the longest, so also one that just fits.
        yield _Backoff(remaining - 1, "longest retry-after that fits")


def longest_timeline(policy: AttemptPolicy) -> AttemptTimeline:
    """The timeline with the latest answer; among equals the one with the most steps."""
    return max(timelines(policy), key=lambda timeline: (timeline.answered_at, len(timeline.steps)))


def policy_problems(policy: AttemptPolicy, min_release_delay: int, max_attempts: int) -> list[PolicyProblem]:
    """The settings of the policy that break a constraint or can never take effect, with the reasons."""
    problems: list[PolicyProblem] = []

    def problem(key: str, reason: str) -> None:
        problems.append(PolicyProblem(key, reason))

    no_answer = f"{policy.no_answer_timeout} ns"
    if not 1 <= policy.max_attempts <= max_attempts:
        problem("legs", f"{policy.max_attempts} attempts; must be from 1 to {max_attempts}")
    total = policy.max_total_attempts
    if total and not policy.max_attempts <= total <= max_attempts:
        problem("legs_in_all", f"{total}; must be from legs, {policy.max_attempts}, to {max_attempts}")
    if policy.release_delay < min_release_delay:
        accepted = f"must be {min_release_delay} ns or more"
        problem("release_wait", f"a retry {policy.release_delay} ns after a timeout; {accepted}")
    if policy.latency_objective > policy.no_answer_timeout:
        problem("objective", f"exceeds the no-answer timeout of {no_answer}")
    if policy.backoff_base > policy.backoff_cap:
        problem("retry_base", f"above retry_cap, {policy.backoff_cap} ns")
    if policy.attempt_timeout >= policy.no_answer_timeout:
        problem("leg_time_out", f"never takes effect; must be below no_answer, {no_answer}, or omitted")
    elif (timeline := _timeline_without_retry(policy)) is not None:
        problem("leg_time_out", f"leaves no time for a retry: {format_timeline(timeline)}")
    return problems


def _timeline_without_retry(policy: AttemptPolicy) -> AttemptTimeline | None:
    """The timeline of an attempt timeout that leaves no time for a retry; None if a retry can follow."""
    timeout = policy.attempt_timeout
    if not timeout or policy.max_attempts <= 1 or timeout + policy.release_delay < policy.no_answer_timeout:
        return None
    steps = (
        TimelineStep(0, timeout, StepKind.ATTEMPT, "attempt 1: timed out"),
        TimelineStep(timeout, policy.release_delay, StepKind.BACKOFF, "retry 1: release delay, least jitter"),
    )
    reason = f"the retry exceeds the no-answer timeout of {policy.no_answer_timeout} ns"
    return _answered(steps, timeout, 1, f"answered: {reason}")


def format_timeline(timeline: AttemptTimeline) -> str:
    """Formats a timeline as one line, step by step."""
    return "; ".join(f"at {step.start} ns {step.description}, {step.duration} ns" for step in timeline.steps)
