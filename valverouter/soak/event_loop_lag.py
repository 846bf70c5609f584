"""Measures the longest delay of the soak's own event loop, which bounds the accuracy of its timestamps."""

from __future__ import annotations

import time

import trio

from valverouter.soak.record import RunRecord

INTERVAL_S = 0.005


async def watch_lag(record: RunRecord) -> None:
    """Records the longest lag in `record` until cancelled."""
    while True:
        due = time.monotonic_ns() + round(INTERVAL_S * 1e9)
        await trio.sleep(INTERVAL_S)
        record.loop_lag = max(record.loop_lag, time.monotonic_ns() - due)
