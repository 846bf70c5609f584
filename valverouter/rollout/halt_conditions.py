"""Conditions other than canary evidence on which an operation is cancelled.

These are an unsettled membership view, a failed step, and, for a release, programs that exit unexpectedly or
use far more memory than those of unreleased instances.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from valverouter.rollout.canary import CanaryWindow, canary_groups
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operations import OUTBOUND_STEP, Operation, OperationKind, StepId, StepStatus
from valverouter.rollout.orchestrator_config import MEBIBYTE, SECOND, OrchestratorConfig
from valverouter.rollout.readiness import ReadinessTracker

# Values of the membership view's health in instances' reports.
SETTLED = "settled"
CUT_OFF = "cut off"
# Ratio of unexpected exits per released instance to those per unreleased instance, above which a release is
# cancelled.
EXIT_RATE_RATIO = 2


class HaltConditions:
    """Checks the active operation."""

    def __init__(self, config: OrchestratorConfig, readiness: ReadinessTracker) -> None:
        self.config = config
        self.readiness = readiness
        self._unsettled_since: int | None = None

    @property
    def view_is_settled(self) -> bool:
        """Whether the membership view was settled at the last check."""
        return self._unsettled_since is None

    def find(self, now: int, log: OperationLog, operation: Operation, window: CanaryWindow | None) -> str:
        """The reason to cancel the operation; empty: it may continue. `now` in ns."""
        reason = self._view_problem(now, log) or _failed_step(operation)
        if not reason and operation.kind is OperationKind.RELEASE:
            reason = self._crash_problem(log, operation, window) or self._memory_problem(log, operation)
        return reason

    def _view_problem(self, now: int, log: OperationLog) -> str:
        """The problem with the membership view; empty: none.

        No instance is made unavailable while the view is unsettled. Reports of unavailable instances are
        ignored, and instances without a view report an empty health.
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
        """The problem if released programs exit unexpectedly more often than others; empty: none.

        The exits of both groups are counted over the same time.
        """
        released = [
            name
            for name, participant in operation.participants.items()
            if participant.status in (StepStatus.IN_PROGRESS, StepStatus.DONE)
        ]
        exits = self._exits_since_step(operation, released)
        if exits < min(self.config.max_unexpected_exits, max(1, len(released))):
            return ""
        unreleased = canary_groups(log, operation).unreleased
        unreleased_exits = self._exits_in_window(window, unreleased)
        # Rates per instance, multiplied out: exits / released > ratio * unreleased_exits / unreleased.
        if exits * max(1, len(unreleased)) > EXIT_RATE_RATIO * unreleased_exits * len(released):
            return f"{exits} programs of {len(released)} released ended by themselves"
        return ""

    def _exits_since_step(self, operation: Operation, names: Iterable[str]) -> int:
        """The number of unexpected exits of instances whose latest step is that of this operation."""
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
        """The memory use in bytes of each instance that reported it."""
        observations = (self.readiness.observations.get(name) for name in names)
        sizes = (observation.report.counters.memory_bytes for observation in observations if observation)
        return [size for size in sizes if size]


def _failed_step(operation: Operation) -> str:
    for name, participant in operation.participants.items():
        if participant.status is StepStatus.FAILED:
            return f"{name}: {participant.reason or 'did not come up'}"
    return ""
