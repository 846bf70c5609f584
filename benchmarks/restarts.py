"""Kills of edge proxies under load, and whether the audit accounts for every dialog.

    python benchmarks/restarts.py [--virtual 1000] [--loopback 60] [--fleet 8] [--jobs 6]

`--virtual N`: N days of 4 s in virtual time, six kills each, with a ledger and without. `--loopback N`: one
day on sockets in which edge proxies get SIGKILL N times at drawn moments. Printed: kills, how often callers
came back for a dialog, broken rules, service. `--fleet N`: N seeds of 200 and of 4 edge proxies on the
emulator, a part of them killed at once: without a ledger, with one, and with one that asks servers for all
that stood at once.
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

DAY = Path(__file__).parent.parent / "deploy" / "days" / "bad-day.ini"
FLEET = Path(__file__).parent.parent / "deploy" / "experiments" / "size-day.ini"
TROUBLES = (
    "",
    "[trouble s]\nkind = slow\nstart = 1s\nlength = 3s\nsize = 4\non = s0, s1\n",
    "[trouble m]\nkind = answer_lost\nstart = 1s\nlength = 3s\nsize = 0.5\non = s0, s1\n",
    "[trouble d]\nkind = crash\nstart = 2s\nlength = 1s\non = s0, s1\n",
)
# What a process takes to come up on a machine that does other things as well.
COMES_UP = 2_000


def script(seed: int, seconds: int, kills: int, ledger: bool, apart: int) -> ScenarioConfig:
    """A day with kills of its edge proxies, each `apart` ms or more from its last, and one other trouble."""
    chance = random.Random(f"{seed}/kills")
    text = DAY.read_text()
    text = text[: text.index("[trouble ")].replace(
        "length = 30s\nseed = 7", f"length = {seconds}s\nseed = {seed}"
    )
    text += TROUBLES[seed % len(TROUBLES)]
    slot = (seconds * 1_000 - 500) // max(1, -(-kills // 3))
    for at in range(kills):
        start = at // 3 * slot + chance.randrange(100, max(101, slot - apart))
        text += f"[trouble k{at}]\nkind = balancer_crash\nstart = {start}ms\nlength = 50ms\non = e{at % 3}\n"
    return scenario_config(IniFile(text + ("[ledger]\n" if ledger else ""), "kills"), "kills")


def one(seed: int) -> list[tuple[int, int, int, float]]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    found = []
    for ledger in (True, False):
        played = script(seed, 4, 6, ledger, 300)
        rows = run_virtual(played)
        verdict = audit(rows)
        found.append(
            (
                len(verdict.violations),
                verdict.resumptions,
                verdict.forgotten_dialogs,
                weighted_service_level(account_by_type(rows), played.importance),
            )
        )
    return found


def virtual(days: int, jobs: int) -> None:
    with multiprocessing.Pool(jobs) as pool:
        results = pool.map(one, range(1, days + 1), chunksize=5)
    for name, column in (("ledger", 0), ("without", 1)):
        rows = [result[column] for result in results]
        print(
            f"virtual, {name}: {days} days, {6 * days} kills, {sum(row[1] for row in rows)} resumed, "
            f"{sum(row[2] for row in rows)} forgotten, {sum(row[0] > 0 for row in rows)} days with a broken "
            f"rule, service {statistics.mean(row[3] for row in rows):.4f}"
        )


def loopback(kills: int) -> None:
    seconds = 3 + COMES_UP * -(-kills // 3) // 1_000
    for ledger in (True, False):
        played = script(4, seconds, kills, ledger, COMES_UP - 300)
        with tempfile.TemporaryDirectory() as folder:
            rows = run_loopback(played, Path(folder))
        verdict = audit(rows)
        service = weighted_service_level(account_by_type(rows), played.importance)
        print(
            f"loopback, {'ledger' if ledger else 'without'}: {seconds} s, {kills} SIGKILL, "
            f"{verdict.check_counts[1]} dialogs, {verdict.resumptions} resumed, "
            f"{verdict.forgotten_dialogs} forgotten, "
            f"{len(verdict.violations)} breaches, service {service:.4f}"
        )
        for breach in verdict.violations[:10]:
            print(" ", breach)


class AtOnce(QueryPacer):
    """Asks for everything as soon as it may."""

    def take_due(self, now: int) -> list[tuple[str, str]]:
        """Every query that waits, whatever the servers' windows say."""
        due = []
        for server, queue in self._servers.items():
            due += [(query.dialog_id, server) for query in sorted(queue.waiting)]
            queue.in_flight += len(queue.waiting)
            queue.waiting.clear()
        return due


def fleet_day(seed: int, size: int, share: float, ledger: bool) -> ScenarioConfig:
    text = FLEET.read_text().replace("seed = 1\n", f"seed = {seed}\n").replace("= 64", f"= {size}")
    text = text[: text.index("[trouble ")] if "[trouble " in text else text
    text += f"[trouble k]\nkind = balancer_crash\nstart = 10s\nlength = 1s\npart = {share}\n"
    return scenario_config(IniFile(text + ("[ledger]\n" if ledger else ""), "fleet"), "fleet")


def fleet_one(job: tuple[int, int, float]) -> list[tuple[float, float, int]]:
    seed, size, share = job
    found = []
    for mode in ("without", "paced", "at once"):
        edge_recovery.QueryPacer = AtOnce if mode == "at once" else QueryPacer  # type: ignore[attr-defined]
        played = fleet_day(seed, size, share, mode != "without")
        rows = run_emulated(played).rows
        seen = compute_metrics(rows)
        found.append((seen["service"], seen["worst-10s"], len(audit(rows).violations)))
    return found


def fleet(seeds: int, jobs: int) -> None:
    for size, share in ((200, 0.1), (200, 0.4), (200, 0.7), (4, 0.5)):
        with multiprocessing.Pool(jobs) as pool:
            results = pool.map(fleet_one, [(seed, size, share) for seed in range(1, seeds + 1)], chunksize=1)
        for at, mode in enumerate(("without", "paced", "at once")):
            rows = [result[at] for result in results]
            said = f"service {statistics.mean(row[0] for row in rows):.4f}, worst 10 s "
            said += f"{statistics.mean(row[1] for row in rows):.4f}, {sum(row[2] for row in rows)} breaches"
            if at:
                gaps = [result[at][0] - result[0][0] for result in results]
                error = statistics.stdev(gaps) / len(gaps) ** 0.5
                said += f", {statistics.mean(gaps):+.4f} ({error:.4f}) to without"
            print(f"{share:.0%} of {size} killed, {mode}: {said}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--virtual", type=int, default=0)
    parser.add_argument("--loopback", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--fleet", type=int, default=0)
    options = parser.parse_args()
    if options.fleet:
        fleet(options.fleet, options.jobs)
    if options.virtual:
        virtual(options.virtual, options.jobs)
    if options.loopback:
        loopback(options.loopback)


if __name__ == "__main__":
    main()
