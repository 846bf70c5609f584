"""Whether a release harms: those released against those not yet, at the same time and in the same region.

Wald's sequential test of two proportions (Sequential Analysis, 1947, chapter 6): a dialog of a released
instance and one of an instance not released make a pair; of pairs that differ, the share in which the
released one fared badly is a half where both are alike and `odds / (1 + odds)` where the release
multiplies the odds of faring badly so much. The running likelihood ratio ends the test at one of two
bounds; Wald's inequality holds the chance of a false halt under `false_halt` and that of a missed harm of
`odds` under `missed`, however often one looks. Nothing between the bounds is leave to go on: too few
dialogs at night is no evidence.

Several measures are watched, and a release is halted by the first that tells harm and goes on once all tell
none; each gets its part of `false_halt`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum


class Verdict(Enum):
    PASS = "go"
    UNDECIDED = "wait"
    HALT = "halt"


@dataclass(frozen=True, slots=True)
class SequentialTestConfig:
    """`odds`: the harm that must not be missed; `least`: pairs that are looked at before anything goes on, so
    that a release on which nothing at all fails is not let through on its first dialogs."""

    false_halt_probability: float = 0.001
    missed_harm_probability: float = 0.05
    odds_ratio: float = 2.0
    min_pairs: int = 500

    @property
    def upper_bound(self) -> float:
        return math.log((1 - self.missed_harm_probability) / self.false_halt_probability)

    @property
    def lower_bound(self) -> float:
        return math.log(self.missed_harm_probability / (1 - self.false_halt_probability))


@dataclass(slots=True)
class SequentialTest:
    """One measure's running test."""

    config: SequentialTestConfig
    log_likelihood_ratio: float = 0.0
    pairs: int = 0
    discordant_pairs: int = 0
    verdict: Verdict = Verdict.UNDECIDED

    def add_pair(self, canary_failed: bool, baseline_failed: bool) -> None:
        self.pairs += 1
        if canary_failed != baseline_failed:
            self.discordant_pairs += 1
            harmed = self.config.odds_ratio / (1 + self.config.odds_ratio)
            self.log_likelihood_ratio += (
                math.log(harmed / 0.5) if canary_failed else math.log((1 - harmed) / 0.5)
            )
        self._judge()

    def _judge(self) -> None:
        if self.verdict is Verdict.HALT:
            return
        if self.log_likelihood_ratio >= self.config.upper_bound:
            self.verdict = Verdict.HALT
        elif self.pairs >= self.config.min_pairs and (
            self.log_likelihood_ratio <= self.config.lower_bound or not self.discordant_pairs
        ):
            # Where not one pair differs, both fare the same, and mostly well: `least` of them are enough.
            self.verdict = Verdict.PASS
        else:
            self.verdict = Verdict.UNDECIDED


@dataclass(frozen=True, slots=True)
class OutcomeCount:
    """What one group did in one span: `bad` of `whole`."""

    failures: int
    total: int


@dataclass(slots=True)
class CanaryEvidence:
    """A wave's evidence: by region and measure, paired span by span.

    `chance` shuffles who is paired with whom; what is left over of the larger group is not used, since it has
    nobody of the same span and region beside it.
    """

    measures: tuple[str, ...]
    config: SequentialTestConfig
    draw: Callable[[], float]
    tests: dict[str, SequentialTest] = field(default_factory=dict)

    def __post_init__(self) -> None:
        share = SequentialTestConfig(
            self.config.false_halt_probability / len(self.measures),
            self.config.missed_harm_probability,
            self.config.odds_ratio,
            self.config.min_pairs,
        )
        self.tests = {measure: SequentialTest(share) for measure in self.measures}

    def add_interval(
        self, canary: Mapping[str, OutcomeCount], baseline: Mapping[str, OutcomeCount], measure: str
    ) -> None:
        """What both groups did in one span, by region."""
        comparison = self.tests[measure]
        for region in sorted(canary.keys() & baseline.keys()):
            ours, theirs = canary[region], baseline[region]
            pairs = min(ours.total, theirs.total)
            mine = self._sample(ours, pairs)
            other = self._sample(theirs, pairs)
            for one, two in zip(mine, other, strict=True):
                comparison.add_pair(one, two)

    def _sample(self, tally: OutcomeCount, count: int) -> list[bool]:
        """`count` of its dialogs, drawn without putting back, in a drawn order."""
        drawn, bad, left = [], tally.failures, tally.total
        for _ in range(count):
            is_bad = self.draw() * left < bad
            drawn.append(is_bad)
            bad -= is_bad
            left -= 1
        return drawn

    @property
    def verdict(self) -> Verdict:
        verdicts = {comparison.verdict for comparison in self.tests.values()}
        if Verdict.HALT in verdicts:
            return Verdict.HALT
        return Verdict.UNDECIDED if Verdict.UNDECIDED in verdicts else Verdict.PASS

    @property
    def halt_reason(self) -> str:
        """The measure that halted, in one line; empty where none did."""
        for measure, one in self.tests.items():
            if one.verdict is Verdict.HALT:
                return f"{measure}: {one.discordant_pairs} of {one.pairs} pairs differ, too many against it"
        return ""
