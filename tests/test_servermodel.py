"""Tests of the server model; the tests pass in the time."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from valverouter.servermodel.events import ServerEventKind
from valverouter.servermodel.lines import CalledNumbers
from valverouter.servermodel.profile import ServerProfile
from valverouter.servermodel.server import SetupServer

MS, SECOND = 10**6, 10**9
DEFAULT_PROFILE = ServerProfile(
    lines=3, setup_work=10 * MS, answer_work=2 * MS, release_work=2 * MS, reject_work=MS
)


# Limits small enough to be reached within a few steps.
SMALL_PROFILE = ServerProfile(
    lines=4,
    setup_work=20 * MS,
    ringing_duration=30 * MS,
    retransmit_interval=50 * MS,
    max_queue_delay=200 * MS,
)
OPEN_EVENT_KINDS = (ServerEventKind.PROVISIONAL, ServerEventKind.ESTABLISHED)


def server(profile: ServerProfile = DEFAULT_PROFILE, **options: Any) -> SetupServer:
    return SetupServer(profile, random.Random(3).random, **options)


def key(number: int, peer: str = "e0") -> tuple[str, str, int]:
    return peer, f"d{number}", 0


def events(model: SetupServer, until: int) -> list[tuple[str, str, int]]:
    """Returns the dialog, kind and time (ms) of the events up to `until`."""
    return [(event.key[1], event.kind.name, event.at // MS) for event in model.advance(until)]


def test_set_ups_answers_and_releases_share_one_processor() -> None:
    model = server()
    model.setup(0, key(0), 7, SECOND)
    model.setup(0, key(1), 7, SECOND)
    assert model.queue_delay(0) == 20 * MS
    assert model.queued_setups == 1
    timeline = events(model, 5 * SECOND)
    # The second set-up is processed before the first answer, because set-ups are prioritized.
    assert timeline[:4] == [
        ("d0", "PROVISIONAL", 10),
        ("d1", "PROVISIONAL", 20),
        ("d0", "ESTABLISHED", 22),
        ("d1", "ESTABLISHED", 24),
    ]
    assert timeline[4:] == [("d0", "ENDED", 1024), ("d1", "ENDED", 1026)]
    assert model.free_lines == 3
    assert not model.legs
    assert model.next_event_at() is None


def test_a_set_up_is_rejected_at_a_long_queue_delay_and_the_rejection_costs_work() -> None:
    model = server(
        ServerProfile(setup_work=10 * MS, max_queue_delay=25 * MS, reject_work=MS, sends_retry_after=True)
    )
    for number in range(4):
        model.setup(0, key(number), 7, SECOND)
    (full,) = [event for event in model.advance(0) if event.kind is ServerEventKind.FULL]
    assert (full.key, full.retry_after) == (key(3), 30 * MS)
    assert model.queue_delay(0) == 31 * MS


@pytest.mark.parametrize(("slow", "share"), [(1.0, 1.0), (2.5, 0.4)])
def test_a_slowdown_scales_the_speed(slow: float, share: float) -> None:
    model = server()
    model.set_slowdown(slow)
    model.setup(0, key(0), 7, SECOND)
    assert model.processor_speed(0) == share
    assert model.next_event_at() == int(10 * MS / share)


def test_degradation_grows_linearly_until_it_ends() -> None:
    model = server()
    model.start_degrading(0, 3.0, 10 * SECOND)
    assert [round(1 / model.processor_speed(at * SECOND), 2) for at in (0, 5, 10, 20)] == [1.0, 2.0, 3.0, 3.0]
    model.start_degrading(0, 1.0, 1)
    assert model.processor_speed(5 * SECOND) == 1.0


def test_a_hung_server_sends_no_answer_and_resumes_its_current_job() -> None:
    model = server()
    model.setup(0, key(0), 7, SECOND)
    model.set_hung(4 * MS, True)
    model.setup(5 * MS, key(1), 7, SECOND)
    assert events(model, SECOND) == []
    assert model.next_event_at() is None
    model.set_hung(SECOND, False)
    assert events(model, SECOND + 16 * MS) == [("d0", "PROVISIONAL", 1006), ("d1", "PROVISIONAL", 1016)]


def test_lines_of_the_server_and_of_called_numbers_are_limited() -> None:
    numbers = CalledNumbers({9: 1})
    model = server(called_numbers=numbers)
    for number in range(5):
        model.setup(0, key(number), 9 if number < 2 else 7, 60 * SECOND)
    kinds = {dialog: kind for dialog, kind, _ in events(model, SECOND)}
    assert kinds == {
        "d0": "ESTABLISHED",
        "d1": "LINE_BUSY",
        "d2": "ESTABLISHED",
        "d3": "ESTABLISHED",
        "d4": "NO_AGENT",
    }
    model.crash(SECOND)
    assert numbers.acquire(9), "a crash also frees the lines of called numbers"


def test_dialogs_on_lost_lines_are_interrupted() -> None:
    model = server(ServerProfile(lines=10, setup_work=MS))
    for number in range(8):
        model.setup(0, key(number), 7, 60 * SECOND)
    model.advance(SECOND)
    model.limit_lines(SECOND, 0.5)
    assert Counter(event.kind for event in model.advance(SECOND)) == {ServerEventKind.INTERRUPTED: 3}
    assert (model.line_count, model.free_lines) == (5, 0)
    model.limit_lines(SECOND, 1.0)
    assert model.free_lines == 5


def test_retransmissions_cost_work_at_doubling_intervals_until_the_set_up_is_processed() -> None:
    model = server(
        ServerProfile(
            setup_work=SECOND,
            retransmit_work=100 * MS,
            retransmit_interval=500 * MS,
            max_queue_delay=9 * SECOND,
        )
    )
    model.setup(0, key(0), 7, SECOND)
    model.setup(0, key(1), 7, SECOND)
    model.advance(1_900 * MS)
    assert model.counters.retransmissions == 2 + 1  # d0 at 500 ms; d1 at 500 and 1500 ms


@pytest.mark.parametrize(("drops_cancelled", "due"), [(True, 10 * MS + 2 * MS), (False, 20 * MS)])
def test_a_cancelled_set_up_is_still_processed_unless_the_server_drops_it(
    drops_cancelled: bool, due: int
) -> None:
    model = server(
        ServerProfile(
            setup_work=10 * MS,
            release_work=2 * MS,
            drops_cancelled_setups=drops_cancelled,
            ringing_duration=SECOND,
        )
    )
    model.setup(0, key(0), 7, SECOND)
    model.setup(0, key(1), 7, SECOND)
    model.cancel(MS, key(1))
    assert events(model, MS) == [("d1", "CANCELLED", 1)]
    model.advance(10 * MS)
    assert (model.next_event_at() == 20 * MS) == (not drops_cancelled)
    model.setup(10 * MS, key(1), 7, SECOND)  # the same key; the cancelled job is not this leg's
    assert [event for event in events(model, 200 * MS) if event[0] == "d1"] == [
        ("d1", "PROVISIONAL", 20 if drops_cancelled else 30)
    ]


def test_cancelling_an_established_leg_releases_it() -> None:
    model = server()
    model.setup(0, key(0), 7, 60 * SECOND)
    model.advance(SECOND)
    model.cancel(SECOND, key(0))
    assert events(model, 2 * SECOND) == [("d0", "ENDED", 1002)]


def test_a_lost_connection_frees_its_lines_without_an_event() -> None:
    model = server()
    model.setup(0, key(0), 7, 60 * SECOND)
    model.setup(0, key(1, "e1"), 7, 60 * SECOND)
    model.advance(SECOND)
    model.on_connection_lost(SECOND, "e0")
    assert events(model, 2 * SECOND) == []
    assert list(model.legs) == [key(1, "e1")]
    assert model.free_lines == 2


SLOW_START_PROFILE = ServerProfile(
    setup_work=100 * MS,
    slow_start_fraction=0.5,
    slow_start_duration=10 * SECOND,
    overload_multiple=2.0,
    overload_window=SECOND,
)


@pytest.mark.parametrize(
    ("count", "at", "crashes"),
    [
        (10, 0, False),
        (11, 0, True),
        (40, 10 * SECOND, False),
        (15, 5 * SECOND, False),
        (16, 5 * SECOND, True),
    ],
)
def test_a_process_in_slow_start_crashes_above_its_budget_and_stays_down(
    count: int, at: int, crashes: bool
) -> None:
    model = server(SLOW_START_PROFILE)
    model.start(0)
    for number in range(count):
        model.setup(at, key(number), 7, SECOND)
    assert model.crashed_by_overload == crashes
    assert model.is_running != crashes
    if crashes:
        model.start(SECOND)
        assert not model.is_running


def test_slow_start_reaches_full_speed() -> None:
    model = server(SLOW_START_PROFILE)
    assert model.processor_speed(0) == 1.0, "a process that has always run is at full speed"
    model.start(0)
    assert [model.processor_speed(at * SECOND) for at in (0, 5, 10)] == [0.5, 0.75, 1.0]


def test_a_restarted_process_has_no_state_of_the_previous_one() -> None:
    model = server()
    for at in range(5):
        model.start(at * SECOND)
        model.setup(at * SECOND, key(0), 7, 60 * SECOND)
        assert model.legs
        assert events(model, at * SECOND + 20 * MS)[-1][1] == "ESTABLISHED"
        model.crash(at * SECOND + 30 * MS)
        assert not model.legs
        assert model.next_event_at() is None
        assert model.advance(at * SECOND + 40 * MS) == []


def test_answers_are_lost_with_the_given_probability() -> None:
    model = server(ServerProfile(lines=10**4, setup_work=MS, answer_work=0))
    model.set_answer_loss(0.3)
    for number in range(1_000):
        model.setup(number * 2 * MS, key(number), 7, SECOND)
        model.advance(number * 2 * MS)
    model.advance(10 * SECOND)
    assert 650 < model.counters.established < 750


class ServerDriver:
    """Drives a server with random steps; counts how often each leg was opened and closed by an event."""

    def __init__(self, model: SetupServer) -> None:
        self.model = model
        self.now = 0
        self.opened: Counter[Any] = Counter()
        self.closed: Counter[Any] = Counter()

    def advance(self) -> None:
        for event in self.model.advance(self.now):
            self.closed[event.key] += event.kind not in OPEN_EVENT_KINDS

    def step(self, kind: str, number: int) -> None:
        model, now = self.model, self.now
        match kind:
            case "setup" if key(number) not in model.legs and model.is_running:
                self.opened[key(number)] += 1
                model.setup(now, key(number), 7, 500 * MS)
            case "cancel":
                model.cancel(now, key(number))
            case "release":
                model.release(now, key(number))
            case "connection-lost":
                self.opened.subtract(list(model.legs))
                model.on_connection_lost(now, "e0")
            case _:
                self.fault(kind, number)

    def fault(self, kind: str, number: int) -> None:
        model, now = self.model, self.now
        match kind:
            case "crash":
                self.opened.subtract(list(model.legs))
                model.crash(now)
            case "limit-lines":
                model.limit_lines(now, number / 6)
            case "hang":
                model.set_hung(now, number % 2 == 0)
            case "slow":
                model.set_slowdown(1 + number)
            case "start" if not model.is_running:
                model.start(now)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    "setup",
                    "cancel",
                    "release",
                    "connection-lost",
                    "limit-lines",
                    "hang",
                    "slow",
                    "crash",
                    "start",
                ]
            ),
            st.integers(0, 6),
            st.integers(0, 300),
        ),
        max_size=60,
    )
)
def test_lines_are_released_and_each_leg_closes_once(steps: list[tuple[str, int, int]]) -> None:
    model = server(SMALL_PROFILE)
    driver = ServerDriver(model)
    for kind, number, elapsed in steps:
        driver.now += elapsed * MS
        driver.advance()
        driver.step(kind, number)
        driver.advance()
        held = sum(leg.holds_line for leg in model.legs.values())
        assert held == model.held_lines <= model.profile.lines
        # Each set-up closes once; `opened` excludes legs removed without an event (crash, lost connection).
        assert all(driver.closed[leg] + (leg in model.legs) == driver.opened[leg] for leg in driver.opened)
