"""Plays the runs of an experiment in parallel processes and keeps each as a row in SQLite.

A run that is kept is not played again: an experiment cut off goes on where it was.
"""

from __future__ import annotations

import multiprocessing
import sqlite3
import time
from collections.abc import Callable, Iterable
from contextlib import closing
from pathlib import Path

import msgspec

from valverouter.days.emulated import run_emulated
from valverouter.experiments.figures import figures
from valverouter.experiments.plan import Run, version
from valverouter.experiments.variants import variant

TABLE = """create table if not exists runs
(key text primary key, version text, variant text, seed integer, levels text, day text, figures text)"""


class Store:
    """The kept runs, one row each; rows leave with the file alone."""

    def __init__(self, path: Path) -> None:
        self._db = sqlite3.connect(path)
        with self._db:
            self._db.execute(TABLE)

    def close(self) -> None:
        self._db.close()

    def keep(self, run: Run, found: dict[str, float]) -> None:
        with self._db:
            self._db.execute(
                "insert or replace into runs values (?, ?, ?, ?, ?, ?, ?)",
                (
                    run.key,
                    version(),
                    run.variant,
                    run.seed,
                    msgspec.json.encode(run.levels).decode(),
                    run.text,
                    msgspec.json.encode(found).decode(),
                ),
            )

    def figures(self, run: Run) -> dict[str, float] | None:
        row = self._db.execute("select figures from runs where key = ?", (run.key,)).fetchone()
        return None if row is None else msgspec.json.decode(row[0], type=dict[str, float])


def play(run: Run) -> dict[str, float]:
    """One run, here; `cpu` is its seconds on this core."""
    decisions = variant(run.variant)
    began = time.process_time()
    with decisions.acts():
        emulated = run_emulated(run.played(), decisions.build)
    took = time.process_time() - began
    models = [server.model for server in emulated.servers.values()]
    work = sum(model.counters.work for model in models)
    wasted = sum(model.counters.wasted_work for model in models) / max(1, work)
    return figures(emulated.rows) | {"wasted": wasted, "cpu": took}


def _one(run: Run) -> tuple[Run, dict[str, float]]:
    return run, play(run)


def run_all(
    runs: Iterable[Run], path: Path, jobs: int, told: Callable[[int, int], None] = lambda done, all_: None
) -> int:
    """Plays what is not kept yet; gives how many were played. `told` hears how many of all are done."""
    with closing(Store(path)) as store:
        every = list(runs)
        missing = [run for run in every if store.figures(run) is None]
        done = len(every) - len(missing)
        told(done, len(every))
        if not missing:
            return 0
        with multiprocessing.get_context("spawn").Pool(min(jobs, len(missing))) as pool:
            for run, found in pool.imap_unordered(_one, missing):
                store.keep(run, found)
                done += 1
                told(done, len(every))
        return len(missing)
