"""The statistical test of whether a release is harmful.

It compares dialogs of released instances with those of unreleased instances of the same region.

It is Wald's sequential test of two proportions (Sequential Analysis, 1947, chapter 6). A dialog of a released
instance and one of an unreleased instance form a pair. Among the discordant pairs, the fraction in which the
released instance's dialog failed is expected to be 1/2 if the release has no effect, and `odds / (1 + odds)`
if the release multiplies the odds of failure by `odds`. The test ends when the running likelihood ratio
reaches one of two bounds. By Wald's inequality the probability of a false halt stays below
`false_halt_probability`, and that of missing a harm of `odds_ratio` below `missed_harm_probability`, however
often the ratio is checked. Between the bounds the test is undecided: too few dialogs, as at night, are no
evidence.

Several measures are tested. A release is halted by the first measure that shows harm, and passes once all
measures show that there is none; each gets an equal share of `false_halt_probability`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum


class Verdict(Enum):
    """The result of a test so far."""

    PASS = "go"
    UNDECIDED = "wait"
    HALT = "halt"


@dataclass(frozen=True, slots=True)
class SequentialTestConfig:
    """Error probabilities of the test, and the harm to detect, as an odds ratio.

    `min_pairs`: the number of pairs before the test can pass, so that a release without any failures does not
    pass on its first dialogs.
    """

    false_halt_probability: float = 0.001
    missed_harm_probability: float = 0.05
    odds_ratio: float = 2.0
    min_pairs: int = 500

    @property
    def upper_bound(self) -> float:
        """The log likelihood ratio from which the test halts the release."""
        return math.log((1 - self.missed_harm_probability) / self.false_halt_probability)

    @property
    def lower_bound(self) -> float:
        """The log likelihood ratio down to which the test passes."""
        return math.log(self.missed_harm_probability / (1 - self.false_halt_probability))


@dataclass(slots=True)
class SequentialTest:
    """The sequential test of one measure."""

    config: SequentialTestConfig
    log_likelihood_ratio: float = 0.0
    pairs: int = 0
    discordant_pairs: int = 0
    verdict: Verdict = Verdict.UNDECIDED

    def add_pair(self, canary_failed: bool, baseline_failed: bool) -> None:
        """Adds one dialog of a released instance paired with one of an unreleased instance."""
        self.pairs += 1
        if canary_failed != baseline_failed:
            self.discordant_pairs += 1
            canary_fraction = self.config.odds_ratio / (1 + self.config.odds_ratio)
            self.log_likelihood_ratio += math.log(
                (canary_fraction if canary_failed else 1 - canary_fraction) / 0.5
            )
        self._update_verdict()

    def _update_verdict(self) -> None:
        """A halt is final; a pass may be revoked by later pairs."""
        if self.verdict is Verdict.HALT:
            return
        if self.log_likelihood_ratio >= self.config.upper_bound:
            self.verdict = Verdict.HALT
        elif self.pairs >= self.config.min_pairs and self._shows_no_harm():
            self.verdict = Verdict.PASS
        else:
            self.verdict = Verdict.UNDECIDED

    def _shows_no_harm(self) -> bool:
        """If no pair is discordant, both groups are alike and few dialogs fail: `min_pairs` are enough."""
        return not self.discordant_pairs or self.log_likelihood_ratio <= self.config.lower_bound


@dataclass(frozen=True, slots=True)
class OutcomeCount:
    """The outcomes of one group in one interval: `failures` among `total` dialogs."""

    failures: int
    total: int


@dataclass(slots=True)
class CanaryEvidence:
    """The tests of all measures, on outcomes that are paired by region and interval.

    `draw` returns random numbers in [0, 1), which determine the pairs. Surplus dialogs of the larger group
    are not used, since there are no others of the same interval and region to pair them with.
    """

    measures: tuple[str, ...]
    config: SequentialTestConfig
    draw: Callable[[], float]
    tests: dict[str, SequentialTest] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Creates a test for each measure, with an equal share of the false halt probability."""
        config = replace(
            self.config, false_halt_probability=self.config.false_halt_probability / len(self.measures)
        )
        self.tests = {measure: SequentialTest(config) for measure in self.measures}

    def add_interval(
        self, canary: Mapping[str, OutcomeCount], baseline: Mapping[str, OutcomeCount], measure: str
    ) -> None:
        """Adds one measure's outcomes of both groups in one interval, by region."""
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
        """A message with the measure that halted the release; empty if there is none."""
        for measure, test in self.tests.items():
            if test.verdict is Verdict.HALT:
                return f"{measure}: {test.discordant_pairs} of {test.pairs} pairs differ, too many against it"
        return ""
