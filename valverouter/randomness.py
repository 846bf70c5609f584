"""Reproducible random numbers, each computed from a seed and a counter alone."""

from __future__ import annotations

import zlib


class CounterRandom:
    """A sequence of random numbers; the same seed gives the same sequence in any process."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._draws = 0

    def draw(self) -> float:
        """Returns the next number, from 0 (included) to 1 (excluded)."""
        self._draws += 1
        return zlib.crc32(b"%d/%d" % (self._seed, self._draws)) / 2**32
