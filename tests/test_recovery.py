"""Tests of recovery: the state machine of records, recovery plans, query pacing, decay of learned state."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.recovery_records import MS, SECOND, record, timestamp
from valverouter.recovery import lifecycle
from valverouter.recovery.learned_state import LearnedServerState, decay
from valverouter.recovery.lifecycle import (
    DialogRecord,
    InvalidTransitionError,
    Phase,
    Timestamp,
    elapsed_bounds,
)
from valverouter.recovery.pacing import MIN_WINDOW, QueryPacer
from valverouter.recovery.plan import PeerStatus as Status
from valverouter.recovery.plan import RecoveryAction as Action
from valverouter.recovery.plan import RecoveryPlan, plan_on_restart, plan_on_status

RELEASE_DELAY = 300 * MS


# The state machine


def test_transitions_and_the_records_they_produce() -> None:
    entry = lifecycle.start_attempt(record(), 0, "s0", 5, timestamp(1))
    assert (entry.phase, entry.attempt, entry.server, entry.server_incarnation) == (
        Phase.IN_FLIGHT,
        0,
        "s0",
        5,
    )
    cancelled = lifecycle.cancel_attempt(entry, timestamp(2))
    assert lifecycle.cancel_attempt(cancelled, timestamp(3)).changed_at == timestamp(3), (
        "the release delay of an attempt cancelled again restarts"
    )
    second = lifecycle.start_attempt(lifecycle.end_attempt(cancelled, timestamp(4)), 1, "s1", 6, timestamp(5))
    established = lifecycle.establish(second, timestamp(6))
    assert (established.phase, established.final_answer, established.attempt) == (
        Phase.ESTABLISHED,
        "stands",
        1,
    )
    rejected = lifecycle.conclude(cancelled, "declined", 125 * MS, timestamp(3))
    assert (rejected.phase, rejected.final_answer, rejected.retry_after) == (
        Phase.CONCLUDED,
        "declined",
        125 * MS,
    )
    assert lifecycle.take_over(entry, 2).epoch == 2


TRANSITIONS: dict[str, tuple[Callable[[DialogRecord], DialogRecord], set[Phase]]] = {
    "start_attempt": (
        lambda entry: lifecycle.start_attempt(entry, 9, "s0", 1, timestamp(0)),
        {Phase.WAITING},
    ),
    "cancel_attempt": (
        lambda entry: lifecycle.cancel_attempt(entry, timestamp(0)),
        {Phase.IN_FLIGHT, Phase.CANCELLED},
    ),
    "end_attempt": (
        lambda entry: lifecycle.end_attempt(entry, timestamp(0)),
        {Phase.IN_FLIGHT, Phase.CANCELLED},
    ),
    "establish": (lambda entry: lifecycle.establish(entry, timestamp(0)), {Phase.IN_FLIGHT}),
    "conclude": (
        lambda entry: lifecycle.conclude(entry, "aborted", 0, timestamp(0)),
        {Phase.WAITING, Phase.CANCELLED},
    ),
}


@pytest.mark.parametrize("name", TRANSITIONS)
@pytest.mark.parametrize("phase", Phase)
def test_only_the_transitions_of_the_table_are_allowed(name: str, phase: Phase) -> None:
    transition, allowed = TRANSITIONS[name]
    if phase in allowed:
        transition(record(phase=phase))
    else:
        with pytest.raises(InvalidTransitionError):
            transition(record(phase=phase))


def test_a_used_attempt_number_or_epoch_is_rejected() -> None:
    entry = lifecycle.end_attempt(lifecycle.start_attempt(record(), 0, "s0", 1, timestamp(0)), timestamp(1))
    with pytest.raises(InvalidTransitionError, match="attempt number 0 is not above the last one, 0"):
        lifecycle.start_attempt(entry, 0, "s1", 1, timestamp(2))
    with pytest.raises(InvalidTransitionError, match="epoch 1 is not above the record's epoch 1"):
        lifecycle.take_over(entry, 1)
    with pytest.raises(InvalidTransitionError, match="can't be concluded with the answer 'stands'"):
        lifecycle.conclude(entry, "stands", 0, timestamp(2))


# Elapsed time across a restart


@pytest.mark.parametrize(
    ("earlier", "now", "least", "most"),
    [
        (timestamp(100), timestamp(350), 250 * MS, 250 * MS),
        (
            timestamp(100),
            timestamp(350, wall_ms=0),
            250 * MS,
            250 * MS,
        ),  # one boot: setting the wall clock has no effect
        (timestamp(100), timestamp(5, "b2", 10**6 + 400), 0, 300 * MS),
        (
            timestamp(100),
            timestamp(5, "b2", 10**6 - 60_000),
            0,
            1 << 62,
        ),  # wall clock set back by a minute across the reboot
        (
            timestamp(100),
            timestamp(50, wall_ms=10**6 + 400),
            0,
            300 * MS,
        ),  # a monotonic clock that went back means a reboot
    ],
)
def test_bounds_of_the_time_between_two_timestamps(
    earlier: Timestamp, now: Timestamp, least: int, most: int
) -> None:
    assert elapsed_bounds(earlier, now) == (least, most)


def test_a_dialog_possibly_past_its_deadline_is_never_answered() -> None:
    clock_set_back = timestamp(5, "b2", 0)
    for phase in Phase:
        action = plan_on_restart(
            record(phase=phase, final_answer="declined"), clock_set_back, RELEASE_DELAY
        ).action
        assert action in (Action.FORGET, Action.CANCEL_ATTEMPT) or phase is Phase.ESTABLISHED


# Plans


@pytest.mark.parametrize(
    ("phase", "ms", "action"),
    [
        (Phase.WAITING, 100, Action.CONTINUE_ROUTING),
        (Phase.WAITING, 9_000, Action.FORGET),
        (Phase.IN_FLIGHT, 8_999, Action.QUERY_SERVER),
        (Phase.IN_FLIGHT, 9_000, Action.CANCEL_ATTEMPT),
        (Phase.CANCELLED, 100, Action.AWAIT_RELEASE),
        (Phase.CANCELLED, 8_000, Action.AWAIT_RELEASE),  # however old: the cancel may never have been sent
        (Phase.CANCELLED, 9_000, Action.FORGET),
        (Phase.ESTABLISHED, 100, Action.QUERY_SERVER),
        (Phase.ESTABLISHED, 90_000, Action.QUERY_SERVER),
        (Phase.CONCLUDED, 8_999, Action.RESEND_ANSWER),
        (Phase.CONCLUDED, 9_000, Action.FORGET),
    ],
)
def test_plan_for_each_record_on_restart(phase: Phase, ms: int, action: Action) -> None:
    plan = plan_on_restart(record(phase=phase), timestamp(ms), RELEASE_DELAY)
    assert plan.action is action
    assert plan.time_left <= max(0, 9 * SECOND - ms * MS)
    if action is Action.AWAIT_RELEASE:
        assert plan.delay == RELEASE_DELAY


@pytest.mark.parametrize(
    ("phase", "status", "same_incarnation", "time_left", "plan"),
    [
        (Phase.IN_FLIGHT, Status.ESTABLISHED, True, SECOND, RecoveryPlan(Action.RESEND_ANSWER, SECOND)),
        (Phase.IN_FLIGHT, Status.IN_PROGRESS, True, SECOND, RecoveryPlan(Action.QUERY_SERVER, SECOND)),
        (Phase.IN_FLIGHT, Status.CLOSED, True, SECOND, RecoveryPlan(Action.CONTINUE_ROUTING, SECOND)),
        (
            Phase.IN_FLIGHT,
            Status.UNKNOWN,
            True,
            SECOND,
            RecoveryPlan(Action.CANCEL_ATTEMPT, SECOND, RELEASE_DELAY),
        ),
        (
            Phase.IN_FLIGHT,
            Status.UNKNOWN,
            False,
            SECOND,
            RecoveryPlan(Action.AWAIT_RELEASE, SECOND, RELEASE_DELAY),
        ),
        (
            Phase.IN_FLIGHT,
            Status.NO_RESPONSE,
            True,
            SECOND,
            RecoveryPlan(Action.CANCEL_ATTEMPT, SECOND, RELEASE_DELAY),
        ),
        (Phase.IN_FLIGHT, Status.ESTABLISHED, True, 0, RecoveryPlan(Action.CANCEL_ATTEMPT)),
        (Phase.IN_FLIGHT, Status.CLOSED, True, 0, RecoveryPlan(Action.FORGET)),
        (Phase.ESTABLISHED, Status.ESTABLISHED, True, 0, RecoveryPlan(Action.RESEND_ANSWER, 0)),
        (Phase.ESTABLISHED, Status.CLOSED, True, SECOND, RecoveryPlan(Action.RESEND_ANSWER_AND_END, SECOND)),
        (
            Phase.ESTABLISHED,
            Status.UNKNOWN,
            False,
            SECOND,
            RecoveryPlan(Action.RESEND_ANSWER_AND_END, SECOND),
        ),
        (
            Phase.ESTABLISHED,
            Status.NO_RESPONSE,
            True,
            SECOND,
            RecoveryPlan(Action.RESEND_ANSWER_AND_END, SECOND),
        ),
    ],
)
def test_plan_for_each_status_of_a_server(
    phase: Phase, status: Status, same_incarnation: bool, time_left: int, plan: RecoveryPlan
) -> None:
    assert plan_on_status(record(phase=phase), status, same_incarnation, time_left, RELEASE_DELAY) == plan


# Query pacing


def test_queries_are_ordered_by_time_left_then_by_priority() -> None:
    pacer = QueryPacer()
    for dialog_id, seconds, weight in (("late", 5, 9), ("soon", 1, 1), ("soon-urgent", 1, 6), ("mid", 3, 1)):
        pacer.enqueue(dialog_id, "s0", seconds * SECOND, weight)
    assert [dialog_id for dialog_id, _ in pacer.take_due(0)] == ["soon-urgent", "soon", "mid", "late"]


def test_only_a_server_that_does_not_reply_is_sent_fewer_queries() -> None:
    pacer = QueryPacer()
    for number in range(3_000):
        pacer.enqueue(f"d{number}", f"s{number % 2}", 5 * SECOND, 1)
    query_counts, now = {"s0": 0, "s1": 0}, 0
    while now < 20 * SECOND:
        for _, server in pacer.take_due(now):
            query_counts[server] += 1
            if server == "s0":
                pacer.on_timeout(server, now)
            else:
                pacer.on_reply(server)
        now += 10 * MS
    assert query_counts["s1"] == 1_500
    assert len(pacer) == 1_500 - query_counts["s0"]
    assert query_counts["s0"] <= 60, "eight at first, then one after each pause"
    assert pacer._servers["s0"].window == MIN_WINDOW


def test_a_discarded_query_is_not_sent() -> None:
    pacer = QueryPacer()
    pacer.enqueue("a", "s0", SECOND, 1)
    pacer.enqueue("b", "s0", SECOND, 1)
    pacer.discard("a")
    pacer.discard("never there")
    assert len(pacer) == 1
    assert pacer.take_due(0) == [("b", "s0")]
    assert len(pacer) == 0


# Learned state


def test_a_token_deficit_throttles_only_while_it_is_recent() -> None:
    depleted = LearnedServerState("s0", 5, 4_000, 10_000, 800 * MS, 3 * SECOND)
    fresh = decay(depleted, 5, 100 * MS, 100 * MS)
    assert fresh is not None
    assert fresh.tokens * 2 <= fresh.max_tokens
    assert fresh.ejection_left == 2_900 * MS
    assert 700 * MS < fresh.queue_delay < 800 * MS
    after_an_hour = decay(depleted, 5, 3_600 * SECOND, 3_600 * SECOND)
    assert after_an_hour is None
    unknown_elapsed = decay(depleted, 5, 0, 1 << 62)
    assert unknown_elapsed is not None
    assert unknown_elapsed.tokens == 10_000
    assert unknown_elapsed.queue_delay == 800 * MS
    assert decay(depleted, 6, 0, 0) is None, "the state does not apply to another incarnation of the server"
