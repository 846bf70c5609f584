"""Checks the operations of a scenario, from rows of the supervisors' own logs.

Each violation begins with the name of its check:

limits    more instances were unavailable at once than allowed, in total or in a region: an instance is
          unavailable from the start of a step until the end of a step after which it runs
once      a step was started more than once
told      an operation reports an instance as done, drained or returned that completed no step under that
          permit
back      an instance changed by a halted release doesn't run its previous version at the end, although no
          later operation includes it
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from valverouter.audit.records import in_order
from valverouter.signalling.traffic_record import (
    DisruptionLimitsRow,
    OperationRow,
    PlacementRow,
    ProgramVersionRow,
    Row,
    StepRow,
)

COMPLETED_STEPS = ("done", "drained", "returned")


@dataclass(frozen=True, slots=True)
class OperationsReport:
    """The result of the check.

    `violations`: one line each. `max_unavailable`: the most instances that were unavailable at once.
    `outcomes`: counts of operations by kind and result.
    """

    violations: tuple[str, ...]
    steps_started: int
    max_unavailable: int
    outcomes: dict[str, int]

    @property
    def passed(self) -> bool:
        """Whether there was no violation."""
        return not self.violations


def check_operations(rows: Sequence[Row]) -> OperationsReport | None:
    """Returns the report of a scenario run, or None if its record has no disruption limits."""
    limits = next((row for row in rows if isinstance(row, DisruptionLimitsRow)), None)
    if limits is None:
        return None
    regions = {row.name: row.region for row in rows if isinstance(row, PlacementRow)}
    steps = _StepCheck(limits, regions)
    for row in in_order(rows):
        if isinstance(row, StepRow):
            steps.on_step(row)
        elif isinstance(row, ProgramVersionRow):
            steps.on_version(row)
    operations = [row for row in rows if isinstance(row, OperationRow)]
    violations = (*steps.violations, *steps.repeated_steps(), *_check_results(operations, steps))
    outcomes = Counter(f"{row.kind}: {row.result or row.phase}" for row in operations)
    return OperationsReport(violations, steps.started.total(), steps.max_unavailable, dict(outcomes))


class _StepCheck:
    """Tracks the steps and versions of all instances while supervisors' logs are read."""

    def __init__(self, limits: DisruptionLimitsRow, regions: dict[str, str]) -> None:
        self.violations: list[str] = []
        self.max_unavailable = 0
        # The number of starts of each step, by instance, permit number and step.
        self.started: Counter[tuple[str, int, int]] = Counter()
        # Instance and permit number of completed steps.
        self.done: set[tuple[str, int]] = set()
        self.versions: dict[str, str] = {}
        self._unavailable: set[str] = set()
        self._limits = limits
        self._regions = regions

    def on_version(self, row: ProgramVersionRow) -> None:
        """Processes the start of a program, with its version, or its end."""
        if row.version:
            self.versions[row.edge] = row.version

    def on_step(self, row: StepRow) -> None:
        """Processes the start or the end of a step."""
        if not row.outcome:
            self.started[row.edge, row.number, row.step] += 1
            self._unavailable.add(row.edge)
            self._check_limits(row.edge)
        elif row.outcome == "done":
            self.done.add((row.edge, row.number))
            if row.runs_after:
                self._unavailable.discard(row.edge)

    def _check_limits(self, instance: str) -> None:
        unavailable, limits = self._unavailable, self._limits
        self.max_unavailable = max(self.max_unavailable, len(unavailable))
        if len(unavailable) > limits.max_unavailable:
            self.violations.append(
                f"limits: {sorted(unavailable)} are unavailable at once, limit {limits.max_unavailable}"
            )
        region = self._regions.get(instance)
        in_region = sorted(name for name in unavailable if self._regions.get(name) == region)
        if len(in_region) > limits.max_per_region:
            self.violations.append(f"limits: {in_region} of {region} are unavailable at once")

    def repeated_steps(self) -> Iterator[str]:
        """Yields a violation for each step that was started more than once."""
        for (name, number, step), count in self.started.items():
            if count > 1:
                yield f"once: {name} started step {number}/{step} {count} times"


def _check_results(operations: Sequence[OperationRow], steps: _StepCheck) -> Iterator[str]:
    """Yields a violation for each result of an operation that contradicts the supervisors' logs."""
    for index, row in enumerate(operations):
        changed_later = {name for later in operations[index + 1 :] for name in later.members}
        was_halted = row.kind == "release" and row.result == "halted"
        for name, (step, number, former) in row.members.items():
            if step in COMPLETED_STEPS and (name, number) not in steps.done:
                yield f"told: {row.operation} reports {name} as {step}, but it completed no step"
            version = steps.versions.get(name)
            if was_halted and number and name not in changed_later and version != former:
                yield f"back: {name} runs {version} after {row.operation}, {former} before"
