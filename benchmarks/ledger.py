"""Measures commits to the dialog store by sync policy, and reading and planning its records at a restart.

python benchmarks/ledger.py
"""

from __future__ import annotations

import statistics
import tempfile
import time
from pathlib import Path

from valverouter.ledger.dialog_store import MIB, DialogStore
from valverouter.recovery.lifecycle import DialogRecord, Phase, Timestamp
from valverouter.recovery.pacing import QueryPacer
from valverouter.recovery.plan import plan_on_restart

SECOND = 10**9
COMMITS = 3_000
# A dialog's record is deleted this many commits after it was put.
COMMITS_KEPT = 50


def record(number: int) -> DialogRecord:
    """A dialog with its first attempt in flight."""
    now = Timestamp(number, number, "boot")
    return DialogRecord(
        f"c{number % 200}-{number}", f"c{number % 200}", "plain", number % 12, number, now, 9 * SECOND, 1,
        Phase.IN_FLIGHT, 0, f"s{number % 12}", 1, now,
    )  # fmt: skip


def commit_times(store: DialogStore, commits: int, puts: int) -> list[float]:
    """Returns the duration of each commit in seconds; a commit puts and deletes `puts` records each."""
    times = []
    for index in range(commits):
        for number in range(puts):
            store.put(record(index * puts + number))
            if index > COMMITS_KEPT:
                store.delete(record((index - COMMITS_KEPT) * puts + number).dialog_id)
        began = time.perf_counter()
        store.commit()
        times.append(time.perf_counter() - began)
    return times


def measure_commits(sync: str, puts: int) -> None:
    """Prints the median and the 99th percentile of a commit."""
    commits = COMMITS if sync == "none" else COMMITS // 10
    with tempfile.TemporaryDirectory() as folder, DialogStore(Path(folder), sync=sync) as store:
        times = sorted(commit_times(store, commits, puts))
    print(
        f"sync {sync}, {2 * puts} changes: median {statistics.median(times) * 1e6:.0f} us, "
        f"p99 {times[int(len(times) * 0.99)] * 1e6:.0f} us",
        flush=True,
    )


def measure_restart(records: int) -> None:
    """Prints how long it takes to read, plan and queue this many records."""
    with tempfile.TemporaryDirectory() as folder, DialogStore(Path(folder), max_bytes=256 * MIB) as store:
        for number in range(records):
            store.put(record(number))
        store.commit()
        began, pacer = time.perf_counter(), QueryPacer()
        for entry in store.records():
            assert isinstance(entry, DialogRecord)
            plan = plan_on_restart(entry, Timestamp(records, records, "boot"), SECOND // 3)
            pacer.enqueue(entry.dialog_id, entry.server, plan.time_left, 1.0)
        elapsed = time.perf_counter() - began
        print(
            f"{records} records: {elapsed * 1e3:.0f} ms to read, plan and queue, "
            f"{store.live_bytes() // 1024} KiB live",
            flush=True,
        )


def main() -> None:
    """Measures commits by policy and size, then restarts by number of records."""
    for sync in ("none", "each"):
        for puts in (1, 4, 16):
            measure_commits(sync, puts)
    for records in (1_000, 10_000, 100_000):
        measure_restart(records)


if __name__ == "__main__":
    main()
