"""Detects configuration changes that pass validation and still cause harm.

Before a change the guard records, by traffic type, the fractions of dialogs that were rejected and that
needed a retry; old observations decay. After a change it counts separately for an observation period and
compares. It reports an increase that neither chance nor the baseline explains. Whether to roll back is up to
the caller; a rollback itself is not observed, so that it cannot cause another one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

SECOND = 1_000_000_000

# Short enough that a fault of a minute ago has little weight.
BASELINE_HALF_LIFE = 30 * SECOND
# The least time between two decays: computing one at each of many answers is not worth its cost.
DECAY_INTERVAL = SECOND
# How long after a change the guard compares.
OBSERVATION_PERIOD = 30 * SECOND
# The dialogs of a type after a change from which on the guard compares them.
MIN_DIALOGS = 20
# The least fraction after a change that is a regression.
MIN_FRACTION = 0.1
# The least ratio of the fractions after and before a change in a regression.
MIN_INCREASE_FACTOR = 2.0
# The least difference between these fractions in a regression, in standard errors.
MIN_STANDARD_ERRORS = 3.0

# The compared metrics by their names in the log, and the counter that each is computed from.
_COUNT_OF_METRIC = {"declined": "rejected", "retried": "retried"}


@dataclass(slots=True)
class _DialogCounts:
    """Counts of the dialogs of one type: decayed (the baseline), or of one observation period."""

    dialogs: float = 0.0
    rejected: float = 0.0
    retried: float = 0.0
    decayed_at: int = 0

    def decay(self, now: int) -> None:
        elapsed = now - self.decayed_at
        if elapsed < DECAY_INTERVAL:
            return
        factor = math.exp2(-elapsed / BASELINE_HALF_LIFE) if self.decayed_at else 1.0
        self.dialogs *= factor
        self.rejected *= factor
        self.retried *= factor
        self.decayed_at = now

    def add(self, other: _DialogCounts) -> None:
        self.dialogs += other.dialogs
        self.rejected += other.rejected
        self.retried += other.retried


@dataclass(frozen=True, slots=True)
class Regression:
    """An increase of a metric after a change: its fractions before and after, the latter of `dialogs`."""

    traffic_type: str
    metric: str
    before: float
    after: float
    dialogs: int


@dataclass(slots=True)
class ChangeGuard:
    """The guard of one edge proxy. Its size is bounded by the number of traffic types."""

    baseline: dict[str, _DialogCounts] = field(default_factory=dict)
    observed: dict[str, _DialogCounts] = field(default_factory=dict)
    changed_at: int | None = None
    reported: set[tuple[str, str]] = field(default_factory=set)

    def on_final_answer(
        self, now: int, traffic_type: str, rejected: bool, attempts: int
    ) -> Regression | None:
        """Records a dialog's final answer; returns a regression when it becomes significant, once each."""
        if self._is_observing(now):
            counts = self.observed.setdefault(traffic_type, _DialogCounts())
        else:
            if self.changed_at is not None:
                self._merge_into_baseline()
            counts = self.baseline.setdefault(traffic_type, _DialogCounts())
            counts.decay(now)
        counts.dialogs += 1
        counts.rejected += rejected
        counts.retried += attempts > 1
        return self._find_regression(traffic_type, counts) if self.changed_at is not None else None

    def on_change(self, now: int, observe: bool = True) -> None:
        """Starts an observation period at a change; `observe` is False for a rollback."""
        self._merge_into_baseline()
        for counts in self.baseline.values():
            counts.decay(now)
        self.reported.clear()
        self.changed_at = now if observe else None

    def _is_observing(self, now: int) -> bool:
        return self.changed_at is not None and now - self.changed_at <= OBSERVATION_PERIOD

    def _merge_into_baseline(self) -> None:
        """Ends an observation period: its counts become part of the baseline of the next change."""
        for traffic_type, counts in self.observed.items():
            self.baseline.setdefault(traffic_type, _DialogCounts()).add(counts)
        self.observed = {}
        self.changed_at = None

    def _find_regression(self, traffic_type: str, counts: _DialogCounts) -> Regression | None:
        if counts.dialogs < MIN_DIALOGS:
            return None
        baseline = self.baseline.get(traffic_type, _DialogCounts())
        for metric, count in _COUNT_OF_METRIC.items():
            after = getattr(counts, count) / counts.dialogs
            before, limit = _expected(getattr(baseline, count), baseline.dialogs, counts.dialogs)
            if after > limit and (traffic_type, metric) not in self.reported:
                self.reported.add((traffic_type, metric))
                return Regression(traffic_type, metric, before, after, int(counts.dialogs))
        return None


def _expected(events: float, dialogs: float, observed_dialogs: float) -> tuple[float, float]:
    """The fraction expected from the baseline, and the largest fraction that is not a regression."""
    # Half an event and one dialog are added, so that a baseline of few dialogs does not appear certain.
    fraction = (events + 0.5) / (dialogs + 1)
    error = math.sqrt(fraction * (1 - fraction) * (1 / observed_dialogs + 1 / (dialogs + 1)))
    limit = max(MIN_FRACTION, MIN_INCREASE_FACTOR * fraction, fraction + MIN_STANDARD_ERRORS * error)
    return fraction, limit
