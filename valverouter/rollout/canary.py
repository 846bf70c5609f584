"""Canary analysis: decides whether a release may continue, from counters of the instances.

The counters are sampled at a fixed interval. The outcomes of released instances in one interval are compared
with those of unreleased instances of the same region and interval; `sequential_test.py` tests their sum.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from valverouter.rollout.operation_log import OperationLog
from valverouter.rollout.operations import (
    Advance,
    Cancel,
    Command,
    Operation,
    OperationKind,
    OperationPhase,
    StepStatus,
)
from valverouter.rollout.orchestrator_config import OrchestratorConfig
from valverouter.rollout.readiness import ReadinessTracker
from valverouter.rollout.reports import InstanceCounters
from valverouter.rollout.sequential_test import CanaryEvidence, OutcomeCount, Verdict

# The measures of a release, by their names in halt reasons; the values are fields of `InstanceCounters`.
MEASURES = {"declined": "rejected", "lost": "lost", "late": "late"}


class CanaryGroups(NamedTuple):
    """Names of available instances of a release's kind, by whether they are at its version."""

    released: list[str]
    unreleased: list[str]


def canary_groups(log: OperationLog, operation: Operation) -> CanaryGroups:
    """Splits the available instances of the operation's kind by their desired version."""
    kind = log.permits.instances[next(iter(operation.participants))].kind
    groups = CanaryGroups([], [])
    for name, instance in log.permits.instances.items():
        desired = log.desired.get(name)
        if instance.kind is not kind or desired is None or name in log.permits.unavailable:
            continue
        is_released = desired.version == operation.version
        (groups.released if is_released else groups.unreleased).append(name)
    return groups


@dataclass(slots=True)
class CanaryWindow:
    """The evidence of one stage, which lasts from the end of one evaluation to the end of the next.

    `last_counters`: the counters of the latest sample, by instance. `initial_exits`: the unexpected exits at
    the start of the window, by instance. `evaluation_since`: start of the minimum evaluation time, ns.
    """

    operation: str
    stage: int
    evaluation_since: int
    evidence: CanaryEvidence
    last_counters: dict[str, InstanceCounters]
    initial_exits: dict[str, int]
    sampled_at: int

    def covers(self, operation: Operation) -> bool:
        """Whether the window is that of the operation's current stage."""
        return (self.operation, self.stage) == (operation.id, operation.evaluation_stage)


class _Interval(NamedTuple):
    """Counters of one process at the start and the end of a sampling interval."""

    before: InstanceCounters
    after: InstanceCounters

    def outcomes(self, measure: str) -> OutcomeCount:
        counter = MEASURES[measure]
        failures = getattr(self.after, counter) - getattr(self.before, counter)
        # Failures in this interval may be of dialogs that were accepted in the previous one.
        return OutcomeCount(failures, max(failures, self.after.accepted - self.before.accepted))


class CanaryAnalysis:
    """Collects and evaluates the evidence of the active release."""

    def __init__(
        self, config: OrchestratorConfig, readiness: ReadinessTracker, draw: Callable[[], float]
    ) -> None:
        """`draw` returns random numbers in [0, 1)."""
        self.config = config
        self.readiness = readiness
        self.window: CanaryWindow | None = None
        self._draw = draw

    @property
    def progress(self) -> tuple[int, int]:
        """The number of pairs compared so far, and the minimum; (0, 0) if no evidence is collected."""
        if self.window is None:
            return 0, 0
        pairs = min(test.pairs for test in self.window.evidence.tests.values())
        return pairs, self.config.sequential_test.min_pairs

    def evaluate(self, now: int, log: OperationLog, operation: Operation, is_settled: bool) -> list[Command]:
        """Samples the counters if due; returns a `Cancel`, an `Advance` or nothing. `now` in ns.

        `is_settled`: whether the membership view is settled; a release does not advance while it is not.
        """
        if not _has_released_instances(operation):
            return []
        window = self.current_window(now, operation)
        if now - window.sampled_at < self.config.sample_interval:
            return []
        window.sampled_at = now
        self._sample(now, log, operation, window)
        verdict = window.evidence.verdict
        if verdict is Verdict.HALT:
            return [Cancel(operation.id, window.evidence.halt_reason)]
        if operation.phase is OperationPhase.RUNNING:
            # The evaluation starts when the wave's last instance is available again: until then, the evidence
            # is of a part of the wave only.
            window.evaluation_since = now
            return []
        is_long_enough = now - window.evaluation_since >= self.config.min_evaluation
        if verdict is Verdict.PASS and is_settled and is_long_enough:
            return [Advance(operation.id, operation.wave_index)]
        return []

    def current_window(self, now: int, operation: Operation) -> CanaryWindow:
        """The window of the operation's current stage, created if the stage has just started."""
        if self.window is None or not self.window.covers(operation):
            self.window = CanaryWindow(
                operation=operation.id,
                stage=operation.evaluation_stage,
                evaluation_since=now,
                evidence=CanaryEvidence(tuple(MEASURES), self.config.sequential_test, self._draw),
                last_counters={},
                initial_exits={
                    name: observation.report.unexpected_exits
                    for name, observation in self.readiness.observations.items()
                },
                sampled_at=now - self.config.sample_interval,
            )
        return self.window

    def _sample(self, now: int, log: OperationLog, operation: Operation, window: CanaryWindow) -> None:
        groups = canary_groups(log, operation)
        released = dict(self._intervals(window, now, groups.released))
        unreleased = dict(self._intervals(window, now, groups.unreleased))
        # Where no region has instances of both groups, all regions are compared together.
        shares_region = not _regions(log, released).isdisjoint(_regions(log, unreleased))
        for measure in MEASURES:
            window.evidence.add_interval(
                _outcomes_by_region(log, released, measure, shares_region),
                _outcomes_by_region(log, unreleased, measure, shares_region),
                measure,
            )

    def _intervals(
        self, window: CanaryWindow, now: int, names: Iterable[str]
    ) -> Iterator[tuple[str, _Interval]]:
        """The interval of each instance with a fresh report whose process was sampled before."""
        for name in names:
            observation = self.readiness.observations.get(name)
            if observation is None or not self.readiness.has_fresh_report(name, now):
                continue
            counters = observation.report.counters
            if not counters.incarnation:
                continue
            before = window.last_counters.get(name)
            window.last_counters[name] = counters
            if before is not None and before.incarnation == counters.incarnation:
                yield name, _Interval(before, counters)


def _has_released_instances(operation: Operation) -> bool:
    return operation.kind is OperationKind.RELEASE and any(
        participant.status is StepStatus.DONE for participant in operation.participants.values()
    )


def _regions(log: OperationLog, names: Iterable[str]) -> set[str]:
    return {log.permits.instances[name].region for name in names}


def _outcomes_by_region(
    log: OperationLog, intervals: dict[str, _Interval], measure: str, by_region: bool
) -> dict[str, OutcomeCount]:
    """The sums of the intervals' outcomes by region, or of all regions under the empty name."""
    sums: dict[str, OutcomeCount] = {}
    for name, interval in intervals.items():
        region = log.permits.instances[name].region if by_region else ""
        outcomes = interval.outcomes(measure)
        before = sums.get(region, OutcomeCount(0, 0))
        sums[region] = OutcomeCount(before.failures + outcomes.failures, before.total + outcomes.total)
    return sums
