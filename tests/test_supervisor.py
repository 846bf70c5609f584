"""The supervisor's state machine: steps, starts and restarts."""

from __future__ import annotations

import msgspec

from valverouter.rollout.operations import DesiredState
from valverouter.rollout.reports import InstanceCounters, InstanceInfo
from valverouter.rollout.supervisor import Supervisor, SupervisorAction
from valverouter.rollout.supervisor_state import SupervisorState

SECOND = 10**9


def new_supervisor(state: SupervisorState | None = None) -> Supervisor:
    return Supervisor(InstanceInfo("e0", available_versions=("v1", "v2")), state or SupervisorState("v1"))


def execute_actions(supervisor: Supervisor, now: int = 0) -> list[SupervisorAction]:
    """Carries out all actions that are due, and returns them in order."""
    executed = []
    while (action := supervisor.next_action(now)) is not None:
        executed.append(action)
        if action is SupervisorAction.SAVE:
            supervisor.on_saved()
        elif action is SupervisorAction.STOP:
            supervisor.on_stop_requested()
        else:
            supervisor.on_started(now, supervisor.state.version)
    return executed


def serving(incarnation: int = 1) -> InstanceCounters:
    return InstanceCounters(incarnation, True, True)


def test_a_step_is_on_disk_before_it_begins_and_begins_once() -> None:
    supervisor = new_supervisor()
    assert execute_actions(supervisor) == [SupervisorAction.START, SupervisorAction.SAVE]
    desired = DesiredState("v2", True, 7, 0, "r")
    assert supervisor.on_desired_state(0, desired, True)
    assert not supervisor.on_desired_state(0, desired, True), "a repeated step is ignored"
    assert execute_actions(supervisor) == [SupervisorAction.SAVE, SupervisorAction.STOP]
    assert (supervisor.report().step_id, supervisor.report().outcome, supervisor.report().is_running) == (
        (7, 0),
        "",
        False,
    )
    supervisor.on_exited(SECOND)
    assert execute_actions(supervisor, SECOND) == [SupervisorAction.START, SupervisorAction.SAVE]
    assert supervisor.running_version == "v2"
    supervisor.on_counters(serving())
    assert supervisor.report().outcome == "", "the outcome is reported only once it is on disk"
    assert execute_actions(supervisor, SECOND) == [SupervisorAction.SAVE]
    assert supervisor.report().outcome == "done"
    assert not supervisor.on_desired_state(0, DesiredState("v1", True, 6, 1), True), "a lower step is ignored"


def test_a_supervisor_restarted_during_a_step_continues_it() -> None:
    supervisor = new_supervisor()
    execute_actions(supervisor)
    supervisor.on_desired_state(0, DesiredState("v2", True, 7, 0, "r"), True)
    supervisor.on_saved()
    restarted = new_supervisor(
        msgspec.msgpack.decode(msgspec.msgpack.encode(supervisor.state), type=SupervisorState)
    )
    restarted.resume(is_running=True)
    assert execute_actions(restarted) == [SupervisorAction.STOP], (
        "the program may not have been stopped before"
    )
    restarted.on_exited(SECOND)
    assert execute_actions(restarted, SECOND) == [SupervisorAction.START, SupervisorAction.SAVE]
    assert restarted.running_version == "v2"


def test_a_supervisor_that_lost_its_disk_repeats_no_step_of_an_ended_permit() -> None:
    supervisor = new_supervisor()
    execute_actions(supervisor)
    assert not supervisor.on_desired_state(0, DesiredState("v2", True, 7, 0, "r"), is_open=False)
    assert execute_actions(supervisor) == [SupervisorAction.SAVE], (
        "no permit is valid for stopping the program"
    )
    assert supervisor.is_running, "no permit is valid for stopping the program"
    assert supervisor.report().step_id == (7, 0)


def test_a_program_that_does_not_start_is_reported_as_failed_and_retried() -> None:
    supervisor = new_supervisor()
    execute_actions(supervisor)
    supervisor.on_desired_state(0, DesiredState("v2", True, 7, 0, "r"), True)
    execute_actions(supervisor)
    supervisor.on_exited(0)
    now = 0
    for _ in range(3):
        now = max(now, supervisor.next_start_at)
        assert SupervisorAction.START in execute_actions(supervisor, now)
        supervisor.on_exited(now + SECOND // 10)
    assert supervisor.report().outcome == ""
    execute_actions(supervisor, now)
    assert supervisor.report().outcome == "failed"
    assert "v2 ended 3 times" in supervisor.report().reason
    assert execute_actions(supervisor, supervisor.next_start_at) == [
        SupervisorAction.START,
        SupervisorAction.SAVE,
    ], "started again after the backoff"
    supervisor.on_counters(serving())
    execute_actions(supervisor, supervisor.next_start_at)
    assert supervisor.report().outcome == "done"


def test_the_restart_backoff_doubles_up_to_its_cap() -> None:
    supervisor = new_supervisor()
    now, backoffs = 0, []
    for _ in range(12):
        execute_actions(supervisor, now)
        supervisor.on_exited(now)
        backoffs.append(supervisor.next_start_at - now)
        now = supervisor.next_start_at
    assert backoffs[:3] == [SECOND // 4, SECOND // 2, SECOND]
    assert backoffs[-1] == 15 * SECOND


def test_a_shutdown_is_obeyed_in_any_step_and_reported() -> None:
    supervisor = new_supervisor()
    execute_actions(supervisor)
    supervisor.on_desired_state(0, DesiredState("v2", True, 7, 0, "r"), True)
    supervisor.shut_down()
    assert execute_actions(supervisor) == [SupervisorAction.SAVE, SupervisorAction.STOP]
    supervisor.on_exited(0)
    assert execute_actions(supervisor, 20 * SECOND) == []
    assert supervisor.report().is_leaving
    assert not supervisor.on_desired_state(0, DesiredState("v1", True, 8, 0), True)


def test_a_drained_instance_stays_down_until_the_return_step() -> None:
    supervisor = new_supervisor()
    execute_actions(supervisor)
    supervisor.on_desired_state(0, DesiredState("v1", False, 7, 0, "d"), True)
    assert execute_actions(supervisor) == [SupervisorAction.SAVE, SupervisorAction.STOP]
    supervisor.on_exited(0)
    assert execute_actions(supervisor) == [SupervisorAction.SAVE]
    assert (supervisor.report().outcome, supervisor.report().is_running) == ("done", False)
    restarted = new_supervisor(supervisor.state)
    assert execute_actions(restarted) == [], "a restart of the supervisor does not start a drained instance"
    restarted.on_desired_state(0, DesiredState("v1", True, 7, 1, "u"), True)
    assert execute_actions(restarted) == [
        SupervisorAction.SAVE,
        SupervisorAction.START,
        SupervisorAction.SAVE,
    ]


def test_an_unknown_version_is_reported_as_failed_and_stops_nothing() -> None:
    supervisor = new_supervisor()
    execute_actions(supervisor)
    supervisor.on_desired_state(0, DesiredState("v9", True, 7, 0, "r"), True)
    assert execute_actions(supervisor) == [SupervisorAction.SAVE]
    assert supervisor.is_running
    assert supervisor.report().outcome == "failed"
    assert "v9" in supervisor.report().reason
