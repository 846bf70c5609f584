"""Conditions other than canary evidence by which an operation is cancelled.

The fleet's view of itself, a failed step, and for a release programs that end by themselves or hold far more
memory than the others.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from valverouter.rollout.canary import CanaryWindow, canary_groups
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operations import OUTBOUND_STEP, Operation, OperationKind, StepId, StepStatus
from valverouter.rollout.orchestrator_config import MEBIBYTE, SECOND, OrchestratorConfig
from valverouter.rollout.readiness import ReadinessTracker

# Values of the view's health, as instances report them.
SETTLED = "settled"
CUT_OFF = "cut off"
# Released instances must end so many times as often as the others, each counted per instance.
EXIT_RATE_RATIO = 2


class HaltConditions:
    """Watches the operation under way."""

    def __init__(self, config: OrchestratorConfig, readiness: ReadinessTracker) -> None:
        self.config = config
        self.readiness = readiness
        self._unsettled_since: int | None = None

    @property
    def view_is_settled(self) -> bool:
        """Whether the fleet's view was settled when it was last checked."""
        return self._unsettled_since is None

    def find(self, now: int, log: OperationLog, operation: Operation, window: CanaryWindow | None) -> str:
        """Why the operation must be cancelled; empty: it may go on. `now` in ns."""
        reason = self._view_problem(now, log) or _failed_step(operation)
        if not reason and operation.kind is OperationKind.RELEASE:
            reason = self._crash_problem(log, operation, window) or self._memory_problem(log, operation)
        return reason

    def _view_problem(self, now: int, log: OperationLog) -> str:
        """A fleet that does not know itself takes nothing out.

        Instances that are unavailable are no witnesses; those that keep no view report none.
        """
        healths = [
            observation.report.counters.view_health
            for name, observation in self.readiness.observations.items()
            if name not in log.permits.unavailable and self.readiness.has_fresh_report(name, now)
        ]
        healths = [health for health in healths if health]
        if all(health == SETTLED for health in healths):
            self._unsettled_since = None
            return ""
        if 2 * healths.count(CUT_OFF) > len(healths):
            return "more than half of the fleet is cut off"
        if self._unsettled_since is None:
            self._unsettled_since = now
        if now - self._unsettled_since > self.config.max_unsettled:
            return f"the fleet's view has not settled for {self.config.max_unsettled // SECOND} s"
        return ""

    def _crash_problem(self, log: OperationLog, operation: Operation, window: CanaryWindow | None) -> str:
        """Released programs that end by themselves more often than the others do in the same time."""
        released = [
            name
            for name, participant in operation.participants.items()
            if participant.status in (StepStatus.OUT, StepStatus.DONE)
        ]
        exits = self._exits_since_step(operation, released)
        if exits < min(self.config.max_unexpected_exits, max(1, len(released))):
            return ""
        unreleased = canary_groups(log, operation).unreleased
        unreleased_exits = self._exits_in_window(window, unreleased)
        # Compared per instance, multiplied out: exits / released > ratio * other_exits / others.
        if exits * max(1, len(unreleased)) > EXIT_RATE_RATIO * unreleased_exits * len(released):
            return f"{exits} programs of {len(released)} released ended by themselves"
        return ""

    def _exits_since_step(self, operation: Operation, names: Iterable[str]) -> int:
        """Unexpected exits of instances whose latest step is that of this operation."""
        exits = 0
        for name in names:
            observation = self.readiness.observations.get(name)
            step_id = StepId(operation.participants[name].permit_number, OUTBOUND_STEP)
            if observation is not None and observation.report.step_id == step_id:
                exits += observation.report.unexpected_exits
        return exits

    def _exits_in_window(self, window: CanaryWindow | None, names: Iterable[str]) -> int:
        exits = 0
        for name in names:
            observation = self.readiness.observations.get(name)
            if observation is None or window is None:
                continue
            reported = observation.report.unexpected_exits
            exits += max(0, reported - window.initial_exits.get(name, reported))
        return exits

    def _memory_problem(self, log: OperationLog, operation: Operation) -> str:
        groups = canary_groups(log, operation)
        released, unreleased = self._memory_of(groups.released), self._memory_of(groups.unreleased)
        if not released or not unreleased:
            return ""
        released_median, unreleased_median = (statistics.median(released), statistics.median(unreleased))
        is_excessive = released_median > self.config.max_memory_ratio * unreleased_median
        if is_excessive and released_median - unreleased_median > self.config.min_memory_excess:
            return (
                f"released ones hold {released_median / MEBIBYTE:.0f} MiB in the median, "
                f"the others {unreleased_median / MEBIBYTE:.0f}"
            )
        return ""

    def _memory_of(self, names: Iterable[str]) -> list[int]:
        """Bytes held by each instance that reported any."""
        observations = (self.readiness.observations.get(name) for name in names)
        sizes = (observation.report.counters.memory_bytes for observation in observations if observation)
        return [size for size in sizes if size]


def _failed_step(operation: Operation) -> str:
    for name, participant in operation.participants.items():
        if participant.status is StepStatus.FAILED:
            return f"{name}: {participant.reason or 'did not come up'}"
    return ""
