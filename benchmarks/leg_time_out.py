"""Measures the effect of a time-out per attempt on the service level, by fault, in virtual time.

    python benchmarks/leg_time_out.py [--seeds 5] [--jobs 7]

Each fault affects two of four servers for 8 of 14 s, at two fleet sizes with the same load per server. Prints
the service level weighted by importance without a time-out, and the change by time-outs of 0.75, 1.5 and 3 s.
"""

from __future__ import annotations

import argparse
import logging
import multiprocessing
import statistics
from pathlib import Path

import structlog

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.rules import audit
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.scenarios.virtual import run_virtual

SCENARIO_FILE = Path(__file__).parent.parent / "deploy" / "days" / "bad-day.ini"
TIME_OUTS = ("", "750ms", "1500ms", "3s")
FAULTS = {
    "silent": "kind = hang\nsize = 1",
    "slow": "kind = slow\nsize = 4",
    "ageing": "kind = ageing\nsize = 8",
    "answers lost": "kind = answer_lost\nsize = 0.5",
    "vanished": "kind = vanish\nsize = 1",
    "burst": "kind = burst\nsize = 2",
    "crash": "kind = crash\nsize = 1",
}


def build_scenario(fault: str, time_out: str, edges: int, seed: int) -> ScenarioConfig:
    text = SCENARIO_FILE.read_text()
    text = text[: text.index("[trouble ")].replace("length = 30s\nseed = 7", f"length = 14s\nseed = {seed}")
    text = text.replace("edge_proxies = 3", f"edge_proxies = {edges}")
    text = text.replace("edges = 2\n", f"edges = {edges - edges // 3}\n").replace(
        "edges = 1\n", f"edges = {edges // 3}\n"
    )
    text = text.replace("rate = 40", "rate = 36")
    text += f"[trouble one]\n{FAULTS[fault]}\nstart = 3s\nlength = 8s\non = s0, s3\n"
    if time_out:
        text += f"[attempts all]\nleg_time_out = {time_out}\n"
    return scenario_config(IniFile(text, fault), fault)


def run_job(job: tuple[str, str, int, int]) -> tuple[tuple[str, str, int, int], float, bool]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    scenario = build_scenario(*job)
    rows = run_virtual(scenario)
    return job, weighted_service_level(account_by_type(rows), scenario.importance), audit(rows).passed


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=7)
    options = parser.parse_args()
    jobs = [
        (fault, time_out, edges, seed)
        for edges in (3, 30)
        for fault in FAULTS
        for time_out in TIME_OUTS
        for seed in range(1, options.seeds + 1)
    ]
    with multiprocessing.Pool(options.jobs) as pool:
        results = list(pool.imap_unordered(run_job, jobs))
    print(f"{options.seeds} seeds; audits passed {sum(passed for _, _, passed in results)} of {len(results)}")
    for edges in (3, 30):
        for fault in FAULTS:
            service_by_time_out = {
                time_out: statistics.mean(
                    service for job, service, _ in results if job[:3] == (fault, time_out, edges)
                )
                for time_out in TIME_OUTS
            }
            rest = "  ".join(
                f"{time_out} {service_by_time_out[time_out] - service_by_time_out['']:+.3f}"
                for time_out in TIME_OUTS[1:]
            )
            print(f"{edges:3} edge proxies, {fault:13} none {service_by_time_out['']:.3f}  {rest}")


if __name__ == "__main__":
    main()
