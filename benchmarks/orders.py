"""Orders under faults: real processes on loopback, one course a seed, or the same program's seats and keepers
in simulated time.

    python benchmarks/orders.py loopback --edges 24 --seeds 30
    python benchmarks/orders.py simulated --instances 12 --seeds 10000 --jobs 8
    python benchmarks/orders.py simulated --instances 220 --seeds 1000 --jobs 8
    python benchmarks/orders.py releases --instances 24 --seeds 1000 --jobs 8
    python benchmarks/orders.py pairs --edges 12 --seeds 5

Told are breaches (limits, once, told, back, and on loopback the five rules), how orders ended, and courses
that did not come to rest. `releases`: harmless and harmful ones without faults, against a fixed threshold
and a timer alone: how many were halted, and what share of all dialogs was harmed. `pairs`: service with
council and keepers beside the edge proxies, and nothing ordered, less that without them.
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
from valverouter.days.loopback import run_loopback
from valverouter.days.operation_course import OperationCourse
from valverouter.days.operation_rig import OperationRig, run_operations
from valverouter.edge import logs
from valverouter.emulator.raft_group import InvariantViolationError
from valverouter.emulator.rollout_simulation import RolloutSimulation
from valverouter.rollout.disruption_limits import DisruptionLimits
from valverouter.rollout.operations import OperationKind, Submit
from valverouter.rollout.raft import SECOND
from valverouter.terms.day import ScenarioConfig, scenario_config
from valverouter.terms.edge import LogConfig
from valverouter.terms.ini import IniFile

FILE = Path(__file__).parent.parent / "deploy" / "days" / "fleet-course.ini"


def scripted(seed: int, edges: int, length_s: float) -> ScenarioConfig:
    text = FILE.read_text().replace("edge_proxies = 24", f"edge_proxies = {edges}")
    text = text.replace("edges = 8", f"edges = {edges // 3}").replace("seed = 1\n", f"seed = {seed}\n")
    # Dialogs go on while the orders come to rest: a release waits for its evidence.
    text = text.replace("length = 18s", f"length = {length_s:g}s")
    return scenario_config(IniFile(text, f"orders {seed}"), "orders")


def loopback(told: argparse.Namespace) -> None:
    bad = resting = 0
    ends: Counter[str] = Counter()
    turns = 0
    most, here = max(2, told.edges // 6), max(1, told.edges // 12)
    for seed in range(told.first, told.first + told.seeds):
        course, began = OperationCourse(seed, told.length), time.monotonic()
        script = scripted(seed, told.edges, told.length * 2)
        with tempfile.TemporaryDirectory() as passing:
            folder = told.logs / str(seed) if told.logs else Path(passing)
            folder.mkdir(parents=True, exist_ok=True)
            rows = run_operations(script, folder, course.play, most, here, servers=told.servers)
        orders, rules = check_operations(rows), audit(rows)
        assert orders is not None
        good = orders.passed and rules.passed
        bad += not good
        resting += course.is_at_rest
        ends.update(orders.outcomes)
        turns += orders.steps_started
        line = f"seed {seed}: {course.operations} told, {course.faults} faults, "
        line += f"{orders.steps_started} turns, "
        line += f"most out {orders.max_unavailable} of {most}, rules kept: {rules.passed}, "
        line += f"at rest: {course.is_at_rest}, "
        line += f"{time.monotonic() - began:.0f} s"
        print(line if good else f"{line}; {orders.violations} {rules.violations}", flush=True)
    print(f"{told.seeds} courses, {bad} bad, {resting} at rest, {turns} turns; {dict(ends)}")


def pairs(told: argparse.Namespace) -> None:
    differences = []
    for seed in range(told.first, told.first + told.seeds):
        script = scripted(seed, told.edges, told.length)
        served = []
        for with_them in (True, False):
            with tempfile.TemporaryDirectory() as passing:
                if with_them:
                    rows = run_operations(script, Path(passing), nothing)
                else:
                    rows = run_loopback(script, Path(passing))
            served.append(weighted_service_level(account_by_type(rows), {"booking": 1.0}))
        differences.append(served[0] - served[1])
        print(f"seed {seed}: {served[0]:.4f} with, {served[1]:.4f} without", flush=True)
    mean, spread = statistics.mean(differences), statistics.stdev(differences)
    print(f"mean {mean:+.4f}, spread of the pairs {spread:.4f}")


async def nothing(rig: OperationRig) -> None:
    pass


def one_simulated(case: tuple[int, int, float]) -> tuple[str, dict[str, int], dict[str, int]]:
    seed, instances, seconds = case
    simulation = RolloutSimulation(seed, instances)
    try:
        simulation.run_randomly(seconds)
        return "", simulation.check_results(), dict(simulation.counts)
    except InvariantViolationError as violation:
        return f"seed {seed}: {violation}", {}, dict(simulation.counts)


def simulated(told: argparse.Namespace) -> None:
    ends: Counter[str] = Counter()
    found: Counter[str] = Counter()
    bad = 0
    cases = [(seed, told.instances, told.length) for seed in range(told.first, told.first + told.seeds)]
    with Pool(told.jobs) as pool:
        for why, ended, seen in pool.imap_unordered(one_simulated, cases, chunksize=4):
            ends.update(ended)
            found.update(seen)
            if why:
                bad += 1
                print(why, flush=True)
    print(f"{told.seeds} courses of {told.length:g} s at {told.instances}: {bad} broken")
    print(f"  orders: {dict(ends)}")
    print(f"  caused: {dict(found)}")


RULES = ("program", "threshold", "timer")


def one_release(case: tuple[int, int, str, str]) -> tuple[bool, float, float]:
    """Whether it was halted, the share of dialogs harmed beyond the ordinary, and how long it took, s."""
    seed, instances, version, rule = case
    limits = DisruptionLimits(
        max_unavailable=max(2, instances // 6), max_unavailable_per_region=max(1, instances // 8)
    )
    simulation = RolloutSimulation(seed, instances, limits, loss=0.0, evaluated_by=rule)
    events, fleet = simulation.events, simulation.fleet
    submit = Submit("r", OperationKind.RELEASE, tuple(sorted(fleet.instances)), version)
    events.at(10 * SECOND, simulation.submit, submit)
    while events.now < 1_200 * SECOND:
        simulation.run_until(events.now + SECOND)
        leader = simulation.leader
        release = leader.operation_log.operations.get("r") if leader is not None else None
        if release is not None and release.has_ended:
            took = events.now / SECOND - 10
            return release.result == "halted", fleet.rejected / max(1, fleet.served), took
    return False, fleet.rejected / max(1, fleet.served), 1_190.0


def releases(told: argparse.Namespace) -> None:
    with Pool(told.jobs) as pool:
        for version, seeds in (("v2", told.seeds), ("declines", max(1, told.seeds // 5))):
            for rule in RULES:
                cases = [(seed, told.instances, version, rule) for seed in range(seeds)]
                results = pool.map(one_release, cases, chunksize=4)
                halted = sum(one[0] for one in results)
                harmed = sum(one[1] for one in results) / len(results)
                took = sorted(one[2] for one in results)[len(results) // 2]
                print(
                    f"{version} by {rule}: {halted} of {len(results)} halted, "
                    f"{harmed:.4f} of dialogs declined, median {took:.0f} s",
                    flush=True,
                )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("loopback", "simulated", "releases", "pairs"))
    parser.add_argument("--edges", type=int, default=24)
    parser.add_argument("--instances", type=int, default=12)
    parser.add_argument("--seeds", type=int, default=30)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--length", type=float, default=30.0, help="seconds of orders and faults")
    parser.add_argument("--servers", action="store_true", help="servers have keepers too")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--logs", type=Path, help="keep the processes' files here")
    told = parser.parse_args()
    logs.configure_logging(LogConfig(level="error"))
    runs = {"loopback": loopback, "simulated": simulated, "releases": releases, "pairs": pairs}
    runs[told.what](told)


if __name__ == "__main__":
    main()
