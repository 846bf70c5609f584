"""Whether the emulator agrees with the edge proxy and the fakes: the same days on both, by trouble.

    python benchmarks/agreement.py [--seeds 8] [--jobs 8] [--loopback] [--only crash]

The far side is the edge proxy's own code with the fakes, in virtual time; with --loopback on real
sockets, one day after the other. Each day is the bad day's fleet and load with one trouble; both sides dial
one record of calls, so that they do not differ by who called when. Printed: the mean service on both, the
difference with its standard error, and the audits' verdicts.
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

DAY = Path(__file__).parent.parent / "deploy" / "days" / "bad-day.ini"
TROUBLES = {
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


def calls(played: ScenarioConfig) -> list[RecordedCall]:
    """The day's load as a record: Poisson arrivals, the first choice and the number with each."""
    chance, at, made = random.Random(f"{played.run.seed}/calls"), 0.0, list[RecordedCall]()
    kinds = list(played.mix)
    shares = [played.mix[kind].share for kind in kinds]
    while (at := at + chance.expovariate(played.callers.rate)) < played.run.length / 1e9:
        made.append(
            RecordedCall(
                int(at * 1e9),
                chance.choices(kinds, shares)[0],
                edge=chance.randrange(played.fleet.edge_proxies),
                first_choice=chance.randrange(played.server_count),
                number=100 + chance.randrange(10**6),
            )
        )
    return made


def script(trouble: str, seed: int) -> ScenarioConfig:
    text = DAY.read_text()
    text = text[: text.index("[trouble ")].replace("length = 30s\nseed = 7", f"length = 14s\nseed = {seed}")
    if TROUBLES[trouble]:
        span = "800ms" if trouble == "edge stalls" else "5s"
        struck = "" if "edge" in trouble else "on = s0, s3\n"
        text += f"[trouble one]\n{TROUBLES[trouble]}\nstart = 4s\nlength = {span}\n{struck}"
    by_rate = scenario_config(IniFile(text, trouble), trouble)
    with tempfile.TemporaryDirectory() as folder:
        write_calls(Path(folder) / "calls.csv", calls(by_rate))
        text = text.replace(f"rate = {by_rate.callers.rate:g}\n", "record = calls.csv\n")
        return scenario_config(IniFile(text, trouble, Path(folder)), trouble)


def judged(played: ScenarioConfig, rows: list[Row]) -> tuple[float, bool]:
    return weighted_service_level(account_by_type(rows), played.importance), audit(rows).passed


def one(job: tuple[str, int, bool]) -> tuple[str, tuple[float, bool], tuple[float, bool]]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    trouble, seed, loopback = job
    played = script(trouble, seed)
    emulated = judged(played, run_emulated(played).rows)
    if loopback:
        with tempfile.TemporaryDirectory() as folder:
            far = judged(played, run_loopback(played, Path(folder), lambda share: None))
    else:
        far = judged(played, run_virtual(played))
    return trouble, emulated, far


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--loopback", action="store_true")
    parser.add_argument("--only", choices=TROUBLES, action="append")
    options = parser.parse_args()
    jobs = [
        (name, seed, options.loopback)
        for name in options.only or TROUBLES
        for seed in range(1, options.seeds + 1)
    ]
    with multiprocessing.Pool(1 if options.loopback else options.jobs) as pool:
        results = pool.map(one, jobs, chunksize=1)
    for name in options.only or TROUBLES:
        pairs = [(emulated, far) for trouble, emulated, far in results if trouble == name]
        gaps = [emulated[0] - far[0] for emulated, far in pairs]
        error = statistics.stdev(gaps) / math.sqrt(len(gaps)) if len(gaps) > 1 else float("nan")
        print(
            f"{name:13} emulated {statistics.mean(e[0] for e, _ in pairs):.3f}  "
            f"far side {statistics.mean(f[0] for _, f in pairs):.3f}  "
            f"difference {statistics.mean(gaps):+.3f} (error {error:.3f})  "
            f"rules kept {sum(e[1] for e, _ in pairs)} and {sum(f[1] for _, f in pairs)} of {len(pairs)}"
        )


if __name__ == "__main__":
    main()
