"""The longest course that attempt terms allow, reckoned step by step, and what breaks a rule in them.

The reckoning follows the decisions: a leg lasts until it is answered or its time is up; after a failure the
retry waits a full-jitter draw, at least the release time or what a full server asked; a retry that would not
start before the no-answer time is not made, and the dialog is answered at once. So whatever the draws, the
answer comes by the no-answer time; what a course shows is how many legs fit, and which terms can never act.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from valverouter.interface import AttemptPolicy


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a course: from when, for how long, and what it is."""

    at: int
    span: int
    what: str


@dataclass(frozen=True, slots=True)
class Course:
    """A course from the dialog's arrival to its answer."""

    steps: tuple[Step, ...]
    answered_at: int
    legs: int


def retry_span(terms: AttemptPolicy, retry: int, draw: float, least: int) -> int:
    """The wait before retry n, as the decisions reckon it: a full-jitter draw, floored."""
    return max(least, int(draw * min(terms.backoff_cap, terms.backoff_base << min(retry - 1, 16))))


def courses(terms: AttemptPolicy) -> Iterator[Course]:
    """Courses at the ends of every span, among them the longest and the one with most legs.

    A leg fails at once, as its time is up, or as late as a retry still fits; a wait is the shortest, the
    longest, or the longest that still fits. Of courses that begin a leg at the same moment one goes on: what
    follows is alike.
    """
    begins: dict[int, tuple[Step, ...]] = {0: ()}
    in_all = max(terms.max_attempts, terms.max_total_attempts)
    for leg in range(1, in_all + 1):
        after: dict[int, tuple[Step, ...]] = {}
        for at, before in begins.items():
            for over, fate in _ends(terms, at, leg):
                steps = (*before, Step(at, over - at, f"leg {leg}: {fate}"))
                for again in {over, min(over, terms.no_answer_timeout - 1)} if leg < in_all else ():
                    # A course of its own: it goes on at once, and no attempt has failed.
                    if again < terms.no_answer_timeout:
                        no_agent = Step(at, again - at, f"leg {leg}: no free agent there")
                        after.setdefault(again, (*before, no_agent))
                if over >= terms.no_answer_timeout or leg >= terms.max_attempts:
                    yield Course((*steps, Step(over, 0, "answered")), over, leg)
                    continue
                for wait, why in _waits(terms, leg, terms.no_answer_timeout - over):
                    if over + wait < terms.no_answer_timeout:
                        after.setdefault(over + wait, (*steps, Step(over, wait, f"retry {leg}: {why}")))
                    else:
                        said = Step(over, 0, f"answered: {why} of {wait} ns would pass the no-answer time")
                        yield Course((*steps, said), over, leg)
        begins = after


def _ends(terms: AttemptPolicy, at: int, leg: int) -> Iterator[tuple[int, str]]:
    until = (
        min(terms.no_answer_timeout, at + terms.attempt_timeout)
        if terms.attempt_timeout
        else terms.no_answer_timeout
    )
    yield until, "its time is up"
    if until > at:
        yield at, "it fails at once"
    for least in {terms.release_delay, 0, terms.max_server_retry_after}:
        if at < terms.no_answer_timeout - 1 - least < until and leg < terms.max_attempts:
            yield terms.no_answer_timeout - 1 - least, "it fails as late as a retry still fits"


def _waits(terms: AttemptPolicy, retry: int, rest: int) -> Iterator[tuple[int, str]]:
    leasts = {terms.release_delay: "release time", 0: "full, no wait asked"}
    leasts.setdefault(terms.max_server_retry_after, "the longest asked wait")
    for least, why in leasts.items():
        shortest, most = (retry_span(terms, retry, draw, least) for draw in (0.0, 1.0))
        yield shortest, f"{why}, the least draw"
        yield most, f"{why}, the largest draw"
        if shortest < rest - 1 < most:
            yield rest - 1, f"{why}, a draw that just fits"
    if 0 < rest - 1 < terms.max_server_retry_after:
        # A server may ask for any wait up to the longest: one that just fits takes the dialog on.
        yield rest - 1, "an asked wait that just fits"


def longest(terms: AttemptPolicy) -> Course:
    """The course whose answer comes last; of those the one with most steps."""
    return max(courses(terms), key=lambda course: (course.answered_at, len(course.steps)))


def broken(terms: AttemptPolicy, release_least: int, legs_most: int) -> list[tuple[str, str]]:
    """What in the terms breaks a rule or can never act: the key, and why with what would be accepted."""
    found: list[tuple[str, str]] = []
    if not 1 <= terms.max_attempts <= legs_most:
        found.append(("legs", f"{terms.max_attempts} legs, from 1 to {legs_most} are allowed"))
    if terms.max_total_attempts and not terms.max_attempts <= terms.max_total_attempts <= legs_most:
        found.append(
            (
                "legs_in_all",
                f"{terms.max_total_attempts}, from legs, {terms.max_attempts}, to {legs_most} are allowed",
            )
        )
    if terms.release_delay < release_least:
        least = f"{release_least} ns or more"
        found.append(("release_wait", f"a resend {terms.release_delay} ns after a time-out; {least}"))
    if terms.latency_objective > terms.no_answer_timeout:
        found.append(("objective", f"past the no-answer time of {terms.no_answer_timeout} ns"))
    if terms.backoff_base > terms.backoff_cap:
        found.append(("retry_base", f"above retry_cap, {terms.backoff_cap} ns"))
    if terms.attempt_timeout >= terms.no_answer_timeout:
        found.append(
            ("leg_time_out", f"never acts; below no_answer, {terms.no_answer_timeout} ns, or left out")
        )
    elif terms.attempt_timeout and terms.max_attempts > 1 and (lost := _never_again(terms)) is not None:
        found.append(("leg_time_out", f"leaves no time for another leg: {told(lost)}"))
    return found


def _never_again(terms: AttemptPolicy) -> Course | None:
    """The course of a time-out after which no other leg can follow, whatever the draw."""
    over, wait = terms.attempt_timeout, terms.release_delay
    if over + wait < terms.no_answer_timeout:
        return None
    steps = (
        Step(0, over, "leg 1: its time is up"),
        Step(over, wait, "retry 1: release time, the least draw"),
        Step(over, 0, f"answered: that would pass the no-answer time of {terms.no_answer_timeout} ns"),
    )
    return Course(steps, over, 1)


def told(course: Course) -> str:
    """A course in one line, step by step."""
    return "; ".join(f"at {step.at} ns {step.what}, {step.span} ns" for step in course.steps)
