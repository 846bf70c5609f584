"""The monotonic clock of the fleet's processes."""

from __future__ import annotations

import trio


def monotonic_ns() -> int:
    """Returns the time of trio's clock in whole nanoseconds; the clock is virtual in tests."""
    return round(trio.current_time() * 1e9)
