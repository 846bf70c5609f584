"""Simulated operations on a fleet, with faults of control plane nodes, supervisors and the network."""

from __future__ import annotations

import pytest

from valverouter.emulator.raft_group import InvariantViolationError
from valverouter.emulator.rollout_simulation import RolloutSimulation
from valverouter.emulator.supervised_fleet import VERSIONS
from valverouter.rollout.operations import OperationKind, OperationPhase, Submit

SECOND = 10**9


@pytest.mark.parametrize("version", VERSIONS[1:])
def test_a_harmless_release_completes_and_a_harmful_one_is_rolled_back(version: str) -> None:
    simulation = RolloutSimulation(1, 12, loss=0.0)
    instances = simulation.fleet.instances
    submit = Submit("r", OperationKind.RELEASE, tuple(sorted(instances)), version)
    simulation.events.call_at(10 * SECOND, simulation.submit, submit)
    simulation.run_until(330 * SECOND)
    simulation.check_results()
    assert simulation.leader is not None
    operation = simulation.leader.operation_log.operations["r"]
    if version == "v2":
        assert operation.result == "done"
        assert {instance.version for instance in instances.values()} == {version}
    else:
        assert operation.result == "halted"
        assert operation.halt_reason
        assert {instance.version for instance in instances.values()} == {"v1"}


@pytest.mark.parametrize("seed", range(12))
def test_no_limit_is_exceeded_and_no_step_repeated_under_faults(seed: int) -> None:
    simulation = RolloutSimulation(seed, 12)
    simulation.run_randomly(90)
    simulation.check_results()


def test_every_operation_ends_after_the_faults() -> None:
    """Guards against two faults that kept operations open forever.

    An undrain was queued behind an operation that waited for the capacity which the undrain would return; and
    a supervisor did not know the running version of its instance.
    """
    for seed in (2001, 2016, 2018):
        simulation = RolloutSimulation(seed, 12)
        simulation.run_randomly(90)
        simulation.run_until(simulation.events.now + 240 * SECOND)
        assert simulation.leader is not None
        operations = simulation.leader.operation_log.operations.values()
        assert {operation.phase for operation in operations} == {OperationPhase.ENDED}, seed


def simulate_with_fault(injected_fault: str) -> None:
    for seed in range(40):
        simulation = RolloutSimulation(seed, 12, injected_fault=injected_fault)
        simulation.run_randomly(90, operation_rate=0.3)
        simulation.check_results()


@pytest.mark.parametrize("injected_fault", ["again", "lapse"])
def test_an_injected_fault_is_found(injected_fault: str) -> None:
    with pytest.raises(InvariantViolationError):
        simulate_with_fault(injected_fault)
