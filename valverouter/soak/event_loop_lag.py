"""How long the soak's own loop stood still: what it measured then is no better than that."""

from __future__ import annotations

import time

import trio

from valverouter.soak.record import RunRecord

INTERVAL_S = 0.005


async def watch_lag(record: RunRecord) -> None:
    """Keeps the longest lag in `record`, until cancelled."""
    while True:
        due = time.monotonic_ns() + round(INTERVAL_S * 1e9)
        await trio.sleep(INTERVAL_S)
        record.loop_lag = max(record.loop_lag, time.monotonic_ns() - due)
