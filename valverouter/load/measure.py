"""What a load run gave, and the search for the highest rate that holds; no clock and no sockets here.

Delays are reckoned from when a dialog was due to be dialled, not from when it was: a target that holds its
caller up would otherwise hide the delays of those behind (coordinated omission).
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

US = 1_000
# Delays from 1 us to 60 s, to three digits.
LEAST, MOST, DIGITS = 1, 60_000_000, 3


@dataclass(slots=True)
class Sample:
    """One run at one rate. `delays` in us of those that stood, from when each was due."""

    rate: float
    offered: int = 0
    declined: int = 0
    aborted: int = 0
    unanswered: int = 0
    behind: int = 0
    delays: HdrHistogram = field(default_factory=lambda: HdrHistogram(LEAST, MOST, DIGITS))

    @property
    def stood(self) -> int:
        return int(self.delays.get_total_count())

    def stands(self, due: int, now: int) -> None:
        """A dialog stands; times in ns."""
        self.delays.record_value(min(MOST, max(LEAST, (now - due) // US)))

    def late_dial(self, span: int) -> None:
        """How far behind its plan the caller itself dialled at most: a run that shows much of it measured
        the caller."""
        self.behind = max(self.behind, span)

    def at(self, percent: float) -> float:
        """The delay in ms that so many percent stood within."""
        return float(self.delays.get_value_at_percentile(percent)) / 1_000

    def holds(self, objective: int, share: float) -> bool:
        """Whether that share of all that was offered stood within the objective (ns)."""
        if not self.offered:
            return False
        return _within(self.delays, objective // US) / self.offered >= share


def _within(delays: HdrHistogram, most: int) -> int:
    return sum(
        int(item.count_added_in_this_iter_step)
        for item in delays.get_recorded_iterator()
        if item.value_iterated_to <= most
    )


async def highest(
    holds: Callable[[float], Awaitable[bool]], least: float, most: float, exact: float = 0.05
) -> float:
    """The highest rate that holds, to the share `exact`; 0 where not even the least does.

    Doubles from the least to find one that does not hold, then halves the span between. A rate near the edge
    may hold or not by chance, so what is found is asked for once more, and lowered while it fails.
    """
    if not await holds(least):
        return 0.0
    low, high = least, least * 2
    while high < most and await holds(high):
        low, high = high, high * 2
    if high >= most:
        if await holds(most):
            return most
        high = most
    while high / low > 1 + exact:
        middle = (low * high) ** 0.5
        if await holds(middle):
            low = middle
        else:
            high = middle
    while low > least and not await holds(low):
        low /= 1 + exact
    return max(low, least)
