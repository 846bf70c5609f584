"""Discrete-event simulation on simpy in whole nanoseconds, with one numpy random stream for each source."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

import numpy as np
import simpy

# The start time of every simulation, ns. It is well after 0, because the policy treats a start time of 0 as
# one in the distant past.
EPOCH = 86_400 * 10**9
DRAWS_PER_BATCH = 256


class Simulation:
    """The event queue. Simultaneous events run in the order in which they were scheduled."""

    def __init__(self) -> None:
        self.env = simpy.Environment(initial_time=EPOCH)

    def now(self) -> int:
        """Returns the simulated time, ns."""
        return int(self.env.now)

    def call_at(self, time: int, callback: Callable[..., None], *args: Any) -> None:
        """Calls `callback(*args)` at `time`, ns; a time in the past counts as now."""
        self.call_after(time - self.now(), callback, *args)

    def call_after(self, delay: int, callback: Callable[..., None], *args: Any) -> None:
        """Calls `callback(*args)` in `delay` ns; a negative delay counts as 0."""
        timeout = simpy.Timeout(self.env, max(0, delay))
        assert timeout.callbacks is not None
        timeout.callbacks.append(lambda event: callback(*args))

    def run(self, until: int) -> None:
        """Runs all events before `until`, ns."""
        self.env.run(until=until)


class RandomStream:
    """The random draws of one source, reproducible on every machine.

    The streams of different sources are independent: draws from one do not affect another.
    """

    def __init__(self, seed: int, source: str) -> None:
        self._generator = np.random.Generator(np.random.PCG64([seed, zlib.crc32(source.encode())]))
        self._uniform: list[float] = []
        self._exponential: list[float] = []

    def random(self) -> float:
        """Draws uniformly from [0, 1)."""
        if not self._uniform:
            self._uniform = self._generator.random(DRAWS_PER_BATCH).tolist()
        return self._uniform.pop()

    def exponential(self) -> float:
        """Draws from the exponential distribution with mean 1."""
        if not self._exponential:
            self._exponential = self._generator.standard_exponential(DRAWS_PER_BATCH).tolist()
        return self._exponential.pop()

    def integer_below(self, count: int) -> int:
        """Draws uniformly from the integers 0 to `count` - 1."""
        return int(self.random() * count)

    def weighted_index(self, weights: list[float]) -> int:
        """Draws an index with a probability proportional to its weight."""
        remaining = self.random() * sum(weights)
        for index, weight in enumerate(weights):
            remaining -= weight
            if remaining < 0:
                return index
        return len(weights) - 1

    def sample(self, names: list[str], count: int) -> list[str]:
        """Draws `count` distinct names, in random order."""
        return [names[index] for index in self._generator.permutation(len(names))[:count].tolist()]
