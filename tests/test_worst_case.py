"""No dialog exceeds the worst case of its attempt policy, and problems of a policy are reported."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import DriverHarness
from valverouter import interface
from valverouter.attempts.worst_case import backoff_delay, longest_timeline, policy_problems, timelines
from valverouter.interface import AttemptPolicy, Outcome
from valverouter.policy import tuning
from valverouter.policy.retry import retry_delay

MS, SECOND = 10**6, 10**9


POLICY = AttemptPolicy(3, 1500 * MS, 9 * SECOND, 300 * MS, 200 * MS, 2 * SECOND)


def test_the_longest_timeline_ends_at_the_no_answer_timeout_in_contiguous_steps() -> None:
    timeline = longest_timeline(POLICY)
    assert timeline.answered_at == 9 * SECOND
    assert timeline.steps[0].start == 0
    for step, following in zip(timeline.steps, timeline.steps[1:], strict=False):
        assert following.start == step.start + step.duration


@given(
    st.builds(
        AttemptPolicy,
        max_attempts=st.integers(1, 6),
        latency_objective=st.just(SECOND),
        no_answer_timeout=st.integers(1, 12 * SECOND),
        release_delay=st.integers(0, SECOND),
        backoff_base=st.integers(1, SECOND),
        backoff_cap=st.integers(1, 4 * SECOND),
        attempt_timeout=st.just(0) | st.integers(1, 4 * SECOND),
        max_server_retry_after=st.just(0) | st.integers(1, 4 * SECOND),
    ),
    st.builds(random.Random, st.integers(0, 2**32)),
)
def test_no_random_timeline_exceeds_the_worst_case(policy: AttemptPolicy, rng: random.Random) -> None:
    at, attempt, longest = 0, 1, longest_timeline(policy)
    while True:
        latest_end = (
            min(policy.no_answer_timeout, at + policy.attempt_timeout)
            if policy.attempt_timeout
            else policy.no_answer_timeout
        )
        at = rng.randint(at, latest_end)
        if at >= policy.no_answer_timeout or attempt >= policy.max_attempts:
            break
        minimum = rng.choice([policy.release_delay, rng.randint(0, policy.max_server_retry_after)])
        delay = backoff_delay(policy, attempt, rng.random(), minimum)
        if at + delay >= policy.no_answer_timeout:
            break
        at, attempt = at + delay, attempt + 1
    assert at <= longest.answered_at <= policy.no_answer_timeout
    assert attempt <= max(timeline.attempts for timeline in timelines(policy))


@pytest.mark.parametrize("seed", range(20))
def test_backoff_delays_are_those_of_the_routing_policy(seed: int) -> None:
    rng = random.Random(seed)
    for retry in range(1, 6):
        draw, minimum = rng.random(), rng.randint(0, SECOND)
        assert backoff_delay(POLICY, retry, draw, minimum) == retry_delay(retry, draw, minimum)


@pytest.mark.parametrize("seed", range(30))
def test_random_dialogs_of_the_driver_stay_within_the_worst_case(seed: int) -> None:
    rng, harness = random.Random(seed), DriverHarness(servers=4)
    no_answer = rng.choice([2, 3, 9]) * SECOND
    policy = replace(
        POLICY,
        no_answer_timeout=no_answer,
        max_attempts=tuning.MAX_ATTEMPTS,
        max_server_retry_after=2 * SECOND,
    )
    started_at, dialog, attempt = harness.now, harness.dialog(0, no_answer=no_answer), 0
    outcomes = [
        interface.Outcome.RESET,
        interface.Outcome.FULL,
        interface.Outcome.TIMED_OUT,
        interface.Outcome.FAULT,
    ]
    while True:
        commands = [c for c in harness.driver.commands if isinstance(c, interface.DialogAction)]
        if any(isinstance(command.action, interface.Reject | interface.Fail) for command in commands):
            break
        if commands:
            harness.take_commands()
            outcome = rng.choice(outcomes)
            remaining = started_at + no_answer - harness.now
            harness.advance(remaining if outcome is Outcome.TIMED_OUT else rng.randint(0, remaining))
            server = getattr(commands[0].action, "server", "")
            harness.result(dialog, server, outcome, attempt, retry_after=rng.randint(0, 2 * SECOND))
            attempt += 1
        else:
            harness.fire_timer()
    assert harness.now - started_at <= longest_timeline(policy).answered_at
    assert attempt <= max(timeline.attempts for timeline in timelines(policy))


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"max_attempts": 7}, "legs"),
        ({"max_attempts": 0}, "legs"),
        ({"release_delay": 300 * MS - 1}, "release_wait"),
        ({"latency_objective": 9 * SECOND + 1}, "objective"),
        ({"backoff_base": 3 * SECOND}, "retry_base"),
        ({"attempt_timeout": 9 * SECOND}, "leg_time_out"),
    ],
)
def test_settings_that_break_a_constraint_or_never_take_effect_are_problems(
    change: dict[str, Any], key: str
) -> None:
    assert [found for found, _ in policy_problems(replace(POLICY, **change), 300 * MS, 6)] == [key]
    assert policy_problems(POLICY, 300 * MS, 6) == []
