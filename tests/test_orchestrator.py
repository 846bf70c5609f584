"""The commands that the orchestrator proposes, given reports and the operation log."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from tests.operation_harness import LIMITS, SECOND, OperationLogHarness
from valverouter.rollout.disruption_limits import InstanceKind
from valverouter.rollout.disruption_permits import InstanceLost, InstanceReturned, RequestPermit
from valverouter.rollout.operations import Cancel, OperationKind
from valverouter.rollout.orchestrator import Orchestrator
from valverouter.rollout.orchestrator_config import OrchestratorConfig
from valverouter.rollout.reports import InstanceCounters, InstanceInfo, SupervisorReport
from valverouter.rollout.sequential_test import SequentialTestConfig


def new_orchestrator(rig: OperationLogHarness, **config: Any) -> Orchestrator:
    return Orchestrator(OrchestratorConfig({InstanceKind.EDGE: LIMITS}, **config), random.Random(1).random, 0)


def report_all(orchestrator: Orchestrator, rig: OperationLogHarness, now: int, **counter_fields: Any) -> None:
    for name, instance in rig.log.permits.instances.items():
        desired = rig.log.desired[name]
        counters = InstanceCounters(
            incarnation=1, serving=True, ready=True, view_health=counter_fields.get("view_health", "settled")
        )
        info = InstanceInfo(name, instance.kind, instance.region, instance.capacity, 0.0, ("v1", "v2"))
        done = "done" if desired.permit_number else ""
        orchestrator.record_report(
            now,
            SupervisorReport(
                info,
                desired.version,
                True,
                desired.permit_number,
                desired.step_index,
                done,
                counters=counters,
            ),
            now,
        )


def test_a_silent_instance_is_lost_but_a_new_leader_first_waits_for_reports() -> None:
    rig = OperationLogHarness()
    orchestrator = new_orchestrator(rig)
    assert orchestrator.next_commands(3 * SECOND, rig.log) == []
    report_all(orchestrator, rig, 4 * SECOND)
    orchestrator.readiness.forget(["e3"])
    assert orchestrator.next_commands(5 * SECOND, rig.log) == [InstanceLost("e3")]
    rig.apply(InstanceLost("e3"))
    report_all(orchestrator, rig, 5 * SECOND)
    assert orchestrator.next_commands(5 * SECOND, rig.log) == [InstanceReturned("e3", 0)]


def test_an_unsettled_view_delays_permits_and_then_cancels_the_operation() -> None:
    rig = OperationLogHarness()
    orchestrator = new_orchestrator(rig, max_unsettled=5 * SECOND)
    rig.submit("a", OperationKind.RESTART, "e0", "e1")
    report_all(orchestrator, rig, SECOND, view_health="unsettled")
    assert orchestrator.next_commands(SECOND, rig.log) == []
    report_all(orchestrator, rig, 4 * SECOND)
    assert [type(command) for command in orchestrator.next_commands(4 * SECOND, rig.log)] == [RequestPermit]
    report_all(orchestrator, rig, 5 * SECOND, view_health="unsettled")
    orchestrator.next_commands(5 * SECOND, rig.log)
    report_all(orchestrator, rig, 11 * SECOND, view_health="unsettled")
    assert any(isinstance(command, Cancel) for command in orchestrator.next_commands(11 * SECOND, rig.log))


def test_a_mostly_cut_off_fleet_cancels_the_operation_at_once() -> None:
    rig = OperationLogHarness()
    orchestrator = new_orchestrator(rig)
    rig.submit("a", OperationKind.RESTART, "e0", "e1")
    report_all(orchestrator, rig, SECOND, view_health="cut off")
    (cancel,) = orchestrator.next_commands(SECOND, rig.log)
    assert isinstance(cancel, Cancel)
    assert "cut off" in cancel.reason


def test_too_few_dialogs_do_not_advance_a_release() -> None:
    rig = OperationLogHarness()
    orchestrator = new_orchestrator(rig, sequential_test=SequentialTestConfig(min_pairs=10))
    waves = rig.submit("r", OperationKind.RELEASE, *rig.log.permits.instances, version="v2").waves
    rig.apply(InstanceReturned(waves[0][0], rig.request_permit("r", waves[0][0])))
    for second in range(1, 300):
        report_all(orchestrator, rig, second * SECOND)
        assert orchestrator.next_commands(second * SECOND, rig.log) == []


def test_a_release_that_uses_far_more_memory_is_halted() -> None:
    rig = OperationLogHarness()
    orchestrator = new_orchestrator(rig)
    waves = rig.submit("r", OperationKind.RELEASE, *rig.log.permits.instances, version="v2").waves
    rig.apply(InstanceReturned(waves[0][0], rig.request_permit("r", waves[0][0])))
    for excess, halts in ((0, False), (40, False), (200, True)):
        report_all(orchestrator, rig, SECOND)
        for name, observation in orchestrator.readiness.observations.items():
            memory_bytes = (100 + (excess if name == waves[0][0] else 0)) * 2**20
            counters = msgspec.structs.replace(observation.report.counters, memory_bytes=memory_bytes)
            observation.report = msgspec.structs.replace(observation.report, counters=counters)
        cancels = [
            command for command in orchestrator.next_commands(SECOND, rig.log) if isinstance(command, Cancel)
        ]
        assert bool(cancels) is halts, excess
        assert not cancels or cancels[0].reason == "released ones hold 300 MiB in the median, the others 100"
