"""The audit of operations: each violation is found in the rows of a day, and none in sound ones."""

from __future__ import annotations

from valverouter.audit.orders import judge_orders
from valverouter.signalling import tap
from valverouter.signalling.tap import Limited, Ordered, Row, Turned


def rows(*told: Row) -> list[Row]:
    head: list[Row] = [Limited(0, 0, 1, 1), tap.Placed(0, 0, "e0", "north"), tap.Placed(0, 0, "e1", "south")]
    return [*head, *told]


def turned(at: int, edge: str, number: int, outcome: str = "", up: bool = True, step: int = 0) -> Turned:
    return Turned(at, at, edge, number, step, up, outcome)


def test_each_violation_is_found_and_none_in_sound_rows() -> None:
    sound = rows(
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
        (rows(turned(1, "e0", 7), turned(2, "e1", 9)), "limits"),
        (rows(turned(1, "e0", 7), turned(2, "e0", 7, "done"), turned(3, "e0", 7)), "once"),
        (rows(Ordered(9, 9, "r", "restart", "", "ended", "done", {"e0": ("done", 7, "v1")})), "told"),
        (
            rows(
                tap.Runs(1, 1, "e0", "v2"),
                Ordered(9, 9, "r", "release", "v2", "ended", "halted", {"e0": ("out", 7, "v1")}),
            ),
            "back",
        ),
    ):
        judged = judge_orders(bad)
        assert judged is not None, (word, judged)
        assert any(one.startswith(word) for one in judged.broken), (word, judged)


def test_a_drained_instance_counts_as_out_in_the_audit() -> None:
    judged = judge_orders(
        rows(turned(1, "e0", 7, up=False), turned(2, "e0", 7, "done", up=False), turned(3, "e1", 9))
    )
    assert judged is not None
    assert not judged.kept
