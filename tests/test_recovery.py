"""Records and their moves, what a restart decides, the model that walks every course, the store."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.test_days import valverouter
from valverouter.ledger.store import Damaged, Ledger, LedgerBusyError, LedgerError, LedgerFullError
from valverouter.recovery import course, model
from valverouter.recovery.course import Moment, OutOfOrderError, Phase, Record, passed
from valverouter.recovery.decide import Decision, Need, Word, at_start, on_word
from valverouter.recovery.learnt import Learnt, after
from valverouter.recovery.model import LEAVABLE, Model, check
from valverouter.recovery.pace import LEAST, Pace

MS, SECOND = 10**6, 10**9
RELEASE = 300 * MS


def at(ms: int, boot: str = "b1", wall: int | None = None) -> Moment:
    return Moment((10**6 + ms if wall is None else wall) * MS, ms * MS, boot)


def record(dialog: str = "d", phase: Phase = Phase.WAITING, **more: Any) -> Record:
    more = {"leg": -1 if phase is Phase.WAITING else 0, "moved": at(0)} | more
    return Record(dialog, "c0", "plain", 0, 7, at(0), 9 * SECOND, 1, phase, **more)


# Moves


def test_a_course_of_moves_and_what_each_leaves_on_record() -> None:
    one = course.leg_out(record(), 0, "s0", 5, at(1))
    assert (one.phase, one.leg, one.server, one.server_start) == (Phase.OUT, 0, "s0", 5)
    gone = course.let_go(one, at(2))
    assert course.let_go(gone, at(3)).moved == at(3), "told again, its release time runs again"
    again = course.leg_out(course.failed(gone, at(4)), 1, "s1", 6, at(5))
    up = course.stands(again, at(6))
    assert (up.phase, up.answer, up.leg) == (Phase.STANDS, "stands", 1)
    done = course.answered(gone, "declined", 125 * MS, at(3))
    assert (done.phase, done.answer, done.span) == (Phase.ANSWERED, "declined", 125 * MS)
    assert course.taken_over(one, 2).epoch == 2


MOVES: dict[str, tuple[Callable[[Record], Record], set[Phase]]] = {
    "leg_out": (lambda one: course.leg_out(one, 9, "s0", 1, at(0)), {Phase.WAITING}),
    "let_go": (lambda one: course.let_go(one, at(0)), {Phase.OUT, Phase.LET_GO}),
    "failed": (lambda one: course.failed(one, at(0)), {Phase.OUT, Phase.LET_GO}),
    "stands": (lambda one: course.stands(one, at(0)), {Phase.OUT}),
    "answered": (lambda one: course.answered(one, "aborted", 0, at(0)), {Phase.WAITING, Phase.LET_GO}),
}


@pytest.mark.parametrize("name", MOVES)
@pytest.mark.parametrize("phase", Phase)
def test_no_move_but_those_of_the_table(name: str, phase: Phase) -> None:
    move, allowed = MOVES[name]
    if phase in allowed:
        move(record(phase=phase))
    else:
        with pytest.raises(OutOfOrderError):
            move(record(phase=phase))


def test_a_leg_number_is_never_used_again_and_a_former_self_is_fenced() -> None:
    one = course.failed(course.leg_out(record(), 0, "s0", 1, at(0)), at(1))
    with pytest.raises(OutOfOrderError, match="leg 0 after leg 0"):
        course.leg_out(one, 0, "s1", 1, at(2))
    with pytest.raises(OutOfOrderError, match="epoch 1 after 1"):
        course.taken_over(one, 1)
    with pytest.raises(OutOfOrderError, match="no answer"):
        course.answered(one, "stands", 0, at(2))


# Time over a restart


@pytest.mark.parametrize(
    ("then", "now", "least", "most"),
    [
        (at(100), at(350), 250 * MS, 250 * MS),
        (at(100), at(350, wall=0), 250 * MS, 250 * MS),  # one boot: a clock that is set changes nothing
        (at(100), at(5, "b2", 10**6 + 400), 0, 300 * MS),
        (at(100), at(5, "b2", 10**6 - 60_000), 0, 1 << 62),  # set back a minute over the boot
        (at(100), at(50, wall=10**6 + 400), 0, 300 * MS),  # it went back: no boot that we know of
    ],
)
def test_what_went_by_between_two_moments(then: Moment, now: Moment, least: int, most: int) -> None:
    assert passed(then, now) == (least, most)


def test_a_dialog_that_may_be_past_its_time_is_never_answered() -> None:
    set_back = at(5, "b2", 0)
    for phase in Phase:
        need = at_start(record(phase=phase, answer="declined"), set_back, RELEASE).need
        assert need in (Need.FORGET, Need.LET_GO) or phase is Phase.STANDS


# Decisions


@pytest.mark.parametrize(
    ("phase", "ms", "need"),
    [
        (Phase.WAITING, 100, Need.GO_ON),
        (Phase.WAITING, 9_000, Need.FORGET),
        (Phase.OUT, 8_999, Need.ASK),
        (Phase.OUT, 9_000, Need.LET_GO),
        (Phase.LET_GO, 100, Need.WAIT),
        (Phase.LET_GO, 8_000, Need.WAIT),  # however long ago: the cancel may never have left
        (Phase.LET_GO, 9_000, Need.FORGET),
        (Phase.STANDS, 100, Need.ASK),
        (Phase.STANDS, 90_000, Need.ASK),
        (Phase.ANSWERED, 8_999, Need.ANSWER),
        (Phase.ANSWERED, 9_000, Need.FORGET),
    ],
)
def test_what_each_record_needs_at_a_start(phase: Phase, ms: int, need: Need) -> None:
    found = at_start(record(phase=phase), at(ms), RELEASE)
    assert found.need is need
    assert found.left <= max(0, 9 * SECOND - ms * MS)
    if need is Need.WAIT:
        assert found.wait == RELEASE


@pytest.mark.parametrize(
    ("phase", "word", "same", "left", "decision"),
    [
        (Phase.OUT, Word.STANDS, True, SECOND, Decision(Need.ANSWER, SECOND)),
        (Phase.OUT, Word.UNDER_WAY, True, SECOND, Decision(Need.ASK, SECOND)),
        (Phase.OUT, Word.CLOSED, True, SECOND, Decision(Need.GO_ON, SECOND)),
        (Phase.OUT, Word.UNKNOWN, True, SECOND, Decision(Need.LET_GO, SECOND, RELEASE)),
        (Phase.OUT, Word.UNKNOWN, False, SECOND, Decision(Need.WAIT, SECOND, RELEASE)),
        (Phase.OUT, Word.SILENT, True, SECOND, Decision(Need.LET_GO, SECOND, RELEASE)),
        (Phase.OUT, Word.STANDS, True, 0, Decision(Need.LET_GO)),
        (Phase.OUT, Word.CLOSED, True, 0, Decision(Need.FORGET)),
        (Phase.STANDS, Word.STANDS, True, 0, Decision(Need.ANSWER, 0)),
        (Phase.STANDS, Word.CLOSED, True, SECOND, Decision(Need.END, SECOND)),
        (Phase.STANDS, Word.UNKNOWN, False, SECOND, Decision(Need.END, SECOND)),
        (Phase.STANDS, Word.SILENT, True, SECOND, Decision(Need.END, SECOND)),
    ],
)
def test_what_follows_from_a_servers_word(
    phase: Phase, word: Word, same: bool, left: int, decision: Decision
) -> None:
    assert on_word(record(phase=phase), word, same, left, RELEASE) == decision


# The model


def test_no_course_with_a_crash_anywhere_breaks_a_rule() -> None:
    broken, states = check(Model(crashes=1))
    assert broken == []
    assert states > 20_000


@pytest.mark.parametrize("name", LEAVABLE)
def test_leaving_out_any_write_or_fence_breaks_one(name: str) -> None:
    broken, _ = check(Model(name))
    assert broken, "\n".join(broken)
    assert broken[-1].startswith("rule"), "\n".join(broken)


def test_the_model_finds_what_it_found_in_the_decisions(monkeypatch: pytest.MonkeyPatch) -> None:
    """A let-go long ago taken for done; a standing dialog forgotten with its answer unsent."""

    def hasty(one: Record, now: Moment, release_wait: int) -> Decision:
        found = at_start(one, now, release_wait)
        return Decision(Need.GO_ON, found.left) if found.need is Need.WAIT else found

    monkeypatch.setattr(model, "at_start", hasty)
    broken, _ = check(Model(crashes=1))
    assert broken[-1].startswith(("rule 2", "rule 5"))
    monkeypatch.undo()

    def forgetful(one: Record, word: Word, same: bool, left: int, release_wait: int) -> Decision:
        found = on_word(one, word, same, left, release_wait)
        return Decision(Need.FORGET) if found.need is Need.END else found

    monkeypatch.setattr(model, "on_word", forgetful)
    broken, _ = check(Model(crashes=2))
    assert broken[-1].startswith("rule 1: the caller was told that it was taken")


# The pace of questions


def test_the_shortest_time_goes_first_and_of_equal_ones_the_more_important() -> None:
    pace = Pace()
    for dialog, left, importance in (("late", 5, 9), ("soon", 1, 1), ("soon-urgent", 1, 6), ("mid", 3, 1)):
        pace.add(dialog, "s0", left * SECOND, importance)
    assert [dialog for dialog, _ in pace.next(0)] == ["soon-urgent", "soon", "mid", "late"]


def test_a_server_in_trouble_is_asked_less_and_others_no_less_for_it() -> None:
    pace = Pace()
    for number in range(3_000):
        pace.add(f"d{number}", f"s{number % 2}", 5 * SECOND, 1)
    asked, now = {"s0": 0, "s1": 0}, 0
    while now < 20 * SECOND:
        for _, server in pace.next(now):
            asked[server] += 1
            if server == "s0":
                pace.silent(server, now)
            else:
                pace.answered(server)
        now += 10 * MS
    assert asked["s1"] == 1_500
    assert len(pace) == 1_500 - asked["s0"]
    assert asked["s0"] <= 60, "eight at first, then one for each rest"
    assert pace._servers["s0"].window == LEAST


def test_a_dialog_that_is_over_is_not_asked_for() -> None:
    pace = Pace()
    pace.add("a", "s0", SECOND, 1)
    pace.add("b", "s0", SECOND, 1)
    pace.drop("a")
    pace.drop("never there")
    assert len(pace) == 1
    assert pace.next(0) == [("b", "s0")]
    assert len(pace) == 0


# What was learnt


def test_an_old_token_count_does_not_throttle_and_a_fresh_one_does() -> None:
    spent = Learnt("s0", 5, 4_000, 10_000, 800 * MS, 3 * SECOND)
    fresh = after(spent, 5, 100 * MS, 100 * MS)
    assert fresh is not None
    assert fresh.tokens * 2 <= fresh.full
    assert fresh.shunned_for == 2_900 * MS
    assert 700 * MS < fresh.wait < 800 * MS
    hour = after(spent, 5, 3_600 * SECOND, 3_600 * SECOND)
    assert hour is None
    in_doubt = after(spent, 5, 0, 1 << 62)
    assert in_doubt is not None
    assert in_doubt.tokens == 10_000
    assert in_doubt.wait == 800 * MS
    assert after(spent, 6, 0, 0) is None, "another process of that server owes nothing"


# The store


def test_what_was_committed_is_read_back_and_what_was_not_is_not(tmp_path: Path) -> None:
    with Ledger(tmp_path) as ledger:
        assert ledger.begin_epoch() == 1
        for dialog in "abc":
            ledger.put(record(dialog))
        assert ledger.pending == 3
        assert ledger.commit() == 3
        assert ledger.commit() == 0
        ledger.drop("b")
        ledger.put(course.leg_out(record("a"), 0, "s0", 1, at(5)))
        ledger.put_learnt(Learnt("s0", 5, 1, 2, 3, 4))
        ledger.commit()
        ledger.put(record("never"))
    with Ledger(tmp_path) as ledger:
        found = {one.dialog: one for one in ledger.records() if isinstance(one, Record)}
        assert set(found) == {"a", "c"}
        assert found["a"].phase is Phase.OUT
        assert found["c"] == record("c")
        assert list(ledger.learnt()) == [Learnt("s0", 5, 1, 2, 3, 4)]
        assert ledger.begin_epoch() == 2


@given(st.text(min_size=1, max_size=20))
def test_any_dialog_id_is_kept_as_given(tmp_path_factory: Any, name: str) -> None:
    folder = tmp_path_factory.mktemp("ledger")
    with Ledger(folder) as ledger:
        ledger.put(record(name))
        ledger.commit()
        assert [one.dialog for one in ledger.records() if isinstance(one, Record)] == [name]


@pytest.mark.parametrize("spot", [0, 3, 4, 20, -1])
def test_a_flipped_byte_costs_that_entry_alone_and_repair_says_what_was_lost(
    tmp_path: Path, spot: int
) -> None:
    with Ledger(tmp_path) as ledger:
        for dialog in "abc":
            ledger.put(record(dialog))
        ledger.commit()
        with ledger._env.begin(write=True, db=ledger._dialogs) as txn:
            value = bytearray(txn.get(b"b") or b"")
            value[spot] ^= 0x40
            txn.put(b"b", bytes(value))
        found = list(ledger.records())
        assert [one.dialog for one in found if isinstance(one, Record)] == ["a", "c"]
        assert [one.key for one in ledger.repair()] == ["b"]
        assert not any(isinstance(one, Damaged) for one in ledger.records())


def test_a_second_process_and_another_version_are_refused(tmp_path: Path) -> None:
    with Ledger(tmp_path) as ledger:
        with pytest.raises(LedgerBusyError):
            Ledger(tmp_path)
        ledger._write_meta(b"format", 9)
    with pytest.raises(LedgerError, match="format 9"):
        Ledger(tmp_path)
    with pytest.raises(LedgerError, match="format 9"):
        Ledger(tmp_path)  # the refusal let go of it


def test_a_damaged_file_is_refused_and_not_read_as_empty(tmp_path: Path) -> None:
    with Ledger(tmp_path) as ledger:
        ledger.put(record())
        ledger.commit()
    data = (tmp_path / "data.mdb").read_bytes()
    (tmp_path / "data.mdb").write_bytes(bytes(8_192) + data[8_192:])
    with pytest.raises(LedgerError):
        Ledger(tmp_path)


def test_a_full_store_refuses_the_whole_commit_and_goes_on_when_some_have_ended(tmp_path: Path) -> None:
    with Ledger(tmp_path, most=256 * 1024) as ledger:
        kept = 0
        with pytest.raises(LedgerFullError):
            while True:
                for number in range(20):
                    ledger.put(record(f"d{kept + number}"))
                ledger.commit()
                kept += 20
        assert sum(1 for _ in ledger.records()) == kept > 500
        assert ledger.pending == 0
        for name in sorted(f"d{number}" for number in range(kept))[: kept // 2]:
            ledger.drop(name)
        ledger.commit()
        ledger.put(record("after"))
        assert ledger.commit() == 1


def test_its_size_is_flat_over_a_long_load(tmp_path: Path) -> None:
    with Ledger(tmp_path) as ledger:
        used = []
        for number in range(6_000):
            ledger.put(record(f"d{number}"))
            if number >= 200:
                ledger.drop(f"d{number - 200}")
            if number % 10 == 0:
                ledger.commit()
            if number % 1_000 == 999:
                used.append(ledger.used())
        assert used[-1] <= used[1] * 1.2


WRITER = """
import sys
from pathlib import Path
from tests.test_recovery import record
from valverouter.ledger.store import Ledger
with Ledger(Path(sys.argv[1])) as ledger:
    ledger.begin_epoch()
    number = 0
    while True:
        # Each commit holds a pair: a torn one would show one half.
        ledger.put(record(f"{number}-a"))
        ledger.put(record(f"{number}-b"))
        ledger.drop(f"{number - 40}-a")
        ledger.drop(f"{number - 40}-b")
        ledger.commit()
        number += 1
        print(number, flush=True)
"""


def test_a_process_killed_at_any_moment_leaves_whole_commits(tmp_path: Path) -> None:
    chance = random.Random(2)
    for _ in range(4):
        writer = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )
        assert writer.stdout is not None
        writer.stdout.readline()
        time.sleep(chance.uniform(0.01, 0.1))
        os.kill(writer.pid, signal.SIGKILL)
        told = [int(line) for line in writer.stdout.read().splitlines()]
        writer.wait()
        with Ledger(tmp_path) as ledger:
            found = {one.dialog for one in ledger.records() if isinstance(one, Record)}
            assert {name[:-2] for name in found if name.endswith("a")} == {
                name[:-2] for name in found if name.endswith("b")
            }
            if told:
                assert f"{told[-1] - 1}-a" in found, "what was told committed is there"
            assert not any(isinstance(one, Damaged) for one in ledger.records())
            for one in found:
                ledger.drop(one)
            ledger.commit()


def test_a_store_that_can_not_be_written_is_told_apart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Refusing:
        def begin(self, **more: Any) -> Any:
            raise lmdb.DiskError("No space left on device")

    with Ledger(tmp_path) as ledger:
        ledger.put(record())
        env = ledger._env
        monkeypatch.setattr(ledger, "_env", Refusing())
        with pytest.raises(LedgerFullError, match="No space left"):
            ledger.commit()
        monkeypatch.setattr(ledger, "_env", env)
        assert ledger.commit() == 0
        assert list(ledger.records()) == []


def test_records_are_as_small_as_they_are_said_to_be() -> None:
    assert len(msgspec.msgpack.encode(record("c0-12345.2", Phase.OUT, server="s11"))) < 120


def test_the_ledger_commands(tmp_path: Path) -> None:
    store = tmp_path / "store"
    with Ledger(store) as ledger:
        ledger.put(record("a"))
        ledger.put(record("b", Phase.OUT))
        ledger.commit()
        with ledger._env.begin(write=True, db=ledger._dialogs) as txn:
            txn.put(b"c", b"nonsense")
        held = valverouter("ledger", "inspect", str(store))
    assert held.returncode == 2
    assert "held by another process" in held.stderr
    shown = valverouter("ledger", "inspect", str(store))
    assert "2 dialogs" in shown.stdout
    assert "out: 1" in shown.stdout
    assert valverouter("ledger", "verify", str(store)).returncode == 1
    assert "lost: dialogs 'c'" in valverouter("ledger", "repair", str(store)).stdout
    assert valverouter("ledger", "verify", str(store)).returncode == 0
    lines = valverouter("ledger", "export", str(store)).stdout.splitlines()
    assert [msgspec.json.decode(line)["dialog"] for line in lines] == ["a", "b"]
    none = valverouter("ledger", "inspect", str(tmp_path / "nowhere"))
    assert none.returncode == 2
    assert "no store" in none.stderr
    assert not (tmp_path / "nowhere").exists()
