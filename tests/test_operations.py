"""Operations: planning, permits, waves, cancellation, and invariants under any sequence of commands."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.operation_harness import LIMITS, OperationLogHarness
from valverouter.rollout.disruption_limits import DisruptionLimits, Instance, InstanceKind
from valverouter.rollout.disruption_permits import (
    EnrollInstances,
    HaltDisruptions,
    InstanceLost,
    InstanceReturned,
    RequestPermit,
)
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operation_planning import evaluation_waves
from valverouter.rollout.operations import (
    ACTIVE_PHASES,
    Advance,
    Cancel,
    DesiredState,
    InstanceReported,
    OperationKind,
    OperationPhase,
    Retire,
    StepReported,
    StepStatus,
    Submit,
)
from valverouter.rollout.raft_log import Configuration
from valverouter.rollout.serialization import StoredSnapshot


def test_a_release_runs_wave_by_wave_and_awaits_its_evidence() -> None:
    rig = OperationLogHarness()
    names = [f"e{index}" for index in range(6)]
    result = rig.submit("r", OperationKind.RELEASE, *names, version="v2")
    assert [len(wave) for wave in result.waves] == [1] * 6
    assert not result.rejection
    operation = rig.log.operations["r"]
    first = result.waves[0][0]
    number = rig.request_permit("r", first)
    assert rig.log.desired[first] == DesiredState("v2", True, number, 0, "r")
    rig.apply(InstanceReturned(first, number))
    assert (operation.phase, rig.status("r", first)) == (OperationPhase.EVALUATING, StepStatus.DONE)
    rig.apply(Advance("r", 5))
    assert operation.phase is OperationPhase.EVALUATING, "an Advance of another wave is ignored"
    rig.apply(Advance("r", 0))
    assert (operation.phase, operation.wave_index) == (OperationPhase.RUNNING, 1)
    rig.apply(Advance("r", 0))
    assert operation.wave_index == 1, "a repeated Advance is ignored"


def test_evaluations_follow_each_threefold_growth_of_the_released_group() -> None:
    assert evaluation_waves([["a"]] * 14) == [0, 3, 12]
    assert evaluation_waves([["a"], ["b", "c", "d"], ["e"] * 9, ["f"] * 9]) == [0, 1, 2]
    assert evaluation_waves([["a"]]) == [], "no unreleased instance is left after the last wave"


@pytest.mark.parametrize(
    ("kind", "names", "version", "expected"),
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
def test_an_operation_that_can_not_be_carried_out_is_rejected_as_a_whole(
    kind: OperationKind, names: tuple[str, ...], version: str, expected: str
) -> None:
    rig = OperationLogHarness()
    rig.submit("d", OperationKind.DRAIN, "e5")
    rig.apply(StepReported("d", "e5", rig.request_permit("d", "e5"), StepStatus.DRAINED))
    rig.submit("going", OperationKind.RESTART, "e3")
    before = rig.log.copy()
    result = rig.submit("o", kind, *names, version=version)
    assert expected in result.rejection
    assert rig.log == before, "a rejected operation changes nothing"


def test_overlapping_operations_are_rejected_and_others_are_queued() -> None:
    rig = OperationLogHarness()
    rig.submit("a", OperationKind.RESTART, "e0")
    assert "order a is not done" in rig.submit("b", OperationKind.RESTART, "e0", "e1").rejection
    assert not rig.submit("c", OperationKind.RESTART, "e2").rejection
    assert rig.log.operations["c"].phase is OperationPhase.QUEUED
    decision = rig.apply(RequestPermit("c/e2/0", "e2", "c"))
    assert decision.permit is None, "a queued operation gets no permits"
    number = rig.request_permit("a", "e0")
    rig.apply(InstanceReturned("e0", number))
    assert rig.log.operations["a"].result == "done"
    assert rig.log.active_operation is rig.log.operations["c"]


def test_an_operation_submitted_again_later_is_the_same_operation() -> None:
    rig = OperationLogHarness()
    rig.submit("a", OperationKind.RESTART, "e0")
    number = rig.request_permit("a", "e0")
    rig.apply(InstanceReturned("e0", number))
    resubmitted = rig.submit("a", OperationKind.RESTART, "e0")
    assert resubmitted.waves == (("e0",),)
    assert rig.log.operations["a"].result == "done"
    assert rig.log.active_operation is None


def test_a_cancel_returns_unavailable_instances_and_rolls_back_released_ones() -> None:
    rig = OperationLogHarness()
    names = [f"e{index}" for index in range(6)]
    waves = rig.submit("r", OperationKind.RELEASE, *names, version="v2").waves
    first, second = waves[0][0], waves[1][0]
    first_number = rig.request_permit("r", first)
    rig.apply(InstanceReturned(first, first_number))
    rig.apply(Advance("r", 0))
    second_number = rig.request_permit("r", second)
    rig.apply(Cancel("r", "harm"))
    operation = rig.log.operations["r"]
    assert operation.phase is OperationPhase.ROLLING_BACK
    assert rig.log.desired[second] == DesiredState("v1", True, second_number, 1, "r"), (
        "the return step of the same permit"
    )
    assert rig.status("r", first) is StepStatus.ROLLBACK_PENDING
    late_request = rig.apply(RequestPermit("r/e5/0", "e5", "r"))
    assert late_request.permit is None, "no further permits after a cancel"
    repeated_request = rig.apply(RequestPermit(f"r/{first}/0", first, "r"))
    assert repeated_request.permit.number == first_number, "a repeated request gets the first decision"
    assert rig.status("r", first) is StepStatus.ROLLBACK_PENDING, "a repeated request begins no step"
    third_number = rig.request_permit("r", first, 1)
    assert rig.log.desired[first] == DesiredState("v1", True, third_number, 1, "r")
    rig.apply(InstanceReturned(second, second_number))
    rig.apply(InstanceReturned(first, third_number))
    assert operation.result == "halted"
    assert {participant.status for participant in operation.participants.values()} == {
        StepStatus.ROLLED_BACK,
        StepStatus.SKIPPED,
    }


def test_a_released_instance_in_a_crash_loop_is_rolled_back() -> None:
    """Its request was rejected because it was unavailable without a permit, so it was never rolled back."""
    rig = OperationLogHarness()
    waves = rig.submit("r", OperationKind.RELEASE, "e0", "e1", "e2", version="v2").waves
    first = waves[0][0]
    rig.apply(InstanceReturned(first, rig.request_permit("r", first)))
    rig.apply(InstanceLost(first))
    rig.apply(Cancel("r", "it ends by itself"))
    number = rig.request_permit("r", first, 1)
    assert rig.log.desired[first] == DesiredState("v1", True, number, 1, "r")
    assert rig.log.permits.unavailable[first] is not None


def test_a_drained_instance_stays_unavailable_even_if_its_program_runs() -> None:
    rig = OperationLogHarness()
    rig.submit("d", OperationKind.DRAIN, "e0")
    number = rig.request_permit("d", "e0")
    rig.apply(InstanceReturned("e0", number))
    assert "e0" in rig.log.permits.unavailable
    rig.apply(StepReported("d", "e0", number, StepStatus.DRAINED))
    assert rig.log.operations["d"].result == "done"
    rig.submit("u", OperationKind.UNDRAIN, "e0")
    assert rig.log.desired["e0"] == DesiredState("v1", True, number, 1, "u")
    rig.apply(InstanceReturned("e0", number))
    assert rig.log.operations["u"].result == "done"
    assert "e0" not in rig.log.permits.unavailable


def test_an_unreachable_instance_is_skipped_and_a_retired_one_delays_nothing() -> None:
    rig = OperationLogHarness()
    rig.submit("a", OperationKind.RESTART, "e0", "e1")
    waves = rig.log.operations["a"].waves
    rig.apply(StepReported("a", waves[0][0], 0, StepStatus.UNREACHABLE, "silent"))
    number = rig.request_permit("a", waves[1][0])
    rig.apply(StepReported("a", waves[1][0], number, StepStatus.UNREACHABLE))
    assert rig.status("a", waves[1][0]) is StepStatus.IN_PROGRESS, (
        "an instance with a permit may already be unavailable"
    )
    rig.apply(Retire(waves[1][0]))
    assert rig.log.operations["a"].result == "in part"
    assert waves[1][0] not in rig.log.permits.instances


def test_a_rebuilt_control_plane_reuses_no_permit_number_and_keeps_drains() -> None:
    rig = OperationLogHarness()
    rig.number = 3  # the log is new, and supervisors have already seen higher permit numbers
    rig.apply(Retire("e0"))
    rig.apply(Retire("e1"))
    instances = (
        Instance("e0", InstanceKind.EDGE, "north", 100),
        Instance("e1", InstanceKind.EDGE, "south", 100),
    )
    rig.apply(EnrollInstances(instances))
    rig.apply(InstanceReported("e0", "v2", ("v1", "v2"), 900, 0, True))
    rig.apply(InstanceReported("e1", "v1", ("v1", "v2"), 950, 0, False))
    assert rig.log.desired["e0"] == DesiredState("v2", True, 900, 0)
    rig.submit("u", OperationKind.UNDRAIN, "e1")
    assert rig.log.desired["e1"] == DesiredState("v1", True, 950, 1, "u")
    rig.apply(InstanceReturned("e1", 950))
    assert rig.log.operations["u"].result == "done"
    rig.submit("a", OperationKind.RESTART, "e0")
    assert rig.request_permit("a", "e0") > 950


def test_a_halted_fleet_rejects_operations() -> None:
    rig = OperationLogHarness()
    rig.apply(HaltDisruptions("by hand"))
    assert rig.submit("a", OperationKind.RESTART, "e0").rejection == "halted: by hand"
    rig.apply(HaltDisruptions("", lifted=True))
    assert not rig.submit("a", OperationKind.RESTART, "e0").rejection


def test_an_operation_log_is_stored_and_read_back_as_it_was() -> None:
    rig = OperationLogHarness()
    rig.submit("r", OperationKind.RELEASE, "e0", "e1", version="v2")
    rig.request_permit("r", rig.log.operations["r"].waves[0][0])
    stored = StoredSnapshot(3, 1, Configuration(()), rig.log)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(stored), type=StoredSnapshot).state == rig.log


NAMES = [f"e{index}" for index in range(6)]
instance_names = st.lists(st.sampled_from(NAMES), min_size=1, max_size=6, unique=True).map(tuple)
operation_ids = st.sampled_from(["a", "b", "c", "d"])
commands_strategy = st.one_of(
    st.builds(
        Submit, operation_ids, st.sampled_from(OperationKind), instance_names, st.sampled_from(["v1", "v2"])
    ),
    st.builds(
        lambda operation, name, back, index: RequestPermit(
            f"{operation}/{name}{back}/{index}", name, operation
        ),
        operation_ids,
        st.sampled_from(NAMES),
        st.sampled_from(["", "/back"]),
        st.integers(0, 3),
    ),
    st.builds(InstanceReturned, st.sampled_from(NAMES), st.integers(0, 60)),
    # Commands with the number of the instance's current permit, as drawn numbers rarely match it.
    st.builds(lambda name: ("back", name), st.sampled_from(NAMES)),
    st.builds(
        lambda operation, name, step: ("went", operation, name, step),
        operation_ids,
        st.sampled_from(NAMES),
        st.sampled_from([StepStatus.FAILED, StepStatus.DRAINED]),
    ),
    st.builds(
        StepReported, operation_ids, st.sampled_from(NAMES), st.integers(0, 60), st.sampled_from(StepStatus)
    ),
    st.builds(Advance, operation_ids, st.integers(0, 5)),
    st.builds(Cancel, st.sampled_from(["", "a", "b", "c"]), st.just("why"), st.booleans()),
    st.builds(InstanceLost, st.sampled_from(NAMES)),
    st.builds(HaltDisruptions, st.just("why"), st.booleans()),
    st.builds(Retire, st.sampled_from(NAMES)),
)


@given(st.lists(commands_strategy, max_size=80))
@settings(max_examples=300, deadline=None)
def test_the_operation_log_keeps_its_invariants_under_any_commands(commands: list[Any]) -> None:
    rig = OperationLogHarness()
    log = rig.log
    latest_steps = {name: (0, 0) for name in NAMES}
    for command in commands:
        if isinstance(command, tuple):
            name = command[-1] if command[0] == "back" else command[2]
            permit = log.permits.unavailable.get(name)
            number = permit.number if permit else 0
            command = (
                InstanceReturned(name, number)
                if command[0] == "back"
                else StepReported(command[1], name, number, command[3])
            )
        before = set(log.permits.unavailable)
        rig.apply(command)
        permits = [name for name, permit in log.permits.unavailable.items() if permit is not None]
        instances = {name: instance for name, instance in log.permits.instances.items() if name in permits}
        added = len(set(log.permits.unavailable) - before)
        if isinstance(command, RequestPermit) and added:
            assert len(log.permits.unavailable) <= LIMITS.max_unavailable, (
                "a permit was granted beyond the limits"
            )
            for region in ("north", "south"):
                unavailable = [
                    n for n in log.permits.unavailable if log.permits.instances[n].region == region
                ]
                with_permit = [n for n in unavailable if instances.get(n) and n == command.name]
                assert not with_permit or len(unavailable) <= LIMITS.max_unavailable_per_region
        for name, desired in log.desired.items():
            assert desired.step_id >= latest_steps[name], "the desired state returned to an earlier step"
            latest_steps[name] = desired.step_id
        active = [
            candidate
            for candidate in log.operations.values()
            if candidate.phase in ACTIVE_PHASES and candidate.kind is not OperationKind.UNDRAIN
        ]
        assert len(active) <= 1, "more than one active operation makes instances unavailable"
        has_queued = any(candidate.phase is OperationPhase.QUEUED for candidate in log.operations.values())
        assert active or not has_queued, "an operation is queued although none is active"
        for operation in log.operations.values():
            for name, participant in operation.participants.items():
                permit = log.permits.unavailable.get(name)
                if operation.phase is not OperationPhase.ENDED and participant.status in (
                    StepStatus.IN_PROGRESS,
                    StepStatus.FAILED,
                ):
                    assert permit is not None, (operation.id, name, participant)
                    assert permit.number == participant.permit_number, (operation.id, name, participant)
            if operation.phase is OperationPhase.ENDED:
                assert operation.result in ("done", "in part", "halted")
                assert not {final.status for final in operation.participants.values()} & {
                    StepStatus.IN_PROGRESS,
                    StepStatus.ROLLBACK_PENDING,
                    StepStatus.PENDING,
                }
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(log), type=OperationLog) == log


def test_an_undrain_is_not_queued() -> None:
    rig = OperationLogHarness()
    rig.submit("d", OperationKind.DRAIN, "e0")
    number = rig.request_permit("d", "e0")
    rig.apply(StepReported("d", "e0", number, StepStatus.DRAINED))
    rig.submit("a", OperationKind.RESTART, "e2")
    refused = rig.apply(RequestPermit("a/e2/0", "e2", "a"))
    assert refused.permit is None
    assert "of d" in refused.rejection
    rig.submit("u", OperationKind.UNDRAIN, "e0")
    assert rig.log.desired["e0"].step_id == (number, 1)
    rig.apply(InstanceReturned("e0", number))
    assert rig.log.operations["u"].result == "done"
    rig.request_permit("a", "e2", 1)


def test_unsatisfiable_limits_reject_every_operation() -> None:
    rig = OperationLogHarness(limits=DisruptionLimits(6, 3))
    assert (
        rig.submit("a", OperationKind.RESTART, "e0").rejection
        == "by these limits: all 6 edge proxies may be out at once"
    )
