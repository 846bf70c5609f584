"""The permit register and the fence, by unit tests, seeded simulations and the model checker."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.disruption_helpers import edge_proxies, permit_register
from valverouter.emulator.permit_simulation import PermitSimulation
from valverouter.emulator.raft_group import InvariantViolationError
from valverouter.rollout.disruption_limits import DisruptionLimits
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
from valverouter.rollout.permit_model import INJECTED_FAULTS, PermitModel, SafetyViolationError


def test_a_crash_counts_against_the_limits_like_a_permit() -> None:
    register = permit_register()
    register.apply(2, InstanceLost("e0"))
    decision = register.apply(3, RequestPermit("a", "e2"))
    assert decision is not None
    assert decision.permit is None
    assert "used by e0" in decision.rejection
    register.apply(4, InstanceReturned("e0"))
    decision = register.apply(5, RequestPermit("b", "e2"))
    assert decision is not None
    assert decision.permit == Permit(5, "e2", "")


def test_a_permit_ends_only_by_its_own_number() -> None:
    register = permit_register()
    register.apply(2, RequestPermit("a", "e0"))
    register.apply(3, InstanceReturned("e0", 2))
    register.apply(4, RequestPermit("b", "e0"))
    register.apply(5, InstanceReturned("e0", 2))
    assert register.unavailable["e0"] == Permit(4, "e0", ""), (
        "a delayed return of an earlier permit has no effect"
    )
    register.apply(6, InstanceReturned("e0"))
    assert "e0" in register.unavailable
    register.apply(7, InstanceReturned("e0", 4))
    assert not register.unavailable


def test_a_repeated_request_gets_its_first_decision() -> None:
    register = permit_register()
    first = register.apply(2, RequestPermit("a", "e0", "roll"))
    register.apply(3, InstanceReturned("e0", 2))
    assert register.apply(9, RequestPermit("a", "e0", "roll")) == first, "not carried out twice"
    assert not register.unavailable, "not carried out twice"


def test_a_rejection_says_why() -> None:
    register = permit_register()
    assert "not enrolled" in str(register.apply(2, RequestPermit("a", "e9")))
    register.apply(3, HaltDisruptions("declines"))
    assert "halted: declines" in str(register.apply(4, RequestPermit("b", "e0")))
    register.apply(5, HaltDisruptions("", lifted=True))
    register.apply(6, RequestPermit("c", "e0", "roll"))
    assert "out already, by permit 6 of roll" in str(register.apply(7, RequestPermit("d", "e0")))
    assert "of roll; ask again" in str(register.apply(8, RequestPermit("e", "e2")))
    empty = PermitRegister()
    empty.apply(1, EnrollInstances(tuple(edge_proxies())))
    assert "no limits are told" in str(empty.apply(2, RequestPermit("a", "e0")))


def test_a_fence_rejects_lower_and_ended_permits() -> None:
    fence = Fence()
    assert fence.accepts(Permit(5, "e0", ""))
    assert fence.accepts(Permit(5, "e0", ""))
    assert fence.accepts(Permit(8, "e0", ""))
    assert not fence.accepts(Permit(5, "e0", ""))
    assert fence.accepts(Permit(2, "e1", ""))
    fence.end(Permit(8, "e0", ""))
    assert not fence.accepts(Permit(8, "e0", "")), "a delayed copy"
    assert fence.accepts(Permit(9, "e0", ""))


NAMES = [f"e{index}" for index in range(8)]
COMMANDS = st.one_of(
    st.builds(RequestPermit, st.uuids().map(str), st.sampled_from(NAMES)),
    st.builds(InstanceReturned, st.sampled_from(NAMES), st.integers(0, 30)),
    st.builds(InstanceLost, st.sampled_from(NAMES)),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(COMMANDS, max_size=40))
def test_limits_hold_and_permit_numbers_increase_for_any_commands(commands: list[PermitCommand]) -> None:
    register, replica = (permit_register(DisruptionLimits(3, 2), 8) for _ in range(2))
    numbers = []
    for number, command in enumerate(commands, 2):
        decision = register.apply(number, command)
        assert replica.apply(number, command) == decision
        if decision is not None and decision.permit is not None:
            numbers.append(decision.permit.number)
            assert len(register.unavailable) <= 3, "including lost instances"
            north = [name for name in register.unavailable if int(name[1:]) % 2 == 0]
            assert len(north) <= 2 or int(decision.permit.name[1:]) % 2
    assert numbers == sorted(set(numbers))


# Simulations and the model


def test_no_limit_is_exceeded_under_faults_and_the_group_recovers() -> None:
    permits_used = 0
    for seed in range(14):
        simulation = PermitSimulation(seed)
        simulation.run(30)
        assert simulation.group.problem == "", f"seed {seed}"
        permits_used += simulation.counts["out"]
    assert permits_used > 100


def test_no_limit_is_exceeded_under_faults_in_a_group_of_five() -> None:
    for seed in range(100, 103):
        simulation = PermitSimulation(seed, group_size=5, holder_count=20, limits=DisruptionLimits(4, 2))
        simulation.run(30)
        assert simulation.group.problem == "", f"seed {seed}"


@pytest.mark.parametrize("compaction_threshold", [8, 64])
def test_a_member_that_lost_its_disk_catches_up_with_a_compacted_log(compaction_threshold: int) -> None:
    """Sets a low threshold: with the default one, a run ends before its log is compacted."""
    disks_lost = 0
    for seed in range(12):
        simulation = PermitSimulation(seed, compaction_threshold=compaction_threshold)
        simulation.run(60)
        assert simulation.group.problem == "", f"seed {seed}"
        disks_lost += simulation.counts["disk lost"]
    assert disks_lost > 3


@pytest.mark.parametrize("injected_fault", ["disk", "fence"])
def test_the_simulation_finds_an_injected_fault(injected_fault: str) -> None:
    """disk: a member that lost its disk still votes. fence: a permit is used again after its end."""

    def run_simulations() -> None:
        for seed in range(60):
            PermitSimulation(seed, injected_fault=injected_fault).run(40)

    with pytest.raises(InvariantViolationError):
        run_simulations()


@pytest.mark.parametrize(
    ("model", "states"),
    [
        (PermitModel(max_terms=1, max_crashes=0), 1_879),
        (PermitModel(max_terms=2, max_log_length=1, max_crashes=1), 12_416),
    ],
)
def test_no_interleaving_exceeds_the_limit(model: PermitModel, states: int) -> None:
    assert model.explore() == states


@pytest.mark.parametrize("injected_fault", INJECTED_FAULTS)
def test_the_model_finds_each_injected_fault(injected_fault: str) -> None:
    terms, length, crashes = (2, 1, 1) if injected_fault == "memory" else (1, 3, 0)
    with pytest.raises(SafetyViolationError):
        PermitModel(
            max_terms=terms,
            max_log_length=length,
            max_crashes=crashes,
            injected_fault=injected_fault,
            depth_first=crashes > 0,
        ).explore()
