"""The result of checking a traffic record against the five rules."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Rule(IntEnum):
    """The rules by number."""

    ONE_ANSWER = 1
    ONE_ATTEMPT = 2
    DRAINING = 3
    SLOW_START = 4
    RELEASE_DELAY = 5


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule at time `at`, ns; `subject` is the dialog or server, `text` the evidence."""

    rule: int
    at: int
    subject: str
    text: str


@dataclass(slots=True)
class Verdict:
    """All violations, and the number of checks by rule; a rule with no checks was not tested.

    `slow_start_budget_used`: the highest load of a server in slow start, as a fraction of the overload limit.
    `resumptions`: the number of times that a caller resumed a dialog on another connection;
    `forgotten_dialogs`: the number of times that an established dialog was then unknown.
    """

    violations: list[Violation] = field(default_factory=list)
    check_counts: dict[int, int] = field(default_factory=lambda: {int(rule): 0 for rule in Rule})
    slow_start_budget_used: float = 0.0
    resumptions: int = 0
    forgotten_dialogs: int = 0

    @property
    def passed(self) -> bool:
        """Whether there are no violations."""
        return not self.violations

    def violated_rules(self) -> set[int]:
        """Returns the numbers of the violated rules."""
        return {violation.rule for violation in self.violations}

    def add_check(self, rule: Rule, count: int = 1) -> None:
        """Counts events at which a rule could have been violated."""
        self.check_counts[int(rule)] += count

    def add_violation(self, rule: Rule, at: int, subject: str, text: str) -> None:
        """Adds a violation."""
        self.violations.append(Violation(int(rule), at, subject, text))
