"""Whole operations in simulated time, with faults between control plane nodes and supervisors."""

from __future__ import annotations

import pytest

from valverouter.emulator.rollouts import VERSIONS, Broken, Rollout
from valverouter.rollout.operations import OperationKind, OperationPhase, Submit

SECOND = 10**9


@pytest.mark.parametrize("version", VERSIONS[1:])
def test_a_harmless_release_ends_and_a_harmful_one_is_rolled_back(version: str) -> None:
    course = Rollout(1, 12, loss=0.0)
    submit = Submit("r", OperationKind.RELEASE, tuple(sorted(course.fleet)), version)
    course.at(10 * SECOND, course.order, submit)
    course.run(330 * SECOND)
    course.judge()
    assert course.leader is not None
    operation = course.leader.operation_log.operations["r"]
    if version == "v2":
        assert operation.result == "done"
        assert {instance.version for instance in course.fleet.values()} == {version}
    else:
        assert operation.result == "halted"
        assert operation.halt_reason
        assert {instance.version for instance in course.fleet.values()} == {"v1"}


@pytest.mark.parametrize("seed", range(12))
def test_simulated_faults_break_no_limit_and_repeat_no_step(seed: int) -> None:
    course = Rollout(seed, 12)
    course.course(90)
    course.judge()


def test_once_faults_are_over_every_operation_ends() -> None:
    """An undrain queued behind an order that waited for the room it gives back, and an instance whose keeper
    did not know what ran, left orders waiting for good."""
    for seed in (2001, 2016, 2018):
        course = Rollout(seed, 12)
        course.course(90)
        course.run(course.now + 240 * SECOND)
        assert course.leader is not None
        assert {operation.phase for operation in course.leader.operation_log.operations.values()} == {
            OperationPhase.ENDED
        }, seed


def simulate_planted(plant: str) -> None:
    for seed in range(40):
        course = Rollout(seed, 12, plant=plant)
        course.course(90, orders=0.3)
        course.judge()


@pytest.mark.parametrize("plant", ["again", "lapse"])
def test_a_planted_fault_is_found(plant: str) -> None:
    with pytest.raises(Broken):
        simulate_planted(plant)
