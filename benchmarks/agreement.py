"""Whether the emulator agrees with the edge proxy and the stand-ins: the same days on both, by trouble.

    python benchmarks/agreement.py [--seeds 8] [--jobs 8] [--loopback]

The far side is the edge proxy's own code with the stand-ins, in virtual time; with --loopback on real
sockets, one day after the other. Each day is the bad day's fleet and load with one trouble. Printed: the mean
service on both, the difference with its standard error, and the audits' verdicts.
"""

from __future__ import annotations

import argparse
import logging
import math
import multiprocessing
import statistics
import tempfile
from pathlib import Path

import structlog

from valverouter.audit.account import account, service
from valverouter.audit.rules import audit
from valverouter.days.emulated import run_emulated
from valverouter.days.loopback import run_loopback
from valverouter.days.virtual import run_virtual
from valverouter.signalling.tap import Row
from valverouter.terms.day import Day, day
from valverouter.terms.ini import IniFile

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


def script(trouble: str, seed: int) -> Day:
    text = DAY.read_text()
    text = text[: text.index("[trouble ")].replace("length = 30s\nseed = 7", f"length = 14s\nseed = {seed}")
    if TROUBLES[trouble]:
        span = "800ms" if trouble == "edge stalls" else "5s"
        struck = "" if "edge" in trouble else "on = s0, s3\n"
        text += f"[trouble one]\n{TROUBLES[trouble]}\nstart = 4s\nlength = {span}\n{struck}"
    return day(IniFile(text, trouble), trouble)


def judged(played: Day, rows: list[Row]) -> tuple[float, bool]:
    return service(account(rows), played.importance), audit(rows).kept


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
    options = parser.parse_args()
    jobs = [(name, seed, options.loopback) for name in TROUBLES for seed in range(1, options.seeds + 1)]
    with multiprocessing.Pool(1 if options.loopback else options.jobs) as pool:
        results = pool.map(one, jobs, chunksize=1)
    for name in TROUBLES:
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
