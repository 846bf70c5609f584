"""Soak of edge proxy processes on loopback: one run per seed, judged from the recorded traffic.

    python benchmarks/soak.py --seeds 1-50 [--jobs 3] [--busy 24] [--planted early-exit]

Odd seeds run the platform's edge proxy, even seeds `valverouter edge` with its dialog store. `--busy` runs
that many processes that keep a core busy meanwhile; `--planted` injects a fault. Exits with 1 if a run fails.
A seed always draws the same plan; timing (which set-up a signal meets) varies by milliseconds between runs.
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
    """Keeps a core busy until the parent process exits."""
    parent = os.getppid()
    while os.getppid() == parent:
        sum(range(100_000))


def parse_seeds(text: str) -> list[int]:
    """Parses a range of seeds such as `1-50`, or one seed such as `7`."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Runs the plans; returns the exit code."""
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
