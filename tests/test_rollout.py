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

from valverouter.emulator.permit_simulation import PermitSimulation
from valverouter.emulator.raft_group import InvariantViolationError
from valverouter.ledger.raft_store import RaftStore
from valverouter.ledger.store import LedgerBusyError, LedgerError
from valverouter.rollout.disruption_limits import (
    DisruptionLimits,
    Instance,
    InstanceKind,
    find_exceeded_limit,
    find_unsatisfiable_limits,
    plan_waves,
)
from valverouter.rollout.disruption_permits import (
    EnrollInstances,
    Fence,
    HaltDisruptions,
    InstanceLost,
    InstanceReturned,
    Permit,
    PermitCommand,
    PermitRegister,
    RequestPermit,
)
from valverouter.rollout.operations import OperationLog
from valverouter.rollout.permit_model import PLANTED_FAULTS, PermitModel, SafetyViolationError
from valverouter.rollout.raft import COMPACTION_THRESHOLD, ELECTION_TIMEOUT, RaftNode, Role
from valverouter.rollout.raft_log import (
    Configuration,
    LogEntry,
    PersistentState,
    Save,
    SaveEntries,
    SaveSnapshot,
    SaveTerm,
    Snapshot,
)
from valverouter.rollout.raft_membership import MembershipChangeError
from valverouter.rollout.raft_messages import (
    AppendEntries,
    AppendEntriesResponse,
    RequestVote,
    RequestVoteResponse,
)
from valverouter.rollout.sequential_test import CanaryEvidence, OutcomeCount, SequentialTestConfig, Verdict

SECOND = 10**9


def units(count: int = 6, regions: tuple[str, ...] = ("north", "south")) -> list[Instance]:
    return [Instance(f"e{at}", InstanceKind.EDGE, regions[at % len(regions)], 100) for at in range(count)]


def register(limits: DisruptionLimits | None = None, count: int = 6) -> PermitRegister:
    one = PermitRegister()
    one.apply(
        1, EnrollInstances(tuple(units(count)), ((InstanceKind.EDGE, limits or DisruptionLimits(2, 1)),))
    )
    return one


# Limits


def test_a_refusal_says_which_limit_and_by_whom_it_is_used() -> None:
    limits = DisruptionLimits(max_unavailable=2, max_unavailable_per_region=1, min_capacity_fraction=0.5)
    fleet = units()
    assert find_exceeded_limit(limits, fleet, [], fleet[0]) is None
    assert (
        str(find_exceeded_limit(limits, fleet, ["e2"], fleet[0]))
        == "edge proxies out at once in north: 1 of 1, used by e2"
    )
    assert "edge proxies out at once: 2 of 2, used by e1, e2" in str(
        find_exceeded_limit(limits, fleet, ["e1", "e2"], fleet[0])
    )
    tight = DisruptionLimits(max_unavailable=4, max_unavailable_per_region=3, min_capacity_fraction=0.5)
    assert find_exceeded_limit(tight, fleet, ["e2"], fleet[0]) is not None, "a third of 300 stays, half must"
    assert find_exceeded_limit(tight, fleet, ["e0"], fleet[0]) is None, "out already, it uses no more room"
    server = Instance("s0", InstanceKind.SERVER, "north", 400, 1.0)
    both = [*fleet, server, Instance("s1", InstanceKind.SERVER, "north", 400, 1.0)]
    assert find_exceeded_limit(limits, both, ["e0", "e1", "e2"], server) is None, "servers are counted apart"


def test_a_region_s_processor_must_stay_too() -> None:
    fleet = [
        Instance("s0", InstanceKind.SERVER, "n", 100, 3.0),
        Instance("s1", InstanceKind.SERVER, "n", 100, 1.0),
    ]
    limits = DisruptionLimits(
        max_unavailable=1, max_unavailable_per_region=1, min_capacity_fraction=0.5, min_processor_fraction=0.5
    )
    assert find_exceeded_limit(limits, fleet, [], fleet[1]) is None
    assert "least processor of n" in str(find_exceeded_limit(limits, fleet, [], fleet[0]))


@pytest.mark.parametrize(
    ("limits", "said"),
    [
        (DisruptionLimits(0, 1), "no edge proxy could ever go out"),
        (DisruptionLimits(1, 2), "more edge proxies may be out in a region (2) than in all (1)"),
        (DisruptionLimits(6, 3), "all 6 edge proxies may be out at once"),
        (DisruptionLimits(2, 1, {"west": 1}), "there is no edge proxy in west"),
        (DisruptionLimits(2, 1, min_capacity_fraction=0.9), "it would leave less than the least capacity"),
    ],
)
def test_limits_that_no_order_could_meet_are_told_beforehand(limits: DisruptionLimits, said: str) -> None:
    assert any(said in flaw for flaw in find_unsatisfiable_limits(limits, InstanceKind.EDGE, units()))
    assert not find_unsatisfiable_limits(
        DisruptionLimits(2, 1, min_capacity_fraction=0.6), InstanceKind.EDGE, units()
    )


@settings(max_examples=60, deadline=None)
@given(st.integers(2, 40), st.integers(1, 8), st.integers(1, 4), st.sampled_from([0.0, 0.4, 0.7]))
def test_waves_keep_every_limit_and_leave_nobody_out(count: int, most: int, here: int, least: float) -> None:
    fleet, limits = units(count, ("n", "s", "w")), DisruptionLimits(most, here, min_capacity_fraction=least)
    wanted = [unit.name for unit in fleet]
    try:
        made = plan_waves(limits, fleet, [], wanted)
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
            assert find_exceeded_limit(limits, fleet, out, by_name[name]) is None
            out.append(name)


# Permits


def test_a_crash_uses_up_the_room_that_a_drain_would_have_had() -> None:
    one = register()
    one.apply(2, InstanceLost("e0"))
    answer = one.apply(3, RequestPermit("a", "e2"))
    assert answer is not None
    assert answer.permit is None
    assert "used by e0" in answer.rejection
    one.apply(4, InstanceReturned("e0"))
    answer = one.apply(5, RequestPermit("b", "e2"))
    assert answer is not None
    assert answer.permit == Permit(5, "e2", "")


def test_out_becomes_in_by_the_number_it_went_out_by_and_no_other() -> None:
    one = register()
    one.apply(2, RequestPermit("a", "e0"))
    one.apply(3, InstanceReturned("e0", 2))
    one.apply(4, RequestPermit("b", "e0"))
    one.apply(5, InstanceReturned("e0", 2))
    assert one.unavailable["e0"] == Permit(4, "e0", ""), "the former permit's end, told late, ends nothing"
    one.apply(6, InstanceReturned("e0"))
    assert "e0" in one.unavailable
    one.apply(7, InstanceReturned("e0", 4))
    assert not one.unavailable


def test_an_ask_told_again_gets_its_first_answer() -> None:
    one = register()
    first = one.apply(2, RequestPermit("a", "e0", "roll"))
    one.apply(3, InstanceReturned("e0", 2))
    assert one.apply(9, RequestPermit("a", "e0", "roll")) == first, "not carried out twice"
    assert not one.unavailable, "not carried out twice"


def test_what_is_refused_says_why() -> None:
    one = register()
    assert "not enrolled" in str(one.apply(2, RequestPermit("a", "e9")))
    one.apply(3, HaltDisruptions("declines"))
    assert "halted: declines" in str(one.apply(4, RequestPermit("b", "e0")))
    one.apply(5, HaltDisruptions("", lifted=True))
    one.apply(6, RequestPermit("c", "e0", "roll"))
    assert "out already, by permit 6 of roll" in str(one.apply(7, RequestPermit("d", "e0")))
    assert "of roll; ask again" in str(one.apply(8, RequestPermit("e", "e2")))
    empty = PermitRegister()
    empty.apply(1, EnrollInstances(tuple(units())))
    assert "no limits are told" in str(empty.apply(2, RequestPermit("a", "e0")))


def test_a_fence_lets_no_lower_number_through() -> None:
    fence = Fence()
    assert fence.accepts(Permit(5, "e0", ""))
    assert fence.accepts(Permit(5, "e0", ""))
    assert fence.accepts(Permit(8, "e0", ""))
    assert not fence.accepts(Permit(5, "e0", ""))
    assert fence.accepts(Permit(2, "e1", ""))
    fence.end(Permit(8, "e0", ""))
    assert not fence.accepts(Permit(8, "e0", "")), "a copy that comes late"
    assert fence.accepts(Permit(9, "e0", ""))


COMMANDS = st.one_of(
    st.builds(RequestPermit, st.uuids().map(str), st.sampled_from([f"e{at}" for at in range(8)])),
    st.builds(InstanceReturned, st.sampled_from([f"e{at}" for at in range(8)]), st.integers(0, 30)),
    st.builds(InstanceLost, st.sampled_from([f"e{at}" for at in range(8)])),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(COMMANDS, max_size=40))
def test_whatever_is_told_permits_keep_the_limits_and_numbers_grow(commands: list[PermitCommand]) -> None:
    one, two = register(DisruptionLimits(3, 2), 8), register(DisruptionLimits(3, 2), 8)
    numbers = []
    for number, command in enumerate(commands, 2):
        answer = one.apply(number, command)
        assert two.apply(number, command) == answer
        if answer is not None and answer.permit is not None:
            numbers.append(answer.permit.number)
            assert len(one.unavailable) <= 3, "with those away counted"
            north = [name for name in one.unavailable if int(name[1:]) % 2 == 0]
            assert len(north) <= 2 or int(answer.permit.name[1:]) % 2
    assert numbers == sorted(set(numbers))


# The council


class Table:
    """Councillors with perfect paths, stepped by hand."""

    def __init__(self, count: int = 3) -> None:
        disks = tuple((f"c{at}", at + 1) for at in range(count))
        self.now = 0
        self.ones: dict[str, RaftNode] = {}
        for name, disk in disks:
            durable = PersistentState(disk)
            durable.apply(SaveEntries(1, (LogEntry(1, Configuration(disks)),)))
            self.ones[name] = RaftNode(name, durable, random.Random(name).random, 0)
        self.cut: set[str] = set()

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += ELECTION_TIMEOUT // 8
            for one in self.ones.values():
                one.tick(self.now)
            self.carry()

    def carry(self) -> None:
        while any(one.outgoing for one in self.ones.values()):
            for one in self.ones.values():
                out, one.outgoing = one.outgoing, []
                for to, message in out:
                    if to in self.ones and not {to, one.name} & self.cut:
                        self.ones[to].receive(self.now, message)

    @property
    def leader(self) -> RaftNode:
        (leads,) = [one for one in self.ones.values() if one.role is Role.LEADER and one.name not in self.cut]
        return leads


def test_a_council_finds_a_leader_and_agrees() -> None:
    table = Table()
    table.run(5)
    assert table.leader.propose(table.now, "x")
    table.run(1)
    for one in table.ones.values():
        assert [what for _, what in one.committed if isinstance(what, str)] == ["x"]
        assert one.leader_id == table.leader.name
    assert not next(one for one in table.ones.values() if one.role is not Role.LEADER).propose(0, "y")


def test_the_smaller_side_of_a_cut_agrees_on_nothing_and_knows_it() -> None:
    table = Table(5)
    table.run(5)
    former = table.leader
    table.cut = {former.name}
    former.propose(table.now, "lost")
    table.run(8)
    assert former.role is not Role.LEADER, "a leader that nobody answers is none"
    assert table.leader.propose(table.now, "kept")
    table.run(1)
    table.cut = set()
    table.run(3)
    for one in table.ones.values():
        assert [what for _, what in one.committed if isinstance(what, str)] == ["kept"]


def test_one_that_was_stopped_does_not_depose_the_leader_when_it_wakes() -> None:
    table = Table()
    table.run(5)
    leader, term = table.leader.name, table.leader.persistent.current_term
    sleeper = next(name for name in table.ones if name != leader)
    table.cut = {sleeper}
    table.run(20)
    table.cut = set()
    table.run(5)
    assert (table.leader.name, table.leader.persistent.current_term) == (leader, term)


def test_a_term_that_one_refuses_in_advance_by_is_heard() -> None:
    """Found by courses: the longer record with the lower term, and the other way round, asked for ever."""
    table = Table()
    long, short = table.ones["c0"], table.ones["c1"]
    long.persistent.apply(SaveEntries(2, tuple(LogEntry(1, at) for at in range(5))))
    short.persistent.current_term = 4
    table.cut = {"c2"}
    table.run(20)
    assert table.leader is long


def test_a_vote_counts_once_and_only_with_its_disk() -> None:
    table = Table()
    one = table.ones["c0"]
    one.tick(5 * SECOND)
    assert one.role is Role.PRE_CANDIDATE
    for _ in range(3):
        one.receive(5 * SECOND, RequestVoteResponse(1, "c1", 99, True, pre_vote=True))
    assert one.role is Role.PRE_CANDIDATE, "another disk: it has forgotten what it voted"
    one.receive(5 * SECOND, RequestVoteResponse(1, "c1", 2, True, pre_vote=True))
    assert one.role.value == "candidate"
    one.receive(5 * SECOND, RequestVoteResponse(1, "c0", 1, True))
    assert one.role.value == "candidate", "its own again"
    one.receive(5 * SECOND, RequestVoteResponse(1, "c2", 3, True))
    assert one.role.value == "leader"


def test_a_vote_is_given_once_a_term_and_over_a_restart() -> None:
    table = Table()
    one = table.ones["c2"]
    one.receive(5 * SECOND, RequestVote(7, "c0", 1, 1, 1))
    one.receive(5 * SECOND, RequestVote(7, "c1", 2, 1, 1))
    given = [message.vote_granted for _, message in one.outgoing if isinstance(message, RequestVoteResponse)]
    assert given == [True, False]
    again = RaftNode("c2", one.persistent, random.random, 6 * SECOND)
    again.receive(9 * SECOND, RequestVote(7, "c1", 2, 1, 1))
    assert [
        message.vote_granted for _, message in again.outgoing if isinstance(message, RequestVoteResponse)
    ] == [False]


def test_an_entry_of_a_former_term_is_agreed_on_with_one_of_the_leader_s_own_only() -> None:
    """Figure 8 of the paper: on a majority's disks, and yet it may be written over."""
    table = Table()
    one = table.ones["c0"]
    one.persistent.apply(SaveEntries(2, (LogEntry(2, "old"),)))
    one.persistent.current_term = 3
    one.tick(5 * SECOND)
    one.receive(5 * SECOND, RequestVoteResponse(4, "c1", 2, True, pre_vote=True))
    one.receive(5 * SECOND, RequestVoteResponse(4, "c1", 2, True))
    assert one.role is Role.LEADER
    assert one.last_log_index == 3
    one.receive(5 * SECOND, AppendEntriesResponse(4, "c1", 2, True, 2))
    assert one.commit_index == 0
    one.receive(5 * SECOND, AppendEntriesResponse(4, "c1", 2, True, 3))
    assert one.commit_index == 3


def test_what_differs_behind_the_leader_s_word_is_written_over_and_nothing_else() -> None:
    table = Table()
    one = table.ones["c1"]
    one.persistent.apply(SaveEntries(2, (LogEntry(1, "a"), LogEntry(1, "b"))))
    one.receive(SECOND, AppendEntries(2, "c0", 1, 1, (LogEntry(1, "a"),), 2))
    assert [entry.command for entry in one.persistent.entries[1:]] == ["a", "b"], (
        "a repeat takes nothing away"
    )
    one.receive(SECOND, AppendEntries(2, "c0", 2, 1, (LogEntry(2, "c"),), 3))
    assert [entry.command for entry in one.persistent.entries[1:]] == ["a", "c"]
    assert one.commit_index == 3
    one.receive(SECOND, AppendEntries(2, "c0", 9, 2, (), 3))
    assert one.outgoing[-1][1] == AppendEntriesResponse(2, "c1", 2, False, 3)
    one.receive(SECOND, AppendEntries(1, "c2", 1, 1, (LogEntry(1, "z"),), 2))
    assert [entry.command for entry in one.persistent.entries[1:]] == ["a", "c"], "of a leader gone by"


def test_a_long_record_becomes_a_snapshot_and_one_that_was_away_takes_it() -> None:
    table = Table()
    table.run(5)
    away = next(name for name in table.ones if name != table.leader.name)
    table.cut = {away}
    states = {name: 0 for name in table.ones}
    for name, one in table.ones.items():
        one._capture_state = lambda name=name: states[name]  # type: ignore[misc]
        one._restore_state = lambda state, name=name: states.__setitem__(name, state)  # type: ignore[misc]
    for number in range(COMPACTION_THRESHOLD + 60):
        table.leader.propose(table.now, 1)
        table.carry()
        if number % 50 == 49:
            table.run(0.5)
            for name, one in table.ones.items():
                states[name] += sum(isinstance(what, int) for _, what in one.committed)
                one.committed.clear()
                one.compact_log()
    table.run(2)
    leader = table.leader
    assert leader.persistent.snapshot is not None
    assert len(leader.persistent.entries) < COMPACTION_THRESHOLD
    table.cut = set()
    table.run(3)
    one = table.ones[away]
    total = states[away] + sum(isinstance(what, int) for _, what in one.committed)
    assert total == COMPACTION_THRESHOLD + 60
    assert one.commit_index == leader.commit_index
    assert one.configuration == leader.configuration


def rejection(leader: RaftNode, now: int, remove: str, add: tuple[str, int] | None) -> str:
    """Why a membership change is rejected; empty: it has begun."""
    try:
        leader.change_membership(now, remove, add)
    except MembershipChangeError as error:
        return str(error)
    return ""


def test_members_change_one_at_a_time_and_a_lost_disk_is_another_member() -> None:
    table = Table()
    table.run(5)
    leader = table.leader
    lost = next(name for name in table.ones if name != leader.name)
    table.ones[lost] = RaftNode(lost, PersistentState(77), random.random, table.now)
    table.run(3)
    assert table.ones[lost].last_log_index == 0 or not table.ones[lost].is_member
    assert "must go first" in rejection(leader, table.now, "", (lost, 77))
    assert rejection(leader, table.now, lost, (lost, 77)).startswith("one change at a time")
    assert rejection(leader, table.now, lost, None) == ""
    assert rejection(leader, table.now, "", (lost, 77)) in ("another change is under way", "")
    table.run(2)
    rejection(leader, table.now, "", (lost, 77))
    table.run(3)
    assert table.ones[lost].is_member
    assert table.ones[lost].commit_index == leader.commit_index
    assert rejection(leader, table.now, "nobody", None) == "that changes nothing"


def test_courses_of_faults_keep_the_limits_and_the_council_comes_back() -> None:
    found = 0
    for seed in range(14):
        course = PermitSimulation(seed)
        course.run(30)
        assert course.group.problem == "", f"seed {seed}"
        found += course.counts["out"]
    assert found > 100


def test_courses_with_five_members() -> None:
    for seed in range(100, 103):
        course = PermitSimulation(seed, group_size=5, holder_count=20, limits=DisruptionLimits(4, 2))
        course.run(30)
        assert course.group.problem == "", f"seed {seed}"


@pytest.mark.parametrize("plant", ["disk", "fence"])
def test_courses_find_what_is_planted(plant: str) -> None:
    """A member that votes on without its disk; a permit that is used again after its end."""
    with pytest.raises(InvariantViolationError):
        for seed in range(60):
            PermitSimulation(seed, planted_fault=plant).run(40)


@pytest.mark.parametrize(
    ("model", "states"),
    [
        (PermitModel(max_terms=1, max_crashes=0), 1_879),
        (PermitModel(max_terms=2, max_log_length=1, max_crashes=1), 12_416),
    ],
)
def test_no_order_of_steps_lets_more_out_than_allowed(model: PermitModel, states: int) -> None:
    assert model.explore() == states


@pytest.mark.parametrize("without", PLANTED_FAULTS)
def test_the_walk_finds_each_planted_fault(without: str) -> None:
    terms, length, crashes = (2, 1, 1) if without == "memory" else (1, 3, 0)
    with pytest.raises(SafetyViolationError):
        PermitModel(
            max_terms=terms,
            max_log_length=length,
            max_crashes=crashes,
            planted_fault=without,
            depth_first=crashes > 0,
        ).explore()


# The evidence


def released(
    rule: SequentialTestConfig, bad: float, normal: float, seed: int, spans: int = 400, night: bool = False
) -> CanaryEvidence:
    chance = random.Random(seed)
    evidence = CanaryEvidence(("declined", "late"), rule, chance.random)
    for _ in range(spans):
        size = 1 if night else 20
        for measure in evidence.measures:
            worse = bad if measure == "declined" else normal
            ours = OutcomeCount(sum(chance.random() < worse for _ in range(size)), size)
            theirs = OutcomeCount(sum(chance.random() < normal for _ in range(3 * size)), 3 * size)
            evidence.add_interval({"north": ours}, {"north": theirs, "south": theirs}, measure)
        if evidence.verdict is not Verdict.UNDECIDED:
            break
    return evidence


def test_harm_halts_and_no_harm_goes_on_with_the_chances_stated() -> None:
    rule = SequentialTestConfig(false_halt_probability=0.01, missed_harm_probability=0.05, odds_ratio=2.0)
    harmless = [released(rule, 0.05, 0.05, seed).verdict for seed in range(200)]
    assert harmless.count(Verdict.HALT) <= 6
    assert harmless.count(Verdict.PASS) > 150
    harmful = [released(rule, 0.15, 0.05, seed) for seed in range(60)]
    assert sum(one.verdict is Verdict.HALT for one in harmful) >= 55
    halted = next(one for one in harmful if one.verdict is Verdict.HALT)
    assert halted.halt_reason.startswith("declined: ")


def test_too_little_is_no_leave_to_go_on() -> None:
    assert released(SequentialTestConfig(), 0.05, 0.05, 1, spans=100, night=True).verdict is Verdict.UNDECIDED
    nobody = CanaryEvidence(("declined",), SequentialTestConfig(), random.random)
    nobody.add_interval({"north": OutcomeCount(0, 50)}, {"south": OutcomeCount(0, 50)}, "declined")
    assert nobody.verdict is Verdict.UNDECIDED, "no region in common"
    assert not nobody.tests["declined"].pairs, "no region in common"


def test_a_slow_server_strikes_both_and_halts_nothing() -> None:
    verdicts = [
        released(SequentialTestConfig(false_halt_probability=0.01), 0.4, 0.4, seed).verdict
        for seed in range(40)
    ]
    assert verdicts.count(Verdict.HALT) <= 2


def test_a_halt_is_not_taken_back_by_a_better_hour() -> None:
    evidence = released(SequentialTestConfig(), 0.5, 0.05, 3)
    assert evidence.verdict is Verdict.HALT
    for _ in range(200):
        evidence.add_interval({"n": OutcomeCount(0, 20)}, {"n": OutcomeCount(10, 20)}, "declined")
    assert evidence.verdict is Verdict.HALT


# What a councillor keeps


def enrolled() -> EnrollInstances:
    return EnrollInstances(tuple(units(2)), ((InstanceKind.EDGE, DisruptionLimits(2, 1, {"north": 1}, 0.5)),))


def test_what_is_committed_is_read_back_as_it_was_applied(tmp_path: Path) -> None:
    store, here = RaftStore(tmp_path, 7), PersistentState(7)
    one = OperationLog(register())
    members = Configuration((("c0", 7), ("c1", 8)))
    steps: list[list[Save]] = [
        [
            SaveTerm(3, "c1"),
            SaveEntries(1, (LogEntry(1, members), LogEntry(1, enrolled()), LogEntry(2, None))),
        ],
        [
            SaveEntries(
                3,
                (
                    LogEntry(3, RequestPermit("a", "e0", "roll")),
                    LogEntry(3, InstanceLost("e1")),
                    LogEntry(3, HaltDisruptions("why")),
                ),
            )
        ],
        [SaveSnapshot(Snapshot(4, 3, members, one))],
        [SaveEntries(6, (LogEntry(3, InstanceReturned("e1")),)), SaveTerm(4, "")],
    ]
    for saves in steps:
        store.commit(saves)
        for save in saves:
            here.apply(save)
        assert store.load() == here
    store.close()
    again = RaftStore(tmp_path, 99)
    assert again.load() == here, "its disk's number is the one that it began with"
    with pytest.raises(LedgerBusyError):
        RaftStore(tmp_path, 1)
    again.commit([SaveSnapshot(Snapshot(40, 9, members, one))])
    assert again.load().entries == [], "a snapshot past all that is here"
    again.close()


def test_a_commit_that_fails_leaves_nothing_of_it(tmp_path: Path) -> None:
    store = RaftStore(tmp_path, 7)
    store.commit([SaveTerm(1, "c0")])
    bad: Any = SaveEntries(1, (LogEntry(1, object()),))
    with pytest.raises(TypeError):
        store.commit([SaveTerm(2, "c1"), bad])
    assert (store.load().current_term, store.load().voted_for) == (1, "c0")
    store.close()


@pytest.mark.parametrize("what", ["flipped", "cut off", "entry missing"])
def test_a_store_that_can_not_be_read_whole_is_a_lost_disk(tmp_path: Path, what: str) -> None:
    store = RaftStore(tmp_path, 7)
    store.commit([SaveEntries(1, tuple(LogEntry(1, RequestPermit(f"ask-{at}", "e0")) for at in range(400)))])
    if what == "entry missing":
        with store._env.begin(write=True) as commit:
            commit.delete((200).to_bytes(8, "big"), db=store._log_db)
    store.close()
    file = tmp_path / "data.mdb"
    data = bytearray(file.read_bytes())
    if what == "flipped":
        data[data.index(b"ask-333")] ^= 1
    elif what == "cut off":
        data = data[: len(data) * 2 // 3]
    file.write_bytes(data)
    with pytest.raises(LedgerError):
        RaftStore(tmp_path, 8).load()


def test_killed_while_it_writes_a_store_holds_whole_commits(tmp_path: Path) -> None:
    """Each commit puts one term and as many entries of it; whatever is found agrees with itself."""
    script = """
import sys
from pathlib import Path
from valverouter.ledger.raft_store import RaftStore
from valverouter.rollout.raft_log import LogEntry, SaveEntries, SaveTerm
store = RaftStore(Path(sys.argv[1]), 7)
state = store.load()
term = state.current_term
print("on", flush=True)
while True:
    term += 1
    last = len(state.entries)
    saves = [SaveTerm(term, "c0"), SaveEntries(last + 1, (LogEntry(term, None), LogEntry(term, None)))]
    store.commit(saves)
    for save in saves:
        state.apply(save)
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
        store = RaftStore(tmp_path, 1)
        durable = store.load()
        store.close()
        assert len(durable.entries) == 2 * durable.current_term
        assert [entry.term for entry in durable.entries[-2:]] == [durable.current_term] * min(
            2, len(durable.entries)
        )


def test_a_store_reads_back_what_a_simulated_member_saved(tmp_path: Path) -> None:
    """Each save of a simulated member also goes to a store, and what is read back is what its disk holds."""
    simulation = PermitSimulation(3)
    member = simulation.group.members["c1"]
    store = RaftStore(tmp_path, member.persistent.disk_id)
    store.commit([SaveEntries(1, tuple(member.persistent.entries))])
    applies = PersistentState.apply

    def both(self: PersistentState, save: Save) -> None:
        applies(self, save)
        if self is member.persistent:
            store.commit([save])

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(PersistentState, "apply", both)
        simulation._cause_fault = lambda: None  # type: ignore[method-assign]
        simulation.run(12)
    assert member.persistent.entries
    assert store.load() == member.persistent
    store.close()
