"""The spillover gate: whether routine dialogs may leave the home region now.

The gate opens when no server in the home region was available to a given fraction of this edge proxy's own
dialogs, and closes once the fraction has been low for a period. Counts decay with time, so an edge proxy with
few dialogs judges by its most recent ones and a busy one by a fraction of many.
"""

from __future__ import annotations

import math

SECOND = 1_000_000_000

# Long compared with the set-up of one dialog, short compared with the 5 to 19 s for which a region typically
# lacks lines.
EVIDENCE_HALF_LIFE = 2 * SECOND
# The fraction of selections without an available home server that opens the gate.
OPEN_THRESHOLD = 0.2
# The fraction up to which the home region counts as healthy.
CLOSE_THRESHOLD = 0.05
# The gate closes after the home region was healthy for this long. The period doubles when the gate opens
# again soon after it closed, and is reset otherwise: hysteresis against a flapping fault.
MIN_HEALTHY_PERIOD = 2 * SECOND
# The limit of the doubled period.
MAX_HEALTHY_PERIOD = 16 * SECOND
# The decayed count of failed selections that is needed to open the gate: three quarters of a fresh failure.
MIN_FRESH_FAILURES = 0.75


class SpilloverGate:
    """One edge proxy's gate, by the health of its home region; `openings` counts how often it opened."""

    def __init__(self) -> None:
        """Creates a closed gate without any recorded selection."""
        self.is_open = False
        self.openings = 0
        self._selections = 0.0
        self._failures = 0.0
        self._decayed_at = 0
        self._unhealthy_at = 0
        self._healthy_period = MIN_HEALTHY_PERIOD
        self._closed_at = -MAX_HEALTHY_PERIOD

    def on_selection(self, now: int, home_available: bool) -> None:
        """Records a dialog's server selection: whether any server in the home region was available to it."""
        self._decay(now)
        self._selections += 1
        self._failures += not home_available
        failed_fraction = self._failures / self._selections
        if failed_fraction >= OPEN_THRESHOLD and self._failures >= MIN_FRESH_FAILURES:
            if not self.is_open:
                self._open(now)
            self._unhealthy_at = now
        elif failed_fraction > CLOSE_THRESHOLD:
            self._unhealthy_at = now

    def allows(self, now: int) -> bool:
        """Whether routine dialogs may spill over at `now`; closes the gate after the healthy period."""
        if self.is_open and now - self._unhealthy_at > self._healthy_period:
            self.is_open = False
            self._closed_at = now
        return self.is_open

    def _decay(self, now: int) -> None:
        factor = math.exp2(-(now - self._decayed_at) / EVIDENCE_HALF_LIFE)
        self._decayed_at = now
        self._selections *= factor
        self._failures *= factor

    def _open(self, now: int) -> None:
        reopened_soon = now - self._closed_at <= 2 * self._healthy_period
        if reopened_soon:
            self._healthy_period = min(MAX_HEALTHY_PERIOD, 2 * self._healthy_period)
        else:
            self._healthy_period = MIN_HEALTHY_PERIOD
        self.is_open = True
        self.openings += 1
