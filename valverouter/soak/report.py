"""Plays courses by seed and tells what became of each."""

from __future__ import annotations

import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import trio

from valverouter.soak.edge_run import EdgeRun
from valverouter.soak.judge import Outcome, RunVerdict
from valverouter.soak.plan import EdgeKind, draw_plan
from valverouter.soak.platform_run import PLATFORM_EDGE_COMMAND, PlatformRun

MS = 10**6
INJECTED_FAULTS_COMMAND = ["-m", "valverouter.soak.injected_faults"]


@dataclass(frozen=True, slots=True)
class RunReport:
    """One course. `driver_lag`: ns that the soak's own loop stood still at most.

    `descriptors`, `memory_kib`: of each process, just before its first signal to stop; the platform's only.
    """

    seed: int
    edge_kind: EdgeKind
    duration_s: float
    verdict: RunVerdict
    loop_lag: int
    descriptors: list[int] = field(default_factory=list)
    memory_kib: list[int] = field(default_factory=list)

    @property
    def line(self) -> str:
        """The course in one line, violations not included."""
        outcomes = ", ".join(f"{outcome.value} {count}" for outcome, count in self.verdict.outcomes.items())
        margins = ", ".join(f"{margin / MS:.0f}" for margin in self.verdict.margins)
        found = f"{len(self.verdict.violations)} violations" if self.verdict.violations else "passed"
        return (
            f"seed {self.seed} {self.edge_kind.value} {self.duration_s:.0f} s: {found}; {outcomes}; "
            f"ms before SIGKILL: {margins}; driver lag {self.loop_lag / MS:.0f} ms; "
            f"descriptors {self.descriptors}; KiB {self.memory_kib}"
        )


def play_run(seed: int, injected_fault: str = "") -> RunReport:
    """Plays the course of a seed; a planted fault runs in the platform's edge proxy alone."""
    plan = draw_plan(seed)
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix=f"soak-{seed}-") as folder:
        run: PlatformRun | EdgeRun
        if plan.edge_kind is EdgeKind.PLATFORM:
            command = [*INJECTED_FAULTS_COMMAND, injected_fault] if injected_fault else PLATFORM_EDGE_COMMAND
            run = PlatformRun(plan, Path(folder), command)
        else:
            run = EdgeRun(plan, Path(folder))
        verdict = trio.run(run.play)
    processes = run.record.processes
    return RunReport(
        seed,
        plan.edge_kind,
        time.monotonic() - began,
        verdict,
        run.record.loop_lag,
        [process.descriptors for process in processes],
        [process.memory_kib for process in processes],
    )


def summary(reports: list[RunReport]) -> str:
    """All courses together."""
    failed = [report.seed for report in reports if report.verdict.violations]
    margins = [margin for report in reports for margin in report.verdict.margins]
    totals = {outcome: sum(report.verdict.outcomes[outcome] for report in reports) for outcome in Outcome}
    counts = ", ".join(f"{outcome.value} {count}" for outcome, count in totals.items())
    return (
        f"{len(reports)} courses, {len(failed)} failed {failed}; set-ups: {counts}; {len(margins)} processes "
        f"ended {min(margins) / MS:.0f} to {max(margins) / MS:.0f} ms before SIGKILL was due"
    )
