"""Call arrival processes, with random draws passed in. Rates are dialogs per second, durations nanoseconds.

There are Poisson arrivals and on-off arrivals, which alternate between periods without arrivals and periods
with a higher rate, so that the mean rate is the given one; the rate can drift linearly. Recorded calls have
their own times; for them only the number of repetitions is drawn.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

SECOND = 1_000_000_000

# Draws from an exponential distribution of mean 1.
Exponential = Callable[[], float]


@dataclass(frozen=True, slots=True)
class ArrivalPattern:
    """The changes of the arrival rate.

    `mean_on`, `mean_off`: mean lengths of the periods with and without arrivals, ns; `mean_off` 0: Poisson
    arrivals. `drift`: the factor by which the rate has changed, linearly, after `drift_duration` ns.
    """

    mean_on: int = SECOND
    mean_off: int = 0
    drift: float = 1.0
    drift_duration: int = 1

    def rate(self, initial_rate: float, elapsed: int) -> float:
        """Returns the rate after `elapsed` ns, averaged over periods with and without arrivals."""
        return initial_rate * (1 + (self.drift - 1) * min(1.0, elapsed / self.drift_duration))


class ArrivalProcess:
    """The arrivals at one edge proxy from the time `start`, ns."""

    def __init__(self, pattern: ArrivalPattern, exponential: Exponential, start: int) -> None:
        self._pattern = pattern
        self._exponential = exponential
        self._start = start
        self._on_until = start + int(pattern.mean_on * exponential()) if pattern.mean_off else 0

    def next_arrival(self, now: int, rate: float) -> int:
        """Returns the time of the first arrival after `now`, ns, at a given mean rate."""
        pattern = self._pattern
        # The rate in periods with arrivals is scaled up, so that the overall mean is the given rate.
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
    """Draws how often a recorded call is dialled, on average `mean` times; no draw if `mean` is integral."""
    whole = int(mean)
    return whole + (uniform() < mean - whole if mean > whole else 0)
