"""Measures the CPU time of a full-size emulated scenario on one core, by number of dialogs and edge proxies.

    python benchmarks/emulator.py [--profile]

12 servers, with a crash, slow servers and a burst of calls; 220 edge proxies at 620 dialogs per second for
60 s, then half the dialogs, then a quarter and twice the edge proxies at the full rate.
"""

from __future__ import annotations

import argparse
import cProfile
import pstats
import resource
import sys
import time

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.rules import audit
from valverouter.config.ini import IniFile
from valverouter.config.scenario import ScenarioConfig, scenario_config
from valverouter.scenarios.emulated import run_emulated

INI = """
[day]
length = 60s
seed = 1
[fleet]
edge_proxies = {edges}
cold_share = 0.35
tip_multiple = 2.5
warm_after = 15s
[region north]
edges = {edges}
servers = 12
[delays]
same = 4ms
jitter = 0.2
[servers]
lines = 1400
setup_work = 9ms
answer_work = 3ms
release_work = 3ms
refuse_work = 1ms
most_wait = 2500ms
[traffic plain]
objective = 1500ms
length = 20s
[mix plain]
share = 1
no_answer = 9s
[callers]
rate = {rate}
redials = 2
[trouble crash]
kind = crash
start = 10s
length = 8s
on = s0, s1
[trouble slow]
kind = slow
start = 25s
length = 10s
size = 3
on = s2, s3
[trouble burst]
kind = burst
start = 42s
length = 6s
size = 1.5
"""


def build_scenario(edges: int, rate: int) -> ScenarioConfig:
    return scenario_config(IniFile(INI.format(edges=edges, rate=rate), "full size"), "full size")


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    if options.profile:
        profiler = cProfile.Profile()
        profiler.runcall(run_emulated, build_scenario(220, 620))
        pstats.Stats(profiler, stream=sys.stdout).sort_stats("tottime").print_stats(20)
        return
    for edges, rate in ((220, 620), (220, 310), (55, 620), (440, 620)):
        scenario = build_scenario(edges, rate)
        started_at = time.process_time()
        emulated = run_emulated(scenario)
        cpu_s = time.process_time() - started_at
        rows = emulated.rows
        verdict = audit(rows)
        service = weighted_service_level(account_by_type(rows), {"plain": 1.0})
        print(
            f"{edges} edge proxies, {rate} dialogs/s: {cpu_s:.1f} s for {emulated.dialled} dialogs, "
            f"{cpu_s / emulated.dialled * 1e6:.0f} us each; service "
            f"{service:.3f}, audit passed: {verdict.passed}; "
            f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024} MiB at most",
            flush=True,
        )


if __name__ == "__main__":
    main()
