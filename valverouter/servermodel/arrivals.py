"""Arrivals of calls, with random draws passed in. Rates are dialogs per second, durations nanoseconds.

Poisson arrivals; on-off arrivals, where periods without any alternate with denser ones so that the mean rate
holds; a linear drift of the rate. Recorded calls bring their own times: for them only the number of
repetitions is drawn.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

SECOND = 1_000_000_000

# Draws from an exponential distribution of mean 1.
Exponential = Callable[[], float]


@dataclass(frozen=True, slots=True)
class ArrivalPattern:
    """How the rate changes.

    `mean_on`, `mean_off`: mean lengths of the periods with and without arrivals; without pauses `mean_off` is
    0. `drift`: the factor by which the rate has changed, linearly, after `drift_duration`.
    """

    mean_on: int = SECOND
    mean_off: int = 0
    drift: float = 1.0
    drift_duration: int = 1

    def rate(self, initial_rate: float, elapsed: int) -> float:
        """The rate after that time, averaged over periods with and without arrivals."""
        return initial_rate * (1 + (self.drift - 1) * min(1.0, elapsed / self.drift_duration))


class ArrivalProcess:
    """The arrivals at one edge proxy, from the time `start` on."""

    def __init__(self, pattern: ArrivalPattern, exponential: Exponential, start: int) -> None:
        self._pattern = pattern
        self._exponential = exponential
        self._start = start
        self._on_until = start + int(pattern.mean_on * exponential()) if pattern.mean_off else 0

    def next_arrival(self, now: int, rate: float) -> int:
        """The time of the first arrival after `now`, at a given mean rate."""
        pattern = self._pattern
        # In periods with arrivals the rate is higher, so that the mean over all time is the given one.
        density = (pattern.mean_on + pattern.mean_off) / pattern.mean_on if pattern.mean_off else 1.0
        rate_while_on = pattern.rate(rate, now - self._start) * density
        arrival = now + max(1, int(self._exponential() / rate_while_on * SECOND))
        while pattern.mean_off and arrival > self._on_until:
            beyond = arrival - self._on_until
            next_on = self._on_until + int(pattern.mean_off * self._exponential())
            self._on_until = next_on + int(pattern.mean_on * self._exponential())
            arrival = next_on + beyond
        return arrival


def draw_repetitions(mean: float, uniform: Callable[[], float]) -> int:
    """How often a recorded call is dialled: `mean` times on average; a whole `mean` draws nothing."""
    whole = int(mean)
    return whole + (uniform() < mean - whole if mean > whole else 0)
