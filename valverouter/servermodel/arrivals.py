"""When callers call: gaps between dialogs, from draws that are handed in. Rates are dialogs a second.

Poisson arrivals; on-off, where spans without any lie between denser ones so that the mean holds; a drift of
the rate over the day. A record's moments come from the record; here is how often each is dialled.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

SECOND = 1_000_000_000

Exponential = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Pattern:
    """How the rate moves. `on` and `off`: mean spans, ns; off 0: always on. `drift`: times the rate at the
    end of `over` ns, reached evenly."""

    on: int = SECOND
    off: int = 0
    drift: float = 1.0
    over: int = 1

    def rate(self, rate: float, since: int) -> float:
        """The rate so many ns after the day began."""
        return rate * (1 + (self.drift - 1) * min(1.0, since / self.over))


class Source:
    """The arrivals of one edge proxy's callers: `next` gives the moment after `now` of the next one."""

    def __init__(self, pattern: Pattern, exponential: Exponential, began: int) -> None:
        self._pattern = pattern
        self._exponential = exponential
        self._began = began
        self._on_until = began + int(pattern.on * exponential()) if pattern.off else 0

    def next(self, now: int, rate: float) -> int:
        pattern = self._pattern
        # While on, denser by what is off, so that the mean over both is the rate that was asked for.
        busy = (pattern.on + pattern.off) / pattern.on if pattern.off else 1.0
        dense = pattern.rate(rate, now - self._began) * busy
        at = now + max(1, int(self._exponential() / dense * SECOND))
        while pattern.off and at > self._on_until:
            rest = at - self._on_until
            begins = self._on_until + int(pattern.off * self._exponential())
            self._on_until = begins + int(pattern.on * self._exponential())
            at = begins + rest
        return at


def copies(times: float, uniform: Callable[[], float]) -> int:
    """How often a call on record is dialled, so that it is `times` on average; whole times draw nothing."""
    whole = int(times)
    return whole + (uniform() < times - whole if times > whole else 0)
