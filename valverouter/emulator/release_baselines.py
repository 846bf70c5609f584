"""Simpler canary analyses, used in simulations as baselines for `CanaryAnalysis`."""

from __future__ import annotations

from valverouter.rollout.canary import CanaryAnalysis, CanaryWindow, canary_groups
from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operations import Advance, Cancel, Command, Operation, OperationPhase
from valverouter.rollout.orchestrator import Orchestrator
from valverouter.rollout.orchestrator_config import SECOND
from valverouter.rollout.reports import InstanceCounters
from valverouter.rollout.sequential_test import CanaryEvidence, SequentialTestConfig

# The time from the end of a wave to the baselines' decision.
BASELINE_EVALUATION = 10 * SECOND
# `ThresholdAnalysis` cancels above this ratio of the rejected fractions of released to unreleased instances.
THRESHOLD_RATIO = 1.5


class ThresholdAnalysis(CanaryAnalysis):
    """A baseline that compares rejected fractions with a fixed threshold, ten seconds after each wave.

    The release continues if the released instances reject at most 1.5 times the fraction of dialogs that the
    unreleased instances reject; otherwise it is cancelled.
    """

    def evaluate(self, now: int, log: OperationLog, operation: Operation, is_settled: bool) -> list[Command]:
        """See `CanaryAnalysis.evaluate`."""
        if operation.phase is not OperationPhase.EVALUATING:
            return []
        if self.window is None or not self.window.covers(operation):
            counters = {
                name: observation.report.counters for name, observation in self.readiness.observations.items()
            }
            self.window = _baseline_window(now, operation, counters)
            return []
        if now - self.window.evaluation_since < BASELINE_EVALUATION:
            return []
        groups = canary_groups(log, operation)
        released = self._rejected_fraction(self.window, groups.released)
        unreleased = self._rejected_fraction(self.window, groups.unreleased)
        if released > THRESHOLD_RATIO * unreleased:
            return [Cancel(operation.id, f"{released:.3f} of {unreleased:.3f}")]
        return [Advance(operation.id, operation.wave_index)]

    def _rejected_fraction(self, window: CanaryWindow, names: list[str]) -> float:
        rejected = accepted = 0
        for name in names:
            before, observation = window.last_counters.get(name), self.readiness.observations.get(name)
            if before is None or observation is None:
                continue
            counters = observation.report.counters
            if before.incarnation == counters.incarnation:
                rejected += counters.rejected - before.rejected
                accepted += counters.accepted - before.accepted
        return rejected / accepted if accepted else 0.0


class TimerAnalysis(CanaryAnalysis):
    """A baseline that always continues the release, ten seconds after each wave."""

    def evaluate(self, now: int, log: OperationLog, operation: Operation, is_settled: bool) -> list[Command]:
        """See `CanaryAnalysis.evaluate`."""
        if operation.phase is not OperationPhase.EVALUATING:
            return []
        if self.window is None or not self.window.covers(operation):
            self.window = _baseline_window(now, operation, {})
            return []
        is_over = now - self.window.evaluation_since >= BASELINE_EVALUATION
        return [Advance(operation.id, operation.wave_index)] if is_over else []


def _baseline_window(now: int, operation: Operation, counters: dict[str, InstanceCounters]) -> CanaryWindow:
    return CanaryWindow(
        operation.id,
        operation.evaluation_stage,
        now,
        CanaryEvidence(("declined",), SequentialTestConfig(), lambda: 0.0),
        counters,
        {},
        now,
    )


class ThresholdOrchestrator(Orchestrator):
    """An orchestrator that evaluates releases with `ThresholdAnalysis`."""

    analysis_class = ThresholdAnalysis


class TimerOrchestrator(Orchestrator):
    """An orchestrator that evaluates releases with `TimerAnalysis`."""

    analysis_class = TimerAnalysis


BASELINES: dict[str, type[Orchestrator]] = {"threshold": ThresholdOrchestrator, "timer": TimerOrchestrator}
