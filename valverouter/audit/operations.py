"""Whether a day's operations were carried out correctly, judged from rows of the supervisors' own logs.

Violations begin with the check that found them:

limits    more instances were taken out of service at once than allowed, in total or in a region: an instance
          is out from the start of a step until a step is done that leaves it running
once      a step was started twice
told      an operation shows an instance as done, drained or returned, which ended no step of that permit
back      an instance that a halted release had changed doesn't run its former version at the end, though no
          later operation wanted otherwise
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
    """`violations`: a line each. `max_unavailable`: at once. `outcomes`: counts by kind and result."""

    violations: tuple[str, ...]
    steps_started: int
    max_unavailable: int
    outcomes: dict[str, int]

    @property
    def passed(self) -> bool:
        """Whether there was no violation."""
        return not self.violations


def check_operations(rows: Sequence[Row]) -> OperationsReport | None:
    """The report of a day; None where it has no operations."""
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
    """What supervisors did, while their logs are read."""

    def __init__(self, limits: DisruptionLimitsRow, regions: dict[str, str]) -> None:
        self.violations: list[str] = []
        self.max_unavailable = 0
        # How often each step was started: by instance, permit and step.
        self.started: Counter[tuple[str, int, int]] = Counter()
        # Instance and permit of steps that are done.
        self.done: set[tuple[str, int]] = set()
        self.versions: dict[str, str] = {}
        self._unavailable: set[str] = set()
        self._limits = limits
        self._regions = regions

    def on_version(self, row: ProgramVersionRow) -> None:
        """A program was started in a version, or ended."""
        if row.version:
            self.versions[row.edge] = row.version

    def on_step(self, row: StepRow) -> None:
        """A step started or ended."""
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
                f"limits: {sorted(unavailable)} are out at once, {limits.max_unavailable} may be"
            )
        region = self._regions.get(instance)
        in_region = sorted(name for name in unavailable if self._regions.get(name) == region)
        if len(in_region) > limits.max_per_region:
            self.violations.append(f"limits: {in_region} of {region} are out at once")

    def repeated_steps(self) -> Iterator[str]:
        """A violation for each step that was started more than once."""
        for (name, number, step), count in self.started.items():
            if count > 1:
                yield f"once: {name} began turn {number}/{step} {count} times"


def _check_results(operations: Sequence[OperationRow], steps: _StepCheck) -> Iterator[str]:
    """Violations where the shown result of an operation is not what supervisors did."""
    for index, row in enumerate(operations):
        changed_later = {name for later in operations[index + 1 :] for name in later.members}
        was_halted = row.kind == "release" and row.result == "halted"
        for name, (step, number, former) in row.members.items():
            if step in COMPLETED_STEPS and (name, number) not in steps.done:
                yield f"told: {row.operation} tells {name} as {step}, and it did nothing"
            version = steps.versions.get(name)
            if was_halted and number and name not in changed_later and version != former:
                yield f"back: {name} runs {version} after {row.operation}, {former} before it"
