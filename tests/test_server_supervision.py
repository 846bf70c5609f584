"""Drain and stop of a server under a permit: the list service's check of permits, and its supervisor."""

from __future__ import annotations

from valverouter.rollout.disruption_limits import InstanceKind
from valverouter.rollout.operations import DesiredState
from valverouter.rollout.reports import InstanceCounters, InstanceInfo
from valverouter.rollout.supervisor import Supervisor, SupervisorAction
from valverouter.rollout.supervisor_state import SupervisorState
from valverouter.signalling.serverlist import DrainEnded, DrainPermits, DrainRequest


def test_the_list_service_refuses_a_drain_without_a_valid_permit() -> None:
    permits = DrainPermits()
    assert permits.check(DrainRequest("s0", 0)) == "no permit's number was given"
    assert permits.check(DrainRequest("s0", 7)) == "" == permits.check(DrainRequest("s0", 7))
    assert "older than 7" in permits.check(DrainRequest("s0", 6))
    assert permits.check(DrainRequest("s1", 6)) == "", "each server has its own permit numbers"
    permits.end(DrainEnded("s0", 7))
    assert permits.check(DrainRequest("s0", 7)) == "permit 7 is over"
    permits.end(DrainEnded("s0", 3))
    assert permits.check(DrainRequest("s0", 8)) == ""


def supervisor_with_step() -> Supervisor:
    supervisor = Supervisor(
        InstanceInfo("s0", InstanceKind.SERVER, available_versions=("v1", "v2")), SupervisorState("v1")
    )
    assert supervisor.next_action(0) is SupervisorAction.START
    supervisor.on_started(0, "v1")
    supervisor.on_saved()
    supervisor.on_desired_state(0, DesiredState("v2", True, 7, 0, "r"), True)
    assert supervisor.next_action(0) is SupervisorAction.SAVE
    supervisor.on_saved()
    return supervisor


def test_a_server_is_stopped_once_its_drain_is_granted() -> None:
    supervisor = supervisor_with_step()
    assert supervisor.next_action(0) is SupervisorAction.REQUEST_DRAIN, "requested once"
    assert supervisor.next_action(0) is None, "waits for the answer"
    supervisor.on_counters(InstanceCounters(1, True, True))
    assert supervisor.report().outcome == "", "serving before its stop does not complete the step"
    supervisor.on_drain_answer(True)
    assert supervisor.next_action(0) is SupervisorAction.STOP
    supervisor.on_stop_requested()
    supervisor.on_exited(0)
    assert supervisor.next_action(0) is SupervisorAction.START
    supervisor.on_started(0, "v2")
    supervisor.on_saved()
    supervisor.on_counters(InstanceCounters(2, True, True))
    supervisor.on_saved()
    assert supervisor.report().outcome == "done"
    assert supervisor.next_action(0) is SupervisorAction.END_DRAIN
    assert supervisor.next_action(0) is None


def test_a_server_whose_drain_is_refused_continues_to_serve_and_its_step_fails() -> None:
    supervisor = supervisor_with_step()
    assert supervisor.next_action(0) is SupervisorAction.REQUEST_DRAIN
    supervisor.on_drain_answer(False, "permit 7 is over")
    assert supervisor.next_action(0) is SupervisorAction.SAVE
    supervisor.on_saved()
    supervisor.on_counters(InstanceCounters(1, True, True))
    assert supervisor.next_action(0) is None
    assert supervisor.is_running
    assert (supervisor.report().outcome, supervisor.report().reason) == (
        "failed",
        "the list refuses: permit 7 is over",
    )
    supervisor.on_desired_state(0, DesiredState("v1", True, 7, 1, "r"), True)
    supervisor.on_saved()
    supervisor.on_counters(InstanceCounters(1, True, True))
    supervisor.on_saved()
    assert supervisor.report().outcome == "done", "needs no restart, as it never stopped"


def test_a_shutdown_by_the_machine_does_not_wait_for_the_list_service() -> None:
    supervisor = supervisor_with_step()
    assert supervisor.next_action(0) is SupervisorAction.REQUEST_DRAIN
    supervisor.shut_down()
    assert supervisor.next_action(0) is SupervisorAction.STOP
