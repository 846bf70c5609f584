"""What a full rolling restart of the edge proxies, and a rolling release of the servers, costs a day on the
emulator: the waves of docs/rollout.md against one at a time, a fixed tenth, and all at once.

    python benchmarks/rolling.py --edges 220 --seeds 3 --jobs 4

Each day is played with and without it, the same seeds: on a calm day, at 1.3 of the load, and with two
servers that crash in the midst. Told are dialogs lost by it (not served, or too late), as a share of
the day's and in all, and how long it took. Edge proxies are asked to end, as SIGTERM does, and
take 2 s to start; a wave goes once the one before is back (a second of evidence). Servers drain for 2 s, are
back cold, and warm after 15 s: the waves wait for that, the others go on after 3 s.
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
DAYS = ("calm", "crowded", "crashing")
RULES = ("waves", "one", "tenth", "all")
# Between two waves of edge proxies: the start, and that it serves.
START, WAVE = 2, 4
FIRST, REST = 5, 25


def edge_waves(rule: str, edges: int) -> list[list[str]]:
    names = [f"e{at}" for at in range(edges)]
    if rule == "waves":
        third = edges // 3
        bounds = (edges - 2 * third, edges - third, edges)
        units = [
            Instance(name, InstanceKind.EDGE, str(next(r for r, most in enumerate(bounds) if at < most)), 100)
            for at, name in enumerate(names)
        ]
        return plan_waves(
            DisruptionLimits(edges // 6, edges // 8, min_capacity_fraction=0.6), units, (), names
        )
    size = {"one": 1, "tenth": max(1, edges // 10), "all": edges}[rule]
    return [names[at : at + size] for at in range(0, edges, size)]


def scripted(
    what: str, kind: str, rule: str, edges: int, rate: float, seed: int, with_it: bool
) -> tuple[ScenarioConfig, float]:
    """The day, and how long the rolling takes, s."""
    troubles = []
    if what == "edges":
        made = edge_waves(rule, edges)
        took = float(len(made) * WAVE)
        for at, wave in enumerate(made):
            start, on = FIRST + at * WAVE, ", ".join(wave)
            troubles.append(
                f"[trouble w{at}]\nkind = balancer_leave\nstart = {start}s\nlength = {START}s\non = {on}\n"
            )
    else:
        size, pace = {"waves": (2, 20), "one": (1, 5), "tenth": (2, 5), "all": (24, 5)}[rule]
        took = 24 / size * pace
        troubles.append(
            f"[trouble roll]\nkind = deploy\nstart = {FIRST}s\nlength = {took:g}s\nsize = {size}\n"
            "extra = 2s\npart = 1\n"
        )
    length = FIRST + took + REST
    third = edges // 3
    text = INI.format(
        length=round(length),
        seed=seed,
        edges=edges,
        third=third,
        north=edges - 2 * third,
        rate=rate * (1.3 if kind == "crowded" else 1.0),
    )
    if kind == "crashing":
        text += CRASH.format(at=round(FIRST + took / 2))
    text += "".join(troubles) if with_it else ""
    return scenario_config(IniFile(text, kind), kind), took


def one(case: tuple[str, str, str, int, float, int]) -> tuple[float, int, float, bool]:
    what, kind, rule, edges, rate, seed = case
    served, dialled, took, kept = [], 0, 0.0, True
    for with_it in (False, True):
        script, took = scripted(what, kind, rule, edges, rate, seed, with_it)
        emulated = run_emulated(script)
        served.append(weighted_service_level(account_by_type(emulated.rows), {"plain": 1.0}))
        dialled = emulated.dialled
        kept = kept and audit(emulated.rows).passed
    return served[0] - served[1], dialled, took, kept


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--edges", type=int, default=220)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--what", choices=("edges", "servers", "both"), default="both")
    parser.add_argument("--rules", default=",".join(RULES))
    told = parser.parse_args()
    with Pool(told.jobs) as pool:
        for what in ("servers", "edges") if told.what == "both" else (told.what,):
            for kind in DAYS:
                for rule in told.rules.split(","):
                    cases = [
                        (what, kind, rule, told.edges, told.rate, seed) for seed in range(1, told.seeds + 1)
                    ]
                    results = pool.map(one, cases, chunksize=1)
                    shares = [result[0] for result in results]
                    lost = statistics.mean(share * dialled for share, dialled, _, _ in results)
                    print(
                        f"{what} {kind} {rule}: {statistics.mean(shares):+.4f} of the day "
                        f"({min(shares):+.4f} to {max(shares):+.4f}), {lost:.0f} dialogs, "
                        f"{results[0][2]:.0f} s, rules kept: {all(result[3] for result in results)}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
