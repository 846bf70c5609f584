"""Operations under random faults, one run per seed: as processes on loopback, or the same orchestrator nodes
and supervisors in simulated time.

    python benchmarks/orders.py loopback --edges 24 --seeds 30
    python benchmarks/orders.py simulated --instances 12 --seeds 10000 --jobs 8
    python benchmarks/orders.py simulated --instances 220 --seeds 1000 --jobs 8
    python benchmarks/orders.py releases --instances 24 --seeds 1000 --jobs 8
    python benchmarks/orders.py pairs --edges 12 --seeds 5

Prints rule violations (the operation rules limits, once, told and back, and on loopback the audit's five
rules), the results of operations, and the runs that did not come to rest. `releases`: harmless and harmful
releases without faults, compared with a fixed threshold and with a timer alone: how many were halted, and
what fraction of all dialogs was rejected. `pairs`: the service level with raft servers and supervisors
beside the edge proxies but no operation, minus that without them.
"""

from __future__ import annotations

import argparse
import statistics
import tempfile
import time
from collections import Counter
from multiprocessing import Pool
from pathlib import Path

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.operations import check_operations
from valverouter.audit.rules import audit
from valverouter.config.edge import LogConfig
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.edge import logs
from valverouter.emulator.raft_group import InvariantViolationError
from valverouter.emulator.rollout_simulation import RolloutSimulation
from valverouter.rollout.disruption_limits import DisruptionLimits
from valverouter.rollout.operations import OperationKind, Submit
from valverouter.rollout.raft import SECOND
from valverouter.scenarios.loopback import run_loopback
from valverouter.scenarios.operation_harness import OperationHarness, run_operations
from valverouter.scenarios.random_operations import RandomOperations

SCENARIO_FILE = Path(__file__).parent.parent / "deploy" / "days" / "fleet-course.ini"


def build_scenario(seed: int, edges: int, length_s: float) -> ScenarioConfig:
    text = SCENARIO_FILE.read_text().replace("edge_proxies = 24", f"edge_proxies = {edges}")
    text = text.replace("edges = 8", f"edges = {edges // 3}").replace("seed = 1\n", f"seed = {seed}\n")
    # Calls continue until the operations come to rest, because a release waits for traffic as its evidence.
    text = text.replace("length = 18s", f"length = {length_s:g}s")
    return scenario_config(IniFile(text, f"orders {seed}"), "orders")


def measure_loopback(options: argparse.Namespace) -> None:
    failed = at_rest = 0
    results_by_kind: Counter[str] = Counter()
    steps = 0
    max_unavailable, max_unavailable_per_region = max(2, options.edges // 6), max(1, options.edges // 12)
    for seed in range(options.first, options.first + options.seeds):
        course, began = RandomOperations(seed, options.length), time.monotonic()
        scenario = build_scenario(seed, options.edges, options.length * 2)
        with tempfile.TemporaryDirectory() as scratch:
            folder = options.logs / str(seed) if options.logs else Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            rows = run_operations(
                scenario,
                folder,
                course.play,
                max_unavailable,
                max_unavailable_per_region,
                servers=options.servers,
            )
        operations, verdict = check_operations(rows), audit(rows)
        assert operations is not None
        passed = operations.passed and verdict.passed
        failed += not passed
        at_rest += course.has_settled
        results_by_kind.update(operations.outcomes)
        steps += operations.steps_started
        line = f"seed {seed}: {course.operations} operations, {course.faults} faults, "
        line += f"{operations.steps_started} steps, "
        line += (
            f"unavailable at most {operations.max_unavailable} of {max_unavailable}, "
            f"audit passed: {verdict.passed}, "
        )
        line += f"at rest: {course.has_settled}, "
        line += f"{time.monotonic() - began:.0f} s"
        print(line if passed else f"{line}; {operations.violations} {verdict.violations}", flush=True)
    print(f"{options.seeds} runs, {failed} failed, {at_rest} at rest, {steps} steps; {dict(results_by_kind)}")


def measure_pairs(options: argparse.Namespace) -> None:
    differences = []
    for seed in range(options.first, options.first + options.seeds):
        scenario = build_scenario(seed, options.edges, options.length)
        service_levels = []
        for with_operations in (True, False):
            with tempfile.TemporaryDirectory() as scratch:
                if with_operations:
                    rows = run_operations(scenario, Path(scratch), run_no_operation)
                else:
                    rows = run_loopback(scenario, Path(scratch))
            service_levels.append(weighted_service_level(account_by_type(rows), {"booking": 1.0}))
        differences.append(service_levels[0] - service_levels[1])
        print(f"seed {seed}: {service_levels[0]:.4f} with, {service_levels[1]:.4f} without", flush=True)
    mean, spread = statistics.mean(differences), statistics.stdev(differences)
    print(f"mean {mean:+.4f}, standard deviation of the pairs {spread:.4f}")


async def run_no_operation(rig: OperationHarness) -> None:
    pass


def run_simulated(case: tuple[int, int, float]) -> tuple[str, dict[str, int], dict[str, int]]:
    seed, instances, seconds = case
    simulation = RolloutSimulation(seed, instances)
    try:
        simulation.run_randomly(seconds)
        return "", simulation.check_results(), dict(simulation.counts)
    except InvariantViolationError as violation:
        return f"seed {seed}: {violation}", {}, dict(simulation.counts)


def measure_simulated(options: argparse.Namespace) -> None:
    results_by_kind: Counter[str] = Counter()
    causes: Counter[str] = Counter()
    failed = 0
    cases = [
        (seed, options.instances, options.length)
        for seed in range(options.first, options.first + options.seeds)
    ]
    with Pool(options.jobs) as pool:
        for violation, results, counts in pool.imap_unordered(run_simulated, cases, chunksize=4):
            results_by_kind.update(results)
            causes.update(counts)
            if violation:
                failed += 1
                print(violation, flush=True)
    print(f"{options.seeds} runs of {options.length:g} s with {options.instances} instances: {failed} failed")
    print(f"  operations: {dict(results_by_kind)}")
    print(f"  faults and submitted operations: {dict(causes)}")


RULES = ("program", "threshold", "timer")


def run_release(case: tuple[int, int, str, str]) -> tuple[bool, float, float]:
    """Returns whether the release was halted, the fraction of rejected dialogs, and the duration in s."""
    seed, instances, version, rule = case
    limits = DisruptionLimits(
        max_unavailable=max(2, instances // 6), max_unavailable_per_region=max(1, instances // 8)
    )
    simulation = RolloutSimulation(seed, instances, limits, loss=0.0, evaluated_by=rule)
    events, fleet = simulation.events, simulation.fleet
    submit = Submit("r", OperationKind.RELEASE, tuple(sorted(fleet.instances)), version)
    events.call_at(10 * SECOND, simulation.submit, submit)
    while events.now < 1_200 * SECOND:
        simulation.run_until(events.now + SECOND)
        leader = simulation.leader
        release = leader.operation_log.operations.get("r") if leader is not None else None
        if release is not None and release.has_ended:
            duration_s = events.now / SECOND - 10
            return release.result == "halted", fleet.rejected / max(1, fleet.served), duration_s
    return False, fleet.rejected / max(1, fleet.served), 1_190.0


def measure_releases(options: argparse.Namespace) -> None:
    with Pool(options.jobs) as pool:
        for version, seeds in (("v2", options.seeds), ("declines", max(1, options.seeds // 5))):
            for rule in RULES:
                cases = [(seed, options.instances, version, rule) for seed in range(seeds)]
                results = pool.map(run_release, cases, chunksize=4)
                halted = sum(result[0] for result in results)
                rejected = sum(result[1] for result in results) / len(results)
                median_s = sorted(result[2] for result in results)[len(results) // 2]
                print(
                    f"{version} by {rule}: {halted} of {len(results)} halted, "
                    f"{rejected:.4f} of dialogs rejected, median {median_s:.0f} s",
                    flush=True,
                )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("loopback", "simulated", "releases", "pairs"))
    parser.add_argument("--edges", type=int, default=24)
    parser.add_argument("--instances", type=int, default=12)
    parser.add_argument("--seeds", type=int, default=30)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument(
        "--length", type=float, default=30.0, help="seconds in which operations and faults are started"
    )
    parser.add_argument("--servers", action="store_true", help="run supervisors for the core servers too")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--logs", type=Path, help="keep the processes' files in this folder")
    options = parser.parse_args()
    logs.configure_logging(LogConfig(level="error"))
    measurements = {
        "loopback": measure_loopback,
        "simulated": measure_simulated,
        "releases": measure_releases,
        "pairs": measure_pairs,
    }
    measurements[options.what](options)


if __name__ == "__main__":
    main()
