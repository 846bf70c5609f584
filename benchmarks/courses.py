"""Random faults among edge proxies on loopback, one run per seed: do the membership views converge, and does
the audit pass?

    python benchmarks/courses.py --edges 24 --seeds 20
    python benchmarks/courses.py --edges 24 --seeds 20 --virtual

Each seed is run twice in turn: with the membership view, and without it and without the network path faults,
which affect nothing else. Prints how long after the last fault all views had converged, in probe periods (the
scenario file allows 30), rule violations, and the difference in service level within each pair.
"""

from __future__ import annotations

import argparse
import statistics
import tempfile
from pathlib import Path

import msgspec

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.rules import audit
from valverouter.audit.views import check_views
from valverouter.config.edge import LogConfig
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.edge import logs
from valverouter.scenarios.fault_schedule import draw_fault_schedule
from valverouter.scenarios.loopback import run_loopback
from valverouter.scenarios.virtual import run_virtual
from valverouter.signalling.traffic_record import AuditConfigRow, MembershipEventRow, Row

SCENARIO_FILE = Path(__file__).parent.parent / "deploy" / "days" / "fleet-course.ini"


def build_scenario(seed: int, edges: int, length_s: float) -> ScenarioConfig:
    text = SCENARIO_FILE.read_text().replace("edge_proxies = 24", f"edge_proxies = {edges}")
    text = text.replace("edges = 8", f"edges = {edges // 3}").replace("seed = 1\n", f"seed = {seed}\n")
    text = text.replace("length = 18s", f"length = {length_s:g}s")
    return scenario_config(
        IniFile(
            text + draw_fault_schedule(seed, edges, ("north", "south", "west"), length_s), f"course {seed}"
        ),
        "course",
    )


def run_scenario(scenario: ScenarioConfig, virtual: bool, folder: Path | None) -> list[Row]:
    if virtual:
        return run_virtual(scenario)
    with tempfile.TemporaryDirectory() as scratch:
        return run_loopback(scenario, folder or Path(scratch))


def service_level(rows: list[Row]) -> float:
    config = next(row for row in rows if isinstance(row, AuditConfigRow))
    return weighted_service_level(account_by_type(rows), config.priority_weights)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--edges", type=int, default=24)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--length", type=float, default=18.0, help="seconds")
    parser.add_argument("--virtual", action="store_true")
    parser.add_argument("--alone", action="store_true", help="skip the runs without the view")
    parser.add_argument("--logs", type=Path, help="keep the edge proxies' files in this folder")
    options = parser.parse_args()
    logs.configure_logging(LogConfig(level="error"))
    convergence_periods, differences, failed = [], [], 0
    for seed in range(options.first, options.first + options.seeds):
        scenario = build_scenario(seed, options.edges, options.length)
        assert scenario.between is not None
        folder = options.logs / str(seed) if options.logs else None
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        rows = run_scenario(scenario, options.virtual, folder)
        views, verdict = check_views(rows), audit(rows)
        assert views is not None
        failed += not (views.passed and verdict.passed)
        periods = (
            float("inf") if views.converged_after is None else views.converged_after / scenario.between.period
        )
        convergence_periods.append(periods)
        line = f"seed {seed}: views converged after {periods:.1f} periods, audit passed: {verdict.passed}"
        line += f", false deaths: {len(views.false_failures)}"
        line += f", gone: {sum(isinstance(row, MembershipEventRow) and row.kind == 'gone' for row in rows)}"
        if not options.alone:
            scenario_without_view = msgspec.structs.replace(scenario, between=None, paths={})
            with_view, without_view = (
                service_level(rows),
                service_level(run_scenario(scenario_without_view, options.virtual, None)),
            )
            differences.append(with_view - without_view)
            line += f", service {with_view:.3f} and {without_view:.3f} without"
        print(line if views.passed else f"{line}; {views.reason or views.regressions}", flush=True)
    convergence_periods.sort()
    median_periods = statistics.median(convergence_periods)
    print(
        f"{len(convergence_periods)} runs, {failed} failed; periods: median {median_periods:.1f}, "
        f"longest {convergence_periods[-1]:.1f}"
    )
    if len(differences) > 1:
        mean, spread = statistics.mean(differences), statistics.stdev(differences)
        print(
            f"service with minus without the view: mean {mean:+.4f}, "
            f"standard deviation of the pairs {spread:.4f}"
        )


if __name__ == "__main__":
    main()
