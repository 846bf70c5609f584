"""Differences between levels, paired by seed: Student's t intervals, minimum detectable difference."""

from __future__ import annotations

import math
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from scipy.special import stdtrit

CONFIDENCE, POWER = 0.95, 0.8


@dataclass(frozen=True, slots=True)
class Difference:
    """A mean difference over pairs with the half-width of its 95% interval.

    `min_detectable`: the smallest difference that this number of pairs detects with a power of 0.8, that is,
    in 4 of 5 such experiments.
    """

    mean: float
    half_width: float
    min_detectable: float
    pair_count: int

    @property
    def is_significant(self) -> bool:
        """Whether the interval excludes zero."""
        return abs(self.mean) > self.half_width


def paired_difference(before: Mapping[int, float], after: Mapping[int, float]) -> Difference:
    """Returns the mean of `after` - `before`, paired by seed; ValueError for fewer than two pairs."""
    seeds = sorted(set(before) & set(after))
    differences = [after[seed] - before[seed] for seed in seeds]
    if len(differences) < 2:
        raise ValueError(f"{len(differences)} pairs: at least two are required")
    standard_error = statistics.stdev(differences) / math.sqrt(len(differences))
    degrees = len(differences) - 1
    confidence_quantile = float(stdtrit(degrees, (1 + CONFIDENCE) / 2))
    power_quantile = float(stdtrit(degrees, POWER))
    return Difference(
        statistics.mean(differences),
        confidence_quantile * standard_error,
        (confidence_quantile + power_quantile) * standard_error,
        len(differences),
    )


def confidence_interval(values: Sequence[float]) -> tuple[float, float]:
    """Returns the mean and the half-width of its 95% interval, which is infinite for a single value."""
    if len(values) < 2:
        return values[0], math.inf
    standard_error = statistics.stdev(values) / math.sqrt(len(values))
    quantile = float(stdtrit(len(values) - 1, (1 + CONFIDENCE) / 2))
    return statistics.mean(values), quantile * standard_error
