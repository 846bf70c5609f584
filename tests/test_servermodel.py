"""The server model at a clock that the test holds."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from valverouter.servermodel.server import CalledNumbers, Happens, Make, SetupServer

MS, SECOND = 10**6, 10**9
PLAIN = Make(lines=3, setup_work=10 * MS, answer_work=2 * MS, release_work=2 * MS, refuse_work=MS)


def server(make: Make = PLAIN, **more: Any) -> SetupServer:
    return SetupServer(make, random.Random(3).random, **more)


def key(number: int, peer: str = "e0") -> tuple[str, str, int]:
    return peer, f"d{number}", 0


def told(model: SetupServer, until: int) -> list[tuple[str, str, int]]:
    return [(h.key[1], h.what.name, h.at // MS) for h in model.advance(until)]


def test_set_up_answer_and_release_pass_one_processor() -> None:
    model = server()
    model.setup(0, key(0), 7, SECOND)
    model.setup(0, key(1), 7, SECOND)
    assert model.wait(0) == 20 * MS
    assert model.queue == 1
    course = told(model, 5 * SECOND)
    # The second set-up goes ahead of the first one's answer, which waits behind new set-ups.
    assert course[:4] == [
        ("d0", "PROVISIONAL", 10),
        ("d1", "PROVISIONAL", 20),
        ("d0", "STANDS", 22),
        ("d1", "STANDS", 24),
    ]
    assert course[4:] == [("d0", "ENDED", 1024), ("d1", "ENDED", 1026)]
    assert model.free_lines == 3
    assert not model.legs
    assert model.due() is None


def test_refused_when_the_wait_is_too_long_and_that_costs_work_too() -> None:
    model = server(Make(setup_work=10 * MS, most_wait=25 * MS, refuse_work=MS, tells_wait=True))
    for number in range(4):
        model.setup(0, key(number), 7, SECOND)
    (full,) = [h for h in model.advance(0) if h.what is Happens.FULL]
    assert (full.key, full.asked_wait) == (key(3), 30 * MS)
    assert model.wait(0) == 31 * MS


@pytest.mark.parametrize(("slow", "share"), [(1.0, 1.0), (2.5, 0.4)])
def test_slow(slow: float, share: float) -> None:
    model = server()
    model.slow(0, slow)
    model.setup(0, key(0), 7, SECOND)
    assert model.share(0) == share
    assert model.due() == int(10 * MS / share)


def test_ageing_grows_and_ends() -> None:
    model = server()
    model.age(0, 3.0, 10 * SECOND)
    assert [round(1 / model.share(at * SECOND), 2) for at in (0, 5, 10, 20)] == [1.0, 2.0, 3.0, 3.0]
    model.age(0, 1.0, 1)
    assert model.share(5 * SECOND) == 1.0


def test_a_hang_answers_nothing_and_goes_on_where_it_was() -> None:
    model = server()
    model.setup(0, key(0), 7, SECOND)
    model.hang(4 * MS, True)
    model.setup(5 * MS, key(1), 7, SECOND)
    assert told(model, SECOND) == []
    assert model.due() is None
    model.hang(SECOND, False)
    assert told(model, SECOND + 16 * MS) == [("d0", "PROVISIONAL", 1006), ("d1", "PROVISIONAL", 1016)]


def test_lines_and_numbers_run_out() -> None:
    numbers = CalledNumbers({9: 1})
    model = server(numbers=numbers)
    for number in range(5):
        model.setup(0, key(number), 9 if number < 2 else 7, 60 * SECOND)
    said = {dialog: what for dialog, what, _ in told(model, SECOND)}
    assert said == {"d0": "STANDS", "d1": "LINE_BUSY", "d2": "STANDS", "d3": "STANDS", "d4": "NO_AGENT"}
    model.crash(SECOND)
    assert numbers.take(9), "a crash frees the lines behind a number too"


def test_lines_lost_cut_their_dialogs() -> None:
    model = server(Make(lines=10, setup_work=MS))
    for number in range(8):
        model.setup(0, key(number), 7, 60 * SECOND)
    model.advance(SECOND)
    model.keep_lines(SECOND, 0.5)
    assert Counter(h.what for h in model.advance(SECOND)) == {Happens.CUT: 3}
    assert (model.lines, model.free_lines) == (5, 0)
    model.keep_lines(SECOND, 1.0)
    assert model.free_lines == 5


def test_repeats_are_work_at_doubling_gaps_until_processed() -> None:
    model = server(Make(setup_work=SECOND, repeat_work=100 * MS, resend_first=500 * MS, most_wait=9 * SECOND))
    model.setup(0, key(0), 7, SECOND)
    model.setup(0, key(1), 7, SECOND)
    model.advance(1_900 * MS)
    assert model.counts.repeats == 2 + 1  # d0 at 500 ms; d1 at 500 and 1500 ms


@pytest.mark.parametrize(("drops", "due"), [(True, 10 * MS + 2 * MS), (False, 20 * MS)])
def test_a_cancelled_set_up_may_still_be_worked_on(drops: bool, due: int) -> None:
    model = server(Make(setup_work=10 * MS, release_work=2 * MS, drops_cancelled=drops, ring=SECOND))
    model.setup(0, key(0), 7, SECOND)
    model.setup(0, key(1), 7, SECOND)
    model.cancel(MS, key(1))
    assert told(model, MS) == [("d1", "CANCELLED", 1)]
    model.advance(10 * MS)
    assert (model.due() == 20 * MS) == (not drops)
    model.setup(10 * MS, key(1), 7, SECOND)  # the same key again: the old work is not its
    assert [word for word in told(model, 200 * MS) if word[0] == "d1"] == [
        ("d1", "PROVISIONAL", 20 if drops else 30)
    ]


def test_cancel_of_what_stands_releases_it() -> None:
    model = server()
    model.setup(0, key(0), 7, 60 * SECOND)
    model.advance(SECOND)
    model.cancel(SECOND, key(0))
    assert told(model, 2 * SECOND) == [("d0", "ENDED", 1002)]


def test_a_lost_connection_frees_its_lines_without_a_word() -> None:
    model = server()
    model.setup(0, key(0), 7, 60 * SECOND)
    model.setup(0, key(1, "e1"), 7, 60 * SECOND)
    model.advance(SECOND)
    model.peer_lost(SECOND, "e0")
    assert told(model, 2 * SECOND) == []
    assert list(model.legs) == [key(1, "e1")]
    assert model.free_lines == 2


COLD = Make(setup_work=100 * MS, cold_share=0.5, warm_after=10 * SECOND, tip_multiple=2.0, tip_span=SECOND)


@pytest.mark.parametrize(
    ("count", "at", "fell"),
    [
        (10, 0, False),
        (11, 0, True),
        (40, 10 * SECOND, False),
        (15, 5 * SECOND, False),
        (16, 5 * SECOND, True),
    ],
)
def test_a_cold_processor_falls_over_past_its_budget_and_stays_down(count: int, at: int, fell: bool) -> None:
    model = server(COLD)
    model.start(0)
    for number in range(count):
        model.setup(at, key(number), 7, SECOND)
    assert model.fell == fell
    assert model.runs != fell
    if fell:
        model.start(SECOND)
        assert not model.runs


def test_cold_to_warm() -> None:
    model = server(COLD)
    assert model.share(0) == 1.0, "one that runs since long ago is warm"
    model.start(0)
    assert [model.share(at * SECOND) for at in (0, 5, 10)] == [0.5, 0.75, 1.0]


def test_flapping_starts_owe_nothing_to_the_process_before() -> None:
    model = server()
    for at in range(5):
        model.start(at * SECOND)
        model.setup(at * SECOND, key(0), 7, 60 * SECOND)
        assert model.legs
        assert told(model, at * SECOND + 20 * MS)[-1][1] == "STANDS"
        model.crash(at * SECOND + 30 * MS)
        assert not model.legs
        assert model.due() is None
        assert model.advance(at * SECOND + 40 * MS) == []


def test_answers_lost() -> None:
    model = server(Make(lines=10**4, setup_work=MS, answer_work=0))
    model.lose_answers(0.3)
    for number in range(1_000):
        model.setup(number * 2 * MS, key(number), 7, SECOND)
        model.advance(number * 2 * MS)
    model.advance(10 * SECOND)
    assert 650 < model.counts.stood < 750


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["setup", "cancel", "release", "lost", "keep", "hang", "slow", "crash", "start"]),
            st.integers(0, 6),
            st.integers(0, 300),
        ),
        max_size=60,
    )
)
def test_lines_are_conserved_and_each_leg_closes_once(course: list[tuple[str, int, int]]) -> None:
    model, now = (
        server(Make(lines=4, setup_work=20 * MS, ring=30 * MS, resend_first=50 * MS, most_wait=200 * MS)),
        0,
    )
    closed: Counter[Any] = Counter()
    opened: Counter[Any] = Counter()
    for what, number, ahead in course:
        now += ahead * MS
        for happening in model.advance(now):
            closed[happening.key] += happening.what not in (Happens.PROVISIONAL, Happens.STANDS)
        match what:
            case "setup" if key(number) not in model.legs and model.runs:
                opened[key(number)] += 1
                model.setup(now, key(number), 7, 500 * MS)
            case "cancel":
                model.cancel(now, key(number))
            case "release":
                model.release(now, key(number))
            case "lost" | "crash":
                for one in model.legs:
                    opened[one] -= 1
                model.peer_lost(now, "e0") if what == "lost" else model.crash(now)
            case "keep":
                model.keep_lines(now, number / 6)
            case "hang":
                model.hang(now, number % 2 == 0)
            case "slow":
                model.slow(now, 1 + number)
            case "start" if not model.runs:
                model.start(now)
        for happening in model.advance(now):
            closed[happening.key] += happening.what not in (Happens.PROVISIONAL, Happens.STANDS)
        held = sum(leg.holds_line for leg in model.legs.values())
        assert held == model._lines_held <= model.make.lines
        # Each set-up closes once; those let go without a word by a crash or a lost link are not counted open.
        assert all(closed[one] + (one in model.legs) == opened[one] for one in opened)
