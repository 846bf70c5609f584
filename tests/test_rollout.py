"""Limits, permits, the council and the evidence of a release: units, seeded courses, planted faults."""

from __future__ import annotations

import random
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from valverouter.emulator.councils import Broken, Course
from valverouter.ledger.councilstore import CouncilStore
from valverouter.ledger.dialog_store import StoreError, StoreLockedError
from valverouter.rollout.council import (
    KEPT,
    PATIENCE,
    Append,
    Appended,
    Councillor,
    Durable,
    Entry,
    Members,
    Part,
    Save,
    SaveEntries,
    SaveSnapshot,
    SaveTerm,
    Snapshot,
    Vote,
    Voted,
)
from valverouter.rollout.evidence import Evidence, Rule, Tally, Verdict
from valverouter.rollout.limits import Limits, Sort, Unit, impossible, refusal, waves
from valverouter.rollout.model import PLANTS, Model
from valverouter.rollout.model import Broken as ModelBroken
from valverouter.rollout.orders import Book
from valverouter.rollout.permits import Ask, Away, Back, Command, Enrol, Fence, Halt, Permit, Register

SECOND = 10**9


def units(count: int = 6, regions: tuple[str, ...] = ("north", "south")) -> list[Unit]:
    return [Unit(f"e{at}", Sort.EDGE, regions[at % len(regions)], 100) for at in range(count)]


def register(limits: Limits | None = None, count: int = 6) -> Register:
    one = Register()
    one.apply(1, Enrol(tuple(units(count)), ((Sort.EDGE, limits or Limits(2, 1)),)))
    return one


# Limits


def test_a_refusal_says_which_limit_and_by_whom_it_is_used() -> None:
    limits = Limits(most=2, in_region=1, least_capacity=0.5)
    fleet = units()
    assert refusal(limits, fleet, [], fleet[0]) is None
    assert (
        str(refusal(limits, fleet, ["e2"], fleet[0]))
        == "edge proxies out at once in north: 1 of 1, used by e2"
    )
    assert "edge proxies out at once: 2 of 2, used by e1, e2" in str(
        refusal(limits, fleet, ["e1", "e2"], fleet[0])
    )
    tight = Limits(most=4, in_region=3, least_capacity=0.5)
    assert refusal(tight, fleet, ["e2"], fleet[0]) is not None, "a third of 300 stays, half must"
    assert refusal(tight, fleet, ["e0"], fleet[0]) is None, "out already, it uses no more room"
    server = Unit("s0", Sort.SERVER, "north", 400, 1.0)
    both = [*fleet, server, Unit("s1", Sort.SERVER, "north", 400, 1.0)]
    assert refusal(limits, both, ["e0", "e1", "e2"], server) is None, "servers are counted apart"


def test_a_region_s_processor_must_stay_too() -> None:
    fleet = [Unit("s0", Sort.SERVER, "n", 100, 3.0), Unit("s1", Sort.SERVER, "n", 100, 1.0)]
    limits = Limits(most=1, in_region=1, least_capacity=0.5, least_processor=0.5)
    assert refusal(limits, fleet, [], fleet[1]) is None
    assert "least processor of n" in str(refusal(limits, fleet, [], fleet[0]))


@pytest.mark.parametrize(
    ("limits", "said"),
    [
        (Limits(0, 1), "no edge proxy could ever go out"),
        (Limits(1, 2), "more edge proxies may be out in a region (2) than in all (1)"),
        (Limits(6, 3), "all 6 edge proxies may be out at once"),
        (Limits(2, 1, {"west": 1}), "there is no edge proxy in west"),
        (Limits(2, 1, least_capacity=0.9), "it would leave less than the least capacity"),
    ],
)
def test_limits_that_no_order_could_meet_are_told_beforehand(limits: Limits, said: str) -> None:
    assert any(said in flaw for flaw in impossible(limits, Sort.EDGE, units()))
    assert not impossible(Limits(2, 1, least_capacity=0.6), Sort.EDGE, units())


@settings(max_examples=60, deadline=None)
@given(st.integers(2, 40), st.integers(1, 8), st.integers(1, 4), st.sampled_from([0.0, 0.4, 0.7]))
def test_waves_keep_every_limit_and_leave_nobody_out(count: int, most: int, here: int, least: float) -> None:
    fleet, limits = units(count, ("n", "s", "w")), Limits(most, here, least_capacity=least)
    wanted = [unit.name for unit in fleet]
    try:
        made = waves(limits, fleet, [], wanted)
    except ValueError as error:
        assert "least capacity" in str(error)
        return
    assert sorted(name for wave in made for name in wave) == sorted(wanted)
    assert len(made[0]) == 1, "one first"
    by_name = {unit.name: unit for unit in fleet}
    for wave in made:
        assert len({by_name[name].region for name in wave}) == 1
        out: list[str] = []
        for name in wave:
            assert refusal(limits, fleet, out, by_name[name]) is None
            out.append(name)


# Permits


def test_a_crash_uses_up_the_room_that_a_drain_would_have_had() -> None:
    one = register()
    one.apply(2, Away("e0"))
    answer = one.apply(3, Ask("a", "e2"))
    assert answer is not None
    assert answer.permit is None
    assert "used by e0" in answer.why
    one.apply(4, Back("e0"))
    answer = one.apply(5, Ask("b", "e2"))
    assert answer is not None
    assert answer.permit == Permit(5, "e2", "")


def test_out_becomes_in_by_the_number_it_went_out_by_and_no_other() -> None:
    one = register()
    one.apply(2, Ask("a", "e0"))
    one.apply(3, Back("e0", 2))
    one.apply(4, Ask("b", "e0"))
    one.apply(5, Back("e0", 2))
    assert one.out["e0"] == Permit(4, "e0", ""), "the former permit's end, told late, ends nothing"
    one.apply(6, Back("e0"))
    assert "e0" in one.out
    one.apply(7, Back("e0", 4))
    assert not one.out


def test_an_ask_told_again_gets_its_first_answer() -> None:
    one = register()
    first = one.apply(2, Ask("a", "e0", "roll"))
    one.apply(3, Back("e0", 2))
    assert one.apply(9, Ask("a", "e0", "roll")) == first, "not carried out twice"
    assert not one.out, "not carried out twice"


def test_what_is_refused_says_why() -> None:
    one = register()
    assert "not enrolled" in str(one.apply(2, Ask("a", "e9")))
    one.apply(3, Halt("declines"))
    assert "halted: declines" in str(one.apply(4, Ask("b", "e0")))
    one.apply(5, Halt("", over=True))
    one.apply(6, Ask("c", "e0", "roll"))
    assert "out already, by permit 6 of roll" in str(one.apply(7, Ask("d", "e0")))
    assert "of roll; ask again" in str(one.apply(8, Ask("e", "e2")))
    empty = Register()
    empty.apply(1, Enrol(tuple(units())))
    assert "no limits are told" in str(empty.apply(2, Ask("a", "e0")))


def test_a_fence_lets_no_lower_number_through() -> None:
    fence = Fence()
    assert fence.accepts(Permit(5, "e0", ""))
    assert fence.accepts(Permit(5, "e0", ""))
    assert fence.accepts(Permit(8, "e0", ""))
    assert not fence.accepts(Permit(5, "e0", ""))
    assert fence.accepts(Permit(2, "e1", ""))
    fence.over(Permit(8, "e0", ""))
    assert not fence.accepts(Permit(8, "e0", "")), "a copy that comes late"
    assert fence.accepts(Permit(9, "e0", ""))


COMMANDS = st.one_of(
    st.builds(Ask, st.uuids().map(str), st.sampled_from([f"e{at}" for at in range(8)])),
    st.builds(Back, st.sampled_from([f"e{at}" for at in range(8)]), st.integers(0, 30)),
    st.builds(Away, st.sampled_from([f"e{at}" for at in range(8)])),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(COMMANDS, max_size=40))
def test_whatever_is_told_permits_keep_the_limits_and_numbers_grow(commands: list[Command]) -> None:
    one, two = register(Limits(3, 2), 8), register(Limits(3, 2), 8)
    numbers = []
    for number, command in enumerate(commands, 2):
        answer = one.apply(number, command)
        assert two.apply(number, command) == answer
        if answer is not None and answer.permit is not None:
            numbers.append(answer.permit.number)
            assert len(one.out) <= 3, "with those away counted"
            north = [name for name in one.out if int(name[1:]) % 2 == 0]
            assert len(north) <= 2 or int(answer.permit.name[1:]) % 2
    assert numbers == sorted(set(numbers))


# The council


class Table:
    """Councillors with perfect paths, stepped by hand."""

    def __init__(self, count: int = 3) -> None:
        disks = tuple((f"c{at}", at + 1) for at in range(count))
        self.now = 0
        self.ones: dict[str, Councillor] = {}
        for name, disk in disks:
            durable = Durable(disk)
            durable.apply(SaveEntries(1, (Entry(1, Members(disks)),)))
            self.ones[name] = Councillor(name, durable, random.Random(name).random, 0)
        self.cut: set[str] = set()

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += PATIENCE // 8
            for one in self.ones.values():
                one.tick(self.now)
            self.carry()

    def carry(self) -> None:
        while any(one.out for one in self.ones.values()):
            for one in self.ones.values():
                out, one.out = one.out, []
                for to, message in out:
                    if to in self.ones and not {to, one.name} & self.cut:
                        self.ones[to].heard(self.now, message)

    @property
    def leader(self) -> Councillor:
        (leads,) = [one for one in self.ones.values() if one.part is Part.LEADER and one.name not in self.cut]
        return leads


def test_a_council_finds_a_leader_and_agrees() -> None:
    table = Table()
    table.run(5)
    assert table.leader.propose(table.now, "x")
    table.run(1)
    for one in table.ones.values():
        assert [what for _, what in one.decided if isinstance(what, str)] == ["x"]
        assert one.leader == table.leader.name
    assert not next(one for one in table.ones.values() if one.part is not Part.LEADER).propose(0, "y")


def test_the_smaller_side_of_a_cut_agrees_on_nothing_and_knows_it() -> None:
    table = Table(5)
    table.run(5)
    former = table.leader
    table.cut = {former.name}
    former.propose(table.now, "lost")
    table.run(8)
    assert former.part is not Part.LEADER, "a leader that nobody answers is none"
    assert table.leader.propose(table.now, "kept")
    table.run(1)
    table.cut = set()
    table.run(3)
    for one in table.ones.values():
        assert [what for _, what in one.decided if isinstance(what, str)] == ["kept"]


def test_one_that_was_stopped_does_not_depose_the_leader_when_it_wakes() -> None:
    table = Table()
    table.run(5)
    leader, term = table.leader.name, table.leader.durable.term
    sleeper = next(name for name in table.ones if name != leader)
    table.cut = {sleeper}
    table.run(20)
    table.cut = set()
    table.run(5)
    assert (table.leader.name, table.leader.durable.term) == (leader, term)


def test_a_term_that_one_refuses_in_advance_by_is_heard() -> None:
    """Found by courses: the longer record with the lower term, and the other way round, asked for ever."""
    table = Table()
    long, short = table.ones["c0"], table.ones["c1"]
    long.durable.apply(SaveEntries(2, tuple(Entry(1, at) for at in range(5))))
    short.durable.term = 4
    table.cut = {"c2"}
    table.run(20)
    assert table.leader is long


def test_a_vote_counts_once_and_only_with_its_disk() -> None:
    table = Table()
    one = table.ones["c0"]
    one.tick(5 * SECOND)
    assert one.part is Part.ASKING
    for _ in range(3):
        one.heard(5 * SECOND, Voted(1, "c1", 99, True, ahead=True))
    assert one.part is Part.ASKING, "another disk: it has forgotten what it voted"
    one.heard(5 * SECOND, Voted(1, "c1", 2, True, ahead=True))
    assert one.part.value == "candidate"
    one.heard(5 * SECOND, Voted(1, "c0", 1, True))
    assert one.part.value == "candidate", "its own again"
    one.heard(5 * SECOND, Voted(1, "c2", 3, True))
    assert one.part.value == "leader"


def test_a_vote_is_given_once_a_term_and_over_a_restart() -> None:
    table = Table()
    one = table.ones["c2"]
    one.heard(5 * SECOND, Vote(7, "c0", 1, 1, 1))
    one.heard(5 * SECOND, Vote(7, "c1", 2, 1, 1))
    given = [message.given for _, message in one.out if isinstance(message, Voted)]
    assert given == [True, False]
    again = Councillor("c2", one.durable, random.random, 6 * SECOND)
    again.heard(9 * SECOND, Vote(7, "c1", 2, 1, 1))
    assert [message.given for _, message in again.out if isinstance(message, Voted)] == [False]


def test_an_entry_of_a_former_term_is_agreed_on_with_one_of_the_leader_s_own_only() -> None:
    """Figure 8 of the paper: on a majority's disks, and yet it may be written over."""
    table = Table()
    one = table.ones["c0"]
    one.durable.apply(SaveEntries(2, (Entry(2, "old"),)))
    one.durable.term = 3
    one.tick(5 * SECOND)
    one.heard(5 * SECOND, Voted(4, "c1", 2, True, ahead=True))
    one.heard(5 * SECOND, Voted(4, "c1", 2, True))
    assert one.part is Part.LEADER
    assert one.last == 3
    one.heard(5 * SECOND, Appended(4, "c1", 2, True, 2))
    assert one.agreed == 0
    one.heard(5 * SECOND, Appended(4, "c1", 2, True, 3))
    assert one.agreed == 3


def test_what_differs_behind_the_leader_s_word_is_written_over_and_nothing_else() -> None:
    table = Table()
    one = table.ones["c1"]
    one.durable.apply(SaveEntries(2, (Entry(1, "a"), Entry(1, "b"))))
    one.heard(SECOND, Append(2, "c0", 1, 1, (Entry(1, "a"),), 2))
    assert [entry.what for entry in one.durable.entries[1:]] == ["a", "b"], "a repeat takes nothing away"
    one.heard(SECOND, Append(2, "c0", 2, 1, (Entry(2, "c"),), 3))
    assert [entry.what for entry in one.durable.entries[1:]] == ["a", "c"]
    assert one.agreed == 3
    one.heard(SECOND, Append(2, "c0", 9, 2, (), 3))
    assert one.out[-1][1] == Appended(2, "c1", 2, False, 3)
    one.heard(SECOND, Append(1, "c2", 1, 1, (Entry(1, "z"),), 2))
    assert [entry.what for entry in one.durable.entries[1:]] == ["a", "c"], "of a leader gone by"


def test_a_long_record_becomes_a_snapshot_and_one_that_was_away_takes_it() -> None:
    table = Table()
    table.run(5)
    away = next(name for name in table.ones if name != table.leader.name)
    table.cut = {away}
    states = {name: 0 for name in table.ones}
    for name, one in table.ones.items():
        one._state = lambda name=name: states[name]  # type: ignore[misc]
        one._install = lambda state, name=name: states.__setitem__(name, state)  # type: ignore[misc]
    for number in range(KEPT + 60):
        table.leader.propose(table.now, 1)
        table.carry()
        if number % 50 == 49:
            table.run(0.5)
            for name, one in table.ones.items():
                states[name] += sum(isinstance(what, int) for _, what in one.decided)
                one.decided.clear()
                one.compact()
    table.run(2)
    leader = table.leader
    assert leader.durable.snapshot is not None
    assert len(leader.durable.entries) < KEPT
    table.cut = set()
    table.run(3)
    one = table.ones[away]
    total = states[away] + sum(isinstance(what, int) for _, what in one.decided)
    assert total == KEPT + 60
    assert one.agreed == leader.agreed
    assert one.members == leader.members


def test_members_change_one_at_a_time_and_a_lost_disk_is_another_member() -> None:
    table = Table()
    table.run(5)
    leader = table.leader
    lost = next(name for name in table.ones if name != leader.name)
    table.ones[lost] = Councillor(lost, Durable(77), random.random, table.now)
    table.run(3)
    assert table.ones[lost].last == 0 or not table.ones[lost].is_member
    assert "must go first" in leader.replace(table.now, "", (lost, 77))
    assert leader.replace(table.now, lost, (lost, 77)).startswith("one change at a time")
    assert leader.replace(table.now, lost, None) == ""
    assert leader.replace(table.now, "", (lost, 77)) in ("another change is under way", "")
    table.run(2)
    leader.replace(table.now, "", (lost, 77))
    table.run(3)
    assert table.ones[lost].is_member
    assert table.ones[lost].agreed == leader.agreed
    assert leader.replace(table.now, "nobody", None) == "that changes nothing"


def test_courses_of_faults_keep_the_limits_and_the_council_comes_back() -> None:
    found = 0
    for seed in range(14):
        course = Course(seed)
        course.run(30)
        assert course.is_whole() == "", f"seed {seed}"
        found += course.found["out"]
    assert found > 100


def test_courses_with_five_members() -> None:
    for seed in range(100, 103):
        course = Course(seed, seats=5, holders=20, limits=Limits(4, 2))
        course.run(30)
        assert course.is_whole() == "", f"seed {seed}"


@pytest.mark.parametrize("plant", ["disk", "fence"])
def test_courses_find_what_is_planted(plant: str) -> None:
    """A member that votes on without its disk; a permit that is used again after its end."""
    with pytest.raises(Broken):
        for seed in range(60):
            Course(seed, plant=plant).run(40)


@pytest.mark.parametrize(
    ("model", "states"), [(Model(terms=1, crashes=0), 1_879), (Model(terms=2, length=1, crashes=1), 12_416)]
)
def test_no_order_of_steps_lets_more_out_than_allowed(model: Model, states: int) -> None:
    assert model.walk() == states


@pytest.mark.parametrize("without", PLANTS)
def test_the_walk_finds_each_planted_fault(without: str) -> None:
    terms, length, crashes = (2, 1, 1) if without == "memory" else (1, 3, 0)
    with pytest.raises(ModelBroken):
        Model(terms=terms, length=length, crashes=crashes, without=without, deep=crashes > 0).walk()


# The evidence


def released(
    rule: Rule, bad: float, normal: float, seed: int, spans: int = 400, night: bool = False
) -> Evidence:
    chance = random.Random(seed)
    evidence = Evidence(("declined", "late"), rule, chance.random)
    for _ in range(spans):
        size = 1 if night else 20
        for measure in evidence.measures:
            worse = bad if measure == "declined" else normal
            ours = Tally(sum(chance.random() < worse for _ in range(size)), size)
            theirs = Tally(sum(chance.random() < normal for _ in range(3 * size)), 3 * size)
            evidence.span({"north": ours}, {"north": theirs, "south": theirs}, measure)
        if evidence.verdict is not Verdict.WAIT:
            break
    return evidence


def test_harm_halts_and_no_harm_goes_on_with_the_chances_stated() -> None:
    rule = Rule(false_halt=0.01, missed=0.05, odds=2.0)
    harmless = [released(rule, 0.05, 0.05, seed).verdict for seed in range(200)]
    assert harmless.count(Verdict.HALT) <= 6
    assert harmless.count(Verdict.GO) > 150
    harmful = [released(rule, 0.15, 0.05, seed) for seed in range(60)]
    assert sum(one.verdict is Verdict.HALT for one in harmful) >= 55
    halted = next(one for one in harmful if one.verdict is Verdict.HALT)
    assert halted.why.startswith("declined: ")


def test_too_little_is_no_leave_to_go_on() -> None:
    assert released(Rule(), 0.05, 0.05, 1, spans=100, night=True).verdict is Verdict.WAIT
    nobody = Evidence(("declined",), Rule(), random.random)
    nobody.span({"north": Tally(0, 50)}, {"south": Tally(0, 50)}, "declined")
    assert nobody.verdict is Verdict.WAIT, "no region in common"
    assert not nobody.comparisons["declined"].pairs, "no region in common"


def test_a_slow_server_strikes_both_and_halts_nothing() -> None:
    verdicts = [released(Rule(false_halt=0.01), 0.4, 0.4, seed).verdict for seed in range(40)]
    assert verdicts.count(Verdict.HALT) <= 2


def test_a_halt_is_not_taken_back_by_a_better_hour() -> None:
    evidence = released(Rule(), 0.5, 0.05, 3)
    assert evidence.verdict is Verdict.HALT
    for _ in range(200):
        evidence.span({"n": Tally(0, 20)}, {"n": Tally(10, 20)}, "declined")
    assert evidence.verdict is Verdict.HALT


# What a councillor keeps


def enrolled() -> Enrol:
    return Enrol(tuple(units(2)), ((Sort.EDGE, Limits(2, 1, {"north": 1}, 0.5)),))


def test_what_is_committed_is_read_back_as_it_was_applied(tmp_path: Path) -> None:
    store, here = CouncilStore(tmp_path, 7), Durable(7)
    one = Book(register())
    members = Members((("c0", 7), ("c1", 8)))
    steps: list[list[Save]] = [
        [SaveTerm(3, "c1"), SaveEntries(1, (Entry(1, members), Entry(1, enrolled()), Entry(2, None)))],
        [SaveEntries(3, (Entry(3, Ask("a", "e0", "roll")), Entry(3, Away("e1")), Entry(3, Halt("why"))))],
        [SaveSnapshot(Snapshot(4, 3, members, one))],
        [SaveEntries(6, (Entry(3, Back("e1")),)), SaveTerm(4, "")],
    ]
    for saves in steps:
        store.commit(saves)
        for save in saves:
            here.apply(save)
        assert store.load() == here
    store.close()
    again = CouncilStore(tmp_path, 99)
    assert again.load() == here, "its disk's number is the one that it began with"
    with pytest.raises(StoreLockedError):
        CouncilStore(tmp_path, 1)
    again.commit([SaveSnapshot(Snapshot(40, 9, members, one))])
    assert again.load().entries == [], "a snapshot past all that is here"
    again.close()


def test_a_commit_that_fails_leaves_nothing_of_it(tmp_path: Path) -> None:
    store = CouncilStore(tmp_path, 7)
    store.commit([SaveTerm(1, "c0")])
    bad: Any = SaveEntries(1, (Entry(1, object()),))
    with pytest.raises(TypeError):
        store.commit([SaveTerm(2, "c1"), bad])
    assert (store.load().term, store.load().voted) == (1, "c0")
    store.close()


@pytest.mark.parametrize("what", ["flipped", "cut off", "entry missing"])
def test_a_store_that_can_not_be_read_whole_is_a_lost_disk(tmp_path: Path, what: str) -> None:
    store = CouncilStore(tmp_path, 7)
    store.commit([SaveEntries(1, tuple(Entry(1, Ask(f"ask-{at}", "e0")) for at in range(400)))])
    if what == "entry missing":
        with store._env.begin(write=True) as commit:
            commit.delete((200).to_bytes(8, "big"), db=store._record)
    store.close()
    file = tmp_path / "data.mdb"
    data = bytearray(file.read_bytes())
    if what == "flipped":
        data[data.index(b"ask-333")] ^= 1
    elif what == "cut off":
        data = data[: len(data) * 2 // 3]
    file.write_bytes(data)
    with pytest.raises(StoreError):
        CouncilStore(tmp_path, 8).load()


def test_killed_while_it_writes_a_store_holds_whole_commits(tmp_path: Path) -> None:
    """Each commit puts one term and as many entries of it; whatever is found agrees with itself."""
    script = """
import sys
from pathlib import Path
from valverouter.ledger.councilstore import CouncilStore
from valverouter.rollout.council import Entry, SaveEntries, SaveTerm
store = CouncilStore(Path(sys.argv[1]), 7)
durable, first = store.load(), store.load().first
term = durable.term
print("on", flush=True)
while True:
    term += 1
    last = len(durable.entries)
    saves = [SaveTerm(term, "c0"), SaveEntries(last + 1, (Entry(term, None), Entry(term, None)))]
    store.commit(saves)
    for save in saves:
        durable.apply(save)
"""
    chance = random.Random(5)
    for _ in range(6):
        process = subprocess.Popen([sys.executable, "-c", script, str(tmp_path)], stdout=subprocess.PIPE)
        assert process.stdout is not None
        assert process.stdout.readline() == b"on\n"
        time.sleep(chance.uniform(0.0, 0.05))
        process.kill()
        process.wait()
        process.stdout.close()
        store = CouncilStore(tmp_path, 1)
        durable = store.load()
        store.close()
        assert len(durable.entries) == 2 * durable.term
        assert [entry.term for entry in durable.entries[-2:]] == [durable.term] * min(2, len(durable.entries))


def test_a_course_s_councillor_lives_on_in_a_store(tmp_path: Path) -> None:
    """Each save of a course also goes to a store, and what is read back is what the course's disk holds."""
    course = Course(3)
    seat = course.seats["c1"]
    store = CouncilStore(tmp_path, seat.durable.disk)
    store.commit([SaveEntries(1, tuple(seat.durable.entries))])
    applies = Durable.apply

    def both(self: Durable, save: Save) -> None:
        applies(self, save)
        if self is seat.durable:
            store.commit([save])

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Durable, "apply", both)
        course._fault = lambda: None  # type: ignore[method-assign]
        course.run(12)
    assert seat.durable.entries
    assert store.load() == seat.durable
    store.close()
