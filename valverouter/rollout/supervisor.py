"""What a supervisor decides about the one instance whose program it starts and stops.

The control plane tells what is desired (`DesiredState`), and the supervisor makes its instance so. Starting
the program needs nobody's permission. Taking it out of service does: that is a step of a permit, begun at
most once, and on disk before it begins. A message with a step not above the latest one is void, however
late it arrives.

Without I/O: the caller reports events to it, asks it for the next action, carries that out, and sends its
reports. The machine's own wish (a SIGTERM to the supervisor) is always obeyed, and reported.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from valverouter.rollout.disruption_limits import InstanceKind
from valverouter.rollout.operations import OUTBOUND_STEP, DesiredState
from valverouter.rollout.reports import InstanceCounters, InstanceInfo, StepOutcome, SupervisorReport
from valverouter.rollout.supervisor_state import Step, SupervisorState

SECOND = 10**9
# Starts in a row after which the step is reported as failed; starting goes on.
MAX_START_FAILURES = 3
# Before a program that ended is started again, ns; doubled with each exit in a row.
RESTART_BACKOFF_BASE = SECOND // 4
RESTART_BACKOFF_CAP = 15 * SECOND
MAX_BACKOFF_DOUBLINGS = 10
# A program that ran for so long (ns) did start: its end is an exit, and no failed start.
MIN_HEALTHY_UPTIME = 5 * SECOND
# The reason of a step that was carried out before the supervisor lost its disk.
STATE_LOST = "of a former memory"


class SupervisorAction(Enum):
    """What the caller is to do next."""

    # Start the program of the state's version.
    START = "start"
    # Ask the list service for the server's drain, under the latest step's permit, and let it empty.
    REQUEST_DRAIN = "leave"
    # Tell the list service that the permit has ended.
    END_DRAIN = "return"
    # Ask the program to stop, as SIGTERM does.
    STOP = "stop"
    # Write the state to disk, before anything else.
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
    # The program is not started before this; also when to ask for the next action if nothing happens.
    next_start_at: int = 0
    _stop_requested: bool = False
    _is_unsaved: bool = False
    # The step under way wants the program stopped first.
    _must_stop: bool = False
    # The list service's answer to a server's drain: awaited, granted or refused.
    _drain_requested: bool = False
    _drain_granted: bool = False
    _drain_refused: bool = False
    _must_end_drain: bool = False
    _start_failures: int = 0
    _started_at: int = 0
    _exits_in_a_row: int = 0

    # Events

    def on_desired_state(self, now: int, desired: DesiredState, is_open: bool) -> bool:
        """Takes the control plane's answer to a report of this process; whether it begins a step.

        `is_open`: the step's permit has not ended. If it has, this supervisor has lost its disk: the step
        was carried out before, and counts as done. The program that runs meanwhile goes on running, since
        to take it out, if only for another version, needs a permit.
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
        # Returning needs no stop of a program that runs as it should: a step that was cancelled or refused
        # before the program went leaves it running.
        is_outbound = desired.step_index == OUTBOUND_STEP
        self._must_stop = self.is_running and (is_outbound or self.running_version != desired.version)
        self._drain_requested = self._drain_granted = self._drain_refused = False
        self._start_failures = self._exits_in_a_row = self.unexpected_exits = 0
        self.next_start_at = now
        return True

    def resume(self, is_running: bool) -> None:
        """After the supervisor's own restart: a step that was under way begins anew.

        Its program is stopped if it still runs. It stays the same step, and is reported as done only once.
        """
        self.is_running = is_running
        self.running_version = self.state.running_version
        self._must_stop = is_running and self._step_is_unfinished

    def on_started(self, now: int, version: str, process: str = "") -> None:
        """The program was started; `process` identifies it for a later `SupervisorState`."""
        self.state.process, self.state.running_version = process, version
        self._is_unsaved = True
        self.is_running, self.running_version, self._started_at = True, version, now
        self._stop_requested = False
        self.counters = InstanceCounters()

    def on_exited(self, now: int) -> None:
        """The program has ended, whether it was asked to or not."""
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
        """The program could not be started at all."""
        self._started_at = now
        self.on_exited(now)

    def on_drain_answer(self, granted: bool, reason: str = "") -> None:
        """The list service's answer to a server's drain. Refused, the step has failed and the server serves
        on.
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
        """The instance's answer about itself; by it a step that brings the instance up is done."""
        if not self.is_running or self._must_stop or self._stop_requested:
            return
        self.counters = counters
        is_serving = counters.serving and counters.ready
        if self._step_is_unfinished and self.state.up and is_serving and not self._drain_refused:
            self._finish_step(StepOutcome.DONE)
            self._must_end_drain = self.info.kind is InstanceKind.SERVER

    def on_saved(self) -> None:
        """The state is on disk."""
        self._is_unsaved = False

    def on_stop_requested(self) -> None:
        """The program was asked to stop."""
        self._stop_requested = True

    def shut_down(self) -> None:
        """The machine asks this supervisor to go: obeyed, whatever the control plane desires."""
        self.is_leaving = True

    # Decisions

    def next_action(self, now: int) -> SupervisorAction | None:
        """What to do next; None: nothing at the moment."""
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
        """The report to send. It holds no outcome of a step that is not on disk yet."""
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
        """The latest step is under way, or has failed and is still attempted."""
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
