"""What a commit to the ledger costs by sync policy, and how long records take to be read back and decided on.

python benchmarks/ledger.py
"""

from __future__ import annotations

import statistics
import tempfile
import time
from pathlib import Path

from valverouter.ledger.store import MIB, Ledger
from valverouter.recovery.course import Moment, Phase, Record
from valverouter.recovery.decide import at_start
from valverouter.recovery.pace import Pace

SECOND = 10**9
COMMITS = 3_000


def record(number: int) -> Record:
    now = Moment(number, number, "boot")
    return Record(
        f"c{number % 200}-{number}", f"c{number % 200}", "plain", number % 12, number, now, 9 * SECOND, 1,
        Phase.OUT, 0, f"s{number % 12}", 1, now,
    )  # fmt: skip


def main() -> None:
    for sync in ("none", "each"):
        for changes in (1, 4, 16):
            with tempfile.TemporaryDirectory() as folder, Ledger(Path(folder), sync=sync) as ledger:
                took = []
                for at in range(COMMITS if sync == "none" else COMMITS // 10):
                    for number in range(changes):
                        ledger.put(record(at * changes + number))
                        if at > 50:
                            ledger.drop(record((at - 50) * changes + number).dialog)
                    began = time.perf_counter()
                    ledger.commit()
                    took.append(time.perf_counter() - began)
                took.sort()
                print(
                    f"sync {sync}, {2 * changes} changes: median {statistics.median(took) * 1e6:.0f} us, "
                    f"p99 {took[int(len(took) * 0.99)] * 1e6:.0f} us",
                    flush=True,
                )
    for many in (1_000, 10_000, 100_000):
        with tempfile.TemporaryDirectory() as folder, Ledger(Path(folder), most=256 * MIB) as ledger:
            for number in range(many):
                ledger.put(record(number))
            ledger.commit()
            began, pace = time.perf_counter(), Pace()
            for one in ledger.records():
                assert isinstance(one, Record)
                decision = at_start(one, Moment(many, many, "boot"), SECOND // 3)
                pace.add(one.dialog, one.server, decision.left, 1.0)
            took_all = time.perf_counter() - began
            print(
                f"{many} records: {took_all * 1e3:.0f} ms to read, decide on and put in order, "
                f"{ledger.live() // 1024} KiB live",
                flush=True,
            )


if __name__ == "__main__":
    main()
