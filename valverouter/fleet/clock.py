"""The clock of the fleet's processes."""

from __future__ import annotations

import trio


def monotonic_ns() -> int:
    """Trio's clock in whole nanoseconds; in tests that is a virtual clock."""
    return round(trio.current_time() * 1e9)
