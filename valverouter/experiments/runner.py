"""Runs an experiment in parallel processes and stores each run as a row in SQLite.

Stored runs are not repeated, so an interrupted experiment can be resumed.
"""

from __future__ import annotations

import multiprocessing
import sqlite3
import time
from collections.abc import Callable, Iterable
from contextlib import closing
from pathlib import Path

import msgspec

from valverouter.experiments.plan import Run, source_version
from valverouter.experiments.run_metrics import compute_metrics
from valverouter.experiments.variants import parse_variant
from valverouter.scenarios.emulated import run_emulated

TABLE = """create table if not exists runs
(key text primary key, version text, variant text, seed integer, levels text, day text, figures text)"""


class RunStore:
    """The stored runs, one row each; rows are never deleted."""

    def __init__(self, path: Path) -> None:
        self._db = sqlite3.connect(path)
        with self._db:
            self._db.execute(TABLE)

    def close(self) -> None:
        """Closes the database."""
        self._db.close()

    def save(self, run: Run, metrics: dict[str, float]) -> None:
        """Stores a run's metrics, replacing earlier ones."""
        with self._db:
            self._db.execute(
                "insert or replace into runs values (?, ?, ?, ?, ?, ?, ?)",
                (
                    run.key,
                    source_version(),
                    run.variant,
                    run.seed,
                    msgspec.json.encode(run.levels).decode(),
                    run.text,
                    msgspec.json.encode(metrics).decode(),
                ),
            )

    def load(self, run: Run) -> dict[str, float] | None:
        """Returns the metrics of a run; None if it is not stored."""
        row = self._db.execute("select figures from runs where key = ?", (run.key,)).fetchone()
        return None if row is None else msgspec.json.decode(row[0], type=dict[str, float])


def run_here(run: Run) -> dict[str, float]:
    """Executes a run in this process; the metric `cpu` is its CPU time in seconds."""
    variant = parse_variant(run.variant)
    started_at = time.process_time()
    with variant.applied():
        result = run_emulated(run.load_scenario(), variant.build)
    cpu = time.process_time() - started_at
    models = [server.model for server in result.servers.values()]
    work = sum(model.counters.work for model in models)
    wasted = sum(model.counters.wasted_work for model in models) / max(1, work)
    return compute_metrics(result.rows) | {"wasted": wasted, "cpu": cpu}


def _run_in_pool(run: Run) -> tuple[Run, dict[str, float]]:
    return run, run_here(run)


def run_all(
    runs: Iterable[Run],
    path: Path,
    jobs: int,
    on_progress: Callable[[int, int], None] = lambda finished, total: None,
) -> int:
    """Executes the runs that are not stored yet and returns their number.

    `on_progress` is called with the number of finished runs and of all runs.
    """
    with closing(RunStore(path)) as store:
        all_runs = list(runs)
        missing = [run for run in all_runs if store.load(run) is None]
        finished = len(all_runs) - len(missing)
        on_progress(finished, len(all_runs))
        if not missing:
            return 0
        with multiprocessing.get_context("spawn").Pool(min(jobs, len(missing))) as pool:
            for run, metrics in pool.imap_unordered(_run_in_pool, missing):
                store.save(run, metrics)
                finished += 1
                on_progress(finished, len(all_runs))
        return len(missing)
