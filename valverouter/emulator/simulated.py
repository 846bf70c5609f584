"""Simulated time on simpy, in whole nanoseconds, and chance from one numpy stream for each source."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

import numpy as np
import simpy

# Nothing lies near nought: the decisions take a start of 0 for long ago.
EPOCH = 86_400 * 10**9
DRAWN_AT_ONCE = 256


class Simulated:
    """The calendar. What is due at one moment happens in the order in which it was asked for."""

    def __init__(self) -> None:
        self.env = simpy.Environment(initial_time=EPOCH)

    def now(self) -> int:
        return int(self.env.now)

    def at(self, when: int, act: Callable[..., None], *args: Any) -> None:
        """Calls `act` at a moment; one that has passed is now."""
        due = simpy.Timeout(self.env, max(0, when - self.env.now))
        assert due.callbacks is not None
        due.callbacks.append(lambda event: act(*args))

    def after(self, span: int, act: Callable[..., None], *args: Any) -> None:
        self.at(self.now() + span, act, *args)

    def run(self, until: int) -> None:
        self.env.run(until=until)


class Chance:
    """Draws of one source: another source's number of draws moves nothing here. The same on any machine."""

    def __init__(self, seed: int, source: str) -> None:
        self._generator = np.random.Generator(np.random.PCG64([seed, zlib.crc32(source.encode())]))
        self._uniform: list[float] = []
        self._exponential: list[float] = []

    def random(self) -> float:
        """From 0 up to 1."""
        if not self._uniform:
            self._uniform = self._generator.random(DRAWN_AT_ONCE).tolist()
        return self._uniform.pop()

    def exponential(self) -> float:
        """With mean 1."""
        if not self._exponential:
            self._exponential = self._generator.standard_exponential(DRAWN_AT_ONCE).tolist()
        return self._exponential.pop()

    def below(self, count: int) -> int:
        return int(self.random() * count)

    def weighted(self, weights: list[float]) -> int:
        left = self.random() * sum(weights)
        for at, weight in enumerate(weights):
            left -= weight
            if left < 0:
                return at
        return len(weights) - 1

    def sample(self, names: list[str], count: int) -> list[str]:
        return [names[at] for at in self._generator.permutation(len(names))[:count].tolist()]
