"""A soak of real edge proxy processes: one course a seed, judged from the sockets.

    python benchmarks/soak.py --seeds 1-50 [--jobs 3] [--busy 24] [--planted early-exit]

Odd seeds play the platform's edge proxy, even ones `valverouter edge` with its dialog store. `--busy` keeps
so many other processes busy meanwhile. Ends with 1 if a course failed. A seed draws the same course each
time; what the machine's clock decides (which set-up a signal meets) is not the same to the millisecond.
"""

from __future__ import annotations

import argparse
import multiprocessing as mp
import os
import sys
from functools import partial

from valverouter.soak.injected_faults import FAULTS
from valverouter.soak.report import RunReport, play_run, summary


def keep_core_busy() -> None:
    """Keeps a core busy until the soak has gone."""
    parent = os.getppid()
    while os.getppid() == parent:
        sum(range(100_000))


def parse_seeds(text: str) -> list[int]:
    """The seeds of `1-50` or `7`."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Plays the courses; returns the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-50"))
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--busy", type=int, default=0)
    parser.add_argument("--planted", choices=list(FAULTS), default="")
    options = parser.parse_args()
    busy = [mp.Process(target=keep_core_busy, daemon=True) for _ in range(options.busy)]
    for process in busy:
        process.start()
    reports: list[RunReport] = []
    with mp.Pool(options.jobs, maxtasksperchild=1) as pool:
        for report in pool.imap(partial(play_run, injected_fault=options.planted), options.seeds):
            reports.append(report)
            print(report.line, *report.verdict.violations[:10], sep="\n    ", flush=True)
    for process in busy:
        process.terminate()
    print(summary(reports))
    return int(any(report.verdict.violations for report in reports))


if __name__ == "__main__":
    sys.exit(main())
