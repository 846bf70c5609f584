"""No dialog exceeds the worst case of its attempt policy, and problems of a policy are found."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import Rig
from valverouter import interface
from valverouter.attempts.worst_case import backoff_delay, longest_timeline, policy_problems, timelines
from valverouter.interface import AttemptPolicy, Outcome
from valverouter.policy import tuning
from valverouter.policy.retry import retry_delay

MS, SECOND = 10**6, 10**9


TERMS = AttemptPolicy(3, 1500 * MS, 9 * SECOND, 300 * MS, 200 * MS, 2 * SECOND)


def test_the_longest_timeline_ends_at_the_no_answer_timeout_in_contiguous_steps() -> None:
    course = longest_timeline(TERMS)
    assert course.answered_at == 9 * SECOND
    assert course.steps[0].start == 0
    for step, after in zip(course.steps, course.steps[1:], strict=False):
        assert after.start == step.start + step.duration


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
def test_no_random_timeline_exceeds_the_worst_case(terms: AttemptPolicy, chance: random.Random) -> None:
    at, leg, most = 0, 1, longest_timeline(terms)
    while True:
        until = (
            min(terms.no_answer_timeout, at + terms.attempt_timeout)
            if terms.attempt_timeout
            else terms.no_answer_timeout
        )
        at = chance.randint(at, until)
        if at >= terms.no_answer_timeout or leg >= terms.max_attempts:
            break
        least = chance.choice([terms.release_delay, chance.randint(0, terms.max_server_retry_after)])
        wait = backoff_delay(terms, leg, chance.random(), least)
        if at + wait >= terms.no_answer_timeout:
            break
        at, leg = at + wait, leg + 1
    assert at <= most.answered_at <= terms.no_answer_timeout
    assert leg <= max(course.attempts for course in timelines(terms))


@pytest.mark.parametrize("seed", range(20))
def test_backoff_delays_are_those_of_the_routing_policy(seed: int) -> None:
    chance = random.Random(seed)
    for retry in range(1, 6):
        draw, least = chance.random(), chance.randint(0, SECOND)
        assert backoff_delay(TERMS, retry, draw, least) == retry_delay(retry, draw, least)


@pytest.mark.parametrize("seed", range(30))
def test_random_dialogs_of_the_driver_stay_within_the_worst_case(seed: int) -> None:
    chance, rig = random.Random(seed), Rig(servers=4)
    no_answer = chance.choice([2, 3, 9]) * SECOND
    terms = replace(
        TERMS,
        no_answer_timeout=no_answer,
        max_attempts=tuning.MAX_ATTEMPTS,
        max_server_retry_after=2 * SECOND,
    )
    began, dialog, leg = rig.now, rig.dialog(0, no_answer=no_answer), 0
    fates = [
        interface.Outcome.RESET,
        interface.Outcome.FULL,
        interface.Outcome.TIMED_OUT,
        interface.Outcome.FAULT,
    ]
    while True:
        orders = [c for c in rig.driver.commands if isinstance(c, interface.DialogAction)]
        if any(isinstance(order.action, interface.Reject | interface.Fail) for order in orders):
            break
        if orders:
            rig.take()
            outcome = chance.choice(fates)
            rest = began + no_answer - rig.now
            rig.ahead(rest if outcome is Outcome.TIMED_OUT else chance.randint(0, rest))
            server = getattr(orders[0].action, "server", "")
            rig.result(dialog, server, outcome, leg, retry_after=chance.randint(0, 2 * SECOND))
            leg += 1
        else:
            rig.wake()
    assert rig.now - began <= longest_timeline(terms).answered_at
    assert leg <= max(course.attempts for course in timelines(terms))


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
    assert [found for found, _ in policy_problems(replace(TERMS, **change), 300 * MS, 6)] == [key]
    assert policy_problems(TERMS, 300 * MS, 6) == []
