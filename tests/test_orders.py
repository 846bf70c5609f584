"""Orders and their progress, keepers, the conductor and whole courses in simulated time."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from valverouter.emulator.rollouts import VERSIONS, Broken, Rollout
from valverouter.rollout.conducting import Conductor, Rules
from valverouter.rollout.council import Members
from valverouter.rollout.evidence import Rule
from valverouter.rollout.keeping import Counts, Do, Facts, Keeping, Memory, Report
from valverouter.rollout.limits import Limits, Sort, Unit
from valverouter.rollout.orders import (
    BUSY,
    Book,
    Command,
    Kind,
    Next,
    Phase,
    Place,
    Placed,
    Retire,
    Runs,
    Step,
    Stop,
    Want,
    Went,
    watches,
)
from valverouter.rollout.permits import Answer, Ask, Away, Back, Enrol, Halt
from valverouter.rollout.serving import Watch
from valverouter.rollout.written import KeptSnapshot

SECOND = 10**9
LIMITS = Limits(most=2, in_region=1)


class Record:
    """A book with the number of the next command."""

    def __init__(self, count: int = 6, limits: Limits = LIMITS) -> None:
        self.book = Book()
        self.number = 0
        units = tuple(Unit(f"e{at}", Sort.EDGE, ("north", "south")[at % 2], 100) for at in range(count))
        self.says(Enrol(units, ((Sort.EDGE, limits),)))
        for unit in units:
            self.says(Runs(unit.name, "v1", ("v1", "v2")))

    def says(self, command: Command) -> Any:
        self.number += 1
        return self.book.apply(self.number, command)

    def place(self, id_: str, kind: Kind, *names: str, version: str = "") -> Placed:
        placed = self.says(Place(id_, kind, names, version))
        assert isinstance(placed, Placed)
        return placed

    def leave(self, order: str, name: str, try_: int = 0) -> int:
        answer = self.says(Ask(f"{order}/{name}/{try_}", name, order))
        assert isinstance(answer, Answer), answer
        assert answer.permit is not None, answer
        return answer.permit.number

    def step(self, order: str, name: str) -> Step:
        return self.book.orders[order].members[name].step


# The book


def test_a_release_goes_wave_by_wave_and_waits_for_its_evidence() -> None:
    record = Record()
    names = [f"e{at}" for at in range(6)]
    placed = record.place("r", Kind.RELEASE, *names, version="v2")
    assert [len(wave) for wave in placed.waves] == [1] * 6
    assert not placed.why
    order = record.book.orders["r"]
    first = placed.waves[0][0]
    number = record.leave("r", first)
    assert record.book.wants[first] == Want("v2", True, number, 0, "r")
    record.says(Back(first, number))
    assert (order.phase, record.step("r", first)) == (Phase.WATCHING, Step.DONE)
    record.says(Next("r", 5))
    assert order.phase is Phase.WATCHING, "of another wave"
    record.says(Next("r", 0))
    assert (order.phase, order.wave) == (Phase.GOING, 1)
    record.says(Next("r", 0))
    assert order.wave == 1, "told again"


def test_watches_come_once_three_times_as_many_are_released() -> None:
    assert watches([["a"]] * 14) == [0, 3, 12]
    assert watches([["a"], ["b", "c", "d"], ["e"] * 9, ["f"] * 9]) == [0, 1, 2]
    assert watches([["a"]]) == [], "there is nobody left to hold back"


@pytest.mark.parametrize(
    ("kind", "names", "version", "said"),
    [
        (Kind.RESTART, (), "", "nobody is meant"),
        (Kind.RESTART, ("e9",), "", "e9 is not enrolled"),
        (Kind.RELEASE, ("e0",), "v9", "knows no version 'v9'"),
        (Kind.UNDRAIN, ("e0",), "", "e0 is not drained"),
        (Kind.DRAIN, ("e0", "e2"), "", "edge proxies out at once: 2 of 2, used by e0, e5"),
        (Kind.RELEASE, ("e0",), "v1", "e0 is at v1 already"),
        (Kind.RESTART, ("e5",), "", "e5 is drained: it is brought back by undrain"),
        (Kind.RESTART, ("e3", "e4"), "", "e3 of it: order going is not done with them"),
    ],
)
def test_an_order_that_can_not_be_carried_out_is_refused_whole(
    kind: Kind, names: tuple[str, ...], version: str, said: str
) -> None:
    record = Record()
    record.place("d", Kind.DRAIN, "e5")
    record.says(Went("d", "e5", record.leave("d", "e5"), Step.DRAINED))
    record.place("going", Kind.RESTART, "e3")
    before = record.book.copy()
    placed = record.place("o", kind, *names, version=version)
    assert said in placed.why
    assert record.book == before, "and nothing of it is left"


def test_overlapping_orders_are_refused_and_others_wait_their_turn() -> None:
    record = Record()
    record.place("a", Kind.RESTART, "e0")
    assert "order a is not done" in record.place("b", Kind.RESTART, "e0", "e1").why
    assert not record.place("c", Kind.RESTART, "e2").why
    assert record.book.orders["c"].phase is Phase.QUEUED
    answer = record.says(Ask("c/e2/0", "e2", "c"))
    assert answer.permit is None, "not its turn"
    number = record.leave("a", "e0")
    record.says(Back("e0", number))
    assert record.book.orders["a"].result == "done"
    assert record.book.going is record.book.orders["c"]


def test_an_order_placed_again_a_day_later_is_the_same_order() -> None:
    record = Record()
    record.place("a", Kind.RESTART, "e0")
    number = record.leave("a", "e0")
    record.says(Back("e0", number))
    again = record.place("a", Kind.RESTART, "e0")
    assert again.waves == (("e0",),)
    assert record.book.orders["a"].result == "done"
    assert record.book.going is None


def test_a_stop_brings_in_what_is_out_and_back_what_was_released() -> None:
    record = Record()
    names = [f"e{at}" for at in range(6)]
    waves = record.place("r", Kind.RELEASE, *names, version="v2").waves
    first, second = waves[0][0], waves[1][0]
    one = record.leave("r", first)
    record.says(Back(first, one))
    record.says(Next("r", 0))
    two = record.leave("r", second)
    record.says(Stop("r", "harm"))
    order = record.book.orders["r"]
    assert order.phase is Phase.RETURNING
    assert record.book.wants[second] == Want("v1", True, two, 1, "r"), "by its permit's second step"
    assert record.step("r", first) is Step.TO_RETURN
    late = record.says(Ask("r/e5/0", "e5", "r"))
    assert late.permit is None, "nothing further goes out"
    twice = record.says(Ask(f"r/{first}/0", first, "r"))
    assert twice.permit.number == one, "told again"
    assert record.step("r", first) is Step.TO_RETURN, "told again"
    three = record.leave("r", first, 1)
    assert record.book.wants[first] == Want("v1", True, three, 1, "r")
    record.says(Back(second, two))
    record.says(Back(first, three))
    assert order.result == "halted"
    assert {member.step for member in order.members.values()} == {Step.RETURNED, Step.LEFT}


def test_a_released_one_that_ends_over_and_over_goes_back_all_the_same() -> None:
    """Refused as out without leave, it could never have gone back to what it ran before."""
    record = Record()
    waves = record.place("r", Kind.RELEASE, "e0", "e1", "e2", version="v2").waves
    first = waves[0][0]
    record.says(Back(first, record.leave("r", first)))
    record.says(Away(first))
    record.says(Stop("r", "it ends by itself"))
    number = record.leave("r", first, 1)
    assert record.book.wants[first] == Want("v1", True, number, 1, "r")
    assert record.book.register.out[first] is not None


def test_a_drained_one_stays_out_whatever_its_program_does() -> None:
    record = Record()
    record.place("d", Kind.DRAIN, "e0")
    number = record.leave("d", "e0")
    record.says(Back("e0", number))
    assert "e0" in record.book.register.out
    record.says(Went("d", "e0", number, Step.DRAINED))
    assert record.book.orders["d"].result == "done"
    record.place("u", Kind.UNDRAIN, "e0")
    assert record.book.wants["e0"] == Want("v1", True, number, 1, "u")
    record.says(Back("e0", number))
    assert record.book.orders["u"].result == "done"
    assert "e0" not in record.book.register.out


def test_one_not_reached_is_left_out_and_one_retired_holds_nothing_up() -> None:
    record = Record()
    record.place("a", Kind.RESTART, "e0", "e1")
    waves = record.book.orders["a"].waves
    record.says(Went("a", waves[0][0], 0, Step.NOT_REACHED, "silent"))
    number = record.leave("a", waves[1][0])
    record.says(Went("a", waves[1][0], number, Step.NOT_REACHED))
    assert record.step("a", waves[1][0]) is Step.OUT, "with leave it may have gone out: unknown"
    record.says(Retire(waves[1][0]))
    assert record.book.orders["a"].result == "in part"
    assert waves[1][0] not in record.book.register.units


def test_a_council_founded_anew_gives_no_number_again_and_takes_the_drained_over() -> None:
    record = Record()
    record.number = 3  # it is young, and keepers have seen higher numbers
    record.says(Retire("e0"))
    record.says(Retire("e1"))
    units = (Unit("e0", Sort.EDGE, "north", 100), Unit("e1", Sort.EDGE, "south", 100))
    record.says(Enrol(units))
    record.says(Runs("e0", "v2", ("v1", "v2"), 900, 0, True))
    record.says(Runs("e1", "v1", ("v1", "v2"), 950, 0, False))
    assert record.book.wants["e0"] == Want("v2", True, 900, 0)
    record.place("u", Kind.UNDRAIN, "e1")
    assert record.book.wants["e1"] == Want("v1", True, 950, 1, "u")
    record.says(Back("e1", 950))
    assert record.book.orders["u"].result == "done"
    record.place("a", Kind.RESTART, "e0")
    assert record.leave("a", "e0") > 950


def test_a_halt_of_the_fleet_takes_no_orders() -> None:
    record = Record()
    record.says(Halt("by hand"))
    assert record.place("a", Kind.RESTART, "e0").why == "halted: by hand"
    record.says(Halt("", over=True))
    assert not record.place("a", Kind.RESTART, "e0").why


def test_the_book_is_written_and_read_back_as_it_was() -> None:
    record = Record()
    record.place("r", Kind.RELEASE, "e0", "e1", version="v2")
    record.leave("r", record.book.orders["r"].waves[0][0])
    kept = KeptSnapshot(3, 1, Members(()), record.book)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(kept), type=KeptSnapshot).state == record.book


NAMES = [f"e{at}" for at in range(6)]
names = st.lists(st.sampled_from(NAMES), min_size=1, max_size=6, unique=True).map(tuple)
orders = st.sampled_from(["a", "b", "c", "d"])
told = st.one_of(
    st.builds(Place, orders, st.sampled_from(Kind), names, st.sampled_from(["v1", "v2"])),
    st.builds(
        lambda order, name, back, at: Ask(f"{order}/{name}{back}/{at}", name, order),
        orders,
        st.sampled_from(NAMES),
        st.sampled_from(["", "/back"]),
        st.integers(0, 3),
    ),
    st.builds(Back, st.sampled_from(NAMES), st.integers(0, 60)),
    # Of whoever is out, as it would be told: drawn numbers alone rarely meet one.
    st.builds(lambda name: ("back", name), st.sampled_from(NAMES)),
    st.builds(
        lambda order, name, step: ("went", order, name, step),
        orders,
        st.sampled_from(NAMES),
        st.sampled_from([Step.FAILED, Step.DRAINED]),
    ),
    st.builds(Went, orders, st.sampled_from(NAMES), st.integers(0, 60), st.sampled_from(Step)),
    st.builds(Next, orders, st.integers(0, 5)),
    st.builds(Stop, st.sampled_from(["", "a", "b", "c"]), st.just("why"), st.booleans()),
    st.builds(Away, st.sampled_from(NAMES)),
    st.builds(Halt, st.just("why"), st.booleans()),
    st.builds(Retire, st.sampled_from(NAMES)),
)


@given(st.lists(told, max_size=80))
@settings(max_examples=300, deadline=None)
def test_whatever_is_told_the_book_keeps_its_laws(commands: list[Any]) -> None:
    record = Record()
    book = record.book
    turns = {name: (0, 0) for name in NAMES}
    for command in commands:
        if isinstance(command, tuple):
            name = command[-1] if command[0] == "back" else command[2]
            held = book.register.out.get(name)
            number = held.number if held else 0
            command = (
                Back(name, number) if command[0] == "back" else Went(command[1], name, number, command[3])
            )
        before = set(book.register.out)
        record.says(command)
        permits = [name for name, held in book.register.out.items() if held is not None]
        units = {name: unit for name, unit in book.register.units.items() if name in permits}
        grew = len(set(book.register.out) - before)
        if isinstance(command, Ask) and grew:
            assert len(book.register.out) <= LIMITS.most, "leave was given past what may be out"
            for region in ("north", "south"):
                away = [n for n in book.register.out if book.register.units[n].region == region]
                here = [n for n in away if units.get(n) and n == command.name]
                assert not here or len(away) <= LIMITS.in_region
        for name, want in book.wants.items():
            assert want.turn >= turns[name], "what is wanted goes back to a former turn"
            turns[name] = want.turn
        busy = [one for one in book.orders.values() if one.phase in BUSY and one.kind is not Kind.UNDRAIN]
        assert len(busy) <= 1, "two orders take out at once"
        waiting = any(one.phase is Phase.QUEUED for one in book.orders.values())
        assert busy or not waiting, "one waits and none goes"
        for order in book.orders.values():
            for name, member in order.members.items():
                held = book.register.out.get(name)
                if order.phase is not Phase.ENDED and member.step in (Step.OUT, Step.FAILED):
                    assert held is not None, (order.id, name, member)
                    assert held.number == member.number, (order.id, name, member)
            if order.phase is Phase.ENDED:
                assert order.result in ("done", "in part", "halted")
                assert not {m.step for m in order.members.values()} & {Step.OUT, Step.TO_RETURN, Step.WAITING}
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(book), type=Book) == book


# A keeper


def keeper(memory: Memory | None = None) -> Keeping:
    return Keeping(Facts("e0", versions=("v1", "v2")), memory or Memory("v1"))


def does(one: Keeping, now: int = 0) -> list[Do]:
    """All that it wants done now, done."""
    done = []
    while (do := one.act(now)) is not None:
        done.append(do)
        if do is Do.SAVE:
            one.saved()
        elif do is Do.STOP:
            one.asked_to_stop()
        else:
            one.started(now, one.memory.version)
    return done


def serving(life: int = 1) -> Counts:
    return Counts(life, True, True)


def test_a_turn_is_on_disk_before_it_begins_and_begins_once() -> None:
    one = keeper()
    assert does(one) == [Do.START, Do.SAVE]
    want = Want("v2", True, 7, 0, "r")
    assert one.wanted(0, want, True)
    assert not one.wanted(0, want, True), "told again"
    assert does(one) == [Do.SAVE, Do.STOP]
    assert (one.report().turn, one.report().outcome, one.report().runs) == ((7, 0), "", False)
    one.ended(SECOND)
    assert does(one, SECOND) == [Do.START, Do.SAVE]
    assert one.running == "v2"
    one.told(serving())
    assert one.report().outcome == "", "done is told once it is on disk"
    assert does(one, SECOND) == [Do.SAVE]
    assert one.report().outcome == "done"
    assert not one.wanted(0, Want("v1", True, 6, 1), True), "a lower turn is void"


def test_a_keeper_started_again_in_a_turn_goes_on_with_it() -> None:
    one = keeper()
    does(one)
    one.wanted(0, Want("v2", True, 7, 0, "r"), True)
    one.saved()
    again = keeper(msgspec.msgpack.decode(msgspec.msgpack.encode(one.memory), type=Memory))
    again.resumes(runs=True)
    assert does(again) == [Do.STOP], "whether it was stopped already nobody knows"
    again.ended(SECOND)
    assert does(again, SECOND) == [Do.START, Do.SAVE]
    assert again.running == "v2"


def test_a_keeper_that_lost_its_disk_does_not_repeat_a_turn_whose_permit_is_over() -> None:
    one = keeper()
    does(one)
    assert not one.wanted(0, Want("v2", True, 7, 0, "r"), is_open=False)
    assert does(one) == [Do.SAVE], "it goes on running: it has no leave to go out"
    assert one.runs, "it goes on running: it has no leave to go out"
    assert one.report().turn == (7, 0)


def test_a_program_that_does_not_come_up_is_told_as_failed_and_tried_on() -> None:
    one = keeper()
    does(one)
    one.wanted(0, Want("v2", True, 7, 0, "r"), True)
    does(one)
    one.ended(0)
    now = 0
    for _ in range(3):
        now = max(now, one.due)
        assert Do.START in does(one, now)
        one.ended(now + SECOND // 10)
    assert one.report().outcome == ""
    does(one, now)
    assert one.report().outcome == "failed"
    assert "v2 ended 3 times" in one.report().why
    assert does(one, one.due) == [Do.START, Do.SAVE], "its wait over, once more"
    one.told(serving())
    does(one, one.due)
    assert one.report().outcome == "done"


def test_the_wait_between_starts_doubles_to_its_most() -> None:
    one = keeper()
    now, waits = 0, []
    for _ in range(12):
        does(one, now)
        one.ended(now)
        waits.append(one.due - now)
        now = one.due
    assert waits[:3] == [SECOND // 4, SECOND // 2, SECOND]
    assert waits[-1] == 15 * SECOND


def test_the_machine_s_wish_is_obeyed_in_any_turn_and_told() -> None:
    one = keeper()
    does(one)
    one.wanted(0, Want("v2", True, 7, 0, "r"), True)
    one.leave()
    assert does(one) == [Do.SAVE, Do.STOP]
    one.ended(0)
    assert does(one, 20 * SECOND) == []
    assert one.report().leaving
    assert not one.wanted(0, Want("v1", True, 8, 0), True)


def test_a_drained_one_is_down_and_comes_up_by_the_second_step() -> None:
    one = keeper()
    does(one)
    one.wanted(0, Want("v1", False, 7, 0, "d"), True)
    assert does(one) == [Do.SAVE, Do.STOP]
    one.ended(0)
    assert does(one) == [Do.SAVE]
    assert (one.report().outcome, one.report().runs) == ("done", False)
    again = keeper(one.memory)
    assert does(again) == [], "a keeper's restart brings nobody in"
    again.wanted(0, Want("v1", True, 7, 1, "u"), True)
    assert does(again) == [Do.SAVE, Do.START, Do.SAVE]


def test_an_unknown_version_is_told_as_failed_and_takes_nobody_out() -> None:
    one = keeper()
    does(one)
    one.wanted(0, Want("v9", True, 7, 0, "r"), True)
    assert does(one) == [Do.SAVE]
    assert one.runs
    assert one.report().outcome == "failed"
    assert "v9" in one.report().why


# Evidence that somebody is in


def report(name: str, taken: int = 0, life: int = 1, **more: Any) -> Report:
    facts = Facts(name, region="north", capacity=100, versions=("v1",))
    return Report(facts, "v1", True, counts=Counts(life, True, True, taken), **more)


def test_in_is_told_by_serving_and_a_share_and_never_by_time() -> None:
    watch, want = Watch(0), Want("v1")

    def is_in(now: int) -> bool:
        return watch.is_in("e0", want, now, lambda name: False)

    watch.heard(SECOND, report("e1", 100), SECOND)
    watch.heard(SECOND, report("e0", 0, life=5), SECOND)
    assert is_in(SECOND), "nobody beside it has taken any since"
    watch.heard(2 * SECOND, report("e1", 200), 2 * SECOND)
    watch.heard(2 * SECOND, report("e0", 0, life=5), 2 * SECOND)
    assert not is_in(2 * SECOND), "those beside it take dialogs and it takes none"
    watch.heard(3 * SECOND, report("e0", 12, life=5), 3 * SECOND)
    assert is_in(3 * SECOND)
    watch.heard(3 * SECOND, report("e0", 0, life=6), 3 * SECOND)
    watch.heard(4 * SECOND, report("e1", 300), 4 * SECOND)
    assert not is_in(4 * SECOND), "another process begins anew"
    watch.heard(60 * SECOND, report("e0", 90, life=6), 5 * SECOND)
    assert not is_in(60 * SECOND), "a report that was long under way is no news"


def test_in_needs_the_turn_that_is_wanted_done() -> None:
    watch = Watch(0)
    want = Want("v1", True, 7, 0)
    for told, expected in ((("", (7, 0)), False), (("done", (6, 0)), False), (("done", (7, 0)), True)):
        outcome, (number, step) = told
        watch.heard(0, report("e0", number=number, step=step, outcome=outcome), 0)
        assert watch.is_in("e0", want, 0, lambda name: False) is expected


# The conductor


def conducted(record: Record, **rules: Any) -> Conductor:
    return Conductor(Rules({Sort.EDGE: LIMITS}, **rules), random.Random(1).random, 0)


def all_report(one: Conductor, record: Record, now: int, **counts: Any) -> None:
    for name, unit in record.book.register.units.items():
        want = record.book.wants[name]
        told = Counts(life=1, serving=True, ready=True, trust=counts.get("trust", "settled"))
        facts = Facts(name, unit.sort, unit.region, unit.capacity, 0.0, ("v1", "v2"))
        done = "done" if want.number else ""
        one.heard(now, Report(facts, want.version, True, want.number, want.step, done, counts=told), now)


def test_whoever_is_silent_is_away_and_a_new_leader_gives_all_the_time_to_be_heard() -> None:
    record = Record()
    one = conducted(record)
    assert one.step(3 * SECOND, record.book) == []
    all_report(one, record, 4 * SECOND)
    one.watch.forget(["e3"])
    assert one.step(5 * SECOND, record.book) == [Away("e3")]
    record.says(Away("e3"))
    all_report(one, record, 5 * SECOND)
    assert one.step(5 * SECOND, record.book) == [Back("e3", 0)]


def test_an_unsettled_view_takes_nothing_out_and_halts_in_the_end() -> None:
    record = Record()
    one = conducted(record, unsettled=5 * SECOND)
    record.place("a", Kind.RESTART, "e0", "e1")
    all_report(one, record, SECOND, trust="unsettled")
    assert one.step(SECOND, record.book) == []
    all_report(one, record, 4 * SECOND)
    assert [type(command) for command in one.step(4 * SECOND, record.book)] == [Ask]
    all_report(one, record, 5 * SECOND, trust="unsettled")
    one.step(5 * SECOND, record.book)
    all_report(one, record, 11 * SECOND, trust="unsettled")
    assert any(isinstance(command, Stop) for command in one.step(11 * SECOND, record.book))


def test_most_of_the_fleet_cut_off_halts_at_once() -> None:
    record = Record()
    one = conducted(record)
    record.place("a", Kind.RESTART, "e0", "e1")
    all_report(one, record, SECOND, trust="cut off")
    (stop,) = one.step(SECOND, record.book)
    assert isinstance(stop, Stop)
    assert "cut off" in stop.why


def test_too_few_dialogs_are_no_leave_to_go_on() -> None:
    record = Record()
    one = conducted(record, evidence=Rule(least=10))
    waves = record.place("r", Kind.RELEASE, *record.book.register.units, version="v2").waves
    record.says(Back(waves[0][0], record.leave("r", waves[0][0])))
    for at in range(1, 300):
        all_report(one, record, at * SECOND)
        assert one.step(at * SECOND, record.book) == []


def test_a_release_that_holds_far_more_memory_is_halted() -> None:
    record = Record()
    one = conducted(record)
    waves = record.place("r", Kind.RELEASE, *record.book.register.units, version="v2").waves
    record.says(Back(waves[0][0], record.leave("r", waves[0][0])))
    for more, halts in ((0, False), (40, False), (200, True)):
        all_report(one, record, SECOND)
        for name, seen in one.watch.seen.items():
            held = (100 + (more if name == waves[0][0] else 0)) * 2**20
            counts = msgspec.structs.replace(seen.report.counts, memory=held)
            seen.report = msgspec.structs.replace(seen.report, counts=counts)
        stops = [command for command in one.step(SECOND, record.book) if isinstance(command, Stop)]
        assert bool(stops) is halts, more
        assert not stops or stops[0].why == "released ones hold 300 MiB in the median, the others 100"


def test_limits_that_no_order_could_meet_refuse_all() -> None:
    record = Record(limits=Limits(6, 3))
    assert (
        record.place("a", Kind.RESTART, "e0").why == "by these limits: all 6 edge proxies may be out at once"
    )


# Courses


@pytest.mark.parametrize("version", VERSIONS[1:])
def test_a_release_by_what_it_is(version: str) -> None:
    course = Rollout(1, 12, loss=0.0)
    place = Place("r", Kind.RELEASE, tuple(sorted(course.fleet)), version)
    course.at(10 * SECOND, course.order, place)
    course.run(330 * SECOND)
    course.judge()
    assert course.leader is not None
    order = course.leader.book.orders["r"]
    if version == "v2":
        assert order.result == "done"
        assert {one.version for one in course.fleet.values()} == {version}
    else:
        assert order.result == "halted"
        assert order.why
        assert {one.version for one in course.fleet.values()} == {"v1"}


@pytest.mark.parametrize("seed", range(12))
def test_courses_of_faults_keep_the_limits_and_repeat_nothing(seed: int) -> None:
    course = Rollout(seed, 12)
    course.course(90)
    course.judge()


def test_once_faults_are_over_every_order_comes_to_its_end() -> None:
    """An undrain queued behind an order that waited for the room it gives back, and an instance whose keeper
    did not know what ran, left orders waiting for good."""
    for seed in (2001, 2016, 2018):
        course = Rollout(seed, 12)
        course.course(90)
        course.run(course.now + 240 * SECOND)
        assert course.leader is not None
        assert {order.phase for order in course.leader.book.orders.values()} == {Phase.ENDED}, seed


def test_an_undrain_waits_for_nobody() -> None:
    record = Record()
    record.place("d", Kind.DRAIN, "e0")
    number = record.leave("d", "e0")
    record.says(Went("d", "e0", number, Step.DRAINED))
    record.place("a", Kind.RESTART, "e2")
    refused = record.says(Ask("a/e2/0", "e2", "a"))
    assert refused.permit is None
    assert "of d" in refused.why
    record.place("u", Kind.UNDRAIN, "e0")
    assert record.book.wants["e0"].turn == (number, 1)
    record.says(Back("e0", number))
    assert record.book.orders["u"].result == "done"
    record.leave("a", "e2", 1)


@pytest.mark.parametrize("plant", ["again", "lapse"])
def test_courses_find_a_planted_fault(plant: str) -> None:
    with pytest.raises(Broken):
        for seed in range(40):
            course = Rollout(seed, 12, plant=plant)
            course.course(90, orders=0.3)
            course.judge()
