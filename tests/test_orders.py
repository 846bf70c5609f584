"""Orders and their progress, keepers, the conductor and whole courses in simulated time."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from valverouter.emulator.rollouts import VERSIONS, Broken, Rollout
from valverouter.rollout.disruption_limits import DisruptionLimits, Instance, InstanceKind
from valverouter.rollout.disruption_permits import (
    EnrollInstances,
    HaltDisruptions,
    InstanceLost,
    InstanceReturned,
    PermitDecision,
    RequestPermit,
)
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operation_planning import evaluation_waves
from valverouter.rollout.operation_transitions import apply
from valverouter.rollout.operations import (
    ACTIVE_PHASES,
    Advance,
    Cancel,
    Command,
    DesiredState,
    InstanceReported,
    OperationKind,
    OperationPhase,
    Retire,
    StepReported,
    StepStatus,
    Submit,
    SubmitResult,
)
from valverouter.rollout.orchestrator import Orchestrator
from valverouter.rollout.orchestrator_config import OrchestratorConfig
from valverouter.rollout.raft_log import Configuration
from valverouter.rollout.readiness import ReadinessTracker
from valverouter.rollout.reports import InstanceCounters, InstanceInfo, SupervisorReport
from valverouter.rollout.sequential_test import SequentialTestConfig
from valverouter.rollout.serialization import StoredSnapshot
from valverouter.rollout.supervisor import Supervisor, SupervisorAction
from valverouter.rollout.supervisor_state import SupervisorState

SECOND = 10**9
LIMITS = DisruptionLimits(max_unavailable=2, max_unavailable_per_region=1)


class Record:
    """A book with the number of the next command."""

    def __init__(self, count: int = 6, limits: DisruptionLimits = LIMITS) -> None:
        self.book = OperationLog()
        self.number = 0
        units = tuple(
            Instance(f"e{at}", InstanceKind.EDGE, ("north", "south")[at % 2], 100) for at in range(count)
        )
        self.says(EnrollInstances(units, ((InstanceKind.EDGE, limits),)))
        for unit in units:
            self.says(InstanceReported(unit.name, "v1", ("v1", "v2")))

    def says(self, command: Command) -> Any:
        self.number += 1
        return apply(self.book, self.number, command)

    def place(self, id_: str, kind: OperationKind, *names: str, version: str = "") -> SubmitResult:
        placed = self.says(Submit(id_, kind, names, version))
        assert isinstance(placed, SubmitResult)
        return placed

    def leave(self, order: str, name: str, try_: int = 0) -> int:
        answer = self.says(RequestPermit(f"{order}/{name}/{try_}", name, order))
        assert isinstance(answer, PermitDecision), answer
        assert answer.permit is not None, answer
        return answer.permit.number

    def step(self, order: str, name: str) -> StepStatus:
        return self.book.operations[order].participants[name].status


# The book


def test_a_release_goes_wave_by_wave_and_waits_for_its_evidence() -> None:
    record = Record()
    names = [f"e{at}" for at in range(6)]
    placed = record.place("r", OperationKind.RELEASE, *names, version="v2")
    assert [len(wave) for wave in placed.waves] == [1] * 6
    assert not placed.rejection
    order = record.book.operations["r"]
    first = placed.waves[0][0]
    number = record.leave("r", first)
    assert record.book.desired[first] == DesiredState("v2", True, number, 0, "r")
    record.says(InstanceReturned(first, number))
    assert (order.phase, record.step("r", first)) == (OperationPhase.EVALUATING, StepStatus.DONE)
    record.says(Advance("r", 5))
    assert order.phase is OperationPhase.EVALUATING, "of another wave"
    record.says(Advance("r", 0))
    assert (order.phase, order.wave_index) == (OperationPhase.RUNNING, 1)
    record.says(Advance("r", 0))
    assert order.wave_index == 1, "told again"


def test_watches_come_once_three_times_as_many_are_released() -> None:
    assert evaluation_waves([["a"]] * 14) == [0, 3, 12]
    assert evaluation_waves([["a"], ["b", "c", "d"], ["e"] * 9, ["f"] * 9]) == [0, 1, 2]
    assert evaluation_waves([["a"]]) == [], "there is nobody left to hold back"


@pytest.mark.parametrize(
    ("kind", "names", "version", "said"),
    [
        (OperationKind.RESTART, (), "", "nobody is meant"),
        (OperationKind.RESTART, ("e9",), "", "e9 is not enrolled"),
        (OperationKind.RELEASE, ("e0",), "v9", "knows no version 'v9'"),
        (OperationKind.UNDRAIN, ("e0",), "", "e0 is not drained"),
        (OperationKind.DRAIN, ("e0", "e2"), "", "edge proxies out at once: 2 of 2, used by e0, e5"),
        (OperationKind.RELEASE, ("e0",), "v1", "e0 is at v1 already"),
        (OperationKind.RESTART, ("e5",), "", "e5 is drained: it is brought back by undrain"),
        (OperationKind.RESTART, ("e3", "e4"), "", "e3 of it: order going is not done with them"),
    ],
)
def test_an_order_that_can_not_be_carried_out_is_refused_whole(
    kind: OperationKind, names: tuple[str, ...], version: str, said: str
) -> None:
    record = Record()
    record.place("d", OperationKind.DRAIN, "e5")
    record.says(StepReported("d", "e5", record.leave("d", "e5"), StepStatus.DRAINED))
    record.place("going", OperationKind.RESTART, "e3")
    before = record.book.copy()
    placed = record.place("o", kind, *names, version=version)
    assert said in placed.rejection
    assert record.book == before, "and nothing of it is left"


def test_overlapping_orders_are_refused_and_others_wait_their_turn() -> None:
    record = Record()
    record.place("a", OperationKind.RESTART, "e0")
    assert "order a is not done" in record.place("b", OperationKind.RESTART, "e0", "e1").rejection
    assert not record.place("c", OperationKind.RESTART, "e2").rejection
    assert record.book.operations["c"].phase is OperationPhase.QUEUED
    answer = record.says(RequestPermit("c/e2/0", "e2", "c"))
    assert answer.permit is None, "not its turn"
    number = record.leave("a", "e0")
    record.says(InstanceReturned("e0", number))
    assert record.book.operations["a"].result == "done"
    assert record.book.active_operation is record.book.operations["c"]


def test_an_order_placed_again_a_day_later_is_the_same_order() -> None:
    record = Record()
    record.place("a", OperationKind.RESTART, "e0")
    number = record.leave("a", "e0")
    record.says(InstanceReturned("e0", number))
    again = record.place("a", OperationKind.RESTART, "e0")
    assert again.waves == (("e0",),)
    assert record.book.operations["a"].result == "done"
    assert record.book.active_operation is None


def test_a_stop_brings_in_what_is_out_and_back_what_was_released() -> None:
    record = Record()
    names = [f"e{at}" for at in range(6)]
    waves = record.place("r", OperationKind.RELEASE, *names, version="v2").waves
    first, second = waves[0][0], waves[1][0]
    one = record.leave("r", first)
    record.says(InstanceReturned(first, one))
    record.says(Advance("r", 0))
    two = record.leave("r", second)
    record.says(Cancel("r", "harm"))
    order = record.book.operations["r"]
    assert order.phase is OperationPhase.ROLLING_BACK
    assert record.book.desired[second] == DesiredState("v1", True, two, 1, "r"), "by its permit's second step"
    assert record.step("r", first) is StepStatus.ROLLBACK_PENDING
    late = record.says(RequestPermit("r/e5/0", "e5", "r"))
    assert late.permit is None, "nothing further goes out"
    twice = record.says(RequestPermit(f"r/{first}/0", first, "r"))
    assert twice.permit.number == one, "told again"
    assert record.step("r", first) is StepStatus.ROLLBACK_PENDING, "told again"
    three = record.leave("r", first, 1)
    assert record.book.desired[first] == DesiredState("v1", True, three, 1, "r")
    record.says(InstanceReturned(second, two))
    record.says(InstanceReturned(first, three))
    assert order.result == "halted"
    assert {member.status for member in order.participants.values()} == {
        StepStatus.ROLLED_BACK,
        StepStatus.SKIPPED,
    }


def test_a_released_one_that_ends_over_and_over_goes_back_all_the_same() -> None:
    """Refused as out without leave, it could never have gone back to what it ran before."""
    record = Record()
    waves = record.place("r", OperationKind.RELEASE, "e0", "e1", "e2", version="v2").waves
    first = waves[0][0]
    record.says(InstanceReturned(first, record.leave("r", first)))
    record.says(InstanceLost(first))
    record.says(Cancel("r", "it ends by itself"))
    number = record.leave("r", first, 1)
    assert record.book.desired[first] == DesiredState("v1", True, number, 1, "r")
    assert record.book.permits.unavailable[first] is not None


def test_a_drained_one_stays_out_whatever_its_program_does() -> None:
    record = Record()
    record.place("d", OperationKind.DRAIN, "e0")
    number = record.leave("d", "e0")
    record.says(InstanceReturned("e0", number))
    assert "e0" in record.book.permits.unavailable
    record.says(StepReported("d", "e0", number, StepStatus.DRAINED))
    assert record.book.operations["d"].result == "done"
    record.place("u", OperationKind.UNDRAIN, "e0")
    assert record.book.desired["e0"] == DesiredState("v1", True, number, 1, "u")
    record.says(InstanceReturned("e0", number))
    assert record.book.operations["u"].result == "done"
    assert "e0" not in record.book.permits.unavailable


def test_one_not_reached_is_left_out_and_one_retired_holds_nothing_up() -> None:
    record = Record()
    record.place("a", OperationKind.RESTART, "e0", "e1")
    waves = record.book.operations["a"].waves
    record.says(StepReported("a", waves[0][0], 0, StepStatus.UNREACHABLE, "silent"))
    number = record.leave("a", waves[1][0])
    record.says(StepReported("a", waves[1][0], number, StepStatus.UNREACHABLE))
    assert record.step("a", waves[1][0]) is StepStatus.OUT, "with leave it may have gone out: unknown"
    record.says(Retire(waves[1][0]))
    assert record.book.operations["a"].result == "in part"
    assert waves[1][0] not in record.book.permits.instances


def test_a_council_founded_anew_gives_no_number_again_and_takes_the_drained_over() -> None:
    record = Record()
    record.number = 3  # it is young, and keepers have seen higher numbers
    record.says(Retire("e0"))
    record.says(Retire("e1"))
    units = (Instance("e0", InstanceKind.EDGE, "north", 100), Instance("e1", InstanceKind.EDGE, "south", 100))
    record.says(EnrollInstances(units))
    record.says(InstanceReported("e0", "v2", ("v1", "v2"), 900, 0, True))
    record.says(InstanceReported("e1", "v1", ("v1", "v2"), 950, 0, False))
    assert record.book.desired["e0"] == DesiredState("v2", True, 900, 0)
    record.place("u", OperationKind.UNDRAIN, "e1")
    assert record.book.desired["e1"] == DesiredState("v1", True, 950, 1, "u")
    record.says(InstanceReturned("e1", 950))
    assert record.book.operations["u"].result == "done"
    record.place("a", OperationKind.RESTART, "e0")
    assert record.leave("a", "e0") > 950


def test_a_halt_of_the_fleet_takes_no_orders() -> None:
    record = Record()
    record.says(HaltDisruptions("by hand"))
    assert record.place("a", OperationKind.RESTART, "e0").rejection == "halted: by hand"
    record.says(HaltDisruptions("", lifted=True))
    assert not record.place("a", OperationKind.RESTART, "e0").rejection


def test_the_book_is_written_and_read_back_as_it_was() -> None:
    record = Record()
    record.place("r", OperationKind.RELEASE, "e0", "e1", version="v2")
    record.leave("r", record.book.operations["r"].waves[0][0])
    kept = StoredSnapshot(3, 1, Configuration(()), record.book)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(kept), type=StoredSnapshot).state == record.book


NAMES = [f"e{at}" for at in range(6)]
names = st.lists(st.sampled_from(NAMES), min_size=1, max_size=6, unique=True).map(tuple)
orders = st.sampled_from(["a", "b", "c", "d"])
told = st.one_of(
    st.builds(Submit, orders, st.sampled_from(OperationKind), names, st.sampled_from(["v1", "v2"])),
    st.builds(
        lambda order, name, back, at: RequestPermit(f"{order}/{name}{back}/{at}", name, order),
        orders,
        st.sampled_from(NAMES),
        st.sampled_from(["", "/back"]),
        st.integers(0, 3),
    ),
    st.builds(InstanceReturned, st.sampled_from(NAMES), st.integers(0, 60)),
    # Of whoever is out, as it would be told: drawn numbers alone rarely meet one.
    st.builds(lambda name: ("back", name), st.sampled_from(NAMES)),
    st.builds(
        lambda order, name, step: ("went", order, name, step),
        orders,
        st.sampled_from(NAMES),
        st.sampled_from([StepStatus.FAILED, StepStatus.DRAINED]),
    ),
    st.builds(StepReported, orders, st.sampled_from(NAMES), st.integers(0, 60), st.sampled_from(StepStatus)),
    st.builds(Advance, orders, st.integers(0, 5)),
    st.builds(Cancel, st.sampled_from(["", "a", "b", "c"]), st.just("why"), st.booleans()),
    st.builds(InstanceLost, st.sampled_from(NAMES)),
    st.builds(HaltDisruptions, st.just("why"), st.booleans()),
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
            held = book.permits.unavailable.get(name)
            number = held.number if held else 0
            command = (
                InstanceReturned(name, number)
                if command[0] == "back"
                else StepReported(command[1], name, number, command[3])
            )
        before = set(book.permits.unavailable)
        record.says(command)
        permits = [name for name, held in book.permits.unavailable.items() if held is not None]
        units = {name: unit for name, unit in book.permits.instances.items() if name in permits}
        grew = len(set(book.permits.unavailable) - before)
        if isinstance(command, RequestPermit) and grew:
            assert len(book.permits.unavailable) <= LIMITS.max_unavailable, (
                "leave was given past what may be out"
            )
            for region in ("north", "south"):
                away = [n for n in book.permits.unavailable if book.permits.instances[n].region == region]
                here = [n for n in away if units.get(n) and n == command.name]
                assert not here or len(away) <= LIMITS.max_unavailable_per_region
        for name, want in book.desired.items():
            assert want.step_id >= turns[name], "what is wanted goes back to a former turn"
            turns[name] = want.step_id
        busy = [
            one
            for one in book.operations.values()
            if one.phase in ACTIVE_PHASES and one.kind is not OperationKind.UNDRAIN
        ]
        assert len(busy) <= 1, "two orders take out at once"
        waiting = any(one.phase is OperationPhase.QUEUED for one in book.operations.values())
        assert busy or not waiting, "one waits and none goes"
        for order in book.operations.values():
            for name, member in order.participants.items():
                held = book.permits.unavailable.get(name)
                if order.phase is not OperationPhase.ENDED and member.status in (
                    StepStatus.OUT,
                    StepStatus.FAILED,
                ):
                    assert held is not None, (order.id, name, member)
                    assert held.number == member.permit_number, (order.id, name, member)
            if order.phase is OperationPhase.ENDED:
                assert order.result in ("done", "in part", "halted")
                assert not {m.status for m in order.participants.values()} & {
                    StepStatus.OUT,
                    StepStatus.ROLLBACK_PENDING,
                    StepStatus.PENDING,
                }
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(book), type=OperationLog) == book


# A keeper


def keeper(memory: SupervisorState | None = None) -> Supervisor:
    return Supervisor(InstanceInfo("e0", available_versions=("v1", "v2")), memory or SupervisorState("v1"))


def does(one: Supervisor, now: int = 0) -> list[SupervisorAction]:
    """All that it wants done now, done."""
    done = []
    while (do := one.next_action(now)) is not None:
        done.append(do)
        if do is SupervisorAction.SAVE:
            one.on_saved()
        elif do is SupervisorAction.STOP:
            one.on_stop_requested()
        else:
            one.on_started(now, one.state.version)
    return done


def serving(life: int = 1) -> InstanceCounters:
    return InstanceCounters(life, True, True)


def test_a_turn_is_on_disk_before_it_begins_and_begins_once() -> None:
    one = keeper()
    assert does(one) == [SupervisorAction.START, SupervisorAction.SAVE]
    want = DesiredState("v2", True, 7, 0, "r")
    assert one.on_desired_state(0, want, True)
    assert not one.on_desired_state(0, want, True), "told again"
    assert does(one) == [SupervisorAction.SAVE, SupervisorAction.STOP]
    assert (one.report().step_id, one.report().outcome, one.report().is_running) == ((7, 0), "", False)
    one.on_exited(SECOND)
    assert does(one, SECOND) == [SupervisorAction.START, SupervisorAction.SAVE]
    assert one.running_version == "v2"
    one.on_counters(serving())
    assert one.report().outcome == "", "done is told once it is on disk"
    assert does(one, SECOND) == [SupervisorAction.SAVE]
    assert one.report().outcome == "done"
    assert not one.on_desired_state(0, DesiredState("v1", True, 6, 1), True), "a lower turn is void"


def test_a_keeper_started_again_in_a_turn_goes_on_with_it() -> None:
    one = keeper()
    does(one)
    one.on_desired_state(0, DesiredState("v2", True, 7, 0, "r"), True)
    one.on_saved()
    again = keeper(msgspec.msgpack.decode(msgspec.msgpack.encode(one.state), type=SupervisorState))
    again.resume(is_running=True)
    assert does(again) == [SupervisorAction.STOP], "whether it was stopped already nobody knows"
    again.on_exited(SECOND)
    assert does(again, SECOND) == [SupervisorAction.START, SupervisorAction.SAVE]
    assert again.running_version == "v2"


def test_a_keeper_that_lost_its_disk_does_not_repeat_a_turn_whose_permit_is_over() -> None:
    one = keeper()
    does(one)
    assert not one.on_desired_state(0, DesiredState("v2", True, 7, 0, "r"), is_open=False)
    assert does(one) == [SupervisorAction.SAVE], "it goes on running: it has no leave to go out"
    assert one.is_running, "it goes on running: it has no leave to go out"
    assert one.report().step_id == (7, 0)


def test_a_program_that_does_not_come_up_is_told_as_failed_and_tried_on() -> None:
    one = keeper()
    does(one)
    one.on_desired_state(0, DesiredState("v2", True, 7, 0, "r"), True)
    does(one)
    one.on_exited(0)
    now = 0
    for _ in range(3):
        now = max(now, one.next_start_at)
        assert SupervisorAction.START in does(one, now)
        one.on_exited(now + SECOND // 10)
    assert one.report().outcome == ""
    does(one, now)
    assert one.report().outcome == "failed"
    assert "v2 ended 3 times" in one.report().reason
    assert does(one, one.next_start_at) == [SupervisorAction.START, SupervisorAction.SAVE], (
        "its wait over, once more"
    )
    one.on_counters(serving())
    does(one, one.next_start_at)
    assert one.report().outcome == "done"


def test_the_wait_between_starts_doubles_to_its_most() -> None:
    one = keeper()
    now, waits = 0, []
    for _ in range(12):
        does(one, now)
        one.on_exited(now)
        waits.append(one.next_start_at - now)
        now = one.next_start_at
    assert waits[:3] == [SECOND // 4, SECOND // 2, SECOND]
    assert waits[-1] == 15 * SECOND


def test_the_machine_s_wish_is_obeyed_in_any_turn_and_told() -> None:
    one = keeper()
    does(one)
    one.on_desired_state(0, DesiredState("v2", True, 7, 0, "r"), True)
    one.shut_down()
    assert does(one) == [SupervisorAction.SAVE, SupervisorAction.STOP]
    one.on_exited(0)
    assert does(one, 20 * SECOND) == []
    assert one.report().is_leaving
    assert not one.on_desired_state(0, DesiredState("v1", True, 8, 0), True)


def test_a_drained_one_is_down_and_comes_up_by_the_second_step() -> None:
    one = keeper()
    does(one)
    one.on_desired_state(0, DesiredState("v1", False, 7, 0, "d"), True)
    assert does(one) == [SupervisorAction.SAVE, SupervisorAction.STOP]
    one.on_exited(0)
    assert does(one) == [SupervisorAction.SAVE]
    assert (one.report().outcome, one.report().is_running) == ("done", False)
    again = keeper(one.state)
    assert does(again) == [], "a keeper's restart brings nobody in"
    again.on_desired_state(0, DesiredState("v1", True, 7, 1, "u"), True)
    assert does(again) == [SupervisorAction.SAVE, SupervisorAction.START, SupervisorAction.SAVE]


def test_an_unknown_version_is_told_as_failed_and_takes_nobody_out() -> None:
    one = keeper()
    does(one)
    one.on_desired_state(0, DesiredState("v9", True, 7, 0, "r"), True)
    assert does(one) == [SupervisorAction.SAVE]
    assert one.is_running
    assert one.report().outcome == "failed"
    assert "v9" in one.report().reason


# Evidence that somebody is in


def report(name: str, taken: int = 0, life: int = 1, **more: Any) -> SupervisorReport:
    facts = InstanceInfo(name, region="north", capacity=100, available_versions=("v1",))
    return SupervisorReport(facts, "v1", True, counters=InstanceCounters(life, True, True, taken), **more)


def test_in_is_told_by_serving_and_a_share_and_never_by_time() -> None:
    watch, want = ReadinessTracker(0), DesiredState("v1")

    def is_in(now: int) -> bool:
        return watch.is_ready("e0", want, now, lambda name: False)

    watch.record_report(SECOND, report("e1", 100), SECOND)
    watch.record_report(SECOND, report("e0", 0, life=5), SECOND)
    assert is_in(SECOND), "nobody beside it has taken any since"
    watch.record_report(2 * SECOND, report("e1", 200), 2 * SECOND)
    watch.record_report(2 * SECOND, report("e0", 0, life=5), 2 * SECOND)
    assert not is_in(2 * SECOND), "those beside it take dialogs and it takes none"
    watch.record_report(3 * SECOND, report("e0", 12, life=5), 3 * SECOND)
    assert is_in(3 * SECOND)
    watch.record_report(3 * SECOND, report("e0", 0, life=6), 3 * SECOND)
    watch.record_report(4 * SECOND, report("e1", 300), 4 * SECOND)
    assert not is_in(4 * SECOND), "another process begins anew"
    watch.record_report(60 * SECOND, report("e0", 90, life=6), 5 * SECOND)
    assert not is_in(60 * SECOND), "a report that was long under way is no news"


def test_in_needs_the_turn_that_is_wanted_done() -> None:
    watch = ReadinessTracker(0)
    want = DesiredState("v1", True, 7, 0)
    for told, expected in ((("", (7, 0)), False), (("done", (6, 0)), False), (("done", (7, 0)), True)):
        outcome, (number, step) = told
        watch.record_report(0, report("e0", permit_number=number, step_index=step, outcome=outcome), 0)
        assert watch.is_ready("e0", want, 0, lambda name: False) is expected


# The conductor


def conducted(record: Record, **rules: Any) -> Orchestrator:
    return Orchestrator(OrchestratorConfig({InstanceKind.EDGE: LIMITS}, **rules), random.Random(1).random, 0)


def all_report(one: Orchestrator, record: Record, now: int, **counts: Any) -> None:
    for name, unit in record.book.permits.instances.items():
        want = record.book.desired[name]
        told = InstanceCounters(
            incarnation=1, serving=True, ready=True, view_health=counts.get("trust", "settled")
        )
        facts = InstanceInfo(name, unit.kind, unit.region, unit.capacity, 0.0, ("v1", "v2"))
        done = "done" if want.permit_number else ""
        one.record_report(
            now,
            SupervisorReport(
                facts, want.version, True, want.permit_number, want.step_index, done, counters=told
            ),
            now,
        )


def test_whoever_is_silent_is_away_and_a_new_leader_gives_all_the_time_to_be_heard() -> None:
    record = Record()
    one = conducted(record)
    assert one.next_commands(3 * SECOND, record.book) == []
    all_report(one, record, 4 * SECOND)
    one.readiness.forget(["e3"])
    assert one.next_commands(5 * SECOND, record.book) == [InstanceLost("e3")]
    record.says(InstanceLost("e3"))
    all_report(one, record, 5 * SECOND)
    assert one.next_commands(5 * SECOND, record.book) == [InstanceReturned("e3", 0)]


def test_an_unsettled_view_takes_nothing_out_and_halts_in_the_end() -> None:
    record = Record()
    one = conducted(record, max_unsettled=5 * SECOND)
    record.place("a", OperationKind.RESTART, "e0", "e1")
    all_report(one, record, SECOND, trust="unsettled")
    assert one.next_commands(SECOND, record.book) == []
    all_report(one, record, 4 * SECOND)
    assert [type(command) for command in one.next_commands(4 * SECOND, record.book)] == [RequestPermit]
    all_report(one, record, 5 * SECOND, trust="unsettled")
    one.next_commands(5 * SECOND, record.book)
    all_report(one, record, 11 * SECOND, trust="unsettled")
    assert any(isinstance(command, Cancel) for command in one.next_commands(11 * SECOND, record.book))


def test_most_of_the_fleet_cut_off_halts_at_once() -> None:
    record = Record()
    one = conducted(record)
    record.place("a", OperationKind.RESTART, "e0", "e1")
    all_report(one, record, SECOND, trust="cut off")
    (stop,) = one.next_commands(SECOND, record.book)
    assert isinstance(stop, Cancel)
    assert "cut off" in stop.reason


def test_too_few_dialogs_are_no_leave_to_go_on() -> None:
    record = Record()
    one = conducted(record, sequential_test=SequentialTestConfig(min_pairs=10))
    waves = record.place("r", OperationKind.RELEASE, *record.book.permits.instances, version="v2").waves
    record.says(InstanceReturned(waves[0][0], record.leave("r", waves[0][0])))
    for at in range(1, 300):
        all_report(one, record, at * SECOND)
        assert one.next_commands(at * SECOND, record.book) == []


def test_a_release_that_holds_far_more_memory_is_halted() -> None:
    record = Record()
    one = conducted(record)
    waves = record.place("r", OperationKind.RELEASE, *record.book.permits.instances, version="v2").waves
    record.says(InstanceReturned(waves[0][0], record.leave("r", waves[0][0])))
    for more, halts in ((0, False), (40, False), (200, True)):
        all_report(one, record, SECOND)
        for name, seen in one.readiness.observations.items():
            held = (100 + (more if name == waves[0][0] else 0)) * 2**20
            counts = msgspec.structs.replace(seen.report.counters, memory_bytes=held)
            seen.report = msgspec.structs.replace(seen.report, counters=counts)
        stops = [command for command in one.next_commands(SECOND, record.book) if isinstance(command, Cancel)]
        assert bool(stops) is halts, more
        assert not stops or stops[0].reason == "released ones hold 300 MiB in the median, the others 100"


def test_limits_that_no_order_could_meet_refuse_all() -> None:
    record = Record(limits=DisruptionLimits(6, 3))
    assert (
        record.place("a", OperationKind.RESTART, "e0").rejection
        == "by these limits: all 6 edge proxies may be out at once"
    )


# Courses


@pytest.mark.parametrize("version", VERSIONS[1:])
def test_a_release_by_what_it_is(version: str) -> None:
    course = Rollout(1, 12, loss=0.0)
    place = Submit("r", OperationKind.RELEASE, tuple(sorted(course.fleet)), version)
    course.at(10 * SECOND, course.order, place)
    course.run(330 * SECOND)
    course.judge()
    assert course.leader is not None
    order = course.leader.operation_log.operations["r"]
    if version == "v2":
        assert order.result == "done"
        assert {one.version for one in course.fleet.values()} == {version}
    else:
        assert order.result == "halted"
        assert order.halt_reason
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
        assert {order.phase for order in course.leader.operation_log.operations.values()} == {
            OperationPhase.ENDED
        }, seed


def test_an_undrain_waits_for_nobody() -> None:
    record = Record()
    record.place("d", OperationKind.DRAIN, "e0")
    number = record.leave("d", "e0")
    record.says(StepReported("d", "e0", number, StepStatus.DRAINED))
    record.place("a", OperationKind.RESTART, "e2")
    refused = record.says(RequestPermit("a/e2/0", "e2", "a"))
    assert refused.permit is None
    assert "of d" in refused.rejection
    record.place("u", OperationKind.UNDRAIN, "e0")
    assert record.book.desired["e0"].step_id == (number, 1)
    record.says(InstanceReturned("e0", number))
    assert record.book.operations["u"].result == "done"
    record.leave("a", "e2", 1)


@pytest.mark.parametrize("plant", ["again", "lapse"])
def test_courses_find_a_planted_fault(plant: str) -> None:
    with pytest.raises(Broken):
        for seed in range(40):
            course = Rollout(seed, 12, plant=plant)
            course.course(90, orders=0.3)
            course.judge()
