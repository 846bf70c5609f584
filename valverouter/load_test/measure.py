"""The measurements of a load run; this module uses no clock and no sockets.

Latencies are computed from the time at which a dialog was due to be dialled, not from when it was dialled: a
target that delays its caller would otherwise hide the latencies of the dialogs behind (coordinated omission).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MICROSECOND = 1_000
MICROSECONDS_PER_MS = 1_000
# Latencies are recorded from 1 us to 60 s with three significant digits.
MIN_LATENCY_US, MAX_LATENCY_US, DIGITS = 1, 60_000_000, 3


@dataclass(slots=True)
class LoadSample:
    """The results of one run at one rate.

    `latencies`: in us, of the established dialogs, from the time each was due. `max_dial_delay`: the largest
    delay (ns) with which the load generator itself dialled; if it is large, the run measured the generator
    and not the target.
    """

    rate: float
    offered: int = 0
    rejected: int = 0
    failed: int = 0
    unanswered: int = 0
    max_dial_delay: int = 0
    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, DIGITS)
    )

    @property
    def established(self) -> int:
        """The number of established dialogs."""
        return int(self.latencies.get_total_count())

    def record_established(self, due: int, now: int) -> None:
        """Records that a dialog due at `due` was established at `now`, both in ns."""
        latency = (now - due) // MICROSECOND
        self.latencies.record_value(min(MAX_LATENCY_US, max(MIN_LATENCY_US, latency)))

    def record_dial_delay(self, delay: int) -> None:
        """Records that a dialog was dialled `delay` ns after it was due."""
        self.max_dial_delay = max(self.max_dial_delay, delay)

    def latency_percentile(self, percent: float) -> float:
        """Returns a percentile of the latencies of established dialogs, in ms."""
        return float(self.latencies.get_value_at_percentile(percent)) / MICROSECONDS_PER_MS

    def meets(self, latency_objective: int, fraction: float) -> bool:
        """Whether at least `fraction` of the offered dialogs were established within the objective (ns)."""
        if not self.offered:
            return False
        return self._count_within(latency_objective // MICROSECOND) / self.offered >= fraction

    def _count_within(self, max_latency_us: int) -> int:
        return sum(
            int(item.count_added_in_this_iter_step)
            for item in self.latencies.get_recorded_iterator()
            if item.value_iterated_to <= max_latency_us
        )
