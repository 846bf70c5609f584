"""Runs soak plans by seed and reports their results."""

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
    """The result of one run. `loop_lag`: the longest delay of the soak's own event loop, ns.

    `descriptors`, `memory_kib`: of each process, just before its first stop signal; empty unless `edge_kind`
    is PLATFORM.
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
        """The result in one line, without the violations."""
        outcomes = ", ".join(f"{outcome.value} {count}" for outcome, count in self.verdict.outcomes.items())
        margins = ", ".join(f"{margin / MS:.0f}" for margin in self.verdict.margins)
        found = f"{len(self.verdict.violations)} violations" if self.verdict.violations else "passed"
        return (
            f"seed {self.seed} {self.edge_kind.value} {self.duration_s:.0f} s: {found}; {outcomes}; "
            f"ms before SIGKILL: {margins}; event loop lag {self.loop_lag / MS:.0f} ms; "
            f"descriptors {self.descriptors}; KiB {self.memory_kib}"
        )


def play_run(seed: int, injected_fault: str = "") -> RunReport:
    """Runs the plan of a seed; a fault is injected only into the platform's edge proxy."""
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
    """Summarises all runs."""
    failed = [report.seed for report in reports if report.verdict.violations]
    margins = [margin for report in reports for margin in report.verdict.margins]
    totals = {outcome: sum(report.verdict.outcomes[outcome] for report in reports) for outcome in Outcome}
    counts = ", ".join(f"{outcome.value} {count}" for outcome, count in totals.items())
    return (
        f"{len(reports)} runs, {len(failed)} failed {failed}; set-ups: {counts}; {len(margins)} processes "
        f"ended {min(margins) / MS:.0f} to {max(margins) / MS:.0f} ms before SIGKILL was due"
    )
