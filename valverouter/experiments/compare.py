"""What differs between levels, and how surely: pairs of one seed, Student's t, what could be told."""

from __future__ import annotations

import math
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from scipy.special import stdtrit

SURE, POWER = 0.95, 0.8


@dataclass(frozen=True, slots=True)
class Difference:
    """A mean difference over pairs with the half width of its interval (95%); `least`: the smallest that so
    many pairs would show in 4 of 5 such experiments."""

    mean: float
    half: float
    least: float
    pairs: int

    @property
    def shown(self) -> bool:
        return abs(self.mean) > self.half


def paired(before: Mapping[int, float], after: Mapping[int, float]) -> Difference:
    """By seed; ValueError under two pairs."""
    seeds = sorted(set(before) & set(after))
    gaps = [after[seed] - before[seed] for seed in seeds]
    if len(gaps) < 2:
        raise ValueError(f"{len(gaps)} pairs: two or more are needed")
    error = statistics.stdev(gaps) / math.sqrt(len(gaps))
    degrees = len(gaps) - 1
    sure = float(stdtrit(degrees, (1 + SURE) / 2))
    power = float(stdtrit(degrees, POWER))
    return Difference(statistics.mean(gaps), sure * error, (sure + power) * error, len(gaps))


def interval(values: Sequence[float]) -> tuple[float, float]:
    """Mean and the half width of its interval (95%)."""
    if len(values) < 2:
        return values[0], math.inf
    error = statistics.stdev(values) / math.sqrt(len(values))
    return statistics.mean(values), float(stdtrit(len(values) - 1, (1 + SURE) / 2)) * error
