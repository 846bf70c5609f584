"""Kills edge proxies under load and checks that the audit accounts for every dialog.

    python benchmarks/restarts.py [--virtual 1000] [--loopback 60] [--fleet 8] [--jobs 6]

`--virtual N`: N scenarios of 4 s in virtual time, with six kills each, with a dialog store and without.
`--loopback N`: one scenario on sockets with N SIGKILLs of edge proxies at random times. Both print kills,
dialogs resumed by their callers, rule violations and the service level. `--fleet N`: N seeds of 200 and of 4
edge proxies on the emulator, with a fraction of them killed simultaneously: without a dialog store, with one,
and with one whose queries to servers are all sent at once.
"""

from __future__ import annotations

import argparse
import logging
import multiprocessing
import random
import statistics
import tempfile
from pathlib import Path

import structlog

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.rules import audit
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.emulator import edge_recovery
from valverouter.experiments.run_metrics import compute_metrics
from valverouter.recovery.pacing import QueryPacer
from valverouter.scenarios.emulated import run_emulated
from valverouter.scenarios.loopback import run_loopback
from valverouter.scenarios.virtual import run_virtual

SCENARIO_FILE = Path(__file__).parent.parent / "deploy" / "days" / "bad-day.ini"
FLEET_SCENARIO_FILE = Path(__file__).parent.parent / "deploy" / "experiments" / "size-day.ini"
FAULTS = (
    "",
    "[trouble s]\nkind = slow\nstart = 1s\nlength = 3s\nsize = 4\non = s0, s1\n",
    "[trouble m]\nkind = answer_lost\nstart = 1s\nlength = 3s\nsize = 0.5\non = s0, s1\n",
    "[trouble d]\nkind = crash\nstart = 2s\nlength = 1s\non = s0, s1\n",
)
# The time within which a process starts on a machine under other load.
START_TIME_MS = 2_000


def build_scenario(
    seed: int, seconds: int, kills: int, dialog_store: bool, min_gap_ms: int
) -> ScenarioConfig:
    """Builds a scenario with kills of edge proxies and one other fault.

    Kills of the same edge proxy are at least `min_gap_ms` apart.
    """
    rng = random.Random(f"{seed}/kills")
    text = SCENARIO_FILE.read_text()
    text = text[: text.index("[trouble ")].replace(
        "length = 30s\nseed = 7", f"length = {seconds}s\nseed = {seed}"
    )
    text += FAULTS[seed % len(FAULTS)]
    slot = (seconds * 1_000 - 500) // max(1, -(-kills // 3))
    for at in range(kills):
        start = at // 3 * slot + rng.randrange(100, max(101, slot - min_gap_ms))
        text += f"[trouble k{at}]\nkind = balancer_crash\nstart = {start}ms\nlength = 50ms\non = e{at % 3}\n"
    return scenario_config(IniFile(text + ("[ledger]\n" if dialog_store else ""), "kills"), "kills")


def run_seed(seed: int) -> list[tuple[int, int, int, float]]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    found = []
    for dialog_store in (True, False):
        scenario = build_scenario(seed, 4, 6, dialog_store, 300)
        rows = run_virtual(scenario)
        verdict = audit(rows)
        found.append(
            (
                len(verdict.violations),
                verdict.resumptions,
                verdict.forgotten_dialogs,
                weighted_service_level(account_by_type(rows), scenario.importance),
            )
        )
    return found


def measure_virtual(days: int, jobs: int) -> None:
    with multiprocessing.Pool(jobs) as pool:
        results = pool.map(run_seed, range(1, days + 1), chunksize=5)
    for name, column in (("ledger", 0), ("without", 1)):
        rows = [result[column] for result in results]
        print(
            f"virtual, {name}: {days} runs, {6 * days} kills, {sum(row[1] for row in rows)} resumed, "
            f"{sum(row[2] for row in rows)} forgotten, {sum(row[0] > 0 for row in rows)} runs with a rule "
            f"violation, service {statistics.mean(row[3] for row in rows):.4f}"
        )


def measure_loopback(kills: int) -> None:
    seconds = 3 + START_TIME_MS * -(-kills // 3) // 1_000
    for dialog_store in (True, False):
        scenario = build_scenario(4, seconds, kills, dialog_store, START_TIME_MS - 300)
        with tempfile.TemporaryDirectory() as folder:
            rows = run_loopback(scenario, Path(folder))
        verdict = audit(rows)
        service = weighted_service_level(account_by_type(rows), scenario.importance)
        print(
            f"loopback, {'ledger' if dialog_store else 'without'}: {seconds} s, {kills} SIGKILL, "
            f"{verdict.check_counts[1]} dialogs, {verdict.resumptions} resumed, "
            f"{verdict.forgotten_dialogs} forgotten, "
            f"{len(verdict.violations)} violations, service {service:.4f}"
        )
        for violation in verdict.violations[:10]:
            print(" ", violation)


class UnpacedQueries(QueryPacer):
    """Sends every query as soon as it is queued, without pacing."""

    def take_due(self, now: int) -> list[tuple[str, str]]:
        """Returns every waiting query, regardless of the servers' windows."""
        due = []
        for server, queue in self._servers.items():
            due += [(query.dialog_id, server) for query in sorted(queue.waiting)]
            queue.in_flight += len(queue.waiting)
            queue.waiting.clear()
        return due


def build_fleet_scenario(seed: int, size: int, fraction: float, dialog_store: bool) -> ScenarioConfig:
    text = (
        FLEET_SCENARIO_FILE.read_text().replace("seed = 1\n", f"seed = {seed}\n").replace("= 64", f"= {size}")
    )
    text = text[: text.index("[trouble ")] if "[trouble " in text else text
    text += f"[trouble k]\nkind = balancer_crash\nstart = 10s\nlength = 1s\npart = {fraction}\n"
    return scenario_config(IniFile(text + ("[ledger]\n" if dialog_store else ""), "fleet"), "fleet")


def run_fleet_job(job: tuple[int, int, float]) -> list[tuple[float, float, int]]:
    seed, size, fraction = job
    found = []
    for mode in ("without", "paced", "at once"):
        edge_recovery.QueryPacer = UnpacedQueries if mode == "at once" else QueryPacer  # type: ignore[attr-defined]
        scenario = build_fleet_scenario(seed, size, fraction, mode != "without")
        rows = run_emulated(scenario).rows
        metrics = compute_metrics(rows)
        found.append((metrics["service"], metrics["worst-10s"], len(audit(rows).violations)))
    return found


def measure_fleet(seeds: int, jobs: int) -> None:
    for size, fraction in ((200, 0.1), (200, 0.4), (200, 0.7), (4, 0.5)):
        with multiprocessing.Pool(jobs) as pool:
            results = pool.map(
                run_fleet_job, [(seed, size, fraction) for seed in range(1, seeds + 1)], chunksize=1
            )
        for at, mode in enumerate(("without", "paced", "at once")):
            rows = [result[at] for result in results]
            line = f"service {statistics.mean(row[0] for row in rows):.4f}, worst 10 s "
            line += f"{statistics.mean(row[1] for row in rows):.4f}, {sum(row[2] for row in rows)} violations"
            if at:
                differences = [result[at][0] - result[0][0] for result in results]
                error = statistics.stdev(differences) / len(differences) ** 0.5
                line += f", {statistics.mean(differences):+.4f} ({error:.4f}) compared with without"
            print(f"{fraction:.0%} of {size} killed, {mode}: {line}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--virtual", type=int, default=0)
    parser.add_argument("--loopback", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--fleet", type=int, default=0)
    options = parser.parse_args()
    if options.fleet:
        measure_fleet(options.fleet, options.jobs)
    if options.virtual:
        measure_virtual(options.virtual, options.jobs)
    if options.loopback:
        measure_loopback(options.loopback)


if __name__ == "__main__":
    main()
