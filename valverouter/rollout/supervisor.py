"""The state machine of a supervisor, which starts and stops the program of one instance.

The control plane sends the desired state (`DesiredState`), and the supervisor brings its instance to it.
Starting the program needs no permit. Taking the instance out of service does: it is a step of a permit, which
is begun at most once, and written to disk before it begins. A message whose step is not greater than the
latest one is ignored, however late it arrives.

The supervisor does no I/O: the caller reports events to it, asks it for the next action, carries that out,
and sends its reports. A shutdown by the machine (SIGTERM to the supervisor) is always carried out, and
reported.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from valverouter.rollout.disruption_limits import InstanceKind
from valverouter.rollout.operations import OUTBOUND_STEP, DesiredState
from valverouter.rollout.reports import InstanceCounters, InstanceInfo, StepOutcome, SupervisorReport
from valverouter.rollout.supervisor_state import Step, SupervisorState

SECOND = 10**9
# Number of consecutive failed starts after which the step is reported as failed; further starts are
# attempted.
MAX_START_FAILURES = 3
# Backoff before a program that exited is restarted, ns; it doubles with each consecutive exit.
RESTART_BACKOFF_BASE = SECOND // 4
RESTART_BACKOFF_CAP = 15 * SECOND
MAX_BACKOFF_DOUBLINGS = 10
# Uptime in ns from which a program counts as started: a later exit is not a failed start.
MIN_HEALTHY_UPTIME = 5 * SECOND
# The reason reported for a step that was carried out before the supervisor lost its disk.
STATE_LOST = "of a former memory"


class SupervisorAction(Enum):
    """The next action that the caller has to carry out."""

    # Start the program of the state's version.
    START = "start"
    # Request the server's drain from the list service, under the latest step's permit, and give the server
    # time to drain.
    REQUEST_DRAIN = "leave"
    # Notify the list service that the permit has ended.
    END_DRAIN = "return"
    # Stop the program gracefully, as SIGTERM does.
    STOP = "stop"
    # Write the state to disk before any other action.
    SAVE = "save"


@dataclass(slots=True)
class Supervisor:
    """Supervises one instance. All times are ns of the caller's monotonic clock."""

    info: InstanceInfo
    state: SupervisorState
    is_running: bool = False
    running_version: str = ""
    unexpected_exits: int = 0
    is_leaving: bool = False
    counters: InstanceCounters = field(default_factory=InstanceCounters)
    # The earliest time at which the program is started. Without events, the next action is due at this time.
    next_start_at: int = 0
    _stop_requested: bool = False
    _is_unsaved: bool = False
    # Whether the step in progress requires the program to be stopped first.
    _must_stop: bool = False
    # State of a server's drain at the list service: requested and not answered yet, granted, or refused.
    _drain_requested: bool = False
    _drain_granted: bool = False
    _drain_refused: bool = False
    _must_end_drain: bool = False
    _start_failures: int = 0
    _started_at: int = 0
    _exits_in_a_row: int = 0

    # Events

    def on_desired_state(self, now: int, desired: DesiredState, is_open: bool) -> bool:
        """Processes the control plane's answer to a report of this process; returns whether it begins a step.

        `is_open`: whether the step's permit is still valid. A new step whose permit has ended means that this
        supervisor has lost its disk: the step was carried out before, and is recorded as done. A running
        program then keeps running, since stopping it, even to change its version, requires a permit.
        """
        if self.is_leaving or desired.step_id <= self.state.latest_step_id:
            return False
        if is_open and desired.version not in self.info.available_versions:
            self._begin_step(
                Step.from_desired_state(desired, StepOutcome.FAILED, f"no version {desired.version!r}")
            )
            return True
        self.state.version, self.state.up = desired.version, desired.up
        if not is_open:
            self._begin_step(Step.from_desired_state(desired, StepOutcome.DONE, STATE_LOST))
            return False
        self._begin_step(Step.from_desired_state(desired))
        # A return step does not stop a program that already runs the desired version: the outbound step may
        # have been cancelled or refused before the program was stopped.
        is_outbound = desired.step_index == OUTBOUND_STEP
        self._must_stop = self.is_running and (is_outbound or self.running_version != desired.version)
        self._drain_requested = self._drain_granted = self._drain_refused = False
        self._start_failures = self._exits_in_a_row = self.unexpected_exits = 0
        self.next_start_at = now
        return True

    def resume(self, is_running: bool) -> None:
        """Resumes after a restart of the supervisor: a step that was in progress is carried out again.

        Its program is stopped if it is still running. The step keeps its id and is reported as done only
        once.
        """
        self.is_running = is_running
        self.running_version = self.state.running_version
        self._must_stop = is_running and self._step_is_unfinished

    def on_started(self, now: int, version: str, process: str = "") -> None:
        """Records that the program was started; `process` identifies it in the stored `SupervisorState`."""
        self.state.process, self.state.running_version = process, version
        self._is_unsaved = True
        self.is_running, self.running_version, self._started_at = True, version, now
        self._stop_requested = False
        self.counters = InstanceCounters()

    def on_exited(self, now: int) -> None:
        """Records that the program has exited, on request or unexpectedly."""
        was_requested = self._stop_requested
        self.is_running = self._stop_requested = self._must_stop = False
        self.counters = InstanceCounters()
        if was_requested or self.is_leaving:
            self.next_start_at = now
            return
        has_started = now - self._started_at >= MIN_HEALTHY_UPTIME
        if self._step_is_unfinished and not has_started:
            self._on_failed_start()
        else:
            self.unexpected_exits += 1
        self._exits_in_a_row = 1 if has_started else self._exits_in_a_row + 1
        doublings = min(self._exits_in_a_row - 1, MAX_BACKOFF_DOUBLINGS)
        self.next_start_at = now + min(RESTART_BACKOFF_CAP, RESTART_BACKOFF_BASE << doublings)

    def on_start_failed(self, now: int) -> None:
        """Records that no process could be created for the program."""
        self._started_at = now
        self.on_exited(now)

    def on_drain_answer(self, granted: bool, reason: str = "") -> None:
        """Processes the list service's answer to a drain request.

        If the drain is refused, the step fails and the server continues to serve.
        """
        self._drain_requested = False
        if not self._step_is_unfinished:
            return
        if granted:
            self._drain_granted = True
            return
        self._must_stop, self._drain_refused = False, True
        self.state.up = True
        self._finish_step(StepOutcome.FAILED, f"the list refuses: {reason}")

    def on_counters(self, counters: InstanceCounters) -> None:
        """Records the instance's counters; a step that starts it is done once they show that it serves."""
        if not self.is_running or self._must_stop or self._stop_requested:
            return
        self.counters = counters
        is_serving = counters.serving and counters.ready
        if self._step_is_unfinished and self.state.up and is_serving and not self._drain_refused:
            self._finish_step(StepOutcome.DONE)
            self._must_end_drain = self.info.kind is InstanceKind.SERVER

    def on_saved(self) -> None:
        """Records that the state was written to disk."""
        self._is_unsaved = False

    def on_stop_requested(self) -> None:
        """Records that the program was signalled to stop."""
        self._stop_requested = True

    def shut_down(self) -> None:
        """Shuts down at the machine's request, regardless of the desired state."""
        self.is_leaving = True

    # Decisions

    def next_action(self, now: int) -> SupervisorAction | None:
        """Returns the next action to carry out; None: there is nothing to do at the moment."""
        if self._is_unsaved:
            return SupervisorAction.SAVE
        if self.is_running:
            return self._next_action_while_running()
        if self.is_leaving:
            return None
        if not self.state.up:
            if self._step_is_unfinished:
                self._finish_step(StepOutcome.DONE)
                return SupervisorAction.SAVE
            return None
        return SupervisorAction.START if now >= self.next_start_at else None

    def _next_action_while_running(self) -> SupervisorAction | None:
        should_stop = self._must_stop or not self.state.up or self.is_leaving
        if self._stop_requested or not should_stop:
            if self._must_end_drain:
                self._must_end_drain = False
                return SupervisorAction.END_DRAIN
            return None
        needs_drain = self.info.kind is InstanceKind.SERVER and not self.is_leaving
        if not needs_drain or self._drain_granted:
            return SupervisorAction.STOP
        if self._drain_requested:
            return None
        self._drain_requested = True
        return SupervisorAction.REQUEST_DRAIN

    def report(self) -> SupervisorReport:
        """Returns the report to send. It does not include an outcome that is not on disk yet."""
        step = self.state.latest_step or Step(0, 0, "")
        return SupervisorReport(
            info=self.info,
            version=self.running_version if self.is_running else self.state.version,
            is_running=self.is_running and not self._must_stop,
            permit_number=step.permit_number,
            step_index=step.index,
            outcome=StepOutcome.IN_PROGRESS if self._is_unsaved else step.outcome,
            reason="" if self._is_unsaved else step.reason,
            unexpected_exits=self.unexpected_exits,
            is_leaving=self.is_leaving,
            up=self.state.up,
            counters=self.counters,
        )

    # Steps

    @property
    def _step_is_unfinished(self) -> bool:
        """Whether the latest step is in progress, or has failed and is still attempted."""
        step = self.state.latest_step
        return step is not None and step.outcome in (StepOutcome.IN_PROGRESS, StepOutcome.FAILED)

    def _begin_step(self, step: Step) -> None:
        self.state.add_step(step)
        self._is_unsaved = True

    def _finish_step(self, outcome: StepOutcome, reason: str = "") -> None:
        step = self.state.steps[-1]
        if step.outcome != outcome:
            self.state.steps[-1] = Step(step.permit_number, step.index, step.operation, outcome, reason)
            self._is_unsaved = True

    def _on_failed_start(self) -> None:
        self._start_failures += 1
        if self._start_failures >= MAX_START_FAILURES:
            reason = f"{self.state.version} ended {self._start_failures} times at its start"
            self._finish_step(StepOutcome.FAILED, reason)
