"""The search for the highest rate that a target sustains."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

DEFAULT_PRECISION = 0.05


async def highest_rate(
    is_sustained: Callable[[float], Awaitable[bool]],
    min_rate: float,
    max_rate: float,
    precision: float = DEFAULT_PRECISION,
) -> float:
    """Returns the highest sustained rate, to the fraction `precision`; 0 if not even `min_rate` is sustained.

    The rate is doubled from `min_rate` until one is not sustained; then the interval is bisected. Near the
    limit, a rate may be sustained by chance, so the result is tried again and lowered while it fails.
    """
    if not await is_sustained(min_rate):
        return 0.0
    low, high = min_rate, min_rate * 2
    while high < max_rate and await is_sustained(high):
        low, high = high, high * 2
    if high >= max_rate:
        if await is_sustained(max_rate):
            return max_rate
        high = max_rate
    while high / low > 1 + precision:
        middle = (low * high) ** 0.5
        if await is_sustained(middle):
            low = middle
        else:
            high = middle
    while low > min_rate and not await is_sustained(low):
        low /= 1 + precision
    return max(low, min_rate)
