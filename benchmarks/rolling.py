"""Measures the dialogs lost by a full rolling restart of the edge proxies, and by a rolling release of the
servers, on the emulator: the waves of docs/rollout.md, one at a time, a fixed tenth, and all at once.

    python benchmarks/rolling.py --edges 220 --seeds 3 --jobs 4

Each scenario is run with and without the restart, with the same seeds: under normal load, at 1.3 times the
load, and with two servers that crash halfway. Prints the dialogs lost by the restart (not served, or too
late), as a fraction of the run's and as a number, and its duration. Edge proxies are stopped as by SIGTERM
and take 2 s to start; a wave starts once the one before is back (with one second of evidence). Servers
drain for 2 s, return cold, and are warm after 15 s: the waves wait for that, the other policies continue
after 3 s.
"""

from __future__ import annotations

import argparse
import statistics
from multiprocessing import Pool

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.rules import audit
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.rollout.disruption_limits import DisruptionLimits, Instance, InstanceKind, plan_waves
from valverouter.scenarios.emulated import run_emulated

INI = """
[day]
length = {length}s
seed = {seed}
[fleet]
edge_proxies = {edges}
cold_share = 0.35
tip_multiple = 2.5
warm_after = 15s
[region north]
edges = {north}
servers = 8
[region west]
edges = {third}
servers = 8
[region south]
edges = {third}
servers = 8
[delays]
same = 1ms
cross = 6ms
jitter = 0.2
[servers]
lines = 150
setup_work = 45ms
answer_work = 15ms
release_work = 15ms
refuse_work = 5ms
most_wait = 2500ms
report_every = 3s
[traffic plain]
objective = 1500ms
length = 10s
[mix plain]
share = 1
no_answer = 9s
[callers]
rate = {rate}
redials = 2
"""
CRASH = "[trouble crash]\nkind = crash\nstart = {at}s\nlength = 8s\non = s3, s11\n"
CONDITIONS = ("calm", "crowded", "crashing")
POLICIES = ("waves", "one", "tenth", "all")
# The start of an edge proxy; the interval between waves, which includes the start and the evidence.
START_S, WAVE_INTERVAL_S = 2, 4
FIRST_WAVE_S, TIME_AFTER_S = 5, 25


def edge_waves(policy: str, edges: int) -> list[list[str]]:
    names = [f"e{at}" for at in range(edges)]
    if policy == "waves":
        third = edges // 3
        bounds = (edges - 2 * third, edges - third, edges)
        units = [
            Instance(name, InstanceKind.EDGE, str(next(r for r, most in enumerate(bounds) if at < most)), 100)
            for at, name in enumerate(names)
        ]
        return plan_waves(
            DisruptionLimits(edges // 6, edges // 8, min_capacity_fraction=0.6), units, (), names
        )
    size = {"one": 1, "tenth": max(1, edges // 10), "all": edges}[policy]
    return [names[at : at + size] for at in range(0, edges, size)]


def build_scenario(
    target: str, condition: str, policy: str, edges: int, rate: float, seed: int, with_restart: bool
) -> tuple[ScenarioConfig, float]:
    """Returns the scenario and the duration of the rolling restart in seconds."""
    faults = []
    if target == "edges":
        waves = edge_waves(policy, edges)
        duration_s = float(len(waves) * WAVE_INTERVAL_S)
        for at, wave in enumerate(waves):
            start, on = FIRST_WAVE_S + at * WAVE_INTERVAL_S, ", ".join(wave)
            faults.append(
                f"[trouble w{at}]\nkind = balancer_leave\nstart = {start}s\nlength = {START_S}s\non = {on}\n"
            )
    else:
        size, pace = {"waves": (2, 20), "one": (1, 5), "tenth": (2, 5), "all": (24, 5)}[policy]
        duration_s = 24 / size * pace
        faults.append(
            f"[trouble roll]\nkind = deploy\nstart = {FIRST_WAVE_S}s\nlength = {duration_s:g}s\n"
            f"size = {size}\n"
            "extra = 2s\npart = 1\n"
        )
    length = FIRST_WAVE_S + duration_s + TIME_AFTER_S
    third = edges // 3
    text = INI.format(
        length=round(length),
        seed=seed,
        edges=edges,
        third=third,
        north=edges - 2 * third,
        rate=rate * (1.3 if condition == "crowded" else 1.0),
    )
    if condition == "crashing":
        text += CRASH.format(at=round(FIRST_WAVE_S + duration_s / 2))
    text += "".join(faults) if with_restart else ""
    return scenario_config(IniFile(text, condition), condition), duration_s


def run_case(case: tuple[str, str, str, int, float, int]) -> tuple[float, int, float, bool]:
    target, condition, policy, edges, rate, seed = case
    service_levels, dialled, duration_s, passed = [], 0, 0.0, True
    for with_restart in (False, True):
        scenario, duration_s = build_scenario(target, condition, policy, edges, rate, seed, with_restart)
        emulated = run_emulated(scenario)
        service_levels.append(weighted_service_level(account_by_type(emulated.rows), {"plain": 1.0}))
        dialled = emulated.dialled
        passed = passed and audit(emulated.rows).passed
    return service_levels[0] - service_levels[1], dialled, duration_s, passed


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--edges", type=int, default=220)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--what", choices=("edges", "servers", "both"), default="both")
    parser.add_argument("--rules", default=",".join(POLICIES))
    options = parser.parse_args()
    with Pool(options.jobs) as pool:
        for target in ("servers", "edges") if options.what == "both" else (options.what,):
            for condition in CONDITIONS:
                for policy in options.rules.split(","):
                    cases = [
                        (target, condition, policy, options.edges, options.rate, seed)
                        for seed in range(1, options.seeds + 1)
                    ]
                    results = pool.map(run_case, cases, chunksize=1)
                    losses = [result[0] for result in results]
                    lost = statistics.mean(loss * dialled for loss, dialled, _, _ in results)
                    print(
                        f"{target} {condition} {policy}: {statistics.mean(losses):+.4f} of the dialogs "
                        f"({min(losses):+.4f} to {max(losses):+.4f}), {lost:.0f} dialogs, "
                        f"{results[0][2]:.0f} s, audits passed: {all(result[3] for result in results)}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
