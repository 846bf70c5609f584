"""Whether a release does harm: released instances compared with unreleased ones of their region.

Wald's sequential test of two proportions (Sequential Analysis, 1947, chapter 6): a dialog of a released
instance and one of an unreleased instance make a pair. Of the pairs that differ, the fraction in which the
released one failed is a half where both are alike, and `odds / (1 + odds)` where the release multiplies the
odds of failing by `odds`. The running likelihood ratio ends the test at one of two bounds. By Wald's
inequality the probability of a false halt stays under `false_halt_probability`, and that of a missed harm
of `odds_ratio` under `missed_harm_probability`, however often one looks. Between the bounds nothing is
decided: too few dialogs, as at night, are no evidence.

Several measures are tested. A release is halted by the first that shows harm and passes once all show none;
each gets its part of `false_halt_probability`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum


class Verdict(Enum):
    """What the evidence says of a release."""

    PASS = "go"
    UNDECIDED = "wait"
    HALT = "halt"


@dataclass(frozen=True, slots=True)
class SequentialTestConfig:
    """Error probabilities, and the harm that must not be missed as a ratio of odds.

    `min_pairs`: compared before anything passes, so that a release on which nothing fails at all does not
    pass on its first dialogs.
    """

    false_halt_probability: float = 0.001
    missed_harm_probability: float = 0.05
    odds_ratio: float = 2.0
    min_pairs: int = 500

    @property
    def upper_bound(self) -> float:
        """The log likelihood ratio at which the test halts."""
        return math.log((1 - self.missed_harm_probability) / self.false_halt_probability)

    @property
    def lower_bound(self) -> float:
        """The log likelihood ratio at which the test passes."""
        return math.log(self.missed_harm_probability / (1 - self.false_halt_probability))


@dataclass(slots=True)
class SequentialTest:
    """The running test of one measure."""

    config: SequentialTestConfig
    log_likelihood_ratio: float = 0.0
    pairs: int = 0
    discordant_pairs: int = 0
    verdict: Verdict = Verdict.UNDECIDED

    def add_pair(self, canary_failed: bool, baseline_failed: bool) -> None:
        """Counts one dialog of a released instance with one of an unreleased instance."""
        self.pairs += 1
        if canary_failed != baseline_failed:
            self.discordant_pairs += 1
            canary_fraction = self.config.odds_ratio / (1 + self.config.odds_ratio)
            self.log_likelihood_ratio += math.log(
                (canary_fraction if canary_failed else 1 - canary_fraction) / 0.5
            )
        self._update_verdict()

    def _update_verdict(self) -> None:
        """A halt is final; a pass may be taken back by later pairs."""
        if self.verdict is Verdict.HALT:
            return
        if self.log_likelihood_ratio >= self.config.upper_bound:
            self.verdict = Verdict.HALT
        elif self.pairs >= self.config.min_pairs and self._shows_no_harm():
            self.verdict = Verdict.PASS
        else:
            self.verdict = Verdict.UNDECIDED

    def _shows_no_harm(self) -> bool:
        """Where no pair differs, both fare the same, and mostly well: `min_pairs` of them are enough."""
        return not self.discordant_pairs or self.log_likelihood_ratio <= self.config.lower_bound


@dataclass(frozen=True, slots=True)
class OutcomeCount:
    """What one group did in one interval: `failures` of `total` dialogs."""

    failures: int
    total: int


@dataclass(slots=True)
class CanaryEvidence:
    """The tests of all measures, fed with paired outcomes by region and interval.

    `draw` gives random numbers in [0, 1), by which it is decided who is paired with whom. What is left over
    of the larger group is not used, since nothing of the same interval and region is there to compare it
    with.
    """

    measures: tuple[str, ...]
    config: SequentialTestConfig
    draw: Callable[[], float]
    tests: dict[str, SequentialTest] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Gives each measure its test."""
        config = replace(
            self.config, false_halt_probability=self.config.false_halt_probability / len(self.measures)
        )
        self.tests = {measure: SequentialTest(config) for measure in self.measures}

    def add_interval(
        self, canary: Mapping[str, OutcomeCount], baseline: Mapping[str, OutcomeCount], measure: str
    ) -> None:
        """Counts what both groups did in one interval, by region."""
        test = self.tests[measure]
        for region in sorted(canary.keys() & baseline.keys()):
            pairs = min(canary[region].total, baseline[region].total)
            canary_sample = self._sample(canary[region], pairs)
            baseline_sample = self._sample(baseline[region], pairs)
            for canary_failed, baseline_failed in zip(canary_sample, baseline_sample, strict=True):
                test.add_pair(canary_failed, baseline_failed)

    def _sample(self, outcomes: OutcomeCount, size: int) -> list[bool]:
        """Whether each of `size` dialogs failed, drawn without replacement in random order."""
        sample, failures, remaining = [], outcomes.failures, outcomes.total
        for _ in range(size):
            failed = self.draw() * remaining < failures
            sample.append(failed)
            failures -= failed
            remaining -= 1
        return sample

    @property
    def verdict(self) -> Verdict:
        """The verdict over all measures."""
        verdicts = {test.verdict for test in self.tests.values()}
        if Verdict.HALT in verdicts:
            return Verdict.HALT
        return Verdict.UNDECIDED if Verdict.UNDECIDED in verdicts else Verdict.PASS

    @property
    def halt_reason(self) -> str:
        """The measure that halted, in one line; empty where none did."""
        for measure, test in self.tests.items():
            if test.verdict is Verdict.HALT:
                return f"{measure}: {test.discordant_pairs} of {test.pairs} pairs differ, too many against it"
        return ""
