"""The check of a day's operations from the supervisors' logs."""

from __future__ import annotations

from valverouter.audit.orders import judge_orders
from valverouter.signalling import tap
from valverouter.signalling.tap import Limited, Ordered, Row, Turned


def trace(*rows: Row) -> list[Row]:
    head: list[Row] = [Limited(0, 0, 1, 1), tap.Placed(0, 0, "e0", "north"), tap.Placed(0, 0, "e1", "south")]
    return [*head, *rows]


def turned(time: int, edge: str, number: int, outcome: str = "", up: bool = True, step: int = 0) -> Turned:
    return Turned(time, time, edge, number, step, up, outcome)


def test_each_violation_is_found_and_none_in_a_sound_trace() -> None:
    sound = trace(
        tap.Runs(1, 1, "e0", "v1"),
        turned(2, "e0", 7),
        tap.Runs(3, 3, "e0", "v2"),
        turned(4, "e0", 7, "done"),
        turned(5, "e1", 9),
        turned(6, "e1", 9, "done"),
        Ordered(9, 9, "r", "release", "v2", "ended", "done", {"e0": ("done", 7, "v1")}),
    )
    judged = judge_orders(sound)
    assert judged is not None
    assert judged.kept
    assert judged.turns == 2
    assert judged.most_out == 1
    assert judge_orders([]) is None
    for bad, word in (
        (trace(turned(1, "e0", 7), turned(2, "e1", 9)), "limits"),
        (trace(turned(1, "e0", 7), turned(2, "e0", 7, "done"), turned(3, "e0", 7)), "once"),
        (trace(Ordered(9, 9, "r", "restart", "", "ended", "done", {"e0": ("done", 7, "v1")})), "told"),
        (
            trace(
                tap.Runs(1, 1, "e0", "v2"),
                Ordered(9, 9, "r", "release", "v2", "ended", "halted", {"e0": ("out", 7, "v1")}),
            ),
            "back",
        ),
    ):
        judged = judge_orders(bad)
        assert judged is not None, (word, judged)
        assert any(violation.startswith(word) for violation in judged.broken), (word, judged)


def test_a_drained_instance_stays_out_in_the_check() -> None:
    judged = judge_orders(
        trace(turned(1, "e0", 7, up=False), turned(2, "e0", 7, "done", up=False), turned(3, "e1", 9))
    )
    assert judged is not None
    assert not judged.kept
