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
    GO = "go"
    WAIT = "wait"
    HALT = "halt"


@dataclass(frozen=True, slots=True)
class Rule:
    """`odds`: the harm that must not be missed; `least`: pairs that are looked at before anything goes on, so
    that a release on which nothing at all fails is not let through on its first dialogs."""

    false_halt: float = 0.001
    missed: float = 0.05
    odds: float = 2.0
    least: int = 500

    @property
    def upper(self) -> float:
        return math.log((1 - self.missed) / self.false_halt)

    @property
    def lower(self) -> float:
        return math.log(self.missed / (1 - self.false_halt))


@dataclass(slots=True)
class Comparison:
    """One measure's running test."""

    rule: Rule
    ratio: float = 0.0
    pairs: int = 0
    differing: int = 0
    verdict: Verdict = Verdict.WAIT

    def pair(self, released_bad: bool, other_bad: bool) -> None:
        self.pairs += 1
        if released_bad != other_bad:
            self.differing += 1
            harmed = self.rule.odds / (1 + self.rule.odds)
            self.ratio += math.log(harmed / 0.5) if released_bad else math.log((1 - harmed) / 0.5)
        self._judge()

    def _judge(self) -> None:
        if self.verdict is Verdict.HALT:
            return
        if self.ratio >= self.rule.upper:
            self.verdict = Verdict.HALT
        elif self.pairs >= self.rule.least and (self.ratio <= self.rule.lower or not self.differing):
            # Where not one pair differs, both fare the same, and mostly well: `least` of them are enough.
            self.verdict = Verdict.GO
        else:
            self.verdict = Verdict.WAIT


@dataclass(frozen=True, slots=True)
class Tally:
    """What one group did in one span: `bad` of `whole`."""

    bad: int
    whole: int


@dataclass(slots=True)
class Evidence:
    """A wave's evidence: by region and measure, paired span by span.

    `chance` shuffles who is paired with whom; what is left over of the larger group is not used, since it has
    nobody of the same span and region beside it.
    """

    measures: tuple[str, ...]
    rule: Rule
    chance: Callable[[], float]
    comparisons: dict[str, Comparison] = field(default_factory=dict)

    def __post_init__(self) -> None:
        share = Rule(
            self.rule.false_halt / len(self.measures), self.rule.missed, self.rule.odds, self.rule.least
        )
        self.comparisons = {measure: Comparison(share) for measure in self.measures}

    def span(self, released: Mapping[str, Tally], others: Mapping[str, Tally], measure: str) -> None:
        """What both groups did in one span, by region."""
        comparison = self.comparisons[measure]
        for region in sorted(released.keys() & others.keys()):
            ours, theirs = released[region], others[region]
            pairs = min(ours.whole, theirs.whole)
            mine = self._drawn(ours, pairs)
            other = self._drawn(theirs, pairs)
            for one, two in zip(mine, other, strict=True):
                comparison.pair(one, two)

    def _drawn(self, tally: Tally, count: int) -> list[bool]:
        """`count` of its dialogs, drawn without putting back, in a drawn order."""
        drawn, bad, left = [], tally.bad, tally.whole
        for _ in range(count):
            is_bad = self.chance() * left < bad
            drawn.append(is_bad)
            bad -= is_bad
            left -= 1
        return drawn

    @property
    def verdict(self) -> Verdict:
        verdicts = {comparison.verdict for comparison in self.comparisons.values()}
        if Verdict.HALT in verdicts:
            return Verdict.HALT
        return Verdict.WAIT if Verdict.WAIT in verdicts else Verdict.GO

    @property
    def why(self) -> str:
        """The measure that halted, in one line; empty where none did."""
        for measure, one in self.comparisons.items():
            if one.verdict is Verdict.HALT:
                return f"{measure}: {one.differing} of {one.pairs} pairs differ, too many against it"
        return ""
