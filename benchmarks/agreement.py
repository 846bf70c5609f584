"""Compares the emulator with the edge proxy and its fake peers: the same scenarios on both, one per fault.

    python benchmarks/agreement.py [--seeds 8] [--jobs 8] [--loopback] [--only crash]

The comparison runs the edge proxy's own code with fake peers in virtual time; with --loopback on real
sockets, one scenario at a time. Each scenario is the fleet and load of bad-day.ini with one fault. Both sides
play the same recorded calls, so that differences do not come from the drawn calls. Prints the mean service
level of both, the difference with its standard error, and how many audits passed.
"""

from __future__ import annotations

import argparse
import logging
import math
import multiprocessing
import random
import statistics
import tempfile
from pathlib import Path

import structlog

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.rules import audit
from valverouter.config.ini import IniFile
from valverouter.config.recorded_calls import RecordedCall, write_calls
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.scenarios.emulated import run_emulated
from valverouter.scenarios.loopback import run_loopback
from valverouter.scenarios.virtual import run_virtual
from valverouter.signalling.traffic_record import Row

SCENARIO_FILE = Path(__file__).parent.parent / "deploy" / "days" / "bad-day.ini"
FAULTS = {
    "none": "",
    "burst": "kind = burst\nsize = 2",
    "crash": "kind = crash",
    "deploy": "kind = deploy\nextra = 2s",
    "slow": "kind = slow\nsize = 4",
    "hang": "kind = hang",
    "answers lost": "kind = answer_lost\nsize = 0.5",
    "edge stalls": "kind = balancer_stall\npart = 0.4",
    "edge crash": "kind = balancer_crash\npart = 0.4",
}


def draw_calls(scenario: ScenarioConfig) -> list[RecordedCall]:
    """Draws the scenario's calls: Poisson arrivals, each with a preferred server and a called number."""
    rng, at_s, calls = random.Random(f"{scenario.run.seed}/calls"), 0.0, list[RecordedCall]()
    traffic_types = list(scenario.mix)
    shares = [scenario.mix[kind].share for kind in traffic_types]
    while (at_s := at_s + rng.expovariate(scenario.callers.rate)) < scenario.run.length / 1e9:
        calls.append(
            RecordedCall(
                int(at_s * 1e9),
                rng.choices(traffic_types, shares)[0],
                edge=rng.randrange(scenario.fleet.edge_proxies),
                first_choice=rng.randrange(scenario.server_count),
                number=100 + rng.randrange(10**6),
            )
        )
    return calls


def build_scenario(fault: str, seed: int) -> ScenarioConfig:
    text = SCENARIO_FILE.read_text()
    text = text[: text.index("[trouble ")].replace("length = 30s\nseed = 7", f"length = 14s\nseed = {seed}")
    if FAULTS[fault]:
        span = "800ms" if fault == "edge stalls" else "5s"
        targets = "" if "edge" in fault else "on = s0, s3\n"
        text += f"[trouble one]\n{FAULTS[fault]}\nstart = 4s\nlength = {span}\n{targets}"
    unrecorded = scenario_config(IniFile(text, fault), fault)
    with tempfile.TemporaryDirectory() as folder:
        write_calls(Path(folder) / "calls.csv", draw_calls(unrecorded))
        text = text.replace(f"rate = {unrecorded.callers.rate:g}\n", "record = calls.csv\n")
        return scenario_config(IniFile(text, fault, Path(folder)), fault)


def evaluate(scenario: ScenarioConfig, rows: list[Row]) -> tuple[float, bool]:
    return weighted_service_level(account_by_type(rows), scenario.importance), audit(rows).passed


def run_pair(job: tuple[str, int, bool]) -> tuple[str, tuple[float, bool], tuple[float, bool]]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    fault, seed, loopback = job
    scenario = build_scenario(fault, seed)
    emulated = evaluate(scenario, run_emulated(scenario).rows)
    if loopback:
        with tempfile.TemporaryDirectory() as folder:
            proxy = evaluate(scenario, run_loopback(scenario, Path(folder), lambda share: None))
    else:
        proxy = evaluate(scenario, run_virtual(scenario))
    return fault, emulated, proxy


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--loopback", action="store_true")
    parser.add_argument("--only", choices=FAULTS, action="append")
    options = parser.parse_args()
    jobs = [
        (name, seed, options.loopback)
        for name in options.only or FAULTS
        for seed in range(1, options.seeds + 1)
    ]
    with multiprocessing.Pool(1 if options.loopback else options.jobs) as pool:
        results = pool.map(run_pair, jobs, chunksize=1)
    for name in options.only or FAULTS:
        pairs = [(emulated, proxy) for fault, emulated, proxy in results if fault == name]
        differences = [emulated[0] - proxy[0] for emulated, proxy in pairs]
        error = (
            statistics.stdev(differences) / math.sqrt(len(differences))
            if len(differences) > 1
            else float("nan")
        )
        print(
            f"{name:13} emulated {statistics.mean(e[0] for e, _ in pairs):.3f}  "
            f"edge proxy {statistics.mean(f[0] for _, f in pairs):.3f}  "
            f"difference {statistics.mean(differences):+.3f} (error {error:.3f})  "
            f"audits passed {sum(e[1] for e, _ in pairs)} and {sum(f[1] for _, f in pairs)} of {len(pairs)}"
        )


if __name__ == "__main__":
    main()
