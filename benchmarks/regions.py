"""Measures the effect of a cross-region quota: four regions, one short of lines, in virtual time.

    python benchmarks/regions.py [--seeds 20] [--edges 6] [--jobs 7]

For each seed the same scenario is run with the quota, without one, with cross-region set-ups forbidden, and
with no regions in the configuration (the earlier version). Prints the service levels of urgent and of all
dialogs, the most routine cross-region set-ups that servers received in any window, to compare with the quota,
and the fraction of dialogs that the planner can serve within it.
"""

from __future__ import annotations

import argparse
import logging
import multiprocessing
import statistics
from pathlib import Path

import structlog

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.cross_region import cross_region_setups, max_in_window
from valverouter.audit.rules import audit
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.scenarios.planning import plan_scenario
from valverouter.scenarios.virtual import run_virtual

SCENARIO_FILE = Path(__file__).parent.parent / "deploy" / "days" / "four-regions.ini"
# By fleet size, routine set-ups per window and the window in seconds. A large fleet divides the quota into
# more slots, which are used only with a longer window.
BUDGETS = {6: (24, 2)}
LARGE_FLEET_BUDGET = (120, 10)
VARIANTS = ("budget", "unlimited", "forbidden", "earlier")


def build_scenario(variant: str, seed: int, edges: int) -> ScenarioConfig:
    """Builds a scenario for a fleet size, with the same load and servers."""
    text = SCENARIO_FILE.read_text().replace("seed = 3", f"seed = {seed}")
    if edges != 6:
        quarter = edges // 4
        text = text.replace("edge_proxies = 6", f"edge_proxies = {4 * quarter}")
        text = text.replace("edges = 2\n", f"edges = {quarter}\n").replace(
            "edges = 1\n", f"edges = {quarter}\n"
        )
        text = text.replace("report_every = 300ms", "report_every = 1s")
        text = text.replace("legs = 24\nwindow = 2s", "legs = 120\nwindow = 10s")
    if variant == "unlimited":
        start, end = text.index("[crossing booking]"), text.index("[crossing urgent")
        text = text[:start] + "[crossing booking]\n\n" + text[end:]
    elif variant == "forbidden":
        text = text[: text.index("[crossing]")] + "[crossing]\n" + text[text.index("[trouble ") :]
    elif variant == "earlier":
        text = text[: text.index("[crossing]")] + text[text.index("[trouble ") :]
    return scenario_config(IniFile(text, variant), variant)


def run_job(job: tuple[str, int, int]) -> tuple[str, int, float, float, int, bool, float]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    variant, seed, edges = job
    scenario = build_scenario(variant, seed, edges)
    rows = run_virtual(scenario)
    accounts = account_by_type(rows)
    routine_setups = [
        setup.at
        for setup in cross_region_setups(rows)
        if setup.traffic_type == "booking" and setup.home_region == "sofia"
    ]
    planned = 0.0
    if variant == "budget":
        # Lines are short during half of the scenario.
        planned = (
            plan_scenario(scenario, rows).served_fraction
            + plan_scenario(scenario, rows, {"sofia": 40**-0.5}).served_fraction
        ) / 2
    urgent = accounts["urgent-referral"].service_level
    total = weighted_service_level(accounts, {kind: 1.0 for kind in accounts})
    return (
        variant,
        seed,
        urgent,
        total,
        max_in_window(routine_setups, BUDGETS.get(edges, LARGE_FLEET_BUDGET)[1] * 10**9),
        audit(rows).passed,
        planned,
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--edges", type=int, default=6)
    parser.add_argument("--jobs", type=int, default=7)
    options = parser.parse_args()
    jobs = [(variant, seed, options.edges) for seed in range(1, options.seeds + 1) for variant in VARIANTS]
    with multiprocessing.Pool(options.jobs) as pool:
        results = list(pool.imap_unordered(run_job, jobs))
    legs, window = BUDGETS.get(options.edges, LARGE_FLEET_BUDGET)
    print(
        f"{options.edges} edge proxies, {options.seeds} seeds, "
        f"{legs} routine set-ups in {window} s from sofia"
    )
    for variant in VARIANTS:
        rows = [result for result in results if result[0] == variant]
        print(
            f"{variant:10} urgent {statistics.mean(r[2] for r in rows):.3f}  all "
            f"{statistics.mean(r[3] for r in rows):.3f}  maximum per window {max(r[4] for r in rows)}  "
            f"audits passed {sum(r[5] for r in rows)} of {len(rows)}"
        )
    planned = statistics.mean(result[6] for result in results if result[0] == "budget")
    print(f"the planner: {planned:.3f} of all dialogs can be served within the quota, with none interrupted")


if __name__ == "__main__":
    main()
