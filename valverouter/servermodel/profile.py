"""The parameters of a signalling server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class ServerProfile:
    """Capacity and costs of a server. Work is processor time at full speed; work and durations are in ns.

    `max_queue_delay`: set-ups are rejected while the queue delay is longer. `sends_retry_after`: a rejection
    carries the queue delay. `retransmit_interval`: the peer repeats a queued set-up after this time and then
    at doubling intervals, and each repetition costs `retransmit_work`; 0: never. `prioritizes_setups`:
    set-ups are queued ahead of answers and releases. `drops_cancelled_setups`: queued set-ups of cancelled
    legs are not processed. `random_work_fraction`: the fraction of a set-up's work that is drawn from an
    exponential distribution; the rest is fixed, and the mean does not change. A new process starts at
    `slow_start_fraction` of its full speed and reaches full speed after `slow_start_duration`; until then it
    crashes when the set-up work within `overload_window` exceeds `overload_multiple` times its capacity.
    """

    lines: int = 1_000
    setup_work: int = 10_000_000
    answer_work: int = 3_000_000
    release_work: int = 3_000_000
    reject_work: int = 1_000_000
    retransmit_work: int = 3_000_000
    ringing_duration: int = 0
    max_queue_delay: int = 2 * SECOND
    sends_retry_after: bool = False
    retransmit_interval: int = 0
    prioritizes_setups: bool = True
    drops_cancelled_setups: bool = False
    slow_start_fraction: float = 1.0
    slow_start_duration: int = 0
    overload_multiple: float = 1e9
    overload_window: int = SECOND
    random_work_fraction: float = 0.0

    def slow_start_parameters(self) -> dict[str, Any]:
        """Returns the fields of a `ServerStartedRow` that describe slow start, by name."""
        names = (
            "setup_work",
            "slow_start_fraction",
            "slow_start_duration",
            "overload_multiple",
            "overload_window",
        )
        return {name: getattr(self, name) for name in names}
